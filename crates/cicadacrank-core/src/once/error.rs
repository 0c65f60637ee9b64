//! Errors of work that ended without a complete answer.

use crate::error::{Effect, Failure, Kind};

/// Reason why work ended without a complete answer, with its proven effect.
///
/// Only this module can create one: [`Unsent::refuse`] and
/// [`Unsent::refuse_unknown`] before the first byte is sent, [`Sent::fail`]
/// after it, and [`Outcome::replay`] for work that is known to have ended. A
/// sidecar takes the effect that it reports only from this type, so that it
/// cannot report "not run" without consuming the proof:
///
/// ```compile_fail,E0451
/// use cicadacrank_core::{error::{Failure, Kind}, once::ExecutionError};
///
/// let error = ExecutionError { failure: Failure::not_run(Kind::Deadline, "after the send") };
/// ```
///
/// [`Unsent::refuse`]: super::Unsent::refuse
/// [`Unsent::refuse_unknown`]: super::Unsent::refuse_unknown
/// [`Sent::fail`]: super::Sent::fail
/// [`Outcome::replay`]: super::Outcome::replay
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutionError {
    failure: Failure,
}

impl ExecutionError {
    pub(super) fn not_run(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            failure: Failure::not_run(kind, context),
        }
    }

    pub(super) fn partial(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            failure: Failure::partial(kind, context),
        }
    }

    pub(super) fn unknown(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            failure: Failure::unknown(kind, context),
        }
    }

    /// Returns the error kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.failure.kind
    }

    /// Returns what is known about the execution of the work.
    #[must_use]
    pub const fn effect(&self) -> Effect {
        self.failure.effect
    }

    /// Returns the failure to report.
    #[must_use]
    pub const fn failure(&self) -> &Failure {
        &self.failure
    }
}
