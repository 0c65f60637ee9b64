//! Reads and changes the rule object of the platform.
//!
//! [`Proposal`] decides on the actions of a change; this module executes them and
//! retries failed ones until the session's deadline.

use crate::error::Error;
use cicadacrank_core::{
    error::{Effect, Failure, Kind},
    generation::{
        Action, Attachment, Change, Detail, Difference, Edit, Entry, Event, Object, Outcome, Page,
        Proposal, Refusal,
    },
    rules::edit,
};
use cicadacrank_node::{
    configuration::RULESET_NAME,
    platform::{Client, Collection, Fault, Store, Version},
};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{self, Instant};

/// Backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the backoff, which doubles with each failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum wait for the rules to be written back to a store that came back from a copy.
const WRITE_BACK_WAIT: Duration = Duration::from_secs(6);
/// Time between two reads of the rule object during that wait.
const WRITE_BACK_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Access to the rule object and its audit trail until a deadline.
#[derive(Debug)]
pub struct Session {
    store: Client,
    deadline: Instant,
}

impl Session {
    /// Creates a session whose deadline is `timeout` from now.
    pub fn new(store: Client, timeout: Duration) -> Self {
        Self {
            store,
            deadline: Instant::now() + timeout,
        }
    }

    /// Returns the rule object, which holds the rules in force.
    ///
    /// # Errors
    ///
    /// Fails if no rules are in force, if the platform does not answer before the
    /// deadline or if the object cannot be decoded.
    pub async fn read(&self) -> Result<Object, Error> {
        let object = self.get(Collection::Rulesets, RULESET_NAME).await?;
        let value = object.ok_or_else(|| {
            Error::not_run(
                Kind::NotReady,
                "reading the rules: no rules are in force yet",
            )
        })?;
        Object::decode(value).map_err(|error| decode_error("reading the rules", &error))
    }

    /// Returns a page of the audit trail.
    pub async fn page(&self, number: u64) -> Result<Page, Error> {
        let name = Page::name(number);
        let value = self.read_audit(&name).await?;
        Page::decode(value).map_err(|error| decode_error(&name, &error))
    }

    /// Returns all lines that a change added or removed.
    ///
    /// Reads the detail of the change if the entry omits lines.
    pub async fn lines(&self, entry: &Entry) -> Result<Difference, Error> {
        if !entry.has_detail() {
            return Ok(entry.lines.clone());
        }
        let name = Detail::name(&entry.change, entry.generation);
        let value = self.read_audit(&name).await?;
        let detail = Detail::decode(value).map_err(|error| decode_error(&name, &error))?;
        Ok(detail.lines)
    }

    /// Puts a change in force and returns its audit entry.
    ///
    /// # Errors
    ///
    /// Fails if another change was written first, if the change is refused or if
    /// the deadline passes. The effect of the error is `Unknown` if the deadline
    /// passes after a write without an answer, and `NotRun` otherwise.
    pub async fn propose(&self, edit: Edit, change: Change) -> Result<Entry, Error> {
        let id = change.id.clone();
        // A replacement needs no rules that the store may have lost.
        let write_back_wait = match edit {
            Edit::Replace { .. } => Duration::ZERO,
            Edit::TakeOut(_) | Edit::BringBack(_) => WRITE_BACK_WAIT,
        };
        let proposal = Proposal::new(edit, change);
        match self.drive(proposal, write_back_wait).await {
            Outcome::Applied(entry) => Ok(entry),
            Outcome::Conflict(conflict) => Err(Error::Conflict(conflict)),
            Outcome::Refused(refusal) => Err(refusal_error(refusal)),
            Outcome::NotRun => Err(Error::not_run(
                Kind::PlatformDown,
                format!("sending change {id}: the deadline passed and nothing was written"),
            )),
            Outcome::Unknown => {
                let context = format!(
                    "change {id} may be in force: the platform did not answer the write; \
                     run the command again with --change {id} to resolve it"
                );
                Err(Error::Failure(Failure::unknown(
                    Kind::PlatformDown,
                    context,
                )))
            }
        }
    }

