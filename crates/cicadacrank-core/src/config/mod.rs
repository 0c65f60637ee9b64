//! The configuration that operators keep for a deployment: routes, the services
//! behind them, teams with their keys, and limits on what callers may send.
//!
//! [`Config::route`] finds the route of a request and [`Config::team`] the team
//! of a key. A configuration is immutable; a request keeps the one it was
//! accepted with, and a newer version replaces the whole.

mod lookup;

pub use self::lookup::Rejection;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// All routes, services and teams of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Number that rises with each change, in uneven steps.
    pub version: u64,
    /// Routes, sorted by host and path prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Teams in the order in which operators name them.
    pub teams: Vec<Team>,
    /// Keys of all teams, sorted by key.
    pub keys: Vec<Key>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// How often the work of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of a caller.
    Once,
    /// At most once, answered by a stream of events.
    Stream,
    /// A stream that another run may continue after its last event.
    ResumableStream,
}

impl Repeat {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a run that may have begun can be made anew elsewhere.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// What one path prefix of one host leads to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name that operators gave it.
    pub name: String,
    /// Host of the request, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often the work may run.
    pub repeat: Repeat,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns full credit; streams: to the first event.
    pub objective: Duration,
    /// Longest pause between events of an answer that is on time.
    pub event_gap: Option<Duration>,
    /// Most endpoints that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Rank of the requests, 0 first.
    pub rank: u32,
    /// Services that take the requests, with their shares.
    pub targets: Vec<Target>,
    /// Work that comes before the request, in the order of its numbers.
    pub stages: Vec<Stage>,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether requests name the parts of their prompts.
    pub prompt_parts: bool,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to those of the other targets.
    pub weight: u32,
}

/// Work that must be done before a request can run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Name of the service that does it.
    pub service: String,
    /// Numbers of the stages whose results it needs.
    pub after: Vec<usize>,
    /// About how large one result is, in bytes.
    pub result_bytes: u64,
}

/// Endpoints of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// How long an endpoint is cold after its start; zero if it never is.
    pub cold_time: Duration,
    /// Requests a second that a cold endpoint bears.
    pub cold_rate: f64,
    /// Present where the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Present where the endpoints do stages.
    pub worker: Option<Worker>,
}

/// What one model engine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for the tokens of running requests and of cached prompt parts.
    pub memory_tokens: u64,
}

/// What one endpoint that does stages has.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Calls in progress at once.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Pieces that one call may carry.
    pub batch: usize,
    /// What a call takes beside its pieces.
    pub call_time: Duration,
    /// What a piece adds to its call, about.
    pub piece_time: Duration,
    /// Room for results, in bytes.
    pub room_bytes: u64,
    /// How long a result lives after the end of its call.
    pub result_life: Duration,
}

/// One team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name, as endpoints get it.
    pub name: String,
    /// Rank that goes before that of the route.
    pub rank: Option<u32>,
}

/// A key and the team that holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// What callers present.
    pub secret: String,
    /// Position of the team in [`Config::teams`].
    pub team: usize,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// How long a connection may stay idle between requests.
    pub idle: Duration,
}

impl Default for Limits {
    /// Bounds for the time before the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}
