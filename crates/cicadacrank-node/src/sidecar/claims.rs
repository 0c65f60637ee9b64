//! Claims of work that may not be repeated, kept in the platform.

use crate::{
    clock::Clock,
    platform::{Collection, Fault, Object, Store, Version},
};
use cicadacrank_core::{
    error::Kind,
    event::Event,
    id,
    once::{Claim, Name, Outcome, Seen, State, Stop, Unsent, Verdict},
};
use serde_json::Value;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::{self, Instant};

/// First wait before a claim is looked at again.
const FIRST_WAIT: Duration = Duration::from_millis(20);

/// Longest wait before a claim is looked at again.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Times the record of an outcome is tried: for half a minute at the longest
/// wait.
const RECORD_TRIES: u32 = 60;

/// Largest output that a claim keeps, in bytes.
pub const OUTPUT_BYTES: usize = 64 << 10;

/// Makes and settles claims.
#[derive(Clone)]
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Clock,
    life: Duration,
    seen: Arc<Mutex<Seen>>,
}

/// A claim that this attempt holds.
#[derive(Clone, Debug)]
pub struct Held {
    name: String,
    claim: Claim,
    version: Version,
}

/// What asking for a claim came to.
#[derive(Debug)]
pub enum Acquired {
    /// The attempt holds the claim and may send the work.
    Held(Held),
    /// An earlier attempt ended; this is its outcome.
    Replay(Outcome),
}

