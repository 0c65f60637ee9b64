//! Tests of the check of a configuration and of the comparison of two versions.

use cicadacrank_core::config::{
    Config, Key, Limits, Repeat, Route, Service, Stage, Target, Team, Worker,
    check::{Severity, check},
    diff::changes,
};
use std::time::Duration;

fn service(name: &str, worker: Option<Worker>) -> Service {
    Service {
        name: name.to_owned(),
        health_path: String::new(),
        connections: 10,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine: None,
        worker,
    }
}

fn sound() -> Config {
    let worker = Worker {
        slots: 1,
        queue: 2,
        batch: 4,
        call_time: Duration::from_millis(200),
        piece_time: Duration::from_millis(10),
        room_bytes: 1_000,
        result_life: Duration::from_secs(4),
    };
    let stage = |after| Stage {
        service: "worker".to_owned(),
        after,
        result_bytes: 100,
    };
    let route = Route {
        name: "drafts".to_owned(),
        host: "tea.example".to_owned(),
        prefix: "/a/".to_owned(),
        repeat: Repeat::ResumableStream,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        event_gap: Some(Duration::from_millis(300)),
        attempts: 2,
        rank: 0,
        targets: vec![Target {
            service: "llm".to_owned(),
            weight: 1,
        }],
        stages: vec![stage(vec![]), stage(vec![0])],
        anonymous: false,
        prompt_parts: true,
    };
    Config::new(Config {
        version: 7,
        routes: vec![route],
        services: vec![service("llm", None), service("worker", Some(worker))],
        teams: vec![Team {
            name: "team".to_owned(),
            rank: None,
        }],
        keys: vec![Key {
            secret: "secret".to_owned(),
            team: 0,
        }],
        limits: Limits::default(),
    })
}

#[test]
fn check_of_a_sound_configuration_finds_nothing() {
    assert_eq!(check(&sound()), []);
}

#[test]
fn check_finds_what_makes_requests_fail() {
    type Change = fn(&mut Config);
    let cases: [(Change, Severity, &str); 14] = [
        (
            |one| one.routes.push(one.routes[0].clone()),
            Severity::Error,
            "never matches",
        ),
        (
            |one| one.routes[0].prefix = "/a".to_owned(),
            Severity::Error,
            "path prefix",
        ),
        (
            |one| one.routes[0].host = "tea:80".to_owned(),
            Severity::Error,
            "no request has the host",
        ),
        (
            |one| one.routes[0].targets[0].weight = 0,
            Severity::Error,
            "no service gets",
        ),
        (
            |one| one.routes[0].stages[0].service = "x".to_owned(),
            Severity::Error,
            "of stage 0 does not exist",
        ),
        (
            |one| one.routes[0].stages[0].service = "llm".to_owned(),
            Severity::Error,
            "runs no stages",
        ),
        (
            |one| one.routes[0].stages[1].result_bytes = 1_001,
            Severity::Error,
            "a result of stage 1",
        ),
        (
            |one| one.routes[0].timeout = Duration::from_millis(400),
            Severity::Error,
            "take 420 ms at least",
        ),
        (
            |one| one.routes[0].objective = Duration::from_millis(400),
            Severity::Warning,
            "take 420 ms at least",
        ),
        (
            |one| one.routes[0].repeat = Repeat::Once,
            Severity::Error,
            "stages are not run",
        ),
        (
            |one| one.teams.push(one.teams[0].clone()),
            Severity::Error,
            "several teams",
        ),
        (
            |one| one.services.push(service("llm", None)),
            Severity::Error,
            "several services",
        ),
        (|one| one.keys.clear(), Severity::Warning, "no keys"),
        (|one| one.limits.body_bytes = 0, Severity::Error, "body"),
    ];
    for (change, severity, message) in cases {
        let mut config = sound();
        change(&mut config);
        let findings = check(&Config::new(config));
        let found = findings
            .iter()
            .any(|one| one.severity == severity && one.message.contains(message));
        assert!(found, "{message}: {findings:?}");
    }
}

/// Gateways could not tell which of the teams sent a request.
#[test]
fn check_finds_a_key_of_two_teams() {
    let mut config = sound();
    config.teams.push(Team {
        name: "other".to_owned(),
        rank: None,
    });
    config.keys.push(Key {
        secret: "secret".to_owned(),
        team: 1,
    });
    let findings = check(&Config::new(config));
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(!findings[0].message.contains("secret"));
}

#[test]
fn changes_tell_what_a_version_does_to_callers() {
    assert_eq!(
        changes(
            &sound(),
            &Config {
                version: 8,
                ..sound()
            }
        ),
        []
    );
    let older = changes(&sound(), &sound());
    assert!(older[0].effect.contains("ignore"), "{older:?}");
    let mut next = Config {
        version: 8,
        ..sound()
    };
    next.routes[0].name = "renamed".to_owned();
    next.keys[0].secret = "other".to_owned();
    next.limits.body_bytes = 1;
    let found: Vec<String> = changes(&sound(), &next)
        .iter()
        .map(ToString::to_string)
        .collect();
    for text in [
        "`renamed`: added",
        "`drafts`: removed",
        "1 keys added, 1 removed",
        "413",
    ] {
        assert!(
            found.iter().any(|one| one.contains(text)),
            "{text}: {found:?}"
        );
    }
    assert!(
        !found.iter().any(|one| one.contains("other")),
        "keys are secret"
    );
}
