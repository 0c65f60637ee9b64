//! State machine that carries a change to the rules through to a known outcome.
//!
//! The answer to a write that took effect may be lost, and another operator may
//! write first. A write is conditional on the object version it is based on, so
//! a write without an answer can take effect only while that version is current.
//! The proposal therefore repeats the same write until it either reads its
//! change id in the audit trail or sees another version without it. Both are
//! final, unless the store has come back from a copy in between.

use super::{
    Generation,
    audit::{Attachment, Entry},
    diff::Difference,
    object::{Change, Object, Refusal, Step},
};
use crate::rules::edit::{self, Target};
use serde_json::Value;

/// Maximum number of times that an edit is rebased on another operator's rules.
const REBASES_MAX: u32 = 16;

/// A change to the text of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Replaces the whole text. The new text contains all changes of other
    /// operators only if it is based on the newest generation.
    Replace {
        /// The new text.
        rules: String,
        /// Generation that the text is based on, if the operator specifies it.
        based_on: Option<Generation>,
    },
    /// Adds a `take-out` line to the rules in force.
    TakeOut(Target),
    /// Removes a `take-out` line from the rules in force.
    BringBack(Target),
}

/// Next action of a [`Proposal`], to be performed by the I/O code.
#[derive(Debug, PartialEq, Eq)]
pub enum Action<'a, V> {
    /// Read the rule object.
    Read,
    /// Create an object unless one with its name exists.
    Attach(&'a Attachment),
    /// Write the rule object: create it if `version` is `None`, else update it
    /// if it still has that version.
    Write {
        /// Content to write.
        content: &'a Value,
        /// Version that the write is based on.
        version: Option<&'a V>,
    },
    /// Stop: the outcome is known.
    Finish(&'a Outcome),
}

/// Result of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<V> {
    /// The rule object does not exist.
    Absent {
        /// Era of the store.
        era: u64,
    },
    /// The rule object was read.
    Found {
        /// Version of the rule object.
        version: V,
        /// Content of the rule object.
        object: Object,
    },
    /// The attachment was created.
    Attached,
    /// An object with the attachment's name already exists.
    AttachmentExists {
        /// Content of the existing object.
        content: Value,
    },
    /// The write took effect.
    Written,
    /// The rule object has another version, or already exists.
    VersionMoved,
    /// No answer arrived; the action may or may not have taken effect.
    NoAnswer,
    /// The action had no effect; it may succeed later.
    NotSent,
    /// The platform rejected the action permanently, or holds an invalid rule
    /// object.
    Rejected(String),
}

/// Conflict with a change of another operator that was written first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Generation that the change was based on.
    pub base: Generation,
    /// Generation in force.
    pub current: Generation,
    /// Changes since the base, oldest first, as far as the rule object contains
    /// them.
    pub winners: Vec<Entry>,
    /// Difference from the rules in force to the refused text.
    pub difference: Difference,
}

/// Outcome of a proposal.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change is in force.
    Applied(Entry),
    /// Another change was written first; this one is not in force and never will
    /// be.
    Conflict(Box<Conflict>),
    /// The change was refused and is not in force.
    Refused(Refusal),
    /// The proposal was abandoned with no write in doubt; the change is not in
    /// force.
    NotRun,
    /// The proposal was abandoned after a write without an answer; the change may
    /// be in force.
    Unknown,
}

impl PartialEq for Outcome {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Applied(left), Self::Applied(right)) => left == right,
            (Self::Conflict(left), Self::Conflict(right)) => left == right,
            (Self::Refused(left), Self::Refused(right)) => left.to_string() == right.to_string(),
            (Self::NotRun, Self::NotRun) | (Self::Unknown, Self::Unknown) => true,
            _ => false,
        }
    }
}

impl Eq for Outcome {}

/// A change applied to one version of the rule object, ready to be written.
#[derive(Debug)]
struct Draft<V> {
    version: Option<V>,
    base: Object,
    step: Step,
    attached: usize,
}

#[derive(Debug)]
enum State {
    Reading,
    Writing,
    Finished(Outcome),
}

/// A change that is being made, as a state machine.
///
/// The I/O code performs each [`Proposal::action`] and passes the result to
/// [`Proposal::handle`].
#[derive(Debug)]
pub struct Proposal<V> {
    change: Change,
    edit: Edit,
    draft: Option<Draft<V>>,
    state: State,
    rebases: u32,
    /// Whether a write based on the draft's version got no answer.
    in_doubt: bool,
}

impl<V: Clone + Eq> Proposal<V> {
    /// Creates a proposal that starts with reading the rule object.
    #[must_use]
    pub const fn new(edit: Edit, change: Change) -> Self {
        Self {
            change,
            edit,
            draft: None,
            state: State::Reading,
            rebases: 0,
            in_doubt: false,
        }
    }

