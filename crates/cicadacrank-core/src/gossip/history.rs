//! The newest rules and the steps that led to them.

use super::{Edit, Mismatch, apply, difference};
use crate::id;
use std::{collections::VecDeque, sync::Arc};

/// The rules of one generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Generation number, which rises by one with each accepted change.
    pub generation: u64,
    /// Text of the rule file.
    pub text: Arc<str>,
}

/// The difference between one generation and a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Generation to which the edits apply.
    pub from: u64,
    /// Generation that the edits produce.
    pub to: u64,
    /// Digest of the resulting text.
    pub digest: [u8; id::DIGEST_BYTES],
    /// Line edits that turn the old text into the new one.
    pub edits: Vec<Edit>,
}

impl Step {
    fn size(&self) -> usize {
        self.edits.iter().map(|edit| edit.insert.len() + 16).sum()
    }
}

/// The newest document and the latest steps that led to it. The generation
/// never decreases.
#[derive(Clone, Debug, Default)]
pub struct History {
    newest: Option<Document>,
    steps: VecDeque<Step>,
}

impl History {
    /// Maximum number of steps kept.
    pub const MAX_STEPS: usize = 64;

    /// Maximum size of steps that are sent in place of the full text, in bytes.
    pub const MAX_STEPS_BYTES: usize = 16 << 10;

    /// Returns the newest document.
    #[must_use]
    pub const fn newest(&self) -> Option<&Document> {
        self.newest.as_ref()
    }

    /// Returns the newest generation, or zero if there is no document.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.newest
            .as_ref()
            .map_or(0, |document| document.generation)
    }

    /// Adopts a document if it is newer. Returns whether it was.
    ///
    /// `steps` are the steps received with the document. If they do not lead
    /// from the current generation to the new one, the difference from the
    /// current document is computed instead.
    pub fn adopt(&mut self, document: Document, steps: Vec<Step>) -> bool {
        if document.generation <= self.generation() {
            return false;
        }
        let held = self.generation();
        let steps: Vec<Step> = steps.into_iter().filter(|step| step.to > held).collect();
        let fits = steps.first().is_some_and(|step| step.from == held)
            && steps
                .last()
                .is_some_and(|step| step.to == document.generation);
        match &self.newest {
            Some(_) if fits => self.steps.extend(steps),
            Some(old) => self.steps.push_back(Step {
                from: old.generation,
                to: document.generation,
                digest: id::digest(document.text.as_bytes()),
                edits: difference(&old.text, &document.text),
            }),
            None => {}
        }
        let excess = self.steps.len().saturating_sub(Self::MAX_STEPS);
        self.steps.drain(..excess);
        self.newest = Some(document);
        true
    }

    /// Returns the steps from an older generation to the newest, if they are
    /// kept and no larger than [`Self::MAX_STEPS_BYTES`].
    #[must_use]
    pub fn steps_since(&self, generation: u64) -> Option<Vec<Step>> {
        let start = self.steps.iter().position(|step| step.from == generation)?;
        let steps: Vec<Step> = self.steps.iter().skip(start).cloned().collect();
        let size: usize = steps.iter().map(Step::size).sum();
        (size <= Self::MAX_STEPS_BYTES).then_some(steps)
    }

    /// Applies steps to the newest document and returns the result.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if there is no document or no step, if the steps do
    /// not continue from the newest generation or apply to its text, or if the
    /// digest of the result differs.
    pub fn apply_steps(&self, steps: &[Step]) -> Result<Document, Mismatch> {
        let newest = self.newest.as_ref().ok_or(Mismatch)?;
        let mut at = newest.generation;
        let mut text = String::from(&*newest.text);
        // Skips steps that were adopted in the meantime.
        for step in steps.iter().filter(|step| step.to > newest.generation) {
            if step.from != at || step.to <= at {
                return Err(Mismatch);
            }
            text = apply(&text, &step.edits)?;
            at = step.to;
        }
        let last = steps.last().ok_or(Mismatch)?;
        if id::digest(text.as_bytes()) != last.digest {
            return Err(Mismatch);
        }
        Ok(Document {
            generation: at,
            text: text.into(),
        })
    }
}
