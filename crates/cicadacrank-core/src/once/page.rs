//! Settled claims that have left their shard.

use super::{Entry, Name};
use serde::{Deserialize, Serialize};

/// What a shard knows of a page: enough to tell most names that are not in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the object that holds the claims.
    pub object: String,
    /// Time its last claim ends, in milliseconds since the Unix epoch.
    pub ends_unix_ms: u64,
    /// Marks of the names in it, sorted, one after the other.
    pub(super) marks: String,
}

impl Page {
    /// Creates the reference to a page of claims.
    #[must_use]
    pub fn new(object: String, entries: &[Entry]) -> Self {
        let mut marks: Vec<String> = entries.iter().map(|entry| entry.name.mark()).collect();
        marks.sort_unstable();
        let ends = entries.iter().map(|entry| entry.claim.ends_unix_ms);
        Self {
            object,
            ends_unix_ms: ends.max().unwrap_or_default(),
            marks: marks.concat(),
        }
    }

    /// Returns whether the page may hold the name; if not, it surely does not.
    #[must_use]
    pub fn may_hold(&self, name: Name) -> bool {
        let (marks, _) = self.marks.as_bytes().as_chunks::<{ Name::MARK_DIGITS }>();
        let wanted = name.mark();
        marks
            .binary_search_by(|mark| mark.as_slice().cmp(wanted.as_bytes()))
            .is_ok()
    }
}
