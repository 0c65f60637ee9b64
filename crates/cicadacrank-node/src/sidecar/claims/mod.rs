//! Claims of work that may not be repeated, kept in the platform.
//!
//! The claims of a stage are spread over shards, one object each. One task of
//! a process writes a shard and takes all that has gathered into one
//! conditional update; two processes that write the same shard see each
//! other's changes as conflicts.

mod pages;
mod writer;

use self::writer::{Act, Order, Reply, Writer};
use crate::{
    clock::Clock,
    platform::{Fault, Store},
};
use cicadacrank_core::{
    error::Kind,
    event::Event,
    id,
    once::{Claim, Deduplicator, ExecutionError, Name, Outcome, State, Unsent, Verdict},
};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

/// First wait before a claim is looked at again.
const FIRST_WAIT: Duration = Duration::from_millis(20);

/// Longest wait before a claim is looked at again.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Times the record of an outcome is tried: for half a minute at the longest
/// wait.
const RECORD_TRIES: u32 = 60;

/// Largest output that a claim keeps, in bytes.
pub const OUTPUT_BYTES: usize = 64 << 10;

/// Makes and settles claims; clones share their writers.
#[derive(Clone)]
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Clock,
    life: Duration,
    seen: Arc<Mutex<Deduplicator>>,
    writers: Arc<Mutex<Vec<Desk>>>,
}

/// The way to the writer of one object.
struct Desk {
    object: String,
    sender: mpsc::UnboundedSender<Order>,
}

/// A claim that this attempt holds.
#[derive(Clone, Debug)]
pub struct Held {
    name: Name,
    holder: id::Holder,
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
            writers: Arc::default(),
        }
    }

    /// Gives the proof for an attempt that has just arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::OutcomeUnknown`] for a second copy of an attempt: what
    /// becomes of the first is not known here.
    pub fn begin(&self, attempt: &str) -> Result<(id::Attempt, Unsent), ExecutionError> {
        let unsent = Unsent::begin();
        let Some(attempt) = id::Attempt::parse(attempt) else {
            return Err(unsent.refuse(Kind::BadRequest, "reading the attempt id"));
        };
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.insert(attempt) {
            Ok((attempt, unsent))
        } else {
            Err(unsent.refuse_unknown(Kind::OutcomeUnknown, "the job arrived twice"))
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
    ) -> Result<(Acquired, Unsent), ExecutionError> {
        let holder = id::Holder::new(rand::random());
        let wanted = Claim::new(holder, attempt, digest.to_owned(), self.end());
        let mut wait = FIRST_WAIT;
        let mut last = Last::Nothing;
        loop {
            let claim = Act::Claim(wanted.clone());
            let order = self.order(name, claim, last == Last::Other);
            let Ok(reply) = time::timeout_at(deadline, order).await else {
                return Err(self.give_up(name, holder, last, unsent));
            };
            last = match reply {
                Ok(Reply::Verdict(Verdict::Run)) => {
                    Event::ClaimMade.log(format_args!("claim {name} attempt {attempt}"));
                    return Ok((Acquired::Held(Held { name, holder }), unsent));
                }
                Ok(Reply::Verdict(Verdict::Replay(outcome))) => {
                    return Ok((Acquired::Replay(outcome), unsent));
                }
                Ok(Reply::Verdict(Verdict::Reused)) => {
                    return Err(unsent.refuse(Kind::KeyReused, "claiming the work"));
                }
                Ok(Reply::Full) => {
                    return Err(unsent.refuse(Kind::PlatformDown, "the claims' shard is full"));
                }
                Ok(Reply::Verdict(Verdict::Wait)) => Last::Other,
                // A shard takes over by itself.
                Ok(Reply::Verdict(Verdict::TakeOver) | Reply::Settled(_)) | Err(_)
                    if last == Last::Other =>
                {
                    Last::Other
                }
                Ok(_) | Err(_) => Last::Fault,
            };
            if Instant::now() + wait >= deadline {
                return Err(self.give_up(name, holder, last, unsent));
            }
            time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    /// Records how the work ended.
    pub async fn record(&self, held: Held, outcome: Outcome) {
        if self.settle(&held, &State::Done { outcome }).await {
            Event::ClaimRecorded.log(format_args!("claim {}", held.name));
        } else {
            Event::ClaimOpen.log(format_args!("claim {}: not recorded", held.name));
        }
    }

    /// Notes that the work surely was not sent, so that another may run it.
    pub async fn release(&self, held: Held, _unsent: &Unsent) {
        if !self.settle(&held, &State::Unsent).await {
            Event::ClaimOpen.log(format_args!("claim {}: not released", held.name));
        }
    }

    /// Refuses the work; a claim that may have been made all the same is
    /// released behind the answer.
    fn give_up(
        &self,
        name: Name,
        holder: id::Holder,
        last: Last,
        unsent: Unsent,
    ) -> ExecutionError {
        let claims = self.clone();
        tokio::spawn(async move { claims.settle(&Held { name, holder }, &State::Unsent).await });
        match last {
            Last::Other => {
                unsent.refuse_unknown(Kind::OutcomeUnknown, "another attempt holds the claim")
            }
            Last::Fault => unsent.refuse(Kind::PlatformDown, "claiming the work"),
            Last::Nothing => unsent.refuse(Kind::Deadline, "claiming the work"),
        }
    }

    /// Settles a claim; returns whether the platform has it so.
    async fn settle(&self, held: &Held, state: &State) -> bool {
        let mut wait = FIRST_WAIT;
        for _ in 0..RECORD_TRIES {
            let act = Act::Settle {
                holder: held.holder,
                state: state.clone(),
                ends_unix_ms: self.end(),
            };
            if let Ok(Reply::Settled(settled)) = self.order(held.name, act, false).await {
                return settled;
            }
            time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
        false
    }

    /// Has the shard's writer do something and waits for its reply.
    async fn order(&self, name: Name, act: Act, fresh: bool) -> Result<Reply, Fault> {
        let (reply, answer) = oneshot::channel();
        let order = Order {
            name,
            act,
            fresh,
            reply,
        };
        // The writer lives as long as its desk.
        drop(self.desk(name).send(order));
        let gone = |_| Err(Fault::Lost("the writer is gone".to_owned()));
        answer.await.unwrap_or_else(gone)
    }

    fn desk(&self, name: Name) -> mpsc::UnboundedSender<Order> {
        let object = name.object();
        let mut desks = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        match desks.binary_search_by(|desk| desk.object.cmp(&object)) {
            Ok(index) => desks[index].sender.clone(),
            Err(index) => {
                let (sender, receiver) = mpsc::unbounded_channel();
                let writer = Writer::new(Arc::clone(&self.store), self.clock, object.clone());
                tokio::spawn(writer.run(receiver));
                let desk = Desk {
                    object,
                    sender: sender.clone(),
                };
                desks.insert(index, desk);
                sender
            }
        }
    }

    fn end(&self) -> u64 {
        self.clock.unix_ms() + u64::try_from(self.life.as_millis()).unwrap_or(u64::MAX)
    }
}

/// What the last look at a claim came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Last {
    /// There was no reply yet.
    Nothing,
    /// The platform failed.
    Fault,
    /// Another holds the claim.
    Other,
}
