//! Tests for tracking the list of endpoints across outages of the store.

use cicadacrank_core::{
    directory::{Endpoint, Evacuation, Incarnation, Snapshot, State, Tracker, evacuation},
    version::Version,
};
use std::time::Duration;

const fn at(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1_000.0) as u64)
}

const fn version(revision: u64) -> Version {
    Version::new(0, revision)
}

/// A version of the era after that of [`version`].
const fn later(revision: u64) -> Version {
    Version::new(1, revision)
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
        version: "v1".to_owned(),
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
    tracker.replace_all(version(5), vec![endpoint("a"), endpoint("b")], at(0.0));
    tracker
}

#[test]
fn remove_takes_effect_at_once_while_the_store_is_available() {
    let mut tracker = tracker();
    tracker.remove(version(6), "a", at(1.0));
    assert_eq!(ids(&tracker), ["b"]);
    assert_eq!(tracker.version(), version(6));
}

#[test]
fn entries_expired_in_an_outage_have_a_grace_period() {
    let mut tracker = tracker();
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.replace_all(version(9), vec![endpoint("b")], at(5.0));
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
    tracker.replace_all(version(9), Vec::new(), at(5.0));
    tracker.put(version(10), endpoint("a"));
    assert!(tracker.expire(at(7.5)));
    assert_eq!(ids(&tracker), ["a"]);
}

#[test]
fn short_outage_starts_no_grace_period() {
    let mut tracker = tracker();
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(1.5));
    tracker.replace_all(version(9), vec![endpoint("b")], at(1.5));
    assert_eq!(ids(&tracker), ["b"]);
}

#[test]
fn expired_draining_endpoint_is_removed() {
    let mut tracker = tracker();
    tracker.put(
        version(6),
        Endpoint {
            state: State::Draining,
            sequence: 2,
            ..endpoint("a")
        },
    );
    tracker.mark_unavailable(at(1.0));
    tracker.mark_available(at(5.0));
    tracker.replace_all(version(9), vec![endpoint("b")], at(5.0));
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
    tracker.put(version(6), draining);
    tracker.put(
        version(7),
        Endpoint {
            sequence: 3,
            ..endpoint("a")
        },
    );
    assert_eq!(tracker.snapshot().endpoints[0].state, State::Draining);
    let mut restarted = endpoint("a");
    restarted.life.born = Some(20);
    tracker.put(version(8), restarted);
    assert_eq!(tracker.snapshot().endpoints[0].state, State::Ready);
    assert_eq!(tracker.snapshot().endpoints[0].life.born, Some(20));
}

#[test]
fn adopt_takes_newer_lists_only() {
    let mut tracker = tracker();
    let newer = Snapshot::new(version(8), vec![endpoint("c")]);
    assert!(!tracker.adopt(Snapshot::new(version(5), Vec::new()), at(1.0)));
    assert!(tracker.adopt(newer, at(1.0)));
    assert_eq!(ids(&tracker), ["c"]);
    tracker.replace_all(version(7), vec![endpoint("a")], at(1.0));
    assert_eq!(ids(&tracker), ["c"]);
}

#[test]
fn evacuation_covers_named_data_centres() {
    let evacuation = Evacuation::new(version(3), vec!["y".to_owned(), "x".to_owned()]);
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
    tracker.remove(version(9), "a", at(5.5));
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
    tracker.replace_all(version(9), vec![endpoint("b")], at(5.0));
    assert_eq!(ids(&tracker), ["a", "b"]);
    tracker.discard(version(8), "b");
    assert_eq!(ids(&tracker), ["a", "b"], "the revision is older");
    tracker.discard(version(10), "a");
    assert_eq!(ids(&tracker), ["b"]);
    assert_eq!(tracker.version(), version(10));
    assert!(tracker.shareable().is_some());
}

fn registration(id: &str, state: State, sequence: u64) -> Endpoint {
    Endpoint {
        state,
        sequence,
        ..endpoint(id)
    }
}

