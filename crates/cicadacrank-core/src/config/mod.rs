//! The configuration of a deployment, as maintained by its operators: routes,
//! the services behind them, teams and their keys, and limits on requests.
//!
//! [`Config::route`] finds the route of a request, and [`Config::team`] finds
//! the team of a key. A configuration is immutable. A request keeps the version
//! that it was accepted with, and a newer version replaces the whole
//! configuration.

pub mod check;
pub mod diff;
mod lookup;

pub use self::lookup::Rejection;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// All routes, services and teams of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number. It increases with each change, but not always by 1.
    pub version: u64,
    /// Routes, sorted by host and path prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Teams, in the order given by the operators.
    pub teams: Vec<Team>,
    /// Keys of all teams, sorted by secret.
    pub keys: Vec<Key>,
    /// Limits on requests.
    pub limits: Limits,
}

/// How often the work of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once per attempt of the caller.
    Once,
    /// At most once, with a stream of events as the answer.
    Stream,
    /// A stream that another run can resume after its last event.
    ResumableStream,
}

impl Repeat {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a run that may have started can be retried at another
    /// endpoint.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// The handling of requests with one path prefix on one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, chosen by the operators.
    pub name: String,
    /// Host name of the requests, without a port.
    pub host: String,
    /// Path prefix of the requests. It starts and ends with a slash.
    pub prefix: String,
    /// How often the work of a request may run.
    pub repeat: Repeat,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer earns full credit. For a stream, it is the
    /// time to the first event.
    pub objective: Duration,
    /// Maximum interval between the events of an answer that is on time.
    pub event_gap: Option<Duration>,
    /// Maximum number of endpoints that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Priority rank of the requests. Rank 0 is the highest.
    pub rank: u32,
    /// Services that receive the requests, with their weights.
    pub targets: Vec<Target>,
    /// Stages that run before the request, in the order of their numbers.
    pub stages: Vec<Stage>,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether requests identify the parts of their prompts.
    pub prompt_parts: bool,
}

/// A service that receives a share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Work that must be complete before a request can run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Name of the service that runs the stage.
    pub service: String,
    /// Numbers of the stages whose results this stage needs.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
}

/// A group of endpoints of the same kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: String,
    /// Path at which an endpoint tells its id. Empty if the configuration names none.
    #[serde(default)]
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// How long an endpoint is cold after its start, or zero if it never is.
    pub cold_time: Duration,
    /// Requests per second that a cold endpoint can handle.
    pub cold_rate: f64,
    /// Parameters of model engines, present if the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Parameters of stage workers, present if the endpoints run stages.
    pub worker: Option<Worker>,
}

/// Capacity of one model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens.
    pub memory_tokens: u64,
}

/// Capacity and timing of one endpoint that runs stages.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Number of calls that run concurrently.
    pub slots: u32,
    /// Number of calls that may be queued.
    pub queue: u32,
    /// Maximum number of pieces per call.
    pub batch: usize,
    /// Fixed duration of a call, in addition to the time for its pieces.
    pub call_time: Duration,
    /// Approximate duration that each piece adds to its call.
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is stored after the end of its call.
    pub result_life: Duration,
}

/// A customer team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team, as sent to endpoints.
    pub name: String,
    /// Priority rank that overrides the rank of the route.
    pub rank: Option<u32>,
}

/// A key and the team that holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Secret that callers present.
    pub secret: String,
    /// Index of the team in [`Config::teams`].
    pub team: usize,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// How long a connection may stay idle between requests.
    pub idle: Duration,
    /// How long the head of a request may take from its first byte.
    #[serde(default = "Limits::default_head_time")]
    pub head_time: Duration,
}

impl Limits {
    /// Returns the time for a head if the configuration states none: the default of most
    /// HTTP servers.
    #[must_use]
    pub const fn default_head_time() -> Duration {
        Duration::from_secs(30)
    }
}

impl Default for Limits {
    /// Returns the limits that apply before the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle: Duration::from_secs(15),
            head_time: Self::default_head_time(),
        }
    }
}
