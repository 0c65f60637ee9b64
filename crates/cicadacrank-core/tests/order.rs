//! Tests of orders for roll-outs: what becomes of them when they change, and when processes
//! and the store fail in between.

use cicadacrank_core::{
    rollout::{
        Bounds, Choice, Exposure, Member, Order, Outcome, Phase, Rollout, Stage, View, Write,
    },
    version::Version,
};
use std::time::Duration;

const BOUNDS: Bounds = Bounds {
    share: 0.1,
    tolerance: 50.0,
    rollback: Duration::from_secs(5),
};

const START: Duration = Duration::from_secs(100);

const SECOND: Duration = Duration::from_secs(1);

fn order(to: &str, created: u64, seen: Version) -> Order {
    Order {
        service: "llm".to_owned(),
        to: to.to_owned(),
        duration: SECOND * 30,
        created,
        seen,
    }
}

fn rollout(to: &str) -> Rollout {
    let exposure = Exposure::new(&BOUNDS, 1, 0);
    let order = order(to, 5, Version::new(0, 5));
    Rollout::new(order, BOUNDS, exposure, Duration::ZERO, START)
}

fn view<'a>(others: &'a [Member<'a>]) -> View<'a> {
    View {
        is_controller: true,
        others,
        old: 2,
        new: 2,
        drain: SECOND * 4,
        linger: Duration::ZERO,
    }
}

/// Brings a roll-out to the phase in which the new version gets all requests.
fn full(rollout: &mut Rollout) -> Duration {
    let now = START + SECOND * 25;
    rollout.record_contact(now);
    rollout.step(&view(&[]), now);
    assert_eq!(rollout.phase(), Phase::Full);
    now
}

fn without(versions: &[&str]) -> Choice {
    Choice::Without(versions.iter().map(ToString::to_string).collect())
}

#[test]
fn step_completes_only_when_no_process_uses_an_old_version() {
    let mut controller = rollout("v2");
    let now = full(&mut controller);
    let other = Member {
        instance: "other",
        incarnation: 7,
        is_live: true,
    };
    let completed = Some(Write::Status(Phase::Completed));
    controller.record_write(Write::Progress(Phase::Full), now);
    controller.record_write(Write::Status(Phase::Trial), now);
    assert_eq!(controller.step(&view(&[other]), now), None, "nothing heard");
    let mut peer = rollout("v2");
    peer.follow(Phase::Full, now);
    peer.set_old_in_flight(1, now);
    controller.merge(peer.report("other", 7), now);
    assert_eq!(controller.step(&view(&[other]), now), None, "one in flight");
    peer.set_old_in_flight(0, now);
    controller.merge(peer.report("other", 6), now);
    assert_eq!(
        controller.step(&view(&[other]), now),
        None,
        "another process"
    );
    controller.merge(peer.report("other", 7), now);
    controller.set_old_in_flight(1, now);
    assert_eq!(controller.step(&view(&[other]), now), None, "own in flight");
    controller.set_old_in_flight(0, now);
    assert_eq!(controller.step(&view(&[other]), now), completed);
    let later = now + SECOND * 10;
    controller.record_contact(later);
    assert_eq!(controller.step(&view(&[other]), later), None, "old report");
    let silent = Member {
        is_live: false,
        ..other
    };
    assert_eq!(controller.step(&view(&[silent]), later), completed);
}

#[test]
fn process_without_signs_of_others_uses_the_old_version() {
    let mut rollout = rollout("v2");
    let now = full(&mut rollout);
    assert_eq!(rollout.choose(now), Choice::Only("v2".to_owned()));
    assert_eq!(rollout.choose(now + SECOND * 3), without(&["v2"]));
    rollout.record_contact(now + SECOND * 4);
    assert_eq!(
        rollout.choose(now + SECOND * 4),
        Choice::Only("v2".to_owned())
    );
}

#[test]
fn second_order_bars_a_version_that_has_not_proven_itself() {
    let first = rollout("v2");
    let second = rollout("v3").succeeding(&first);
    assert_eq!(second.outlook(START), without(&["v2", "v3"]));
    assert!(!second.may_continue("v2", START));
    let mut proven = rollout("v2");
    full(&mut proven);
    let second = rollout("v3").succeeding(&proven);
    assert_eq!(second.outlook(START), without(&["v3"]));
}

#[test]
fn stream_of_the_new_version_goes_on_until_that_is_stopped() {
    let mut rollout = rollout("v2");
    assert!(rollout.try_continue("v1", START));
    assert!(rollout.try_continue("v2", START));
    for _ in 0..40 {
        rollout.begin("v2");
        rollout.record("r", "v2", 1, Outcome::Bad, START);
        rollout.record("r", "v2", 2, Outcome::Bad, START);
    }
    rollout.step(&view(&[]), START);
    assert!(rollout.is_stopped());
    assert!(!rollout.try_continue("v2", START));
    assert!(rollout.try_continue("v1", START));
}

#[test]
fn outcome_that_a_restored_store_lacks_is_written_again() {
    let mut rollout = rollout("v2");
    let now = full(&mut rollout);
    rollout.record_write(Write::Status(Phase::Completed), now);
    assert_eq!(rollout.step(&view(&[]), now), None);
    let restored = order("v2", 9, Version::new(1, 9));
    assert!(rollout.order.is_same(&restored));
    rollout.apply(restored, Some(Phase::Trial), now);
    let write = rollout.step(&view(&[]), now);
    assert_eq!(write, Some(Write::Status(Phase::Completed)));
    assert_eq!(rollout.choose(now), Choice::Only("v2".to_owned()));
}

#[test]
fn outcome_of_another_writer_counts() {
    let mut rollout = rollout("v2");
    let now = full(&mut rollout);
    let read = order("v2", 5, Version::new(0, 6));
    rollout.apply(read.clone(), Some(Phase::RolledBack), now);
    assert_eq!(rollout.choose(now), without(&["v2"]));
    assert_eq!(rollout.step(&view(&[]), now), None);
    rollout.follow(Phase::Completed, now);
    assert_eq!(rollout.phase(), Phase::RolledBack);
}

#[test]
fn order_that_is_withdrawn_and_written_again_starts_with_what_is_known() {
    let mut rollout = rollout("v2");
    let now = full(&mut rollout);
    rollout.withdraw(now);
    assert_eq!(rollout.choose(now), without(&["v2"]));
    assert_eq!(rollout.step(&view(&[]), now), None);
    rollout.apply(order("v2", 8, Version::new(1, 8)), None, now);
    assert_eq!(rollout.phase(), Phase::Trial);
    rollout.step(&view(&[]), now);
    assert_eq!(rollout.phase(), Phase::Full);
}

#[test]
fn version_that_is_not_ready_in_time_is_rolled_back() {
    let mut rollout = rollout("v2");
    let none = View {
        new: 0,
        ..view(&[])
    };
    let late = START + SECOND * 25;
    rollout.record_contact(late);
    rollout.step(&none, late);
    assert_eq!(
        (rollout.phase(), rollout.is_stopped()),
        (Phase::Trial, false)
    );
    let over = START + SECOND * 30;
    rollout.step(&none, over);
    assert!(rollout.is_stopped());
}

/// The sum over all processes is within the bound, however requests are spread.
#[test]
fn exposure_of_all_processes_is_within_the_bound() {
    for processes in 1..=60 {
        let mut exposed = 0;
        let mut requests = 0;
        for position in 0..processes {
            let mut exposure = Exposure::new(&BOUNDS, processes, position);
            for _ in 0..position * 7 {
                if exposure.has_room(&BOUNDS, Stage::Load) {
                    exposure.record_exposed();
                }
                exposure.record_request();
            }
            exposed += exposure.exposed;
            requests += exposure.requests;
        }
        let bound = (requests as f64).mul_add(BOUNDS.share, BOUNDS.tolerance);
        assert!(
            exposed as f64 <= bound,
            "{processes}: {exposed} of {requests}"
        );
    }
}
