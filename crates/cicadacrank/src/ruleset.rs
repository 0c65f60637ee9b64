//! Reads and changes the rule object of the platform.
//!
//! The decisions are [`Proposal`]'s; this module carries its actions out and
//! repeats failed ones until the time is up.

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

/// First backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Access to the rule object for a bounded time.
#[derive(Debug)]
pub struct Session {
    store: Client,
    deadline: Instant,
}

impl Session {
    /// Creates a session that gives up after `timeout`.
    pub fn new(store: Client, timeout: Duration) -> Self {
        Self {
            store,
            deadline: Instant::now() + timeout,
        }
    }

    /// Reads the rules in force.
    pub async fn read(&self) -> Result<Object, Error> {
        let object = self.get(Collection::Rulesets, RULESET_NAME).await?;
        let value = object.ok_or_else(|| {
            Error::not_run(Kind::NotReady, "reading the rules: none are in force yet")
        })?;
        Object::decode(value).map_err(|error| decode_error("reading the rules", &error))
    }

    /// Reads a page of the trail.
    pub async fn page(&self, number: u64) -> Result<Page, Error> {
        let name = Page::name(number);
        let value = self.read_audit(&name).await?;
        Page::decode(value).map_err(|error| decode_error(&name, &error))
    }

    /// Reads all lines of a change.
    pub async fn lines(&self, entry: &Entry) -> Result<Difference, Error> {
        if !entry.has_detail() {
            return Ok(entry.lines.clone());
        }
        let name = Detail::name(&entry.change, entry.generation);
        let value = self.read_audit(&name).await?;
        let detail = Detail::decode(value).map_err(|error| decode_error(&name, &error))?;
        Ok(detail.lines)
    }

    /// Puts a change in force and returns its entry.
    pub async fn propose(&self, edit: Edit, change: Change) -> Result<Entry, Error> {
        let id = change.id.clone();
        match self.drive(Proposal::new(edit, change)).await {
            Outcome::Applied(entry) => Ok(entry),
            Outcome::Conflict(conflict) => Err(Error::Conflict(conflict)),
            Outcome::Refused(refusal) => Err(refusal_error(refusal)),
            Outcome::NotRun => Err(Error::not_run(
                Kind::PlatformDown,
                format!("sending change {id}: nothing was written"),
            )),
            Outcome::Unknown => {
                let context = format!(
                    "change {id} may be in force: the platform's answer was lost; \
                     run the command again with --change {id} to settle it"
                );
                Err(Error::Failure(Failure::unknown(
                    Kind::PlatformDown,
                    context,
                )))
            }
        }
    }

    async fn drive(&self, mut proposal: Proposal<Version>) -> Outcome {
        let mut backoff = MIN_BACKOFF;
        while Instant::now() < self.deadline {
            let event = match proposal.action() {
                Action::Finish(outcome) => return outcome.clone(),
                Action::Read => self.read_object().await,
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

    async fn read_object(&self) -> Event<Version> {
        match self.store.get(Collection::Rulesets, RULESET_NAME).await {
            Ok(object) => match Object::decode(object.spec) {
                Ok(decoded) => Event::Found {
                    version: object.version,
                    object: decoded,
                },
                Err(error) => Event::Rejected(format!("the rule object: {error}")),
            },
            Err(Fault::Missing) => Event::Absent,
            Err(fault) => failure_event(fault),
        }
    }

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

    async fn read_audit(&self, name: &str) -> Result<Value, Error> {
        let value = self.get(Collection::Audits, name).await?;
        value.ok_or_else(|| {
            Error::not_run(Kind::Internal, format!("reading {name}: it does not exist"))
        })
    }

    /// Reads an object, again and again while the platform does not answer.
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

/// Returns the event of a call that has no result.
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
