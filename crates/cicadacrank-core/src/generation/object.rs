//! The platform object that holds the rules in force and their audit trail.

use super::{
    ChangeId, Generation,
    audit::{Attachment, Detail, ENTRIES_LIMIT, Entry, PAGE_ENTRIES, Page, first_lines},
    codec::{self, CodecError},
    diff::Difference,
};
use crate::{
    error::Kind,
    rules::{self, Faults, edit},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of the document layout; a client refuses documents of a later one.
const LAYOUT: u32 = 1;

/// Number of generations that the first change in a newer era of the store skips for
/// each era since the last change. Fewer changes than that may be lost at once.
const ERA_GENERATIONS: u64 = 1_000;

/// The rules in force and the newest entries of their audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Version of the document layout.
    #[serde(default)]
    layout: u32,
    /// Generation of the rules.
    pub generation: Generation,
    /// Text of the rule file.
    pub rules: String,
    /// Newest entries of the audit trail, oldest first.
    #[serde(default)]
    pub audit: Vec<Entry>,
    /// Number of pages, which hold the older entries.
    #[serde(default)]
    pub pages: u64,
    /// Era of the store in which the object was written. Zero from older clients.
    #[serde(default)]
    pub era: u64,
    /// Era of the store in which the object was read.
    #[serde(skip)]
    read_era: u64,
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Id of the change.
    pub id: ChangeId,
    /// Who requests the change, and why.
    pub request: edit::Request,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The objects to write to put a change into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Objects to create before the rule object is written.
    pub attachments: Vec<Attachment>,
    /// The rule object after the change.
    pub object: Object,
    /// The same rule object, encoded for the platform.
    pub content: Value,
}

/// Reason why a change was refused.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Refusal {
    /// The rules are not valid.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// The edit cannot be applied to the rules in force.
    #[error(transparent)]
    Edit(#[from] edit::Error),
    /// There are no rules to edit.
    #[error("no rules are in force yet")]
    Absent,
    /// The rules are identical to those in force.
    #[error("the rules are in force already, as generation {0}")]
    Unchanged(Generation),
    /// The documents cannot be stored.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The platform rejected the documents, or holds an invalid one.
    #[error("the platform: {0}")]
    Platform(String),
    /// An object that the change must create exists with different content.
    #[error("the object {0} already exists with different content")]
    Attachment(String),
}

impl Refusal {
    /// Returns the error kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Faults(_) | Self::Edit(edit::Error::Faults(_)) => Kind::Rules,
            Self::Edit(_) | Self::Absent | Self::Unchanged(_) => Kind::BadRequest,
            Self::Codec(CodecError::TooLarge { .. }) => Kind::TooLarge,
            Self::Codec(CodecError::Damaged(_)) | Self::Platform(_) | Self::Attachment(_) => {
                Kind::Internal
            }
        }
    }
}

