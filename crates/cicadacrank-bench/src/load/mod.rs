//! Generates open-loop load on a fleet and records the results.
//!
//! [`Scenario`] describes the load of one user of the system, [`arrivals`]
//! generates its requests from a seed, and [`Bench`] sends them: through the
//! daemons, or, with a baseline [`Policy`], directly to the mock engines.

pub mod arrivals;
mod caller;
mod direct;
mod drive;
mod overhead;
pub mod processor;
mod scenario;
mod script;

pub use self::{
    arrivals::Request,
    caller::{Outcome, Record},
    drive::{Bench, Trial},
    overhead::Overhead,
    scenario::{Mix, Period, Phase, Scenario, adapt_rules},
};

use serde::Serialize;

/// How requests are routed to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Through the entries and sidecars under test.
    System,
    /// Round robin over the endpoints of a pool, without admission control.
    RoundRobin,
    /// To the endpoint with the fewest requests in flight from the same entry,
    /// without admission control.
    LeastInFlight,
    /// As [`Self::LeastInFlight`], with immediate retries until the deadline,
    /// up to a much higher number of attempts.
    NoRetryBudget,
}

impl Policy {
    /// All policies, in the order of a report.
    pub const ALL: [Self; 4] = [
        Self::System,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::NoRetryBudget,
    ];

    /// Returns the name used in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::System => "system",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::NoRetryBudget => "no-retry-budget",
        }
    }
}
