//! Quarantine of requests that crash the endpoints that run them.
//!
//! After a crash, every request that was in flight becomes a suspect and runs
//! only where no other suspect runs. A suspect that then finishes successfully
//! is cleared; one that is in flight at a second crash is refused for a time. A
//! single request can therefore crash at most [`CRASH_LIMIT`] endpoints.

pub mod cause;
mod list;

pub use self::list::{List, Status, Suspect};

use std::{fmt, time::Duration};

/// Number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// Number of crashes in a row after which a request is refused that was sent again
/// each time.
pub const REQUEST_CRASH_LIMIT: usize = CRASH_LIMIT;

/// Number of crashes in a row after which all requests with a part are refused. An
/// innocent part that few requests have may be present at two.
pub const PART_CRASH_LIMIT: usize = 3;

/// Time for which a suspect is kept and a quarantined request is refused.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of suspects kept.
pub const MAX_SUSPECTS: usize = 4096;

/// Identifies a request by a digest over team, pipeline, stage and body.
///
/// The digest excludes the request's id and idempotency key, so that the same
/// request is recognised when it is sent again. It includes the stage, because
/// a successful run in one stage says nothing about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; Self::BYTES]);

impl Fingerprint {
    /// Length of a fingerprint, in bytes.
    pub const BYTES: usize = 16;

    /// Creates the fingerprint from the digest of the body. Each part is
    /// length-prefixed, so that different parts never produce the same input.
    #[must_use]
    pub fn new(team: &str, pipeline: &str, stage: &str, digest: &[u8]) -> Self {
        let names = [team, pipeline, stage].map(str::as_bytes);
        Self::of(names.into_iter().chain([digest]))
    }

    /// Creates the fingerprint of a part that requests to a service share.
    #[must_use]
    pub fn of_part(service: &str, part: &str) -> Self {
        Self::of([service.as_bytes(), part.as_bytes()].into_iter())
    }

    fn of<'a>(values: impl Iterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for value in values {
            hasher.update(&(value.len() as u64).to_le_bytes());
            hasher.update(value);
        }
        let mut bytes = [0; Self::BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Creates a fingerprint from its bytes. Returns `None` if the length is
    /// not [`Self::BYTES`].
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the fingerprint as bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
