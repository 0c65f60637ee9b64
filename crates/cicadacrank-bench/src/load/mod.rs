//! Drives a fleet with an open loop of requests and records what happened.
//!
//! [`Scenario`] holds what each user's load looks like, [`arrivals`] draws it
//! from a seed, and [`Bench`] runs it: through the daemons, or, as a
//! [`Policy`] to compare with, straight to the stand-ins.

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

/// How requests find their endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Through the entries and sidecars under test.
    System,
    /// In turn over the endpoints of a pool, with no admission.
    RoundRobin,
    /// To the endpoint with the fewest requests in flight of the same entry,
    /// with no admission.
    LeastInFlight,
    /// As [`Self::LeastInFlight`], tried again at once until the deadline.
    NoRetryBudget,
}

impl Policy {
    /// Every policy, in the order of a report.
    pub const ALL: [Self; 4] = [
        Self::System,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::NoRetryBudget,
    ];

    /// Returns the name in reports.
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