/// Lists of a store that counted below what the process held were ignored.
#[test]
fn list_of_a_later_era_replaces_one_of_a_higher_revision() {
    let mut tracker = tracker();
    let copied = vec![registration("a", State::Draining, 2), endpoint("c")];
    assert!(tracker.replace_all(later(3), copied.clone(), at(1.0)));
    assert_eq!(tracker.version(), later(3));
    assert_eq!(ids(&tracker), ["a", "b", "c"]);
    assert_eq!(tracker.snapshot().endpoints[0].state, State::Draining);
    assert!(!tracker.replace_all(version(9), Vec::new(), at(1.0)));
    assert!(tracker.expire(at(3.0)));
    assert_eq!(ids(&tracker), ["a", "c"]);
}

/// Endpoints that registered after the copy was made were dropped at once.
#[test]
fn entries_that_a_copy_lacks_have_a_grace_period() {
    for written_again in [false, true] {
        let mut tracker = tracker();
        tracker.replace_all(later(3), vec![endpoint("b")], at(10.0));
        assert_eq!(tracker.shareable(), None);
        assert!(!tracker.expire(at(11.9)));
        assert_eq!(ids(&tracker), ["a", "b"]);
        if written_again {
            tracker.put(later(4), endpoint("a"));
        }
        tracker.expire(at(12.0));
        assert_eq!(ids(&tracker).contains(&"a".to_owned()), written_again);
        assert!(tracker.shareable().is_some());
    }
}

/// The entry of a copy shows an endpoint as it was before it began to leave.
#[test]
fn entry_of_a_copy_never_replaces_a_newer_registration() {
    let mut tracker = tracker();
    tracker.put(version(6), registration("a", State::Draining, 4));
    let mut restarted = endpoint("b");
    restarted.life.born = Some(20);
    tracker.put(version(7), restarted);
    tracker.replace_all(later(3), vec![endpoint("a"), endpoint("b")], at(1.0));
    let endpoints = tracker.snapshot().endpoints;
    assert_eq!(endpoints[0].state, State::Draining);
    assert_eq!(endpoints[1].life.born, Some(20));
}

/// The entry of a copy would bring an endpoint back that had left.
#[test]
fn endpoint_that_left_before_the_return_is_not_brought_back() {
    let cases = [
        (
            "the entry of the copy",
            registration("a", State::Ready, 1),
            false,
        ),
        (
            "a later registration",
            registration("a", State::Ready, 5),
            true,
        ),
        ("a later start", restarted("a"), true),
    ];
    for (name, entry, is_back) in cases {
        let mut tracker = tracker();
        tracker.put(version(6), registration("a", State::Draining, 4));
        tracker.remove(version(7), "a", at(1.0));
        tracker.replace_all(later(3), vec![endpoint("b"), entry], at(2.0));
        assert_eq!(ids(&tracker).len(), 1 + usize::from(is_back), "{name}");
        assert!(tracker.shareable().is_some());
    }
}

fn restarted(id: &str) -> Endpoint {
    let mut endpoint = endpoint(id);
    endpoint.life.born = Some(20);
    endpoint
}

#[test]
fn endpoint_that_left_is_taken_when_it_is_written_after_its_removal() {
    let mut tracker = tracker();
    tracker.remove(version(6), "a", at(1.0));
    tracker.put(version(7), endpoint("a"));
    assert_eq!(ids(&tracker), ["a", "b"]);
    tracker.remove(version(8), "a", at(1.5));
    tracker.replace_all(later(3), vec![endpoint("a"), endpoint("b")], at(2.0));
    assert_eq!(ids(&tracker), ["b"]);
    // The store removes the entry of the copy, and the endpoint registers again.
    tracker.remove(later(4), "a", at(3.0));
    tracker.put(later(5), endpoint("a"));
    assert_eq!(ids(&tracker), ["a", "b"]);
}

/// An endpoint of which the store holds only the entry of the copy would never be used.
#[test]
fn withheld_entry_is_taken_after_a_minute_unless_the_store_removes_it() {
    for removed in [false, true] {
        let mut tracker = tracker();
        tracker.remove(version(6), "a", at(1.0));
        tracker.replace_all(later(3), vec![endpoint("a"), endpoint("b")], at(2.0));
        if removed {
            tracker.replace_all(later(4), vec![endpoint("b")], at(3.0));
        }
        tracker.expire(at(60.9));
        assert_eq!(ids(&tracker), ["b"]);
        assert_eq!(tracker.expire(at(61.0)), !removed);
        assert_eq!(ids(&tracker).len(), 2 - usize::from(removed));
    }
}

