//! Tests for endpoint selection under load and failures.

use cicadacrank_core::{
    config::{Config, Service},
    directory::{Endpoint, Evacuation, Incarnation, Snapshot, State},
    placement::{Choice, Fleet, Key, Load, Locality, Prompt, Report, Software},
    version::Version,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// Time for which a reserve has been kept.
const HELD: Duration = Duration::from_secs(100);

fn endpoint(id: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        life: Incarnation {
            id: id.to_owned(),
            born: Some(1),
        },
        service: "engine".to_owned(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: data_centre.to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

fn config(cold_rate: f64) -> Config {
    Config::new(Config {
        services: vec![Service {
            name: "engine".to_owned(),
            health_path: String::new(),
            connections: 100,
            cold_time: Duration::from_secs(3),
            cold_rate,
            engine: None,
            worker: None,
        }],
        ..Config::default()
    })
}

fn fleet(endpoints: &[Endpoint]) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.update(
        &Snapshot::new(Version::new(0, 1), endpoints.to_vec()),
        Duration::ZERO,
    );
    fleet.set_processes(1, 0);
    fleet
}

fn six() -> Vec<Endpoint> {
    ["a", "b", "c", "d", "e", "f"]
        .map(|id| endpoint(id, "x"))
        .to_vec()
}

fn id(fleet: &Fleet, key: Key) -> String {
    let row = fleet.row(key).expect("the row exists");
    row.endpoint.life.id.clone()
}

fn prompt(shared: u64) -> Prompt {
    Prompt {
        tokens: 6_000,
        shared_tokens: 4_000,
        shared: Some(shared),
    }
}

#[test]
fn choose_plain_spreads_over_idle_endpoints() {
    let mut fleet = fleet(&six());
    let mut chosen = Vec::new();
    for _ in 0..6 {
        let key = fleet
            .choose_plain("engine", &Locality::default(), NOW)
            .expect("an endpoint is available");
        fleet.begin(key, 0, NOW);
        chosen.push(id(&fleet, key));
    }
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c", "d", "e", "f"]);
}

#[test]
fn choose_plain_counts_load_of_other_processes() {
    let mut fleet = fleet(&six()[..2]);
    let load = Load {
        in_flight: 4,
        unread: 0,
    };
    fleet.set_peer_loads("other", vec![("a".to_owned(), load)], NOW);
    let key = fleet
        .choose_plain("engine", &Locality::default(), NOW)
        .expect("an endpoint is available");
    assert_eq!(id(&fleet, key), "b");
}

#[test]
fn failing_endpoint_is_avoided_and_then_tried_again() {
    let mut fleet = fleet(&six()[..2]);
    let choose = |fleet: &Fleet, now| {
        let key = fleet.choose_plain("engine", &Locality::default(), now);
        key.expect("an endpoint is available")
    };
    let bad = choose(&fleet, NOW);
    for _ in 0..3 {
        fleet.record(bad, Report::Failed, NOW);
    }
    let good = choose(&fleet, NOW);
    assert_ne!(good, bad);
    // With the good endpoint at high load, the bad one is selected again after
    // a while.
    for _ in 0..16 {
        fleet.begin(good, 0, NOW);
    }
    assert_eq!(choose(&fleet, NOW + Duration::from_secs(15)), bad);
}

#[test]
fn requests_with_the_same_shared_parts_use_one_engine() {
    let mut fleet = fleet(&six());
    let config = config(0.0);
    let mut preferred = Vec::new();
    for shared in 0..60 {
        let choose = |fleet: &mut Fleet| {
            let choice =
                fleet.choose_engine(&config, "engine", prompt(shared), &Locality::default(), NOW);
            choice.within_share.expect("an endpoint is available").key
        };
        let first = choose(&mut fleet);
        assert_eq!(choose(&mut fleet), first);
        preferred.push(id(&fleet, first));
    }
    preferred.sort();
    preferred.dedup();
    assert_eq!(
        preferred.len(),
        6,
        "every engine is preferred for some parts"
    );
}

#[test]
fn burst_of_long_prompts_spreads_over_engines() {
    let mut fleet = fleet(&six());
    let config = config(0.0);
    let mut chosen = Vec::new();
    for _ in 0..12 {
        let key = fleet
            .choose_engine(&config, "engine", prompt(7), &Locality::default(), NOW)
            .within_share
            .expect("an endpoint is available")
            .key;
        fleet.begin(key, 6_000, NOW);
        chosen.push(key);
    }
    for key in &chosen {
        let here = chosen.iter().filter(|one| *one == key).count();
        assert!(here <= 3, "{here} of 12 prompts at one of 6 engines");
    }
}

#[test]
fn cold_share_sends_no_more_than_its_grant() {
    let mut fleet = fleet(&six()[..1]);
    let config = config(20.0);
    fleet.set_processes(4, 1);
    let mut sent = 0;
    for step in 0..1_000 {
        let now = NOW + Duration::from_millis(step);
        let choice = fleet.choose_engine(&config, "engine", prompt(1), &Locality::default(), now);
        if let Some(Choice { key, .. }) = choice.within_share {
            fleet.begin(key, 0, now);
            sent += 1;
        }
    }
    assert_eq!(sent, 5);
}

#[test]
fn evacuated_and_draining_endpoints_get_no_requests() {
    let mut draining = endpoint("b", "y");
    draining.state = State::Draining;
    let mut fleet = fleet(&[endpoint("a", "x"), draining]);
    assert!(
        fleet
            .choose_plain("engine", &Locality::default(), NOW)
            .is_some()
    );
    fleet.set_evacuation(Evacuation::new(Version::new(0, 2), vec!["x".to_owned()]));
    assert_eq!(
        fleet.choose_plain("engine", &Locality::default(), NOW),
        None
    );
}

#[test]
fn row_of_an_earlier_incarnation_is_removed() {
    let mut fleet = fleet(&[endpoint("a", "x")]);
    let key = fleet
        .choose_plain("engine", &Locality::default(), NOW)
        .expect("an endpoint is available");
    let mut restarted = endpoint("a", "x");
    restarted.life.born = Some(2);
    fleet.update(&Snapshot::new(Version::new(0, 2), vec![restarted]), NOW);
    assert!(fleet.row(key).is_none());
    // A request that ends late at the previous incarnation has no effect.
    fleet.end(key);
    assert_eq!(fleet.usable("engine").count(), 1);
}

#[test]
fn heavy_results_draw_requests_to_their_data_centre() {
    let fleet = fleet(&[endpoint("a", "x"), endpoint("b", "y")]);
    let config = config(0.0);
    let plain = Prompt {
        tokens: 1_000,
        shared_tokens: 0,
        shared: None,
    };
    for (data_centre, expected) in [("x", "a"), ("y", "b")] {
        let results = [(data_centre.to_owned(), 5_000_000)];
        let locality = Locality {
            results: &results,
            ..Locality::default()
        };
        let key = fleet
            .choose_engine(&config, "engine", plain, &locality, NOW)
            .within_share
            .expect("an endpoint is available")
            .key;
        assert_eq!(id(&fleet, key), expected);
    }
}

/// Returns the engine that a request with these shared parts goes to while all engines
/// are idle.
fn home(shared: u64) -> Key {
    fleet(&six())
        .choose_engine(
            &config(0.0),
            "engine",
            prompt(shared),
            &Locality::default(),
            NOW,
        )
        .within_share
        .expect("an endpoint is available")
        .key
}

#[test]
fn prompt_waits_at_its_home_while_the_queue_is_short() {
    let mut fleet = fleet(&six());
    fleet.begin(home(7), 8_000, NOW);
    let choice = fleet
        .choose_engine(&config(0.0), "engine", prompt(7), &Locality::default(), NOW)
        .within_share
        .expect("an endpoint is available");
    assert_eq!((choice.key, choice.source), (home(7), None));
    assert_eq!(choice.unread, 2_000, "the home has read the shared parts");
}

#[test]
fn prompt_away_from_its_home_is_fetched_from_it() {
    let mut fleet = fleet(&six());
    fleet.begin(home(7), 40_000, NOW);
    let choose = |fleet: &mut Fleet| {
        fleet
            .choose_engine(&config(0.0), "engine", prompt(7), &Locality::default(), NOW)
            .within_share
            .expect("an endpoint is available")
    };
    let choice = choose(&mut fleet);
    assert_ne!(choice.key, home(7));
    assert_eq!(choice.source, Some(home(7)));
    // An engine that cannot be reached cannot be fetched from.
    fleet.record(home(7), Report::Unreachable, NOW);
    assert_eq!(choose(&mut fleet).source, None);
}

#[test]
fn answer_after_the_known_queue_does_not_count_as_slow() {
    let mut fleet = fleet(&six());
    let per_token = Duration::from_micros(18);
    for tokens in [2_000, 2_000, 30_000, 30_000, 30_000] {
        let took = per_token * u32::try_from(tokens + 1_500).expect("the number is small");
        fleet.record_answer(home(7), tokens, took, NOW);
    }
    let choice = fleet
        .choose_engine(&config(0.0), "engine", prompt(7), &Locality::default(), NOW)
        .within_share
        .expect("an endpoint is available");
    assert_eq!(choice.key, home(7));
}

/// With more processes than the limit of an engine, some have no share in it.
#[test]
fn home_beyond_the_share_is_proposed_and_granted_within_the_reserve() {
    let mut fleet = fleet(&six());
    fleet.set_processes(42, 41);
    let selection =
        fleet.choose_engine(&config(6.0), "engine", prompt(7), &Locality::default(), NOW);
    let beyond = selection.beyond_share.expect("the home has no share left");
    assert_eq!(beyond.key, home(7));
    let within = selection.within_share;
    assert!(within.is_none_or(|choice| choice.source == Some(home(7))));

    let life = fleet
        .row(home(7))
        .expect("the row exists")
        .endpoint
        .life
        .clone();
    let granted = (0..20)
        .filter(|_| fleet.try_grant(&life, Some(4), HELD, NOW))
        .count();
    assert_eq!(granted, 4);
    assert!(fleet.try_grant(&life, Some(4), HELD, NOW + Duration::from_secs(2)));
}

#[test]
fn reserve_is_closed_while_the_endpoint_is_cold_or_unknown() {
    let mut cold = endpoint("a", "x");
    cold.cold = Duration::from_secs(3);
    let mut fleet = Fleet::default();
    fleet.update(&Snapshot::new(Version::new(0, 1), vec![cold.clone()]), NOW);
    assert!(!fleet.try_grant(&cold.life, Some(4), HELD, NOW));
    assert!(fleet.try_grant(&cold.life, Some(4), HELD, NOW + Duration::from_secs(3)));
    let restarted = Incarnation {
        born: Some(2),
        ..cold.life
    };
    assert!(!fleet.try_grant(&restarted, Some(4), HELD, NOW + Duration::from_secs(3)));
}

/// A registration with a huge cold time ended the task that follows the endpoints.
#[test]
fn update_accepts_an_endpoint_that_stays_cold_for_ever() {
    let cold = Endpoint {
        cold: Duration::MAX,
        ..endpoint("a", "x")
    };
    let mut fleet = Fleet::default();
    for sequence in 1..3 {
        let cold = Endpoint {
            sequence,
            ..cold.clone()
        };
        let endpoints = vec![cold, endpoint("b", "x")];
        fleet.update(&Snapshot::new(Version::new(0, sequence), endpoints), NOW);
    }
    assert!(
        fleet
            .choose_plain("engine", &Locality::default(), NOW)
            .is_some()
    );
}

/// An engine whose process had ended was still held for the version of its entry.
#[test]
fn engine_that_has_ended_goes_on_with_no_stream_until_it_is_known_again() {
    let chosen = |fleet: &Fleet, software| {
        let locality = Locality {
            software,
            ..Locality::default()
        };
        let prompt = Prompt::default();
        let selection = fleet.choose_engine(&config(0.0), "engine", prompt, &locality, NOW);
        selection.within_share.is_some()
    };
    let is_used = |fleet: &Fleet| {
        [Software::Any, Software::Known, Software::Version("v1")].map(|one| chosen(fleet, one))
    };
    let registered = endpoint("a", "x");
    let mut fleet = fleet(std::slice::from_ref(&registered));
    assert_eq!(is_used(&fleet), [true, true, true]);
    assert!(fleet.record_end(&registered.life, true, NOW));
    assert!(!fleet.record_end(&registered.life, false, NOW));
    assert_eq!(is_used(&fleet), [true, false, false]);
    assert_eq!(fleet.ended().collect::<Vec<_>>(), [&registered.life]);

    // The same registration again, and one after the store had dropped it.
    let update = |fleet: &mut Fleet, endpoints: &[Endpoint]| {
        fleet.update(&Snapshot::new(Version::new(0, 2), endpoints.to_vec()), NOW);
    };
    update(&mut fleet, &[]);
    update(&mut fleet, std::slice::from_ref(&registered));
    assert_eq!(is_used(&fleet), [true, false, false]);

    assert!(fleet.record_running(&registered.life, NOW));
    assert_eq!(is_used(&fleet), [true, true, true]);
    assert!(fleet.record_end(&registered.life, false, NOW));
    assert_eq!(fleet.ended().count(), 0, "only what was witnessed is told");

    let mut next = registered;
    next.life.born = Some(2);
    next.version = "v2".to_owned();
    update(&mut fleet, &[next]);
    assert_eq!(is_used(&fleet), [true, true, false]);
    assert!(chosen(&fleet, Software::Version("v2")));
}

/// Without a start time, only another registration tells of the next process.
#[test]
fn engine_without_a_start_time_is_known_again_by_another_registration() {
    let mut registered = endpoint("a", "x");
    registered.life.born = None;
    let mut fleet = fleet(std::slice::from_ref(&registered));
    let version = |fleet: &Fleet, life: &Incarnation| {
        let row = fleet.row_of(life).expect("the engine is listed");
        row.version().map(str::to_owned)
    };
    let life = registered.life.clone();
    fleet.record_end(&life, true, NOW);
    assert_eq!(version(&fleet, &life), None);
    registered.sequence += 1;
    registered.version = "v2".to_owned();
    let listed = Snapshot::new(Version::new(0, 2), vec![registered]);
    fleet.update(&listed, NOW);
    assert_eq!(version(&fleet, &life).as_deref(), Some("v2"));
}

/// A stream went on at an engine of another version than the one that had begun it.
#[test]
fn engine_of_another_version_is_not_selected_to_go_on_with_a_stream() {
    let mut fleet = Fleet::default();
    fleet.set_processes(1, 0);
    let mut newer = endpoint("b", "x");
    newer.version = "v2".to_owned();
    let endpoints = vec![endpoint("a", "x"), newer];
    fleet.update(&Snapshot::new(Version::new(0, 1), endpoints), NOW);
    for (version, expected) in [("v1", Some("a")), ("v2", Some("b")), ("v3", None)] {
        let locality = Locality {
            software: Software::Version(version),
            ..Locality::default()
        };
        for shared in 0..20 {
            let prompt = Prompt {
                tokens: 100,
                shared_tokens: 50,
                shared: Some(shared),
            };
            let selection = fleet.choose_engine(&config(0.0), "engine", prompt, &locality, NOW);
            let chosen = selection.within_share.map(|choice| choice.key);
            let chosen = chosen.and_then(|key| fleet.row(key));
            let id = chosen.map(|row| row.endpoint.life.id.as_str());
            assert_eq!(id, expected, "{version}");
            assert_eq!(selection.beyond_share, None);
        }
        let sends = fleet.sends_until("engine", 0.0, &locality, NOW, NOW);
        assert_eq!(sends > 0, expected.is_some(), "{version}");
    }
}

/// A report named each endpoint anew for all processes; what one process no longer reports
/// counts no more.
#[test]
fn set_peer_loads_replaces_the_report_of_the_same_process() {
    let mut fleet = fleet(&six()[..2]);
    let load = |id: &str, in_flight| {
        let load = Load {
            in_flight,
            unread: 10,
        };
        (id.to_owned(), load)
    };
    let in_flight = |fleet: &Fleet, id: &str| {
        let mut rows = fleet.usable("engine");
        let row = rows.find(|(_, row)| row.endpoint.life.id == id);
        row.expect("the endpoint is listed").1.in_flight()
    };
    fleet.set_peer_loads("one", vec![load("a", 4), load("b", 1)], NOW);
    fleet.set_peer_loads("two", vec![load("a", 2), load("unlisted", 7)], NOW);
    assert_eq!((in_flight(&fleet, "a"), in_flight(&fleet, "b")), (6, 1));
    let later = NOW + Duration::from_secs(2);
    fleet.set_peer_loads("one", vec![load("a", 1)], later);
    assert_eq!((in_flight(&fleet, "a"), in_flight(&fleet, "b")), (3, 0));
    let listed = [endpoint("a", "x"), endpoint("unlisted", "x")];
    let snapshot = Snapshot::new(Version::new(0, 2), listed.to_vec());
    fleet.update(&snapshot, later);
    assert_eq!(in_flight(&fleet, "unlisted"), 7, "it was reported before");
    fleet.expire_peer_loads(NOW + Duration::from_secs(3));
    let left = (in_flight(&fleet, "a"), in_flight(&fleet, "unlisted"));
    assert_eq!(left, (1, 0), "a report of three seconds ago is too old");
}

#[test]
fn endpoint_has_ended_if_its_end_or_a_later_incarnation_is_known() {
    let registered = endpoint("a", "x");
    let life = registered.life.clone();
    let mut fleet = fleet(std::slice::from_ref(&registered));
    assert!(!fleet.has_ended(&life));
    fleet.record_end(&life, false, NOW);
    assert!(fleet.has_ended(&life));
    fleet.record_running(&life, NOW);
    assert!(!fleet.has_ended(&life));
    let mut next = registered;
    next.life.born = life.born.map(|born| born + 1);
    let later = next.life.clone();
    fleet.update(&Snapshot::new(Version::new(0, 2), vec![next]), NOW);
    assert!(fleet.has_ended(&life));
    assert!(!fleet.has_ended(&later));
    fleet.update(&Snapshot::new(Version::new(0, 3), vec![]), NOW);
    assert!(!fleet.has_ended(&later), "its entry may have lapsed");
}