    /// Returns the action to perform next.
    pub fn action(&self) -> Action<'_, V> {
        match (&self.state, &self.draft) {
            (State::Finished(outcome), _) => Action::Finish(outcome),
            (State::Writing, Some(draft)) => match draft.step.attachments.get(draft.attached) {
                Some(attachment) => Action::Attach(attachment),
                None => Action::Write {
                    content: &draft.step.content,
                    version: draft.version.as_ref(),
                },
            },
            _ => Action::Read,
        }
    }

    /// Handles the result of the action.
    pub fn handle(&mut self, event: Event<V>) {
        match event {
            Event::Absent { era } => self.on_read(None, Object::new().with_read_era(era)),
            Event::Found { version, object } => self.on_read(Some(version), object),
            Event::Attached => self.on_attached(),
            Event::AttachmentExists { content } => self.on_existing(&content),
            Event::Written => self.on_written(),
            Event::VersionMoved => self.state = State::Reading,
            Event::NoAnswer => self.on_no_answer(),
            Event::NotSent => {}
            Event::Rejected(_) if self.in_doubt => self.state = State::Reading,
            Event::Rejected(message) => self.finish(Outcome::Refused(Refusal::Platform(message))),
        }
    }

    /// Ends the proposal, and returns what is known of its outcome.
    #[must_use]
    pub fn give_up(self) -> Outcome {
        match self.state {
            State::Finished(outcome) => outcome,
            _ if self.in_doubt => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.in_doubt = false;
        self.state = State::Finished(outcome);
    }

    fn on_read(&mut self, version: Option<V>, object: Object) {
        if let Some(entry) = object.entry(&self.change.id) {
            let entry = entry.clone();
            return self.finish(Outcome::Applied(entry));
        }
        if let Some(draft) = &self.draft
            && draft.base.read_era() < object.read_era()
        {
            if self.in_doubt {
                // The change may be lost, may be written back by a process that has it
                // in force, or may still take effect on the same revision.
                return self.finish(Outcome::Unknown);
            }
            self.draft = None;
        }
        if let Some(draft) = &self.draft {
            if draft.version == version {
                self.state = State::Writing;
                return;
            }
            if object.generation < draft.base.generation {
                // A stale read gives no information about the write.
                return;
            }
            // The version has changed without this change, so no write based on
            // the old version can take effect any more.
            self.in_doubt = false;
            self.rebases += 1;
        }
        match self.find_conflict(&object) {
            Some(conflict) => self.finish(Outcome::Conflict(Box::new(conflict))),
            None => self.start_draft(version, object),
        }
    }

    /// Returns a conflict if the change must not be based on this object.
    fn find_conflict(&self, object: &Object) -> Option<Conflict> {
        let drafted = self.draft.as_ref().map(|draft| draft.base.generation);
        let (base, rules) = match &self.edit {
            Edit::Replace { rules, based_on } => (based_on.or(drafted)?, rules.clone()),
            _ if self.rebases > REBASES_MAX => (drafted?, object.rules.clone()),
            _ => return None,
        };
        (base != object.generation || drafted.is_some()).then(|| Conflict {
            base,
            current: object.generation,
            winners: object.entries_after(base).to_vec(),
            difference: Difference::new(&object.rules, &rules),
        })
    }

    fn start_draft(&mut self, version: Option<V>, base: Object) {
        match self.step(&base) {
            Err(refusal) => self.finish(Outcome::Refused(refusal)),
            Ok(step) => {
                self.state = State::Writing;
                self.draft = Some(Draft {
                    version,
                    base,
                    step,
                    attached: 0,
                });
            }
        }
    }

    fn step(&self, base: &Object) -> Result<Step, Refusal> {
        let rules = match &self.edit {
            Edit::Replace { rules, .. } => rules.clone(),
            _ if base.generation == Generation::default() => return Err(Refusal::Absent),
            Edit::TakeOut(target) => edit::take_out(&base.rules, target, &self.change.request)?,
            Edit::BringBack(target) => edit::bring_back(&base.rules, target)?,
        };
        base.replace(&rules, &self.change)
    }

    fn on_attached(&mut self) {
        if let Some(draft) = &mut self.draft {
            draft.attached += 1;
        }
    }

    fn on_existing(&mut self, stored: &Value) {
        let Action::Attach(attachment) = self.action() else {
            return;
        };
        if attachment.content == *stored {
            self.on_attached();
        } else {
            let refusal = Refusal::Attachment(attachment.name.clone());
            self.finish(Outcome::Refused(refusal));
        }
    }

    fn on_written(&mut self) {
        let entry = self
            .draft
            .as_ref()
            .and_then(|draft| draft.step.object.entry(&self.change.id));
        if let Some(entry) = entry.cloned() {
            self.finish(Outcome::Applied(entry));
        }
    }

    fn on_no_answer(&mut self) {
        if matches!(self.action(), Action::Write { .. }) {
            self.in_doubt = true;
            self.state = State::Reading;
        }
    }
}