/// An endpoint that had left got requests again after the store was away for a minute.
#[test]
fn endpoint_that_left_is_remembered_while_the_store_is_away() {
    let mut tracker = tracker();
    tracker.remove(version(6), "a", at(1.0));
    tracker.mark_unavailable(at(3.0));
    assert!(!tracker.expire(at(90.0)));
    tracker.mark_available(at(90.0));
    tracker.replace_all(later(3), vec![endpoint("a"), endpoint("b")], at(90.0));
    assert_eq!(ids(&tracker), ["b"]);
    assert!(!tracker.expire(at(147.9)));
    assert!(tracker.expire(at(148.0)));
    assert_eq!(ids(&tracker), ["a", "b"]);
}

/// An endpoint that was running got no requests for a minute, because its grace period
/// ended while the store was away again.
#[test]
fn grace_period_does_not_end_while_the_store_is_away_again() {
    for outage in [0.5, 5.0] {
        let mut tracker = tracker();
        tracker.replace_all(later(3), vec![endpoint("b")], at(1.0));
        tracker.mark_unavailable(at(2.8));
        assert!(!tracker.expire(at(2.8 + outage)));
        tracker.mark_available(at(2.8 + outage));
        let copied = vec![endpoint("a"), endpoint("b")];
        tracker.replace_all(Version::new(2, 3), copied, at(2.8 + outage));
        assert_eq!(ids(&tracker), ["a", "b"]);
        assert!(tracker.shareable().is_some());
    }
}

#[test]
fn grace_period_goes_on_after_another_outage() {
    for (outage, end) in [(0.5, 3.5), (5.0, 9.8)] {
        let mut tracker = tracker();
        tracker.replace_all(later(3), vec![endpoint("b")], at(1.0));
        tracker.mark_unavailable(at(2.8));
        tracker.mark_available(at(2.8 + outage));
        assert!(!tracker.expire(at(end - 0.1)));
        assert!(tracker.expire(at(end)));
        assert_eq!(ids(&tracker), ["b"]);
    }
}

/// A process that cannot read the store would use endpoints that have left until it can.
#[test]
fn grace_period_of_a_list_of_another_process_ends_without_the_store() {
    for knew_era in [false, true] {
        let mut tracker = tracker();
        if knew_era {
            tracker.replace_all(later(3), vec![endpoint("b")], at(1.0));
        }
        tracker.mark_unavailable(at(2.0));
        assert!(!tracker.expire(at(9.9)));
        assert!(tracker.adopt(Snapshot::new(later(4), vec![endpoint("b")]), at(10.0)));
        assert!(!tracker.expire(at(11.9)));
        assert!(tracker.expire(at(12.0)));
        assert_eq!(ids(&tracker), ["b"]);
    }
}

/// A withheld entry was forgotten for good when the list of another process arrived that
/// withheld it too.
#[test]
fn withheld_entry_is_passed_on_to_other_processes() {
    let mut trackers = [tracker(), tracker()];
    for tracker in &mut trackers {
        tracker.remove(version(6), "a", at(1.0));
        tracker.replace_all(later(3), vec![endpoint("a"), endpoint("b")], at(2.0));
    }
    let [mut one, mut other] = trackers;
    one.put(later(4), endpoint("c"));
    let list = one.shareable().expect("the list is complete");
    assert!(other.adopt(list, at(3.0)));
    for tracker in [&mut one, &mut other] {
        assert_eq!(ids(tracker), ["b", "c"]);
        assert!(tracker.expire(at(61.0)));
        assert_eq!(ids(tracker), ["a", "b", "c"]);
    }
}

/// The withheld entry of a copy was used after it had been overwritten with one that
/// names no endpoint.
#[test]
fn withheld_entry_that_is_discarded_is_not_taken() {
    let mut tracker = tracker();
    tracker.remove(version(6), "a", at(1.0));
    tracker.replace_all(later(3), vec![endpoint("a"), endpoint("b")], at(2.0));
    tracker.discard(later(4), "a");
    assert!(!tracker.expire(at(61.0)));
    assert_eq!(ids(&tracker), ["b"]);
}

