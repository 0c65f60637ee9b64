//! Tests for tracking the list of endpoints across outages of the store.

use cicadacrank_core::directory::{Endpoint, Evacuation, Incarnation, Snapshot, State, Tracker};
use std::time::Duration;

const fn at(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1_000.0) as u64)
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        life: Incarnation {
            id: id.to_owned(),
            born: Some(10),
        },
        service: "engine".to_owned(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: "x".to_owned(),
        slots: 1,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

fn ids(tracker: &Tracker) -> Vec<String> {
    let endpoints = tracker.snapshot().endpoints;
    endpoints.into_iter().map(|one| one.life.id).collect()
}

fn tracker() -> Tracker {
    let mut tracker = Tracker::default();
    tracker.replace_all(5, vec![endpoint("a"), endpoint("b")], at(0.0));
    tracker
}

#[test]
fn remove_takes_effect_at_once_while_the_store_is_available() {
    let mut tracker = tracker();
    tracker.remove(6, "a", at(1.0));
    assert_eq!(ids(&tracker), ["b"]);
    assert_eq!(tracker.revision(), 6);
}

#[test]
fn entries_expired_in_an_outage_have_a_grace_period() {
    let mut tracker = tracker();
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.replace_all(9, vec![endpoint("b")], at(5.0));
    assert_eq!(ids(&tracker), ["a", "b"]);
    assert!(!tracker.expire(at(6.9)));
    assert!(tracker.expire(at(7.0)));
    assert_eq!(ids(&tracker), ["b"]);
}

#[test]
fn entries_registered_again_stay() {
    let mut tracker = tracker();
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.replace_all(9, Vec::new(), at(5.0));
    tracker.put(10, endpoint("a"));
    assert!(tracker.expire(at(7.5)));
    assert_eq!(ids(&tracker), ["a"]);
}

#[test]
fn short_outage_starts_no_grace_period() {
    let mut tracker = tracker();
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(1.5));
    tracker.replace_all(9, vec![endpoint("b")], at(1.5));
    assert_eq!(ids(&tracker), ["b"]);
}

#[test]
fn expired_draining_endpoint_is_removed() {
    let mut tracker = tracker();
    tracker.put(
        6,
        Endpoint {
            state: State::Draining,
            sequence: 2,
            ..endpoint("a")
        },
    );
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.replace_all(9, vec![endpoint("b")], at(5.0));
    assert_eq!(ids(&tracker), ["b"]);
}

#[test]
fn older_registration_never_replaces_a_newer_one() {
    let mut tracker = tracker();
    let draining = Endpoint {
        state: State::Draining,
        sequence: 4,
        ..endpoint("a")
    };
    tracker.put(6, draining);
    tracker.put(
        7,
        Endpoint {
            sequence: 3,
            ..endpoint("a")
        },
    );
    assert_eq!(tracker.snapshot().endpoints[0].state, State::Draining);
    let mut restarted = endpoint("a");
    restarted.life.born = Some(20);
    tracker.put(8, restarted);
    assert_eq!(tracker.snapshot().endpoints[0].state, State::Ready);
    assert_eq!(tracker.snapshot().endpoints[0].life.born, Some(20));
}

#[test]
fn adopt_takes_newer_lists_only() {
    let mut tracker = tracker();
    let newer = Snapshot::new(8, vec![endpoint("c")]);
    assert!(!tracker.adopt(&Snapshot::new(5, Vec::new())));
    assert!(tracker.adopt(&newer));
    assert_eq!(ids(&tracker), ["c"]);
    tracker.replace_all(7, vec![endpoint("a")], at(1.0));
    assert_eq!(ids(&tracker), ["c"]);
}

#[test]
fn evacuation_covers_named_data_centres() {
    let evacuation = Evacuation::new(3, vec!["y".to_owned(), "x".to_owned()]);
    assert!(evacuation.covers("x"));
    assert!(!evacuation.covers("z"));
}

/// A gateway that was cut from the store keeps removed entries for two seconds. Another
/// gateway that adopted its list would keep them for good, since it skips the removal,
/// which is older than the list.
#[test]
fn list_with_removed_entries_is_not_passed_on_during_the_grace_period() {
    let mut tracker = tracker();
    assert_eq!(tracker.shareable(), Some(tracker.snapshot()));
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.remove(9, "a", at(5.5));
    assert_eq!(ids(&tracker), ["a", "b"]);
    assert_eq!(tracker.shareable(), None);
    assert!(tracker.expire(at(7.0)));
    assert_eq!(tracker.shareable(), Some(tracker.snapshot()));
}

/// An endpoint whose entry was overwritten was used for two more seconds after an outage.
#[test]
fn discard_ignores_the_grace_period() {
    let mut tracker = tracker();
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.replace_all(9, vec![endpoint("b")], at(5.0));
    assert_eq!(ids(&tracker), ["a", "b"]);
    tracker.discard(8, "b");
    assert_eq!(ids(&tracker), ["a", "b"], "the revision is older");
    tracker.discard(10, "a");
    assert_eq!(ids(&tracker), ["b"]);
    assert_eq!(tracker.revision(), 10);
    assert!(tracker.shareable().is_some());
}
