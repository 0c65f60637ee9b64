//! Versions of what the platform's store holds.

use serde::{Deserialize, Serialize};

/// Version of an object or a collection of the store.
///
/// The store numbers its changes with revisions. When it comes back from a copy, its
/// revisions go back and are given out again, and its era rises. Versions are therefore
/// ordered by their era first, and equal revisions of two eras are different versions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Number of times that the store has come back from a copy. Zero if it does not
    /// state that.
    #[serde(default)]
    pub era: u64,
    /// Revision of the store.
    pub revision: u64,
}

impl Version {
    /// Creates a version from its parts.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}