/// A process that cannot read the store replaced its list by that of another process,
/// which may have started after the endpoint left.
#[test]
fn list_of_another_process_is_merged_like_one_of_the_store() {
    let mut tracker = tracker();
    tracker.remove(version(6), "b", at(1.0));
    tracker.put(version(7), registration("a", State::Draining, 4));
    tracker.put(version(8), endpoint("c"));
    let copied = Snapshot::new(later(3), vec![endpoint("a"), endpoint("b")]);
    assert!(tracker.adopt(copied, at(2.0)));
    assert_eq!(ids(&tracker), ["a", "c"]);
    assert_eq!(tracker.snapshot().endpoints[0].state, State::Draining);
    assert!(tracker.expire(at(4.0)));
    assert_eq!(ids(&tracker), ["a"]);
}

/// Gateways from before the era was known send none.
#[test]
fn list_without_an_era_is_of_the_first() {
    let list: Snapshot =
        serde_json::from_str(r#"{"revision":7,"endpoints":[]}"#).expect("the list is valid");
    assert_eq!(list.version, version(7));
    let text = serde_json::to_string(&Snapshot::new(later(3), Vec::new()));
    assert_eq!(
        text.expect("the list is encoded"),
        r#"{"era":1,"revision":3,"endpoints":[]}"#
    );
}

fn evacuated(tracker: &evacuation::Tracker) -> Vec<String> {
    let in_force = tracker.in_force();
    in_force.expect("a list is known").data_centres
}

fn evacuations(version: Version, names: &[&str]) -> Evacuation {
    Evacuation::new(version, names.iter().map(|&name| name.to_owned()).collect())
}

/// An evacuation of a store that counted below what the process held was ignored.
#[test]
fn evacuation_of_a_later_era_is_taken_whatever_its_revision() {
    let mut tracker = evacuation::Tracker::default();
    assert!(tracker.in_force().is_none());
    assert!(tracker.adopt(evacuations(version(9), &[]), at(0.0)));
    assert!(tracker.adopt(evacuations(later(3), &["x"]), at(1.0)));
    assert!(!tracker.adopt(evacuations(version(12), &[]), at(1.0)));
    assert!(!tracker.adopt(evacuations(later(3), &[]), at(1.0)));
    assert_eq!(evacuated(&tracker), ["x"]);
    assert!(tracker.adopt(evacuations(later(4), &[]), at(1.0)));
    assert!(evacuated(&tracker).is_empty());
}

/// Work went to an evacuated data centre until the operator had named it again.
#[test]
fn evacuation_that_a_copy_lacks_is_held_for_the_grace_period() {
    for written_again in [false, true] {
        let mut tracker = evacuation::Tracker::default();
        tracker.adopt(evacuations(version(9), &["x", "y"]), at(0.0));
        tracker.adopt(evacuations(later(3), &["y"]), at(1.0));
        assert_eq!(evacuated(&tracker), ["x", "y"]);
        let current = tracker.current().expect("a list is known");
        assert_eq!(current.data_centres, ["y"]);
        if written_again {
            tracker.adopt(evacuations(later(4), &["x", "y"]), at(2.0));
        }
        assert!(!tracker.expire(at(2.9)));
        assert_eq!(evacuated(&tracker), ["x", "y"]);
        assert_eq!(tracker.expire(at(3.0)), !written_again);
        assert_eq!(evacuated(&tracker).len(), 1 + usize::from(written_again));
    }
}

#[test]
fn evacuation_that_is_taken_back_in_the_grace_period_ends_at_once() {
    let mut tracker = evacuation::Tracker::default();
    tracker.adopt(evacuations(version(9), &["x"]), at(0.0));
    tracker.adopt(evacuations(later(3), &["x"]), at(1.0));
    tracker.adopt(evacuations(later(4), &[]), at(1.5));
    assert!(evacuated(&tracker).is_empty());
}

/// The second copy may lack what was held after the first return.
#[test]
fn evacuation_is_held_across_two_returns() {
    let mut tracker = evacuation::Tracker::default();
    tracker.adopt(evacuations(version(9), &["x"]), at(0.0));
    tracker.adopt(evacuations(later(3), &[]), at(1.0));
    tracker.adopt(evacuations(Version::new(2, 3), &[]), at(2.5));
    tracker.expire(at(3.5));
    assert_eq!(evacuated(&tracker), ["x"]);
    assert!(tracker.expire(at(4.5)));
    assert!(evacuated(&tracker).is_empty());
}

/// Work went to an evacuated data centre that the operator could not name again, because
/// the store was away once more.
#[test]
fn evacuation_is_held_while_the_store_is_away_again() {
    for returns in [false, true] {
        let mut tracker = evacuation::Tracker::default();
        tracker.adopt(evacuations(version(9), &["x"]), at(0.0));
        tracker.adopt(evacuations(later(3), &[]), at(1.0));
        tracker.mark_unavailable(at(2.8));
        assert!(!tracker.expire(at(9.0)));
        tracker.mark_available(at(9.0));
        if returns {
            tracker.adopt(evacuations(Version::new(2, 3), &[]), at(9.0));
        }
        assert!(!tracker.expire(at(10.9)));
        assert_eq!(evacuated(&tracker), ["x"]);
        assert!(tracker.expire(at(11.0)));
        assert!(evacuated(&tracker).is_empty());
    }
}

/// A process that cannot read the store would hold an evacuation until it can.
#[test]
fn evacuation_held_by_a_list_of_another_process_ends_without_the_store() {
    let mut tracker = evacuation::Tracker::default();
    tracker.adopt(evacuations(version(9), &["x"]), at(0.0));
    tracker.mark_unavailable(at(1.0));
    tracker.adopt(evacuations(later(3), &[]), at(10.0));
    assert!(!tracker.expire(at(11.9)));
    assert!(tracker.expire(at(12.0)));
}

/// Returns an endpoint in a state.
fn changed(id: &str, sequence: u64) -> Endpoint {
    Endpoint {
        sequence,
        ..endpoint(id)
    }
}

#[test]
fn changes_bring_a_tracker_of_an_older_version_to_the_same_list() {
    let mut ahead = tracker();
    let mut behind = ahead.clone();
    let held = behind.version();
    ahead.put(version(20), endpoint("c"));
    ahead.put(version(21), changed("b", 5));
    ahead.remove(version(22), "a", at(1.0));
    let changes = ahead.changes_since(held).expect("the changes are known");
    assert_eq!(changes.removed, ["a"]);
    assert_eq!(changes.put.len(), 2);
    assert!(behind.apply(changes.clone(), at(1.0)));
    assert_eq!(behind.snapshot(), ahead.snapshot());
    assert!(!behind.apply(changes, at(1.0)), "they are not newer");
    // What a list changes is known like what the store told.
    let mut third = tracker();
    assert!(third.adopt(ahead.snapshot(), at(1.0)));
    let changes = third.changes_since(held).expect("the changes are known");
    assert_eq!((changes.removed.len(), changes.put.len()), (1, 2));
}

#[test]
fn changes_are_not_passed_on_where_they_are_not_known() {
    let mut tracker = tracker();
    let held = tracker.version();
    assert_eq!(tracker.changes_since(Version::default()), None, "too old");
    for revision in 20..1_100 {
        tracker.put(version(revision), changed("a", revision));
    }
    assert_eq!(tracker.changes_since(held), None, "too many");
    assert!(tracker.changes_since(version(1_000)).is_some());
    assert!(tracker.replace_all(later(3), vec![endpoint("a")], at(1.0)));
    assert_eq!(tracker.changes_since(version(1_000)), None, "another era");
}

#[test]
fn changes_that_begin_after_the_current_version_are_ignored() {
    let mut ahead = tracker();
    let mut behind = ahead.clone();
    ahead.put(version(20), endpoint("c"));
    let held = ahead.version();
    ahead.put(version(21), endpoint("d"));
    let changes = ahead.changes_since(held).expect("the changes are known");
    assert!(!behind.apply(changes, at(1.0)));
    assert_eq!(ids(&behind), ["a", "b"]);
}
