//! Claims of work that may not be repeated, kept in the platform.
//!
//! The claims of a stage are spread over shards, one object each. One task of
//! a process writes a shard and takes all that has gathered into one
//! conditional update; two processes that write the same shard see each
//! other's changes as conflicts.

mod pages;
mod writer;

use self::writer::{Operation, Reply, Request, Writer};
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
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest wait before a claim is looked at again.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Times the record of an outcome is tried: for half a minute at the longest
/// wait.
const MAX_SETTLE_TRIES: u32 = 60;

/// Largest output that a claim keeps, in bytes.
pub const MAX_OUTPUT_BYTES: usize = 64 << 10;

/// Makes and settles claims; clones share their writers.
#[derive(Clone)]
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Clock,
    ttl: Duration,
    deduplicator: Arc<Mutex<Deduplicator>>,
    writers: Arc<Mutex<Vec<Queue>>>,
}

/// The way to the writer of one object.
struct Queue {
    object: String,
    sender: mpsc::UnboundedSender<Request>,
}

/// A claim that this attempt holds.
#[derive(Clone, Debug)]
pub struct Handle {
    name: Name,
    holder: id::Holder,
}

/// What asking for a claim came to.
#[derive(Debug)]
pub enum Acquisition {
    /// The attempt holds the claim and may send the work.
    Held(Handle),
    /// An earlier attempt ended; this is its outcome.
    Replay(Outcome),
}

impl Claims {
    /// Creates claims in the store that end after `life`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock, ttl: Duration) -> Self {
        Self {
            store,
            clock,
            ttl,
            deduplicator: Arc::default(),
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
        let mut deduplicator = self
            .deduplicator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if deduplicator.insert(attempt) {
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
    ) -> Result<(Acquisition, Unsent), ExecutionError> {
        let holder = id::Holder::new(rand::random());
        let wanted = Claim::new(holder, attempt, digest.to_owned(), self.expiry_unix_ms());
        let mut backoff = MIN_BACKOFF;
        let mut last = Observation::Nothing;
        loop {
            let operation = Operation::Claim(wanted.clone());
            let reply = self.submit(name, operation, last == Observation::HeldElsewhere);
            let Ok(reply) = time::timeout_at(deadline, reply).await else {
                return Err(self.give_up(name, holder, last, unsent));
            };
            last = match reply {
                Ok(Reply::Verdict(Verdict::Run)) => {
                    Event::ClaimMade.log(format_args!("claim {name} attempt {attempt}"));
                    return Ok((Acquisition::Held(Handle { name, holder }), unsent));
                }
                Ok(Reply::Verdict(Verdict::Replay(outcome))) => {
                    return Ok((Acquisition::Replay(outcome), unsent));
                }
                Ok(Reply::Verdict(Verdict::Reused)) => {
                    return Err(unsent.refuse(Kind::KeyReused, "claiming the work"));
                }
                Ok(Reply::Full) => {
                    return Err(unsent.refuse(Kind::PlatformDown, "the claims' shard is full"));
                }
                Ok(Reply::Verdict(Verdict::Wait)) => Observation::HeldElsewhere,
                // A shard takes over by itself.
                Ok(Reply::Verdict(Verdict::TakeOver) | Reply::Settled(_)) | Err(_)
                    if last == Observation::HeldElsewhere =>
                {
                    Observation::HeldElsewhere
                }
                Ok(_) | Err(_) => Observation::Fault,
            };
            if Instant::now() + backoff >= deadline {
                return Err(self.give_up(name, holder, last, unsent));
            }
            time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Records how the work ended.
    pub async fn record(&self, handle: Handle, outcome: Outcome) {
        if self.settle(&handle, &State::Done { outcome }).await {
            Event::ClaimRecorded.log(format_args!("claim {}", handle.name));
        } else {
            Event::ClaimOpen.log(format_args!("claim {}: not recorded", handle.name));
        }
    }

    /// Notes that the work surely was not sent, so that another may run it.
    pub async fn release(&self, handle: Handle, _unsent: &Unsent) {
        if !self.settle(&handle, &State::Unsent).await {
            Event::ClaimOpen.log(format_args!("claim {}: not released", handle.name));
        }
    }

    /// Refuses the work; a claim that may have been made all the same is
    /// released behind the answer.
    fn give_up(
        &self,
        name: Name,
        holder: id::Holder,
        last: Observation,
        unsent: Unsent,
    ) -> ExecutionError {
        let claims = self.clone();
        tokio::spawn(async move {
            claims
                .settle(&Handle { name, holder }, &State::Unsent)
                .await
        });
        match last {
            Observation::HeldElsewhere => {
                unsent.refuse_unknown(Kind::OutcomeUnknown, "another attempt holds the claim")
            }
            Observation::Fault => unsent.refuse(Kind::PlatformDown, "claiming the work"),
            Observation::Nothing => unsent.refuse(Kind::Deadline, "claiming the work"),
        }
    }

    /// Settles a claim; returns whether the platform has it so.
    async fn settle(&self, handle: &Handle, state: &State) -> bool {
        let mut backoff = MIN_BACKOFF;
        for _ in 0..MAX_SETTLE_TRIES {
            let operation = Operation::Settle {
                holder: handle.holder,
                state: state.clone(),
                ends_unix_ms: self.expiry_unix_ms(),
            };
            if let Ok(Reply::Settled(settled)) = self.submit(handle.name, operation, false).await {
                return settled;
            }
            time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        false
    }

    /// Has the shard's writer do something and waits for its reply.
    async fn submit(&self, name: Name, operation: Operation, reload: bool) -> Result<Reply, Fault> {
        let (reply, answer) = oneshot::channel();
        let request = Request {
            name,
            operation,
            reload,
            reply,
        };
        // The writer lives as long as its desk.
        drop(self.queue(name).send(request));
        let closed = |_| Err(Fault::Lost("the writer is gone".to_owned()));
        answer.await.unwrap_or_else(closed)
    }

    fn queue(&self, name: Name) -> mpsc::UnboundedSender<Request> {
        let object = name.object();
        let mut queues = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by(|queue| queue.object.cmp(&object)) {
            Ok(index) => queues[index].sender.clone(),
            Err(index) => {
                let (sender, receiver) = mpsc::unbounded_channel();
                let writer = Writer::new(Arc::clone(&self.store), self.clock, object.clone());
                tokio::spawn(writer.run(receiver));
                let queue = Queue {
                    object,
                    sender: sender.clone(),
                };
                queues.insert(index, queue);
                sender
            }
        }
    }

    fn expiry_unix_ms(&self) -> u64 {
        self.clock.unix_ms() + u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX)
    }
}

/// What the last look at a claim came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observation {
    /// There was no reply yet.
    Nothing,
    /// The platform failed.
    Fault,
    /// Another holds the claim.
    HeldElsewhere,
}
