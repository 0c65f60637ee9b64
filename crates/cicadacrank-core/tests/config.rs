//! Tests for look-ups in the configuration.

use cicadacrank_core::config::{Config, Key, Rejection, Repeat, Route, Stage, Target, Team};
use std::time::Duration;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        event_gap: None,
        attempts: 1,
        rank: 0,
        targets: vec![Target {
            service: "desk".to_owned(),
            weight: 1,
        }],
        stages: Vec::new(),
        anonymous: false,
        prompt_parts: false,
    }
}

fn config() -> Config {
    Config::new(Config {
        version: 1,
        routes: vec![
            route("short", "/a/"),
            route("long", "/a/b/"),
            Route {
                anonymous: true,
                ..route("open", "/open/")
            },
        ],
        teams: vec![Team {
            name: "team".to_owned(),
            rank: None,
        }],
        keys: vec![Key {
            secret: "secret".to_owned(),
            team: 0,
        }],
        ..Config::default()
    })
}

#[test]
fn route_takes_the_longest_prefix() {
    let config = config();
    for (path, expected) in [
        ("/a/x", Some("short")),
        ("/a/b/x", Some("long")),
        ("/a/bx", Some("short")),
        ("/a", None),
        ("/b/", None),
    ] {
        let found = config.route("host.example", path);
        assert_eq!(found.map(|route| route.name.as_str()), expected, "{path}");
    }
    assert!(config.route("other.example", "/a/x").is_none());
}

#[test]
fn admit_requires_keys_unless_the_route_is_anonymous() {
    let config = config();
    let admit = |path, key| config.admit("host.example", path, key);
    assert_eq!(admit("/a/", None).err(), Some(Rejection::UnknownKey));
    assert_eq!(
        admit("/a/", Some("stale")).err(),
        Some(Rejection::UnknownKey)
    );
    assert_eq!(
        admit("/none/", Some("secret")).err(),
        Some(Rejection::UnknownRoute)
    );
    let (_, team) = admit("/a/", Some("secret")).expect("the key is valid");
    assert_eq!(team.map(|team| team.name.as_str()), Some("team"));
    assert!(admit("/open/", None).is_ok());
}

#[test]
fn target_follows_the_weights() {
    let target = |service: &str, weight| Target {
        service: service.to_owned(),
        weight,
    };
    let route = Route {
        targets: vec![target("most", 90), target("few", 10)],
        ..route("split", "/")
    };
    let few = (0..1_000).filter(|draw| route.target(*draw) == Some("few"));
    assert_eq!(few.count(), 100);
    let none = Route {
        targets: vec![target("off", 0)],
        ..route
    };
    assert_eq!(none.target(7), None);
}

#[test]
fn last_stages_have_no_dependents() {
    let stage = |after: &[usize]| Stage {
        service: "encode".to_owned(),
        after: after.to_vec(),
        result_bytes: 0,
    };
    let route = Route {
        stages: vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])],
        ..route("staged", "/")
    };
    assert_eq!(route.last_stages().collect::<Vec<_>>(), [0, 3]);
}

#[test]
fn resumable_services_are_the_targets_of_resumable_streams() {
    let with = |repeat, services: &[&str]| Route {
        repeat,
        targets: services
            .iter()
            .map(|service| Target {
                service: (*service).to_owned(),
                weight: 1,
            })
            .collect(),
        ..route("any", "/any/")
    };
    let config = Config::new(Config {
        routes: vec![
            with(Repeat::Once, &["desk"]),
            with(Repeat::Idempotent, &["lookup"]),
            with(Repeat::Stream, &["chat"]),
            with(Repeat::ResumableStream, &["llm", "draft"]),
            with(Repeat::ResumableStream, &["llm"]),
        ],
        ..Config::default()
    });
    assert_eq!(config.resumable_services(), ["draft", "llm"]);
}
