//! Decides each step of a change to the rules until its outcome is known.
//!
//! The platform may lose the answer to a write that took effect, and another
//! operator may write first. A write is conditional on the version of the
//! object it was based on, so a lost one can take effect only while that
//! version stands. The proposal therefore repeats the same write until it
//! either reads its change id in the trail or sees another version without it;
//! both are final.

use super::{
    Generation,
    audit::{Attachment, Entry},
    diff::Difference,
    object::{Change, Object, Refusal, Step},
};
use crate::rules::edit::{self, Target};
use serde_json::Value;

/// Most times an edit is made anew on the rules of another operator.
const REBASES_MAX: u32 = 16;

/// What to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Puts a whole text in force, which holds all of the other operators'
    /// work only if it is based on the newest.
    Replace {
        /// The new text.
        rules: String,
        /// Generation the text was based on, if the operator says so.
        based_on: Option<Generation>,
    },
    /// Adds a take-out line to whatever is in force.
    TakeOut(Target),
    /// Removes a take-out line from whatever is in force.
    BringBack(Target),
}

/// What the edge does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Action<'a, V> {
    /// Read the rule object.
    Read,
    /// Create an object if there is none with its name.
    Attach(&'a Attachment),
    /// Write the rule object: create it if `version` is `None`, or update it
    /// if it still has that version.
    Write {
        /// The object's content.
        content: &'a Value,
        /// Version the write is based on.
        version: Option<&'a V>,
    },
    /// Nothing: the outcome is known.
    Finish(&'a Outcome),
}

/// What came of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<V> {
    /// The rule object does not exist.
    Absent,
    /// The rule object was read.
    Found {
        /// Its version.
        version: V,
        /// Its content.
        object: Object,
    },
    /// The attachment was created.
    Attached,
    /// An object with the attachment's name exists.
    AttachmentExists {
        /// Its content.
        content: Value,
    },
    /// The write took effect.
    Written,
    /// The rule object has another version, or exists already.
    VersionMoved,
    /// No answer came; the action may have taken effect or not.
    NoAnswer,
    /// The action surely had no effect; it may pass later.
    NotSent,
    /// The platform refused the action for good, or holds no rule object where
    /// one should be.
    Rejected(String),
}

/// Another operator's change came first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Generation the change was based on.
    pub base: Generation,
    /// Generation in force.
    pub current: Generation,
    /// Changes since the base, oldest first, as far as the object holds them.
    pub winners: Vec<Entry>,
    /// How the refused text differs from the rules in force.
    pub difference: Difference,
}

/// How a proposal ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change is in force.
    Applied(Entry),
    /// Another change came first; this one is not and will not be in force.
    Conflict(Box<Conflict>),
    /// The change is not valid; nothing was written.
    Refused(Refusal),
    /// Given up before any write was sent; nothing was written.
    NotRun,
    /// Given up after a write without an answer; it may be in force.
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

/// A change worked out on one version of the rule object.
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

/// A change on its way.
#[derive(Debug)]
pub struct Proposal<V> {
    change: Change,
    edit: Edit,
    draft: Option<Draft<V>>,
    state: State,
    rebases: u32,
    /// Whether a write on the draft's version has gone without an answer.
    in_doubt: bool,
}

impl<V: Clone + Eq> Proposal<V> {
    /// Creates a proposal that has done nothing.
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

    /// Returns what to do next.
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

    /// Takes in what came of the action.
    pub fn handle(&mut self, event: Event<V>) {
        match event {
            Event::Absent => self.on_read(None, Object::new()),
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

    /// Ends the proposal, because the edge's time is up.
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
        if let Some(draft) = &self.draft {
            if draft.version == version {
                self.state = State::Writing;
                return;
            }
            if object.generation < draft.base.generation {
                // A stale read says nothing about the write.
                return;
            }
            // The version has moved without the change: no write on the old
            // version can take effect any more.
            self.in_doubt = false;
            self.rebases += 1;
        }
        match self.find_conflict(&object) {
            Some(conflict) => self.finish(Outcome::Conflict(Box::new(conflict))),
            None => self.start_draft(version, object),
        }
    }

    /// Returns the conflict, if the change may not be made on this object.
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
