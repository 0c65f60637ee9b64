//! The line between work that surely did not run and work that may have.

use super::ExecutionError;
use crate::error::Kind;

/// Proof that no byte of the work has gone to its endpoint.
///
/// The value is consumed by [`Unsent::send`], and it cannot be copied: code
/// that runs after the first byte has no way to make a refusal that says "not
/// run".
///
/// ```compile_fail,E0382
/// use cicadacrank_core::{error::Kind, once::Unsent};
///
/// let unsent = Unsent::begin();
/// let sent = unsent.send();
/// let error = unsent.refuse(Kind::Deadline, "after the send");
/// ```
#[derive(Debug)]
#[must_use]
pub struct Unsent(());

impl Unsent {
    /// Starts an attempt: the one place that makes the proof.
    pub const fn begin() -> Self {
        Self(())
    }

    /// Refuses the work, which surely did not run.
    #[must_use]
    pub fn refuse(self, kind: Kind, context: impl Into<String>) -> ExecutionError {
        ExecutionError::not_run(kind, context)
    }

    /// Refuses the work, which another attempt may have run.
    #[must_use]
    pub fn refuse_unknown(self, kind: Kind, context: impl Into<String>) -> ExecutionError {
        ExecutionError::unknown(kind, context)
    }

    /// Declares that bytes go to the endpoint from here on.
    pub const fn send(self) -> Sent {
        Sent { finished: false }
    }
}

/// An endpoint's own statement that it did not run the work and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined(());

impl Declined {
    /// Takes up the statement; only the reader of an endpoint's answer may.
    #[must_use]
    pub const fn stated() -> Self {
        Self(())
    }
}

/// The work may have reached its endpoint.
///
/// ```compile_fail,E0599
/// use cicadacrank_core::{error::Kind, once::Unsent};
///
/// let error = Unsent::begin().send().refuse(Kind::Deadline, "after the send");
/// ```
///
/// What it can say is that the work may have run:
///
/// ```
/// use cicadacrank_core::{error::{Effect, Kind}, once::Unsent};
///
/// let error = Unsent::begin().send().fail(Kind::Deadline, "after the send");
/// assert_eq!(error.effect(), Effect::Unknown);
/// ```
#[derive(Debug)]
#[must_use]
pub struct Sent {
    finished: bool,
}

impl Sent {
    /// Notes that the endpoint gave a whole answer to the work.
    pub const fn finish(&mut self) {
        self.finished = true;
    }

    /// Returns the proof back when the connection was never made.
    ///
    /// `connected` states whether the transport had a connection; without one
    /// no byte can have left.
    ///
    /// # Errors
    ///
    /// Returns the value itself when there was a connection.
    pub const fn into_unsent(self, connected: bool) -> Result<Unsent, Self> {
        if connected {
            Err(self)
        } else {
            Ok(Unsent::begin())
        }
    }

    /// Returns the proof back when the endpoint states that it did not run the
    /// work.
    pub const fn decline(self, _stated: Declined) -> Unsent {
        Unsent::begin()
    }

    /// Fails the work with the best effect that is still true.
    #[must_use]
    pub fn fail(self, kind: Kind, context: impl Into<String>) -> ExecutionError {
        if self.finished {
            ExecutionError::partial(kind, context)
        } else {
            ExecutionError::unknown(kind, context)
        }
    }
}
