//! Tests of what endpoints state about themselves in their answers.

use cicadacrank_core::{
    config::Config,
    directory::{Endpoint, Incarnation, Snapshot, State},
    placement::{Fleet, Key, Locality, Prompt},
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
        slots: 4,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

fn list(fleet: &mut Fleet, lives: &[Incarnation]) {
    let endpoints = lives.iter().cloned().map(endpoint).collect();
    fleet.update(&Snapshot::new(1, endpoints), NOW);
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
    assert!(!fleet.try_grant(&life("a", 1), None, NOW));
    assert_eq!(fleet.usable(SERVICE).count(), 1);
    assert!(fleet.record_leaving(&life("b", 1), NOW));
    assert_eq!(choose(&fleet, NOW), None);
    let until = NOW + HOUR;
    assert_eq!(fleet.sends_until(SERVICE, 0.0, &[], NOW, until), 0);
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
    fleet.update(&Snapshot::new(2, vec![draining]), NOW);
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
