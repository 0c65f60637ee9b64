//! Compares what callers were told with what endpoints recorded.
//!
//! The checker is independent of the code under test: [`check`] takes the calls
//! that callers recorded and the runs that simulated endpoints recorded, and
//! returns every violation. Each request carries a unique mark, which simulated
//! endpoints put into each token of a generation.

mod check;
mod record;

pub use self::{
    check::check,
    record::{Call, Reply, Run, Stage},
};

use serde::Serialize;
use std::fmt;

/// Kind of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Anomaly {
    /// An answer reported as complete lacks tokens or the result of a stage.
    Lost,
    /// Non-idempotent work ran more than once, or an answer holds a result or
    /// token twice.
    Doubled,
    /// An answer holds output of another request.
    Crossed,
    /// A request ran at an endpoint, but its caller was told that it did not.
    FalselyNotRun,
    /// A run belongs to no call.
    Stray,
    /// A caller got no answer.
    Unanswered,
}

/// Inconsistency between what a caller was told and what ran.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// Kind of the violation.
    pub promise: Anomaly,
    /// Mark of the request.
    pub mark: String,
    /// Description of the records that show it.
    pub detail: String,
}

impl Violation {
    fn new(promise: Anomaly, mark: &str, detail: impl Into<String>) -> Self {
        Self {
            promise,
            mark: mark.to_owned(),
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} {}: {}",
            self.promise, self.mark, self.detail
        )
    }
}
