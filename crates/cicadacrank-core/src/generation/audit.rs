//! The audit trail of changes to the rules: who, when, why, and which lines.
//!
//! The rule object itself contains the newest entries. Older entries move to
//! pages, and the lines of large changes to details. Pages and details are
//! separate objects, written before the rule object that omits their content.

use super::{
    ChangeId, Generation,
    codec::{self, CodecError},
    diff::{Difference, Side},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of entries in the rule object.
pub const ENTRIES_LIMIT: usize = 64;
/// Number of entries in a page.
pub const PAGE_ENTRIES: usize = 32;
/// Maximum size of the changed lines in an entry, in bytes; a detail holds all
/// lines of a larger change.
pub const LINES_LIMIT_BYTES: usize = 4096;

/// Audit entry of one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Generation that the change created.
    pub generation: Generation,
    /// Id of the change.
    pub change: ChangeId,
    /// Person who made the change.
    pub who: String,
    /// Reason given for the change.
    pub why: String,
    /// Time of the change by the client's clock, in milliseconds since the Unix
    /// epoch.
    pub at_ms: u64,
    /// Lines added and removed, or the first of them if a detail holds them all.
    pub lines: Difference,
    /// Total number of lines added and removed.
    pub line_count: usize,
}

impl Entry {
    /// Returns whether the entry omits lines, which a detail holds.
    #[must_use]
    pub const fn has_detail(&self) -> bool {
        self.lines.lines.len() < self.line_count
    }

    /// Returns the entry's lines of one side.
    pub fn side(&self, side: Side) -> impl Iterator<Item = &str> {
        self.lines.side(side)
    }
}

/// Returns the first lines of the difference, up to [`LINES_LIMIT_BYTES`].
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

/// Page of entries that were moved out of the rule object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Entries of the page, oldest first.
    pub entries: Vec<Entry>,
}

impl Page {
    /// Returns the name of the object that holds a page; numbers start at zero.
    #[must_use]
    pub fn name(number: u64) -> String {
        format!("page-{number:08}")
    }

    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a page.
    pub fn decode(value: Value) -> Result<Self, CodecError> {
        codec::decode(value)
    }
}

/// All lines of a change that is too large for its entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Id of the change.
    pub change: ChangeId,
    /// All lines added and removed.
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
    /// Returns an error if the value is not a detail.
    pub fn decode(value: Value) -> Result<Self, CodecError> {
        codec::decode(value)
    }
}

/// An object to create before the rule object is written.
///
/// The name determines the content, so an object that a client left behind when
/// it stopped midway has the same content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// Name of the object.
    pub name: String,
    /// Content of the object.
    pub content: Value,
}

impl Attachment {
    /// Creates an attachment that contains the document.
    pub(super) fn new<T: Serialize>(name: String, document: &T) -> Result<Self, CodecError> {
        let content = codec::encode(document)?;
        Ok(Self { name, content })
    }
}
