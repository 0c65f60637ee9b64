//! Quarantine of requests that crash the endpoints that run them.
//!
//! After one crash every request that was in flight is a suspect and runs only
//! where no other suspect runs. One that then expires_at well is cleared; one that
//! is in flight at a second crash is refused for a time. A request alone thus
//! crashes [`CRASH_LIMIT`] endpoints at most.

mod list;

pub use self::list::{List, Status, Suspect};

use std::{fmt, time::Duration};

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// Time a suspect is remembered, and a condemned request refused.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Most suspects that are remembered.
pub const MAX_SUSPECTS: usize = 4096;

/// What a request is known by: a digest over team, pipeline, stage and body.
///
/// Neither the request's id nor its idempotency key takes part, so that the
/// same request sent again is known again. The stage does: that a request ran
/// well in one says nothing about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; Self::BYTES]);

impl Fingerprint {
    /// Length of a fingerprint, in bytes.
    pub const BYTES: usize = 16;

    /// Creates the fingerprint from the digest of the body; parts are
    /// length-prefixed, so that none runs into the next.
    #[must_use]
    pub fn new(team: &str, pipeline: &str, stage: &str, digest: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        let names = [team, pipeline, stage].map(str::as_bytes);
        for part in names.into_iter().chain([digest]) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; Self::BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Reads a fingerprint from its bytes.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes.
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