impl Claims {
    /// Creates claims in the store that end after `life`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock, life: Duration) -> Self {
        Self {
            store,
            clock,
            life,
            seen: Arc::default(),
        }
    }

    /// Gives the proof for an attempt that has just arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::OutcomeUnknown`] for a second copy of an attempt: what
    /// becomes of the first is not known here.
    pub fn begin(&self, attempt: &str) -> Result<(id::Attempt, Unsent), Stop> {
        let unsent = Unsent::begin();
        let Some(attempt) = id::Attempt::parse(attempt) else {
            return Err(unsent.refuse(Kind::BadRequest, "reading the attempt id"));
        };
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.insert(attempt) {
            Ok((attempt, unsent))
        } else {
            Err(unsent.doubt(Kind::OutcomeUnknown, "the job arrived twice"))
        }
    }

    /// Asks for the claim of this name.
    ///
    /// Waits for an attempt that holds it until the deadline. The proof that
    /// nothing was sent comes back with a claim and is used up by a failure.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::KeyReused`], [`Kind::PlatformDown`] or
    /// [`Kind::Deadline`] without effect, or [`Kind::OutcomeUnknown`] when
    /// another attempt still holds the claim.
    pub async fn acquire(
        &self,
        name: Name,
        attempt: id::Attempt,
        digest: &str,
        deadline: Instant,
        unsent: Unsent,
    ) -> Result<(Acquired, Unsent), Stop> {
        let name = name.to_string();
        let holder = id::Holder::new(rand::random());
        let wanted = Claim::new(holder, attempt, digest.to_owned(), 0);
        let mut wait = FIRST_WAIT;
        let mut held_by_other = false;
        loop {
            match self.look(&name, &wanted).await {
                Ok(Step::Ended(acquired)) => return Ok((acquired, unsent)),
                Ok(Step::Reused) => {
                    return Err(unsent.refuse(Kind::KeyReused, "claiming the work"));
                }
                Ok(Step::Wait) => held_by_other = true,
                Ok(Step::Again) => {}
                Err(fault) => Event::PlatformFailed.log(format_args!("claim {name}: {fault}")),
            }
            if Instant::now() + wait >= deadline {
                return Err(self.give_up(name, holder, held_by_other, unsent));
            }
            time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    /// Records how the work ended.
    pub async fn record(&self, held: Held, outcome: Outcome) {
        let settled = self.settle(&held, State::Done { outcome }).await;
        if settled {
            Event::ClaimRecorded.log(format_args!("claim {}", held.name));
        } else {
            Event::ClaimOpen.log(format_args!("claim {}: not recorded", held.name));
        }
    }

    /// Notes that the work surely was not sent, so that another may run it.
    pub async fn release(&self, held: Held, _unsent: &Unsent) {
        if !self.settle(&held, State::Unsent).await {
            Event::ClaimOpen.log(format_args!("claim {}: not released", held.name));
        }
    }

    async fn look(&self, name: &str, wanted: &Claim) -> Result<Step, Fault> {
        let claim = Claim {
            ends_unix_ms: self.end(),
            ..wanted.clone()
        };
        match self
            .store
            .create(Collection::Claims, name, spec(&claim))
            .await
        {
            Ok(version) => return Ok(held(name, claim, version)),
            Err(Fault::Exists | Fault::Lost(_)) => {}
            Err(fault) => return Err(fault),
        }
        let object = match self.store.get(Collection::Claims, name).await {
            Ok(object) => object,
            Err(Fault::Missing) => return Ok(Step::Again),
            Err(fault) => return Err(fault),
        };
        let found = read(&object)?;
        if found.is_ended(self.clock.unix_ms()) {
            return self.take_over(name, claim, object.version).await;
        }
        match found.verdict(wanted) {
            Verdict::Run => Ok(held(name, found, object.version)),
            Verdict::Wait => Ok(Step::Wait),
            Verdict::Replay(outcome) => Ok(Step::Ended(Acquired::Replay(outcome))),
            Verdict::Reused => Ok(Step::Reused),
            Verdict::TakeOver => self.take_over(name, claim, object.version).await,
        }
    }

    async fn take_over(&self, name: &str, claim: Claim, seen: Version) -> Result<Step, Fault> {
        let update = self
            .store
            .update(Collection::Claims, name, &seen, spec(&claim))
            .await;
        match update {
            Ok(version) => Ok(held(name, claim, version)),
            Err(Fault::Conflict | Fault::Lost(_) | Fault::Missing) => Ok(Step::Again),
            Err(fault) => Err(fault),
        }
    }

    /// Refuses the work; a claim of this attempt that may have been made all
    /// the same is released behind it.
    fn give_up(
        &self,
        name: String,
        holder: id::Holder,
        held_by_other: bool,
        unsent: Unsent,
    ) -> Stop {
        if held_by_other {
            return unsent.doubt(Kind::OutcomeUnknown, "another attempt holds the claim");
        }
        tokio::spawn(self.clone().withdraw(name, holder));
        unsent.refuse(Kind::PlatformDown, "claiming the work")
    }

    /// Releases a claim whose making had no answer, if it was made.
    async fn withdraw(self, name: String, holder: id::Holder) {
        let mut wait = FIRST_WAIT;
        for _ in 0..RECORD_TRIES {
            match self.store.get(Collection::Claims, &name).await {
                Ok(object) => {
                    if let Ok(claim) = read(&object)
                        && claim.holder == holder
                        && claim.state == State::Open
                    {
                        let version = object.version;
                        let held = Held {
                            name,
                            claim,
                            version,
                        };
                        self.settle(&held, State::Unsent).await;
                    }
                    return;
                }
                Err(Fault::Missing) => return,
                Err(_) => {}
            }
            time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
        Event::ClaimOpen.log(format_args!("claim {name}: not withdrawn"));
    }

    async fn settle(&self, held: &Held, state: State) -> bool {
        let claim = Claim {
            ends_unix_ms: self.end(),
            ..held.claim.clone().with_state(state)
        };
        let mut version = held.version.clone();
        let mut wait = FIRST_WAIT;
        for _ in 0..RECORD_TRIES {
            let update = self
                .store
                .update(Collection::Claims, &held.name, &version, spec(&claim))
                .await;
            match update {
                Ok(_) => return true,
                Err(Fault::Missing | Fault::Invalid(_)) => return false,
                Err(Fault::Conflict | Fault::Lost(_)) => {
                    if let Ok(object) = self.store.get(Collection::Claims, &held.name).await {
                        match read(&object) {
                            Ok(found) if found.holder != claim.holder => return false,
                            Ok(found) if found.state == claim.state => return true,
                            _ => version = object.version,
                        }
                    }
                }
                Err(_) => {}
            }
            time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
        false
    }

    fn end(&self) -> u64 {
        self.clock.unix_ms() + u64::try_from(self.life.as_millis()).unwrap_or(u64::MAX)
    }
}

enum Step {
    Ended(Acquired),
    Reused,
    Wait,
    Again,
}

fn held(name: &str, claim: Claim, version: Version) -> Step {
    Event::ClaimMade.log(format_args!("claim {name} attempt {}", claim.attempt));
    Step::Ended(Acquired::Held(Held {
        name: name.to_owned(),
        claim,
        version,
    }))
}

fn spec(claim: &Claim) -> Value {
    serde_json::to_value(claim).unwrap_or_default()
}

fn read(object: &Object) -> Result<Claim, Fault> {
    serde_json::from_value(object.spec.clone()).map_err(|error| Fault::Invalid(error.to_string()))
}
