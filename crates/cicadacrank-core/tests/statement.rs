//! Tests of what endpoints state about themselves in their answers.

use cicadacrank_core::{
    config::Config,
    directory::{Endpoint, Incarnation, Snapshot, State},
    placement::{Fleet, Key, Locality, Occupancy, Prompt},
    version::Version,
};
use std::time::Duration;

const SERVICE: &str = "desk";

const NOW: Duration = Duration::from_secs(100);

/// Time for which a statement must hold.
const HOUR: Duration = Duration::from_secs(3_600);

fn life(id: &str, born: u64) -> Incarnation {
    Incarnation {
        id: id.to_owned(),
        born: Some(born),
    }
}

fn endpoint(life: Incarnation) -> Endpoint {
    Endpoint {
        life,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        data_centre: "one".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

fn list(fleet: &mut Fleet, lives: &[Incarnation]) {
    let endpoints = lives.iter().cloned().map(endpoint).collect();
    fleet.update(&Snapshot::new(Version::new(0, 1), endpoints), NOW);
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set_processes(1, 0);
    let lives: Vec<Incarnation> = ids.iter().map(|id| life(id, 1)).collect();
    list(&mut fleet, &lives);
    fleet
}

fn choose(fleet: &Fleet, now: Duration) -> Option<Key> {
    fleet.choose_plain(SERVICE, &Locality::default(), now)
}

fn id(fleet: &Fleet, key: Option<Key>) -> Option<&str> {
    let row = fleet.row(key?)?;
    Some(row.endpoint.life.id.as_str())
}

/// Returns the ids of all engines that prompts are sent to or fetched from.
fn engines(fleet: &Fleet) -> Vec<String> {
    let mut ids: Vec<String> = Vec::new();
    for shared in 0..50 {
        let prompt = Prompt {
            tokens: 100,
            shared_tokens: 50,
            shared: Some(shared),
        };
        let locality = Locality::default();
        let chosen = fleet.choose_engine(&Config::default(), SERVICE, prompt, &locality, NOW);
        let chosen = chosen.within_share.into_iter().chain(chosen.beyond_share);
        let keys = chosen.flat_map(|choice| std::iter::once(choice.key).chain(choice.source));
        ids.extend(keys.filter_map(|key| id(fleet, Some(key)).map(str::to_owned)));
    }
    ids.sort();
    ids.dedup();
    ids
}

/// An endpoint that stated that it leaves was chosen until the directory said so.
#[test]
fn record_leaving_takes_an_endpoint_out_of_every_choice() {
    let mut fleet = fleet(&["a", "b"]);
    assert_eq!(engines(&fleet), ["a", "b"]);
    assert!(fleet.record_leaving(&life("a", 1), NOW));
    assert!(!fleet.record_leaving(&life("a", 1), NOW), "known");
    assert_eq!(engines(&fleet), ["b"]);
    let locality = Locality::default();
    let beyond_share = fleet.choose_plain_beyond_share(SERVICE, &locality, NOW);
    assert_eq!(id(&fleet, beyond_share), Some("b"));
    assert_eq!(id(&fleet, choose(&fleet, NOW + HOUR)), Some("b"));
    assert!(!fleet.try_grant(&life("a", 1), None, HOUR, NOW));
    assert_eq!(fleet.usable(SERVICE).count(), 1);
    assert!(fleet.record_leaving(&life("b", 1), NOW));
    assert_eq!(choose(&fleet, NOW), None);
    let until = NOW + HOUR;
    assert_eq!(
        fleet.sends_until(SERVICE, 0.0, &Locality::default(), NOW, until),
        0
    );
}

/// An endpoint that left the directory was used again when an older list came back.
#[test]
fn record_leaving_holds_until_another_incarnation_registers() {
    let mut fleet = fleet(&["a"]);
    fleet.record_leaving(&life("a", 1), NOW);
    list(&mut fleet, &[]);
    list(&mut fleet, &[life("a", 1)]);
    assert_eq!(choose(&fleet, NOW), None, "listed again");
    list(&mut fleet, &[life("a", 2)]);
    assert_eq!(id(&fleet, choose(&fleet, NOW)), Some("a"), "started again");
    list(&mut fleet, &[life("a", 1)]);
    assert_eq!(choose(&fleet, NOW), None, "the old list again");
}

/// A statement from another gateway about an endpoint that is not listed yet was lost.
#[test]
fn record_leaving_holds_for_an_endpoint_that_is_listed_later() {
    let mut fleet = fleet(&[]);
    assert!(fleet.record_leaving(&life("a", 1), NOW));
    list(&mut fleet, &[life("a", 1), life("b", 1)]);
    assert_eq!(engines(&fleet), ["b"]);
}

#[test]
fn requests_in_flight_at_a_leaving_endpoint_are_counted_to_their_end() {
    let mut fleet = fleet(&["a"]);
    let key = choose(&fleet, NOW).expect("an endpoint");
    fleet.begin(key, 0, NOW);
    fleet.record_leaving(&life("a", 1), NOW);
    assert_eq!(fleet.own_loads().count(), 1);
    fleet.end(key);
    assert_eq!(fleet.own_loads().count(), 0);
}

#[test]
fn leaving_names_the_endpoints_that_are_listed_as_ready() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.record_leaving(&life("a", 1), NOW);
    fleet.record_leaving(&life("z", 1), NOW);
    let leaving: Vec<&Incarnation> = fleet.leaving().collect();
    assert_eq!(leaving, [&life("a", 1)]);
    let mut draining = endpoint(life("a", 1));
    draining.state = State::Draining;
    fleet.update(&Snapshot::new(Version::new(0, 2), vec![draining]), NOW);
    assert_eq!(fleet.leaving().count(), 0);
}

#[test]
fn statements_are_bounded_and_the_newest_are_kept() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.record_leaving(&life("a", 1), NOW);
    for number in 0..2_000 {
        let at = NOW + Duration::from_secs(number + 1);
        fleet.record_leaving(&life(&format!("other-{number}"), 1), at);
    }
    fleet.record_leaving(&life("b", 1), NOW + HOUR);
    list(&mut fleet, &[]);
    list(&mut fleet, &[life("a", 1), life("b", 1)]);
    assert_eq!(engines(&fleet), ["a"], "the oldest is forgotten");
}

