//! Versioned rules with an audit trail.
//!
//! The rules in force and the audit trail of their changes form one [`Object`]
//! in the platform, written by updates conditional on its version. Rules and
//! audit trail change in the same write, so neither can exist without the
//! other. A [`Proposal`] decides each step of a change, including when answers
//! are lost or another operator's change comes first. A [`Latest`] keeps the
//! newest generation that a process has seen and ignores older ones.
//!
//! The store may come back from a copy without its last changes, and says so by a
//! higher era. The first change in a newer era skips generations, so that none names
//! two contents and later changes stay higher.

mod audit;
mod codec;
mod diff;
mod latest;
mod object;
mod proposal;

pub use self::{
    audit::{Attachment, Detail, ENTRIES_LIMIT, Entry, LINES_LIMIT_BYTES, PAGE_ENTRIES, Page},
    codec::{CodecError, DOCUMENT_LIMIT_BYTES},
    diff::{Difference, Line, Side},
    latest::Latest,
    object::{Change, Object, Refusal, Step},
    proposal::{Action, Conflict, Edit, Event, Outcome, Proposal},
};

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version number of the rules, which increases with each change: by one, but for the
/// first change after the store came back from a copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Maximum length of a change id, in bytes.
const CHANGE_ID_LIMIT: usize = 64;

/// Id of a change, chosen by the client that proposes it.
///
/// The audit entry contains the id, so a client that lost the answer to its
/// write can tell its own change from another operator's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(String);

impl ChangeId {
    /// Creates an id from a random number.
    #[must_use]
    pub fn new(random: u128) -> Self {
        Self(format!("{random:032x}"))
    }

    /// Parses an id, which has 1 to 64 lower-case letters, digits and dashes.
    ///
    /// Returns `None` if the text has another form.
    #[must_use]
    pub fn from_name(text: &str) -> Option<Self> {
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        let valid = (1..=CHANGE_ID_LIMIT).contains(&text.len()) && text.bytes().all(allowed);
        valid.then(|| Self(text.to_owned()))
    }

    /// Returns the id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
