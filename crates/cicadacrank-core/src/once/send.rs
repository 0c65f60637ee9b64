//! Types that separate work that did not run from work that may have run.

use super::ExecutionError;
use crate::error::Kind;

/// Proof that no byte of the work was sent to its endpoint.
///
/// The value cannot be copied, and [`Unsent::send`] consumes it. Code that runs
/// after the first byte was sent can therefore not create an error that says
/// "not run".
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
    /// Creates the proof at the start of an attempt. No other function constructs
    /// it.
    pub const fn begin() -> Self {
        Self(())
    }

    /// Refuses work that did not run.
    #[must_use]
    pub fn refuse(self, kind: Kind, context: impl Into<String>) -> ExecutionError {
        ExecutionError::not_run(kind, context)
    }

    /// Refuses work that another attempt may have run.
    #[must_use]
    pub fn refuse_unknown(self, kind: Kind, context: impl Into<String>) -> ExecutionError {
        ExecutionError::unknown(kind, context)
    }

    /// Marks the point after which bytes may be sent to the endpoint.
    pub const fn send(self) -> Sent {
        Sent { finished: false }
    }
}

/// Statement by an endpoint that it did not run the work and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined(());

impl Declined {
    /// Creates the statement.
    ///
    /// Only code that reads an endpoint's answer may call this.
    #[must_use]
    pub const fn stated() -> Self {
        Self(())
    }
}

/// Marks work that may have reached its endpoint.
///
/// It cannot report that the work did not run:
///
/// ```compile_fail,E0599
/// use cicadacrank_core::{error::Kind, once::Unsent};
///
/// let error = Unsent::begin().send().refuse(Kind::Deadline, "after the send");
/// ```
///
/// It can report that the work may have run:
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
    /// Records that the endpoint answered the work completely.
    pub const fn finish(&mut self) {
        self.finished = true;
    }

    /// Converts back to [`Unsent`] if no connection was established.
    ///
    /// `connected` is whether the transport had a connection. Without one, no
    /// byte can have been sent.
    ///
    /// # Errors
    ///
    /// Returns `self` if there was a connection.
    pub const fn into_unsent(self, connected: bool) -> Result<Unsent, Self> {
        if connected {
            Err(self)
        } else {
            Ok(Unsent::begin())
        }
    }

    /// Converts back to [`Unsent`] because the endpoint stated that it did not
    /// run the work.
    pub const fn decline(self, _stated: Declined) -> Unsent {
        Unsent::begin()
    }

    /// Fails the work with the most precise effect that is known.
    ///
    /// The effect is [`Effect::Partial`](crate::error::Effect::Partial) if the
    /// endpoint answered completely, else
    /// [`Effect::Unknown`](crate::error::Effect::Unknown).
    #[must_use]
    pub fn fail(self, kind: Kind, context: impl Into<String>) -> ExecutionError {
        if self.finished {
            ExecutionError::partial(kind, context)
        } else {
            ExecutionError::unknown(kind, context)
        }
    }
}