impl Object {
    /// Creates the object as it is before the first change, without rules.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            layout: LAYOUT,
            generation: Generation(0),
            rules: String::new(),
            audit: Vec::new(),
            pages: 0,
            era: 0,
            read_era: 0,
        }
    }

    /// Sets the era of the store in which the object was read, or found missing. It is
    /// that of the object's last change by default.
    #[must_use]
    pub const fn with_read_era(mut self, era: u64) -> Self {
        self.read_era = era;
        self
    }

    /// Returns the era of the store in which the object was read.
    #[must_use]
    pub const fn read_era(&self) -> u64 {
        self.read_era
    }

    /// Returns whether the store has come back from a copy since the last change, so
    /// that newer changes may have been lost.
    #[must_use]
    pub const fn may_be_behind(&self) -> bool {
        self.era < self.read_era
    }

    /// Decodes a stored object.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a rule object or has a later layout.
    pub fn decode(value: Value) -> Result<Self, CodecError> {
        let mut object: Self = codec::decode(value)?;
        object.read_era = object.era;
        if object.layout > LAYOUT {
            let layout = object.layout;
            let reason = format!("layout {layout} is newer than the supported layout {LAYOUT}");
            return Err(CodecError::Damaged(reason));
        }
        Ok(object)
    }

    /// Returns the audit entry of a change, if the object still contains it.
    #[must_use]
    pub fn entry(&self, change: &ChangeId) -> Option<&Entry> {
        self.audit.iter().rfind(|entry| entry.change == *change)
    }

    /// Returns the entries in the object that are newer than a generation, oldest
    /// first.
    #[must_use]
    pub fn entries_after(&self, generation: Generation) -> &[Entry] {
        let first = self
            .audit
            .partition_point(|entry| entry.generation <= generation);
        &self.audit[first..]
    }

    /// Returns the step that replaces the rules.
    ///
    /// # Errors
    ///
    /// Returns an error if the rules are not valid, are in force already or are
    /// too large to store, or if the change gives no person or no reason.
    pub fn replace(&self, rules: &str, change: &Change) -> Result<Step, Refusal> {
        self.replace_as(self.next_generation(), rules, change)
    }

    /// Returns the step that replaces the rules by those of a generation.
    fn replace_as(
        &self,
        generation: Generation,
        rules: &str,
        change: &Change,
    ) -> Result<Step, Refusal> {
        if !change.request.is_valid() {
            return Err(edit::Error::InvalidRequest.into());
        }
        rules::parse(rules)?;
        let difference = Difference::new(&self.rules, rules);
        // Newer rules may be in force elsewhere if the store has lost changes.
        if difference.is_empty() && !self.may_be_behind() {
            return Err(Refusal::Unchanged(self.generation));
        }
        let mut object = Self {
            layout: LAYOUT,
            generation,
            rules: rules.to_owned(),
            era: self.era.max(self.read_era),
            ..self.clone()
        };
        let mut attachments = Vec::new();
        attachments.extend(object.add_entry(difference, change)?);
        attachments.extend(object.move_oldest_to_page()?);
        let content = codec::encode(&object)?;
        Ok(Step {
            attachments,
            object,
            content,
        })
    }

    /// Returns the step that writes the rules of a newer generation back to a store
    /// that came back from a copy without them. `entries` are those of the lost
    /// changes, as far as they are known.
    ///
    /// # Errors
    ///
    /// Returns an error if the rules are not valid or are too large to store.
    pub fn write_back(
        &self,
        generation: Generation,
        rules: &str,
        entries: &[Entry],
        change: &Change,
    ) -> Result<Step, Refusal> {
        let mut base = self.clone();
        let lost = entries.iter();
        let lost = lost.filter(|entry| entry.generation > self.generation);
        base.audit.extend(lost.cloned());
        // The newer generation may have skipped numbers itself. Skipping again from there
        // would pass the first change of the next era.
        let next = self.next_generation().max(generation.next());
        base.replace_as(next, rules, change)
    }

    /// Returns the generation of the next change. Generations of a newer era are above
    /// all of an earlier one, including those that the store has lost.
    const fn next_generation(&self) -> Generation {
        let eras = self.read_era.saturating_sub(self.era);
        if eras == 0 {
            return self.generation.next();
        }
        Generation(self.generation.0 + eras * ERA_GENERATIONS)
    }

    /// Adds the audit entry of a change, and returns the detail if the entry
    /// cannot hold all lines.
    fn add_entry(
        &mut self,
        lines: Difference,
        change: &Change,
    ) -> Result<Option<Attachment>, CodecError> {
        let entry = Entry {
            generation: self.generation,
            change: change.id.clone(),
            who: change.request.who.trim().to_owned(),
            why: change.request.why.trim().to_owned(),
            at_ms: change.at_ms,
            lines: first_lines(&lines),
            line_count: lines.lines.len(),
        };
        let has_detail = entry.has_detail();
        self.audit.push(entry);
        if !has_detail {
            return Ok(None);
        }
        let change = change.id.clone();
        let name = Detail::name(&change, self.generation);
        Attachment::new(name, &Detail { change, lines }).map(Some)
    }

    /// Moves the oldest entries to a page if there are more than
    /// [`ENTRIES_LIMIT`], and returns the page.
    fn move_oldest_to_page(&mut self) -> Result<Option<Attachment>, CodecError> {
        if self.audit.len() <= ENTRIES_LIMIT {
            return Ok(None);
        }
        let entries: Vec<_> = self.audit.drain(..PAGE_ENTRIES).collect();
        let name = Page::name(self.pages);
        self.pages += 1;
        Attachment::new(name, &Page { entries }).map(Some)
    }
}

impl Default for Object {
    fn default() -> Self {
        Self::new()
    }
}