const PAUSE: Duration = Duration::from_secs(5);

/// An endpoint that wanted no requests for some time was chosen all the same.
#[test]
fn record_pause_takes_an_endpoint_out_of_every_choice_until_its_end() {
    let mut fleet = fleet(&["a", "b"]);
    let end = NOW + PAUSE;
    assert_eq!(fleet.record_pause(&life("a", 1), PAUSE, NOW), Some(end));
    assert_eq!(id(&fleet, choose(&fleet, NOW)), Some("b"));
    let locality = Locality::default();
    let beyond_share = fleet.choose_plain_beyond_share(SERVICE, &locality, NOW);
    assert_eq!(id(&fleet, beyond_share), Some("b"));
    assert_eq!(fleet.paused_until(SERVICE, NOW), None, "one is not paused");
    fleet.record_pause(&life("b", 1), PAUSE * 2, NOW);
    assert_eq!(choose(&fleet, NOW), None);
    assert_eq!(engines(&fleet), Vec::<String>::new());
    assert_eq!(fleet.paused_until(SERVICE, NOW), Some(end));
    assert_eq!(fleet.paused_until("other", NOW), None);
    assert_eq!(choose(&fleet, end - Duration::from_millis(1)), None);
    assert_eq!(id(&fleet, choose(&fleet, end)), Some("a"));
    assert_eq!(fleet.paused_until(SERVICE, end), None);
}

/// A pause is for one process alone: others may be granted requests meanwhile.
#[test]
fn paused_endpoint_is_granted_to_other_processes() {
    let mut fleet = fleet(&["a"]);
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    assert!(fleet.try_grant(&life("a", 1), None, HOUR, NOW));
}

#[test]
fn sends_until_counts_from_the_end_of_a_pause() {
    let mut fleet = fleet(&["a"]);
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    let sends = |until| fleet.sends_until(SERVICE, 1.0, &Locality::default(), NOW, until);
    assert_eq!(sends(NOW + PAUSE - Duration::from_millis(1)), 0);
    assert_eq!(sends(NOW + PAUSE), 1);
    assert_eq!(sends(NOW + PAUSE + Duration::from_millis(1_100)), 2);
}

