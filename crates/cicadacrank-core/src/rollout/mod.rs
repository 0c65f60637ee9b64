//! Moves the traffic of a service to another version of its endpoints' software.
//!
//! An operator orders a roll-out. Each process then sends a small part of the requests to
//! the new version ([`Exposure`]) and compares its answers with those of the old version
//! ([`Evidence`]). Processes exchange what they counted ([`Report`]). Each of them stops
//! using the new version as soon as the sum shows that it is bad. One of them, the
//! controller, moves all traffic when the time has come, and writes the outcome to the
//! platform's store ([`Rollout`]).

mod evidence;
mod exposure;
mod progress;
mod reference;
mod step;

pub use self::{
    evidence::{Count, Evidence, Judgement, Outcome, Report, Reports, Route, Times},
    exposure::{Exposure, Stage},
    progress::{Choice, Rollout, Write},
    reference::Reference,
    step::{Member, View},
};

use crate::version::Version;
use std::time::Duration;

/// Limits that a deployment sets for the use of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Part of the requests to a service that a bad version may get.
    pub share: f64,
    /// Number of requests that it may get besides.
    pub tolerance: f64,
    /// Time after the 50th bad answer from which on it gets no more requests.
    pub rollback: Duration,
}

/// An operator's order to move the traffic of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the service.
    pub service: String,
    /// Version of the software that is to serve.
    pub to: String,
    /// Time within which the order is to be carried out.
    pub duration: Duration,
    /// Revision of the store at which the object of the order was created.
    pub created: u64,
    /// Version of the store at which the order was read last.
    pub seen: Version,
}

impl Order {
    /// Returns whether another order is the same one. In another era of the store the
    /// operator may have written the order again.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service
            && self.to == other.to
            && self.duration == other.duration
            && (self.created == other.created || self.seen.era != other.seen.era)
    }
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The new version gets a small part of the requests.
    #[default]
    Trial,
    /// The new version gets all new requests; the old one completes its own.
    Full,
    /// The order was withdrawn before the new version got all requests.
    Withdrawn,
    /// The new version gets no requests.
    RolledBack,
    /// Only the new version serves.
    Completed,
}

impl Phase {
    /// Returns whether the outcome is final.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Returns the name of the phase, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Full => "full",
            Self::Withdrawn => "withdrawn",
            Self::RolledBack => "rolled back",
            Self::Completed => "completed",
        }
    }
}
