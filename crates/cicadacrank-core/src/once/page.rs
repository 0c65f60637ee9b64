//! Pages of completed claims that were moved out of their shard.

use super::{Entry, Name};
use serde::{Deserialize, Serialize};

/// Reference to a page of claims.
///
/// A shard keeps the marks of the names in each page, which rule out most names
/// that the page does not hold without reading it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the platform object that holds the claims.
    pub object: String,
    /// Expiry time of the last claim to expire, in milliseconds since the Unix
    /// epoch.
    pub ends_unix_ms: u64,
    /// Marks of the names in the page, sorted and concatenated.
    pub(super) marks: String,
}

impl Page {
    /// Creates a reference to the page that holds the entries.
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

    /// Returns whether the page may hold the name.
    ///
    /// False positives are possible, false negatives are not.
    #[must_use]
    pub fn may_hold(&self, name: Name) -> bool {
        let (marks, _) = self.marks.as_bytes().as_chunks::<{ Name::MARK_DIGITS }>();
        let wanted = name.mark();
        marks
            .binary_search_by(|mark| mark.as_slice().cmp(wanted.as_bytes()))
            .is_ok()
    }
}
