//! Checks a configuration before it is sent.
//!
//! The checks use the look-ups of the gateways, so that both agree on what a request meets.

use super::{Config, Repeat, Route, Service, Stage};
use serde::Serialize;
use std::{fmt, time::Duration};

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests fail, or an entry can never take effect.
    Error,
    /// Entries contradict each other, or one has no effect.
    Warning,
}

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Place {
    /// The whole configuration.
    Configuration,
    /// The limits on requests.
    Limits,
    /// The route with this name.
    Route(String),
    /// The service with this name.
    Service(String),
    /// The team with this name.
    Team(String),
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => formatter.write_str("configuration"),
            Self::Limits => formatter.write_str("limits"),
            Self::Route(name) => write!(formatter, "route `{name}`"),
            Self::Service(name) => write!(formatter, "service `{name}`"),
            Self::Team(name) => write!(formatter, "team `{name}`"),
        }
    }
}

/// Something in a configuration that its operators should know before they send it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What is found, and what it does to requests.
    pub message: String,
    /// What to do about it.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let Self {
            place,
            message,
            help,
            ..
        } = self;
        write!(formatter, "{severity}: {place}: {message}\n  help: {help}")
    }
}

/// The findings in one configuration.
struct Report<'a> {
    config: &'a Config,
    findings: Vec<Finding>,
}

/// Returns all findings in a configuration, errors first.
#[must_use]
pub fn check(config: &Config) -> Vec<Finding> {
    let mut report = Report {
        config,
        findings: Vec::new(),
    };
    report.check_limits();
    for route in &config.routes {
        report.check_route(route);
    }
    for service in &config.services {
        report.check_service(service);
    }
    report.check_teams();
    report.findings.sort();
    report.findings.dedup();
    report.findings
}

