//! Compares what callers were told with what endpoints recorded.
//!
//! Knows nothing of the code under test: [`check`] takes records of calls and
//! of runs, made by the callers and the stand-ins, and returns every promise
//! that they break. Each request carries a mark of its own, which stand-ins
//! put into each token of a generation.

mod check;
mod record;

pub use self::{
    check::check,
    record::{Call, Reply, Run, Stage},
};

use serde::Serialize;
use std::fmt;

/// How records break a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Anomaly {
    /// An answer said to be whole lacks the result of a stage.
    Lost,
    /// Work that may not be repeated ran more than once, or an answer holds a
    /// part twice.
    Doubled,
    /// An answer holds a part made for another request.
    Crossed,
    /// A request ran at an endpoint, but its caller was told "not run".
    FalselyNotRun,
    /// A run that belongs to no call.
    Stray,
    /// A caller was told nothing.
    Unanswered,
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// What is broken.
    pub promise: Anomaly,
    /// Mark of the request.
    pub mark: String,
    /// What the records say.
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
