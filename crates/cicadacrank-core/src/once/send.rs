//! The line between work that surely did not run and work that may have.

use crate::error::{Effect, Failure, Kind};

/// Proof that no byte of the work has gone to its endpoint.
///
/// The value is consumed by [`Unsent::send`], and it cannot be copied: code
/// that runs after the first byte has no way to make a refusal that says "not
/// run".
#[derive(Debug)]
#[must_use]
pub struct Unsent(());

impl Unsent {
    /// Creates the proof for work that has just arrived.
    pub(crate) const fn new() -> Self {
        Self(())
    }

    /// Starts an attempt: the one place that makes the proof.
    pub const fn begin() -> Self {
        Self::new()
    }

    /// Refuses the work, which surely did not run.
    #[must_use]
    pub fn refuse(self, kind: Kind, context: impl Into<String>) -> Failure {
        Failure::not_run(kind, context)
    }

    /// Declares that bytes go to the endpoint from here on.
    pub const fn send(self) -> Sent {
        Sent { finished: false }
    }
}

/// The work may have reached its endpoint.
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
    pub const fn unsend(self, connected: bool) -> Result<Unsent, Self> {
        if connected {
            Err(self)
        } else {
            Ok(Unsent::new())
        }
    }

    /// Fails the work with the best effect that is still true.
    #[must_use]
    pub fn fail(self, kind: Kind, context: impl Into<String>) -> Failure {
        let effect = if self.finished {
            Effect::Partial
        } else {
            Effect::Unknown
        };
        Failure {
            kind,
            effect,
            context: context.into(),
        }
    }
}
