//! Tests of the quarantine.

use cicadacrank_core::{
    id,
    quarantine::{CRASHES, Fingerprint, LIFE, List, SUSPECTS, Standing, Suspect},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

fn print(name: &str) -> Fingerprint {
    Fingerprint::new("team", "pipeline", "stage", name.as_bytes())
}

fn attempt(number: u128) -> id::Attempt {
    id::Attempt::new(number)
}

#[test]
fn mark_condemns_at_the_second_crash_for_a_time() {
    let mut list = List::default();
    let one = print("one");
    assert_eq!(list.standing(one, START), Standing::Clear);
    list.mark(one, attempt(1), START);
    list.mark(one, attempt(1), START);
    assert_eq!(list.standing(one, START), Standing::Suspect);
    list.mark(one, attempt(2), START);
    assert_eq!(list.standing(one, START), Standing::Condemned);
    list.acquit(one);
    assert_eq!(list.standing(one, START), Standing::Condemned);
    assert_eq!(list.standing(one, START + LIFE), Standing::Clear);
    assert_eq!(list.standing(print("other"), START), Standing::Clear);
}

#[test]
fn acquit_outlives_what_peers_still_say() {
    let mut list = List::default();
    let one = print("one");
    list.mark(one, attempt(1), START);
    let said: Vec<Suspect> = list.suspects(START).collect();
    list.acquit(one);
    said.iter().for_each(|suspect| list.merge(suspect, START));
    assert_eq!(list.standing(one, START), Standing::Clear);
    let mut peer = List::default();
    said.iter().for_each(|suspect| peer.merge(suspect, START));
    let said: Vec<Suspect> = list.suspects(START).collect();
    said.iter().for_each(|suspect| peer.merge(suspect, START));
    assert_eq!(peer.standing(one, START), Standing::Clear);
    list.mark(one, attempt(2), START);
    assert_eq!(list.standing(one, START), Standing::Suspect);
}

#[test]
fn merge_is_a_union_and_never_prolongs() {
    let (mut here, mut there) = (List::default(), List::default());
    let one = print("one");
    here.mark(one, attempt(1), START);
    there.mark(one, attempt(2), START);
    let later = START + LIFE / 2;
    for _ in 0..10 {
        let said: Vec<Suspect> = here.suspects(later).collect();
        said.iter().for_each(|suspect| there.merge(suspect, later));
        let said: Vec<Suspect> = there.suspects(later).collect();
        said.iter().for_each(|suspect| here.merge(suspect, later));
    }
    for list in [&here, &there] {
        assert_eq!(list.standing(one, later), Standing::Condemned);
        assert_eq!(list.standing(one, START + LIFE), Standing::Clear);
    }
}

#[test]
fn merge_keeps_the_list_bounded_and_the_condemned() {
    let mut list = List::default();
    for number in 0..2 {
        list.mark(print("condemned"), attempt(number), START);
    }
    for number in 0..2 * SUSPECTS as u128 {
        list.mark(print(&number.to_string()), attempt(number), START);
    }
    assert_eq!(list.len(), SUSPECTS);
    assert_eq!(
        list.standing(print("condemned"), START),
        Standing::Condemned
    );
}

/// One request that crashes whatever runs it, among innocent ones, each sent
/// anew until it is served or refused. Returns the crashes.
///
/// `start` decides at each step which request is sent to which endpoint, or
/// whether a run ends: all runs end well but those beside the crashing one.
fn crashes(steps: Vec<(u8, u8)>) -> Result<usize, TestCaseError> {
    const REQUESTS: usize = 8;
    const ENDPOINTS: usize = 3;
    let prints: Vec<_> = (0..REQUESTS).map(|one| print(&one.to_string())).collect();
    let mut list = List::default();
    let mut running: [Vec<usize>; ENDPOINTS] = Default::default();
    let (mut crashes, mut next) = (0, 0u128);
    let is_suspect =
        |list: &List, one: usize| list.standing(prints[one], START) == Standing::Suspect;
    for (what, at) in steps {
        let at = usize::from(at) % ENDPOINTS;
        let one = usize::from(what) % REQUESTS;
        let is_running = running.iter().flatten().any(|other| *other == one);
        if what >= 128 {
            // The first run ends; the crashing request takes the endpoint along.
            if running[at].contains(&0) {
                crashes += 1;
                for one in running[at].drain(..) {
                    next += 1;
                    list.mark(prints[one], attempt(next), START);
                }
            } else if let Some(one) = running[at].pop() {
                list.acquit(prints[one]);
            }
            continue;
        }
        let beside = running[at].iter().any(|other| is_suspect(&list, *other));
        let admitted = match list.standing(prints[one], START) {
            Standing::Clear => true,
            Standing::Suspect => !beside,
            Standing::Condemned => false,
        };
        if admitted && !is_running {
            running[at].push(one);
        }
    }
    for innocent in &prints[1..] {
        prop_assert_ne!(list.standing(*innocent, START), Standing::Condemned);
    }
    Ok(crashes)
}

#[test]
fn list_bounds_the_crashes_and_condemns_no_innocent() {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(any::<(u8, u8)>(), 1..400);
    TestRunner::new_with_rng(config, random)
        .run(&steps, |steps| {
            prop_assert!(crashes(steps)? <= CRASHES);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}
