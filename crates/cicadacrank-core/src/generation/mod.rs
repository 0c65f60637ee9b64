//! Generations of the rules: one platform object, and who changed what.
//!
//! The rules in force and the trail of their changes are one [`Object`] in the
//! platform, written by conditional updates on its version. Rules and trail
//! change in the same write, so neither can exist without the other. A
//! [`Proposal`] decides each step of a change, also when answers are lost or
//! another operator comes first. A [`Latest`] keeps the newest generation a
//! process has seen and never goes back.

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

/// Number of a state of the rules; it only rises.
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

/// Longest change id, in bytes.
const CHANGE_ID_LIMIT: usize = 64;

/// Id of a change, drawn by the client that proposes it.
///
/// The id stands in the audit entry, so a client whose answer was lost can
/// tell its own change from another operator's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(String);

impl ChangeId {
    /// Creates an id from a random number.
    #[must_use]
    pub fn new(random: u128) -> Self {
        Self(format!("{random:032x}"))
    }

    /// Returns the id with this text, if it is one: up to 64 lower case
    /// letters, digits and dashes.
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