impl Report<'_> {
    fn error(&mut self, place: Place, message: impl Into<String>, help: &str) {
        self.add(Severity::Error, place, message.into(), help);
    }

    fn warn(&mut self, place: Place, message: impl Into<String>, help: &str) {
        self.add(Severity::Warning, place, message.into(), help);
    }

    fn add(&mut self, severity: Severity, place: Place, message: String, help: &str) {
        self.findings.push(Finding {
            severity,
            place,
            message,
            help: help.to_owned(),
        });
    }

    fn check_limits(&mut self) {
        let limits = self.config.limits;
        for (bytes, name) in [(limits.head_bytes, "head"), (limits.body_bytes, "body")] {
            if bytes == 0 {
                let message = format!("no request may have a {name}: its size limit is 0");
                self.error(Place::Limits, message, "state the limit in bytes");
            }
        }
        if limits.idle.is_zero() {
            let message = "connections may not be idle at all";
            self.warn(
                Place::Limits,
                message,
                "allow some seconds between requests",
            );
        }
        if self.config.routes.is_empty() {
            let message = "there are no routes, so every request is refused";
            self.error(Place::Configuration, message, "add a route");
        }
    }

    fn check_route(&mut self, route: &Route) {
        let place = || Place::Route(route.name.clone());
        let is_prefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        if !is_prefix {
            let message = format!("the path prefix {:?} is not one", route.prefix);
            self.error(place(), message, "begin and end it with a slash");
        }
        if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
            let message = format!("no request has the host {:?}", route.host);
            self.error(place(), message, "name the host alone, without a port");
        }
        // The gateways' own look-up decides between routes of the same prefix.
        match self.config.route(&route.host, &route.prefix) {
            Some(found) if is_prefix && !std::ptr::eq(found, route) => {
                let message = format!(
                    "it never matches, since route `{}` has the same host and path prefix",
                    found.name
                );
                self.error(place(), message, "remove one of them, or change its prefix");
            }
            _ => {}
        }
        self.check_targets(route);
        self.check_times(route);
        self.check_stages(route);
        if route.attempts == 0 {
            let message = "no attempt is allowed; one is made all the same";
            self.warn(place(), message, "allow at least one attempt");
        }
        if route.attempts > 1 && !route.repeat.is_repeatable() {
            let message = format!(
                "of {} attempts, those after the first are made only if an endpoint states that \
                 it did not run the request, since it may run once only",
                route.attempts
            );
            self.warn(
                place(),
                message,
                "allow one attempt, or let the request be repeated",
            );
        }
        if route.event_gap.is_some() && !route.repeat.is_stream() {
            let message = "it limits the time between events, but its answers are no streams";
            self.warn(place(), message, "remove the limit");
        }
    }

    fn check_targets(&mut self, route: &Route) {
        let place = || Place::Route(route.name.clone());
        if route.target(0).is_none() {
            let message = "no service gets its requests, so each is refused";
            self.error(place(), message, "name a service with a weight above 0");
        }
        for target in &route.targets {
            if self.config.service(&target.service).is_none() {
                let message = format!("its service `{}` does not exist", target.service);
                self.error(place(), message, "add the service, or correct the name");
            }
            if target.weight == 0 && route.target(0).is_some() {
                let message = format!("service `{}` gets none of its requests", target.service);
                self.warn(place(), message, "remove it, or give it a weight");
            }
        }
    }

    fn check_times(&mut self, route: &Route) {
        let place = || Place::Route(route.name.clone());
        if route.timeout.is_zero() {
            let message = "each request is refused, since its time is over at once";
            self.error(place(), message, "allow a time for the answer");
        } else if route.timeout < route.objective {
            let message = format!(
                "the timeout of {} ends requests that could still meet the objective of {}",
                milliseconds(route.timeout),
                milliseconds(route.objective)
            );
            self.warn(
                place(),
                message,
                "raise the timeout, or lower the objective",
            );
        }
        let stages = self.min_stage_time(route);
        if stages > route.timeout && !route.timeout.is_zero() {
            let message = format!(
                "its stages take {} at least, more than the timeout of {}",
                milliseconds(stages),
                milliseconds(route.timeout)
            );
            self.error(place(), message, "raise the timeout, or leave out a stage");
        } else if stages > route.objective {
            let message = format!(
                "its stages take {} at least, more than the objective of {}",
                milliseconds(stages),
                milliseconds(route.objective)
            );
            self.warn(
                place(),
                message,
                "raise the objective, or leave out a stage",
            );
        }
    }

    fn check_stages(&mut self, route: &Route) {
        let place = || Place::Route(route.name.clone());
        if !route.stages.is_empty() && !route.repeat.is_stream() {
            let message = "its stages are not run, since only streams have some";
            self.error(place(), message, "remove the stages");
        }
        for (number, stage) in route.stages.iter().enumerate() {
            let Some(service) = self.config.service(&stage.service) else {
                let message = format!(
                    "the service `{}` of stage {number} does not exist",
                    stage.service
                );
                self.error(place(), message, "add the service, or correct the name");
                continue;
            };
            let Some(worker) = service.worker else {
                let message = format!(
                    "the service `{}` of stage {number} runs no stages",
                    stage.service
                );
                self.error(
                    place(),
                    message,
                    "name a service with parameters for stages",
                );
                continue;
            };
            if stage.result_bytes > worker.room_bytes {
                let message = format!(
                    "a result of stage {number} takes {} bytes, more than the {} that an endpoint \
                     of service `{}` has room for",
                    stage.result_bytes, worker.room_bytes, stage.service
                );
                self.error(place(), message, "give the service more memory for results");
            }
            let next = route
                .stages
                .iter()
                .filter(|next| next.after.contains(&number));
            let longest = next.map(|next| self.min_call_time(next)).max();
            if longest.is_some_and(|longest| worker.result_life < longest) {
                let message = format!(
                    "results of stage {number} are kept for {}, less than a call of the stage \
                     that needs them takes",
                    milliseconds(worker.result_life)
                );
                self.warn(place(), message, "keep the results for longer");
            }
        }
    }

    fn check_service(&mut self, service: &Service) {
        let place = || Place::Service(service.name.clone());
        let same = self
            .config
            .services
            .iter()
            .filter(|one| one.name == service.name);
        if same.count() > 1 {
            let message = "there are several services of this name, and one of them is used";
            self.error(place(), message, "remove or rename all but one");
        }
        let is_used = self.config.routes.iter().any(|route| {
            let targets = route.targets.iter().map(|target| &target.service);
            let stages = route.stages.iter().map(|stage| &stage.service);
            targets.chain(stages).any(|name| *name == service.name)
        });
        if !is_used {
            let message = "no route uses it";
            self.warn(place(), message, "remove it if no later version needs it");
        }
        let has_no_slots = service.engine.is_some_and(|engine| engine.slots == 0)
            || service.worker.is_some_and(|worker| worker.slots == 0);
        if has_no_slots || service.connections == 0 {
            let message = "its endpoints take no requests: they have no slots or connections";
            self.error(place(), message, "state how many they take");
        }
        if !service.cold_time.is_zero() && service.cold_rate <= 0.0 {
            let message = "its endpoints get no requests while they are cold";
            self.warn(
                place(),
                message,
                "state how many a cold endpoint takes a second",
            );
        }
    }

    fn check_teams(&mut self) {
        let config = self.config;
        for pair in config.keys.windows(2) {
            if pair[0].secret == pair[1].secret && pair[0].team != pair[1].team {
                let names = [pair[0].team, pair[1].team].map(|team| &config.teams[team].name);
                let place = Place::Team(names[0].clone());
                let message = format!("team `{}` has one of its keys too", names[1]);
                self.error(place, message, "give each key to one team");
            }
        }
        for (number, team) in config.teams.iter().enumerate() {
            let place = || Place::Team(team.name.clone());
            if config.teams[..number]
                .iter()
                .any(|one| one.name == team.name)
            {
                let message = "there are several teams of this name";
                self.error(place(), message, "rename all but one");
            }
            let mut keys = config
                .keys
                .iter()
                .filter(|key| key.team == number)
                .peekable();
            if keys.peek().is_none() {
                let message = "it has no keys, so its requests are refused";
                self.warn(place(), message, "give it a key, or remove it");
            }
            if keys.any(|key| key.secret.is_empty()) {
                self.error(place(), "one of its keys is empty", "remove the empty key");
            }
        }
    }

    /// Returns the time that the stages of a route take at least, along their longest chain,
    /// with one piece each.
    fn min_stage_time(&self, route: &Route) -> Duration {
        let mut ends: Vec<Duration> = Vec::new();
        for stage in &route.stages {
            let begin = stage.after.iter().filter_map(|before| ends.get(*before));
            let begin = begin.max().copied().unwrap_or_default();
            ends.push(begin + self.min_call_time(stage));
        }
        match route.repeat {
            Repeat::Stream | Repeat::ResumableStream => ends.into_iter().max().unwrap_or_default(),
            Repeat::Idempotent | Repeat::Once => Duration::ZERO,
        }
    }

    fn min_call_time(&self, stage: &Stage) -> Duration {
        let service = self.config.service(&stage.service);
        let worker = service.and_then(|service| service.worker);
        worker.map_or(Duration::ZERO, |worker| {
            worker.call_time + worker.piece_time
        })
    }
}

fn milliseconds(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}
