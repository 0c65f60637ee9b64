//! What another version of a configuration changes.

use super::{Config, Route, Service, check::Place};
use serde::Serialize;
use std::fmt;

/// A difference between two versions, with what it does to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Where it is.
    pub place: Place,
    /// What differs.
    pub what: String,
    /// What it does to callers.
    pub effect: String,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.place, self.what, self.effect)
    }
}

/// Returns what the version `to` changes, compared with the version `from`.
///
/// Keys are counted and never shown.
#[must_use]
pub fn changes(from: &Config, to: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    if to.version <= from.version {
        changes.push(Change {
            place: Place::Configuration,
            what: format!("version {} after {}", to.version, from.version),
            effect: "gateways ignore it, since versions must increase".to_owned(),
        });
    }
    compare(
        &from.routes,
        &to.routes,
        |route| &route.name,
        |name| Place::Route(name.to_owned()),
        [
            "its requests are served",
            "its requests are answered with 404",
        ],
        route_fields,
        &mut changes,
    );
    compare(
        &from.services,
        &to.services,
        |service| &service.name,
        |name| Place::Service(name.to_owned()),
        ["routes may use it", "no route may use it"],
        service_fields,
        &mut changes,
    );
    compare_teams(from, to, &mut changes);
    let limits = [
        (
            "head limit in bytes",
            from.limits.head_bytes,
            to.limits.head_bytes,
            "larger heads are answered with 431",
        ),
        (
            "body limit in bytes",
            from.limits.body_bytes,
            to.limits.body_bytes,
            "larger bodies are answered with 413",
        ),
    ];
    for (name, before, after, effect) in limits.into_iter().filter(|one| one.1 != one.2) {
        changes.push(Change {
            place: Place::Limits,
            what: format!("{name}: {before} to {after}"),
            effect: effect.to_owned(),
        });
    }
    if from.limits.idle != to.limits.idle {
        changes.push(Change {
            place: Place::Limits,
            what: format!(
                "idle timeout: {:?} to {:?}",
                from.limits.idle, to.limits.idle
            ),
            effect: "connections that are idle for longer are closed".to_owned(),
        });
    }
    changes
}

/// A field of an entry as text, with what a change of it does to callers.
struct Field {
    name: &'static str,
    value: String,
    effect: &'static str,
}

fn field(name: &'static str, value: impl fmt::Debug, effect: &'static str) -> Field {
    Field {
        name,
        value: format!("{value:?}"),
        effect,
    }
}

fn route_fields(route: &Route) -> Vec<Field> {
    let targets = route.targets.iter();
    let targets = targets.map(|target| format!("{}={}", target.service, target.weight));
    let stages = route.stages.iter();
    let stages = stages.map(|stage| format!("{} after {:?}", stage.service, stage.after));
    vec![
        field(
            "host",
            &route.host,
            "requests to the old host are answered with 404",
        ),
        field(
            "path prefix",
            &route.prefix,
            "requests to the old paths are answered with 404",
        ),
        field(
            "services by weight",
            targets.collect::<Vec<_>>(),
            "new requests go to other services",
        ),
        field(
            "stages",
            stages.collect::<Vec<_>>(),
            "new requests run other stages",
        ),
        field(
            "repetition",
            route.repeat,
            "requests may be repeated more or less often",
        ),
        field(
            "timeout",
            route.timeout,
            "callers wait for another time at most",
        ),
        field(
            "objective",
            route.objective,
            "answers count as late after another time",
        ),
        field(
            "time between events",
            route.event_gap,
            "streams count as late after another pause",
        ),
        field(
            "attempts",
            route.attempts,
            "requests are sent to more or fewer endpoints",
        ),
        field(
            "rank",
            route.rank,
            "requests go before or behind others when room is short",
        ),
        field(
            "without a key",
            route.anonymous,
            "requests need a key, or none any more",
        ),
        field(
            "prompt parts",
            route.prompt_parts,
            "requests are sent to engines by the parts of their prompts, or not",
        ),
    ]
}

fn service_fields(service: &Service) -> Vec<Field> {
    vec![
        field(
            "connections",
            service.connections,
            "endpoints are sent more or fewer requests at once",
        ),
        field(
            "cold time",
            service.cold_time,
            "endpoints that start are spared for another time",
        ),
        field(
            "cold rate",
            service.cold_rate,
            "endpoints that start get more or fewer requests",
        ),
        field(
            "engine",
            service.engine,
            "engines are taken to have other room",
        ),
        field(
            "stage worker",
            service.worker,
            "calls of stages are formed otherwise",
        ),
    ]
}

/// Adds the differences between two lists of named entries. `effects` are those of an entry
/// that is added, and of one that is removed.
fn compare<T>(
    from: &[T],
    to: &[T],
    name: impl Fn(&T) -> &str,
    place: impl Fn(&str) -> Place,
    effects: [&str; 2],
    fields: impl Fn(&T) -> Vec<Field>,
    changes: &mut Vec<Change>,
) {
    let mut add = |entry: &T, what: String, effect: &str| {
        changes.push(Change {
            place: place(name(entry)),
            what,
            effect: effect.to_owned(),
        });
    };
    for entry in to {
        let Some(before) = from.iter().find(|one| name(one) == name(entry)) else {
            add(entry, "added".to_owned(), effects[0]);
            continue;
        };
        for (before, after) in fields(before).into_iter().zip(fields(entry)) {
            if before.value != after.value {
                let what = format!("{}: {} to {}", after.name, before.value, after.value);
                add(entry, what, after.effect);
            }
        }
    }
    for entry in from {
        if !to.iter().any(|one| name(one) == name(entry)) {
            add(entry, "removed".to_owned(), effects[1]);
        }
    }
}

fn compare_teams(from: &Config, to: &Config, changes: &mut Vec<Change>) {
    let secrets = |config: &Config, team: &str| -> Vec<String> {
        let keys = config.keys.iter();
        let keys = keys.filter(|key| config.teams[key.team].name == team);
        keys.map(|key| key.secret.clone()).collect()
    };
    let mut names: Vec<&str> = from
        .teams
        .iter()
        .chain(&to.teams)
        .map(|team| team.name.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let (before, after) = (secrets(from, name), secrets(to, name));
        let lost = before.iter().filter(|key| !after.contains(key)).count();
        let gained = after.iter().filter(|key| !before.contains(key)).count();
        if lost + gained > 0 {
            let effect = if lost > 0 {
                "requests with the removed keys are answered with 401"
            } else {
                "requests with the new keys are served"
            };
            changes.push(Change {
                place: Place::Team(name.to_owned()),
                what: format!("{gained} keys added, {lost} removed"),
                effect: effect.to_owned(),
            });
        }
        let rank = |config: &Config| {
            let team = config.teams.iter().find(|team| team.name == name);
            team.and_then(|team| team.rank)
        };
        if rank(from) != rank(to) {
            changes.push(Change {
                place: Place::Team(name.to_owned()),
                what: format!("rank: {:?} to {:?}", rank(from), rank(to)),
                effect: "its requests go before or behind others when room is short".to_owned(),
            });
        }
    }
}
