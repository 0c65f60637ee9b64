//! Busy and idle time add up, and are counted once.

use cicadacrank_core::accounting::{Charge, Line, Meter, Part, Rate, Share, Statement};
use proptest::{
    prelude::{ProptestConfig, any, prop, proptest},
    test_runner::RngSeed,
};
use std::time::Duration;

const SLOTS: u32 = 4;

fn rate(owner: &str, busy_price_milli: u64) -> Rate {
    Rate {
        owner: owner.to_owned(),
        slots: SLOTS,
        busy_price_milli,
        idle_price_milli: 100,
    }
}

fn busy(team: &str, borrowed: bool) -> Share {
    Share::Busy {
        pipeline: "book".to_owned(),
        stage: "desk".to_owned(),
        team: team.to_owned(),
        borrowed,
    }
}

fn time(lines: &[Line]) -> u64 {
    lines.iter().map(|line| line.slot_us).sum()
}

fn slot_us(lines: &[Line], owner: &str, share: &Share) -> u64 {
    let lines = lines.iter();
    let mine = lines.filter(|line| line.owner == owner && line.share == *share);
    mine.map(|line| line.slot_us).sum()
}

#[test]
fn lines_name_who_pays() {
    let at = Duration::from_secs;
    let mut meter = Meter::new("one");
    meter.set_rate(rate("tehus", 3_600), at(10));
    let own = meter.begin(busy("counter", false), at(20));
    let lent = meter.begin(busy("council", true), at(20));
    meter.end(&own, at(30));
    meter.set_rate(rate("torg", 7_200), at(40));
    meter.end(&lent, at(50));
    let lines = meter.lines(at(60));
    let cases = [
        ("tehus", Share::Idle, 4 * 10 + 2 * 10 + 3 * 10),
        ("torg", Share::Idle, 3 * 10 + 4 * 10),
        ("tehus", busy("counter", false), 10),
        ("tehus", busy("council", true), 30),
    ];
    for (owner, share, seconds) in cases {
        assert_eq!(
            slot_us(&lines, owner, &share),
            seconds * 1_000_000,
            "{owner} {share:?}"
        );
    }
    let lent = lines
        .iter()
        .find(|line| line.share == busy("council", true));
    let price = lent.map(|line| line.price_micro);
    assert_eq!(
        price,
        Some(20 * 1_000 + 10 * 2_000),
        "each price for its own time"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn lines_add_up_to_wall_time(
        steps in prop::collection::vec((0u64..5_000_000, any::<bool>(), any::<u8>()), 0..60),
    ) {
        let mut meter = Meter::new("one");
        let mut running: Vec<Charge> = Vec::new();
        let mut now = Duration::from_nanos(17);
        let (mut last, mut cuts) = (0, 1);
        meter.set_rate(rate("tehus", 400), now);
        for (nanos, begins, pick) in steps {
            now += Duration::from_nanos(nanos);
            if begins && running.len() < SLOTS as usize {
                running.push(meter.begin(busy(["a", "b"][usize::from(pick % 2)], false), now));
            } else if !running.is_empty() {
                let charge = running.remove(usize::from(pick) % running.len());
                meter.end(&charge, now);
            }
            let sum = time(&meter.lines(now));
            assert!(sum >= last, "lines only grow");
            (last, cuts) = (sum, cuts + 1);
        }
        let wall = u64::try_from((now - Duration::from_nanos(17)).as_micros()).expect("short");
        let error = time(&meter.lines(now)).abs_diff(wall * u64::from(SLOTS));
        // The first and the last instant are cut to whole microseconds.
        assert!(error <= u64::from(SLOTS), "{error} us after {cuts} events");
    }

    #[test]
    fn merge_counts_each_incarnation_once(
        readings in prop::collection::vec((1u64..5, 1u64..100), 1..40),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let part = |(incarnation, slot_us): (u64, u64)| Part {
            incarnation,
            lines: vec![Line {
                endpoint: "one".to_owned(),
                owner: "tehus".to_owned(),
                share: Share::Idle,
                slot_us,
                price_micro: slot_us,
            }],
        };
        let mut statement = Statement::default();
        for reading in &readings {
            statement.merge(part(*reading));
        }
        let greatest = |incarnation| readings.iter().filter(|one| one.0 == incarnation).map(|one| one.1).max();
        let expected: u64 = (1..5).filter_map(greatest).sum();
        assert_eq!(time(&statement.lines()), expected);
        let before = statement.clone();
        for repeat in repeats {
            statement.merge(part(readings[repeat.index(readings.len())]));
        }
        assert_eq!(statement, before, "a replay changes nothing");
    }
}

#[test]
fn merge_closes_old_incarnations() {
    let part = |incarnation| {
        let mut meter = Meter::new("one");
        meter.set_rate(rate("tehus", 400), Duration::ZERO);
        let lines = meter.lines(Duration::from_micros(incarnation));
        Part { incarnation, lines }
    };
    let mut statement = Statement::default();
    for incarnation in 1..=10 {
        statement.merge(part(incarnation));
    }
    assert_eq!(statement.parts.len(), Statement::PARTS);
    assert_eq!(statement.closed_until, 6);
    assert_eq!(time(&statement.lines()), 55 * u64::from(SLOTS));
    let before = statement.clone();
    statement.merge(part(6));
    assert_eq!(
        statement, before,
        "a closed incarnation is not counted again"
    );
}
