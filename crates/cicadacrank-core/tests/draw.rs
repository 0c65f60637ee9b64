//! Tests of the selection among endpoints whose load is known late.

use cicadacrank_core::placement::draw::{Candidate, draw};

/// Endpoints with this many requests each, which may take one at a time.
fn candidates(loads: &[f64]) -> Vec<Candidate<usize>> {
    let candidates = loads.iter().enumerate();
    candidates
        .map(|(key, load)| Candidate {
            key,
            cost: 1.0 + load,
            step: 1.0,
            idle: 1.0,
            id: key as u64,
        })
        .collect()
}

/// Sends 1,000 requests, a millisecond apart, and returns how many each endpoint got.
fn counts(loads: &[f64], others: f64) -> Vec<usize> {
    let mut counts = vec![0; loads.len()];
    let mut sent_at = vec![-1.0; loads.len()];
    for number in 0..1_000_u32 {
        let now = f64::from(number) / 1_000.0;
        let mut candidates = candidates(loads);
        for candidate in &mut candidates {
            candidate.idle = now - sent_at[candidate.key];
        }
        let drawn = draw(&mut candidates, others, u64::from(number)).expect("there are endpoints");
        counts[drawn.key] += 1;
        sent_at[drawn.key] = now;
    }
    counts
}

#[test]
fn draw_returns_the_first_of_the_cheapest_without_others() {
    let mut candidates = candidates(&[2.0, 1.0, 1.0]);
    let drawn = draw(&mut candidates, 0.0, 7);
    assert_eq!(drawn.map(|candidate| candidate.key), Some(1));
    assert_eq!(draw::<usize>(&mut [], 3.0, 7), None);
}

#[test]
fn draw_selects_nothing_that_others_have_not_filled_up_to() {
    // Two requests of others fit below the load of the last endpoint.
    assert_eq!(counts(&[0.0, 0.0, 1.5], 2.0)[2], 0);
    assert!(counts(&[0.0, 0.0, 1.5], 6.0)[2] > 0);
}

#[test]
fn draw_divides_requests_in_proportion_to_room() {
    // Six requests of others raise all loads to three: the room is 3, 2 and 1.
    let counts = counts(&[0.0, 1.0, 2.0], 6.0);
    for (count, room) in counts.iter().zip([3.0, 2.0, 1.0]) {
        let expected = 1_000.0 * room / 6.0;
        assert!((*count as f64 - expected).abs() < 50.0, "{counts:?}");
    }
}

#[test]
fn draw_leaves_equal_endpoints_to_the_seed_when_none_was_used_later() {
    let drawn = (0..100).filter_map(|seed| draw(&mut candidates(&[0.0; 4]), 1.0, seed));
    let mut keys: Vec<usize> = drawn.map(|candidate| candidate.key).collect();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys, [0, 1, 2, 3]);
}