    /// Executes the actions of a proposal until it finishes or the deadline passes.
    async fn drive(&self, mut proposal: Proposal<Version>, write_back_wait: Duration) -> Outcome {
        let mut backoff = MIN_BACKOFF;
        let written_back_by = self.deadline.min(Instant::now() + write_back_wait);
        while Instant::now() < self.deadline {
            let event = match proposal.action() {
                Action::Finish(outcome) => return outcome.clone(),
                Action::Read => self.read_written_back(written_back_by).await,
                Action::Attach(attachment) => self.attach(attachment).await,
                Action::Write { content, version } => self.write(content, version).await,
            };
            let failed = matches!(event, Event::NoAnswer | Event::NotSent);
            proposal.handle(event);
            if failed {
                time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        proposal.give_up()
    }

    /// Reads the rule object. If the store may have lost changes, waits until `deadline`
    /// for an instance to write the rules back.
    async fn read_written_back(&self, deadline: Instant) -> Event<Version> {
        loop {
            let event = self.read_object().await;
            let may_be_behind = match &event {
                Event::Found { object, .. } => object.may_be_behind(),
                Event::Absent { era } => *era > 0,
                _ => false,
            };
            if !may_be_behind || Instant::now() >= deadline {
                return event;
            }
            time::sleep(WRITE_BACK_POLL_INTERVAL).await;
        }
    }

    /// Reads the rule object.
    async fn read_object(&self) -> Event<Version> {
        match self.store.get(Collection::Rulesets, RULESET_NAME).await {
            Ok(object) => match Object::decode(object.spec) {
                Ok(decoded) => Event::Found {
                    version: object.version,
                    object: decoded.with_read_era(object.version.era),
                },
                Err(error) => Event::Rejected(format!("the rule object: {error}")),
            },
            Err(Fault::Missing) => Event::Absent {
                era: self.store.era(),
            },
            Err(fault) => failure_event(fault),
        }
    }

    /// Creates an attachment, or reads the object that already has its name.
    async fn attach(&self, attachment: &Attachment) -> Event<Version> {
        let Attachment { name, content } = attachment;
        let created = self
            .store
            .create(Collection::Audits, name, content.clone())
            .await;
        match created {
            Ok(_) => Event::Attached,
            Err(Fault::Exists) => match self.store.get(Collection::Audits, name).await {
                Ok(object) => Event::AttachmentExists {
                    content: object.spec,
                },
                Err(fault) => failure_event(fault),
            },
            Err(fault) => failure_event(fault),
        }
    }

    /// Updates the rule object at `version`, or creates it if there is none.
    async fn write(&self, content: &Value, version: Option<&Version>) -> Event<Version> {
        let (kind, name) = (Collection::Rulesets, RULESET_NAME);
        let content = content.clone();
        let written = match version {
            Some(version) => self.store.update(kind, name, version, content).await,
            None => self.store.create(kind, name, content).await,
        };
        match written {
            Ok(_) => Event::Written,
            Err(Fault::Exists | Fault::Conflict | Fault::Missing) => Event::VersionMoved,
            Err(fault) => failure_event(fault),
        }
    }

    /// Returns the content of an audit object.
    ///
    /// # Errors
    ///
    /// Fails if the object does not exist or the platform does not answer.
    async fn read_audit(&self, name: &str) -> Result<Value, Error> {
        let value = self.get(Collection::Audits, name).await?;
        value.ok_or_else(|| {
            Error::not_run(Kind::Internal, format!("reading {name}: it does not exist"))
        })
    }

    /// Returns the content of an object, or `None` if it does not exist.
    ///
    /// Retries failed calls with exponential backoff until the deadline.
    async fn get(&self, collection: Collection, name: &str) -> Result<Option<Value>, Error> {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.store.get(collection, name).await {
                Ok(object) => return Ok(Some(object.spec)),
                Err(Fault::Missing) => return Ok(None),
                Err(fault) if Instant::now() + backoff >= self.deadline => {
                    let context = format!("reading {name}: {fault}");
                    return Err(Error::not_run(Kind::PlatformDown, context));
                }
                Err(_) => time::sleep(backoff).await,
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Returns the event that reports a failed call to the proposal.
fn failure_event(fault: Fault) -> Event<Version> {
    match fault {
        Fault::Invalid(message) => Event::Rejected(message),
        fault if fault.may_have_effect() => Event::NoAnswer,
        _ => Event::NotSent,
    }
}

fn decode_error(what: &str, error: &dyn std::error::Error) -> Error {
    Error::not_run(Kind::Internal, format!("{what}: {error}"))
}

fn refusal_error(refusal: Refusal) -> Error {
    match refusal {
        Refusal::Faults(faults) | Refusal::Edit(edit::Error::Faults(faults)) => {
            Error::Faults(vec![faults])
        }
        refusal => Error::Failure(Failure {
            kind: refusal.kind(),
            effect: Effect::NotRun,
            context: refusal.to_string(),
        }),
    }
}
