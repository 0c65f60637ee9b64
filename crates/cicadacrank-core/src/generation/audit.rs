//! The trail of changes: who, when, why, and which lines.
//!
//! The newest entries stand in the rule object itself. Older ones move to
//! pages, and the lines of large changes to details: objects of their own,
//! written before the rule object lets go of them.

use super::{
    ChangeId, Generation,
    codec::{self, CodecError},
    diff::{Difference, Side},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Most entries in the rule object.
pub const ENTRIES_LIMIT: usize = 64;
/// Entries of a page.
pub const PAGE_ENTRIES: usize = 32;
/// Most bytes of changed lines in an entry; a detail holds those of a larger
/// change.
pub const LINES_LIMIT_BYTES: usize = 4096;

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Generation the change made.
    pub generation: Generation,
    /// Id of the change.
    pub change: ChangeId,
    /// Person who made it.
    pub who: String,
    /// Reason given.
    pub why: String,
    /// When, in milliseconds since 1970 by the clock of the client.
    pub at_ms: u64,
    /// Lines added and removed, or the first of them.
    pub lines: Difference,
    /// Number of lines added and removed.
    pub line_count: usize,
}

impl Entry {
    /// Returns whether a detail holds lines that the entry leaves out.
    #[must_use]
    pub const fn has_detail(&self) -> bool {
        self.lines.lines.len() < self.line_count
    }

    /// Returns the lines of one side.
    pub fn side(&self, side: Side) -> impl Iterator<Item = &str> {
        self.lines.side(side)
    }
}

/// Returns the first lines whose texts fit into an entry.
pub(super) fn first_lines(difference: &Difference) -> Difference {
    let mut bytes = 0;
    let lines = difference.lines.iter().take_while(|line| {
        bytes += line.text.len();
        bytes <= LINES_LIMIT_BYTES
    });
    Difference {
        lines: lines.cloned().collect(),
    }
}

/// Entries that left the rule object, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Page {
    /// Returns the name of the object that holds a page, counted from zero.
    #[must_use]
    pub fn name(number: u64) -> String {
        format!("page-{number:08}")
    }

    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// Refuses a value that is not a page.
    pub fn decode(value: Value) -> Result<Self, CodecError> {
        codec::decode(value)
    }
}

/// All lines of a change too large for its entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Id of the change.
    pub change: ChangeId,
    /// Its lines.
    pub lines: Difference,
}

impl Detail {
    /// Returns the name of the object that holds the detail of a change.
    #[must_use]
    pub fn name(change: &ChangeId, generation: Generation) -> String {
        format!("detail-{change}-{generation}")
    }

    /// Decodes a detail.
    ///
    /// # Errors
    ///
    /// Refuses a value that is not a detail.
    pub fn decode(value: Value) -> Result<Self, CodecError> {
        codec::decode(value)
    }
}

/// An object to create before the rule object is written.
///
/// Its name determines its content, so one that exists already, left by a
/// client that stopped half way, is the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// Name of the object.
    pub name: String,
    /// Its content.
    pub content: Value,
}

impl Attachment {
    /// Creates the attachment with a document.
    pub(super) fn new<T: Serialize>(name: String, document: &T) -> Result<Self, CodecError> {
        let content = codec::encode(document)?;
        Ok(Self { name, content })
    }
}
