//! Decision logic of cicadacrank as state machines without I/O.
//!
//! This crate opens no sockets, reads no clock and draws no random numbers. Time
//! is passed in as a [`std::time::Duration`] since an origin chosen by the
//! caller, and random numbers are passed in as arguments. Every decision can
//! therefore be tested without waiting, and both roles of the daemon and the
//! client share one implementation of the rules.
//!
//! The steps of a request, and the module that decides each:
//!
//! 1. [`rules`] defines which pipelines, teams and endpoints exist.
//! 2. [`generation`] tracks which rules are in force, and who changed them.
//! 3. [`pipeline`] turns a caller's request body into the input of each stage.
//! 4. [`routing`] picks an endpoint for an attempt.
//! 5. [`admission`] admits or refuses the attempt at the endpoint's sidecar.
//! 6. [`quarantine`] blocks requests that crash endpoints.
//! 7. [`retry`] decides whether a failed attempt may be retried.
//! 8. [`once`] prevents non-idempotent work from running twice.
//! 9. [`accounting`] sums up busy and idle time and its cost.
//!
//! On a platform that manages routes, services and keys itself, [`config`] holds
//! them, [`directory`] tracks the endpoints, [`placement`] picks an endpoint,
//! [`batch`] forms the calls of stages, and [`share`] divides limits among
//! processes. [`crowd`] decides which connections of callers are closed for room.
//!
//! [`membership`] tracks which processes exist, and [`gossip`] distributes the
//! configuration to them.
//!
//! ```
//! use cicadacrank_core::error::{Effect, Kind};
//!
//! assert_eq!(Kind::Overloaded.http_status(), 503);
//! assert_eq!(Effect::NotRun.as_str(), "not-run");
//! ```

pub mod accounting;
pub mod admission;
pub mod batch;
pub mod config;
pub mod crowd;
pub mod directory;
pub mod error;
pub mod event;
pub mod forecast;
pub mod generation;
pub mod gossip;
pub mod id;
pub mod membership;
pub mod once;
pub mod pipeline;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod routing;
pub mod rules;
pub mod share;
pub mod stream;
pub mod version;