/// A later answer that asked for less ended a pause.
#[test]
fn record_pause_keeps_the_longest_statement() {
    let mut fleet = fleet(&["a"]);
    let end = NOW + PAUSE;
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    assert_eq!(fleet.record_pause(&life("a", 1), PAUSE / 2, NOW), None);
    assert_eq!(fleet.paused_until(SERVICE, NOW), Some(end));
    let zero = Duration::ZERO;
    assert_eq!(fleet.record_pause(&life("a", 1), zero, end), None);
}

#[test]
fn record_pause_bounds_the_time() {
    let mut fleet = fleet(&["a"]);
    fleet.record_pause(&life("a", 1), Duration::MAX, NOW);
    let until = fleet.paused_until(SERVICE, NOW).expect("paused");
    assert!(until <= NOW + Duration::from_mins(10), "{until:?}");
    assert!(until >= NOW + Duration::from_mins(1), "{until:?}");
}

/// An endpoint that was dropped from the directory and listed again was not paused.
#[test]
fn record_pause_holds_for_its_incarnation_alone() {
    let mut fleet = fleet(&["a"]);
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    list(&mut fleet, &[]);
    list(&mut fleet, &[life("a", 1)]);
    assert_eq!(choose(&fleet, NOW), None, "listed again");
    list(&mut fleet, &[life("a", 2)]);
    assert_eq!(id(&fleet, choose(&fleet, NOW)), Some("a"), "started again");
}

#[test]
fn statements_about_leaving_and_pauses_hold_beside_each_other() {
    let mut fleet = fleet(&["a"]);
    fleet.record_leaving(&life("a", 1), NOW);
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    assert_eq!(choose(&fleet, NOW + PAUSE), None, "still leaving");
    fleet.record_pause(&life("b", 1), PAUSE, NOW);
    assert!(fleet.record_leaving(&life("b", 1), NOW));
}

/// The last endpoint that was not paused got all requests, many more than its slots.
#[test]
fn endpoint_in_place_of_paused_ones_gets_no_more_than_it_can_queue() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    let mut keys = Vec::new();
    while let Some(key) = choose(&fleet, NOW) {
        fleet.begin(key, 0, NOW);
        keys.push(key);
        assert!(keys.len() <= 100, "no bound");
    }
    assert_eq!(keys.len(), 8, "twice its slots");
    fleet.end(keys[0]);
    assert_eq!(choose(&fleet, NOW), Some(keys[0]));
    fleet.begin(keys[0], 0, NOW);
    let after = choose(&fleet, NOW + PAUSE);
    assert_eq!(id(&fleet, after), Some("a"));
}

/// All requests that had waited for the end of a pause were sent at that moment.
#[test]
fn endpoint_whose_pause_has_ended_gets_no_more_than_it_can_queue() {
    let mut fleet = fleet(&["a"]);
    fleet.record_pause(&life("a", 1), PAUSE, NOW);
    let end = NOW + PAUSE;
    let mut count = 0;
    while let Some(key) = choose(&fleet, end) {
        fleet.begin(key, 0, end);
        count += 1;
        assert!(count <= 100, "no bound");
    }
    assert_eq!(count, 8, "twice its slots");
    assert!(choose(&fleet, end + PAUSE).is_some(), "no strain any more");
}

#[test]
fn occupancy_is_the_newest_statement_of_the_incarnation_with_its_age() {
    let mut fleet = fleet(&["a"]);
    let stated = |running| Occupancy {
        running,
        waiting: 0,
        slots: 4,
        pace: Some(1.5),
    };
    let later = NOW + Duration::from_millis(40);
    let occupancy = |fleet: &Fleet| fleet.row_of(&life("a", 1))?.occupancy(later);
    assert_eq!(occupancy(&fleet), None);
    fleet.record_occupancy(&life("a", 1), stated(2), NOW);
    fleet.record_occupancy(&life("a", 2), stated(3), NOW);
    // An answer that has waited longer.
    fleet.record_occupancy(&life("a", 1), stated(1), NOW - Duration::from_millis(1));
    let age = Duration::from_millis(40);
    assert_eq!(occupancy(&fleet), Some((stated(2), age)));
    // The next process doesn't take over what the one before stated.
    list(&mut fleet, &[life("a", 2)]);
    let next = fleet.row_of(&life("a", 2)).expect("the endpoint is listed");
    assert_eq!(next.occupancy(later), None);
}
