//! Tests of what a fleet knows of the speed and load of endpoints, and of its age.

use cicadacrank_core::{
    directory::{Endpoint, Incarnation, Snapshot, State},
    placement::{Fleet, Key, Load, Locality, Occupancy},
    version::Version,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn life(id: &str) -> Incarnation {
    Incarnation {
        id: id.to_owned(),
        born: Some(1),
    }
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        life: life(id),
        service: "engine".to_owned(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: "x".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

/// Returns a fleet with the endpoints `a` and `b`, and their keys.
fn fleet() -> (Fleet, [Key; 2]) {
    let mut fleet = Fleet::default();
    let endpoints = vec![endpoint("a"), endpoint("b")];
    fleet.update(
        &Snapshot::new(Version::new(0, 1), endpoints),
        Duration::ZERO,
    );
    fleet.set_processes(1, 0);
    let key = |id| {
        let mut usable = fleet.usable("engine");
        let found = usable.find(|(_, row)| row.endpoint.life == life(id));
        found.expect("the endpoint is listed").0
    };
    let keys = [key("a"), key("b")];
    (fleet, keys)
}

/// Returns the endpoint that a fleet selects for a plain request.
fn choose(fleet: &Fleet, now: Duration) -> &str {
    let key = fleet.choose_plain("engine", &Locality::default(), now);
    let row = key.and_then(|key| fleet.row(key));
    let row = row.expect("an endpoint is available");
    row.endpoint.life.id.as_str()
}

#[test]
fn faster_endpoint_is_selected_while_its_speed_is_known() {
    let (mut fleet, keys) = fleet();
    for _ in 0..8 {
        fleet.record_answer(keys[0], 0, Duration::from_millis(170), NOW);
        fleet.record_answer(keys[1], 0, Duration::from_millis(70), NOW);
    }
    for _ in 0..4 {
        assert_eq!(choose(&fleet, NOW), "b");
        fleet.begin(keys[1], 0, NOW);
    }
    // With an hour-old speed, the load decides.
    assert_eq!(choose(&fleet, NOW + Duration::from_hours(1)), "a");
}

#[test]
fn endpoint_that_states_slow_work_is_avoided_for_a_moment() {
    let (mut fleet, keys) = fleet();
    let occupancy = Occupancy {
        running: 1,
        waiting: 0,
        slots: 8,
        pace: Some(2.0),
    };
    fleet.record_occupancy(&life("a"), occupancy, NOW);
    assert_eq!(choose(&fleet, NOW), "b");
    // What it stated a while ago counts less than one request.
    fleet.begin(keys[1], 0, NOW);
    assert_eq!(choose(&fleet, NOW), "b");
    assert_eq!(choose(&fleet, NOW + Duration::from_secs(2)), "a");
}

#[test]
fn reported_load_counts_less_with_its_age() {
    let (mut fleet, keys) = fleet();
    fleet.record_stay(keys[0], Duration::from_millis(100));
    let load = Load {
        in_flight: 8,
        unread: 0,
    };
    fleet.set_peer_loads("other", vec![("a".to_owned(), load)], NOW);
    let fresh = fleet.knowledge("engine", NOW);
    assert!(fresh.requests < 0.1, "{fresh:?}");
    assert_eq!(choose(&fleet, NOW), "b");
    // Those that have ended since were followed by as many, anywhere.
    let late = fleet.knowledge("engine", NOW + Duration::from_secs(2));
    assert!(late.requests > 7.9, "{late:?}");
}
