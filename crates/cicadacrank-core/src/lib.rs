//! Decisions of cicadacrank as plain state machines.
//!
//! Nothing here opens a socket, reads a clock or draws a random number: time
//! arrives as [`std::time::Duration`] since an origin the caller picks, random
//! numbers arrive as arguments. That keeps every decision testable without
//! waiting, and lets both roles of the daemon and the client share one reading
//! of the rules.
//!
//! The steps of a request, and the module that decides each:
//!
//! 1. [`rules`] says which pipelines, teams and endpoints exist.
//! 2. [`generation`] says which rules are in force, and who changed them.
//! 3. [`pipeline`] turns a caller's body into the input of each stage.
//! 4. [`routing`] picks an endpoint for an attempt.
//! 5. [`admission`] takes the attempt in at the endpoint's sidecar, or refuses.
//! 6. [`quarantine`] keeps requests that crash endpoints away from more of them.
//! 7. [`retry`] says whether a failed attempt may be made anew.
//! 8. [`once`] keeps work that may not be repeated from running twice.
//! 9. [`accounting`] adds up busy and idle time and what it costs whom.
//!
//! On a platform that keeps routes, services and keys itself, [`config`] holds
//! them and [`directory`] the endpoints, [`placement`] picks an endpoint, [`batch`]
//! forms the calls of stages, and [`share`] divides limits among processes.
//!
//! [`membership`] and [`spread`] decide how many processes act together.
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
pub mod directory;
pub mod error;
pub mod event;
pub mod generation;
pub mod id;
pub mod membership;
pub mod once;
pub mod pipeline;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod roster;
pub mod routing;
pub mod rules;
pub mod share;
pub mod spread;
pub mod stream;
