//! Claims on non-idempotent work, stored in the platform.
//!
//! The claims of a stage are distributed over shards, each of which is one
//! platform object. In each process, one task writes a shard and combines all
//! pending requests into one conditional update. Processes that write the same
//! shard see each other's changes as conflicts.

mod pages;
mod writer;

use self::writer::{Operation, Reply, Request, Writer};
use crate::{
    clock::Clock,
    platform::{Collection, Fault, Store},
};
use cicadacrank_core::{
    error::Kind,
    event::Event,
    id,
    once::{Claim, Deduplicator, ExecutionError, Name, Outcome, Recovery, State, Unsent, Verdict},
};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

/// Backoff before the first retry of a request to the writer.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff before a retry of a request to the writer.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum number of tries to store the state of a claim, which take half a
/// minute at [`MAX_BACKOFF`].
const MAX_SETTLE_TRIES: u32 = 60;

/// Time between two reads during a recovery of the platform.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Name of an object that does not exist, which is read during a recovery.
const PROBE_NAME: &str = "recovery";

/// Maximum size of an output stored with a claim, in bytes.
pub const MAX_OUTPUT_BYTES: usize = 64 << 10;

/// Creates and settles claims; clones share the same writers.
#[derive(Clone)]
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Clock,
    ttl: Duration,
    deduplicator: Arc<Mutex<Deduplicator>>,
    recovery: Arc<Mutex<Recovery>>,
    writers: Arc<Mutex<Vec<Queue>>>,
}

/// Request queue of the writer of one shard.
struct Queue {
    object: String,
    sender: mpsc::UnboundedSender<Request>,
}

/// Handle to a claim that an attempt of this process holds.
#[derive(Clone, Debug)]
pub struct Handle {
    name: Name,
    holder: id::Holder,
}

/// Result of a successful request for a claim.
#[derive(Debug)]
pub enum Acquisition {
    /// The attempt holds the claim and may send the work.
    Held(Handle),
    /// An earlier attempt has run the work, with this outcome.
    Replay(Outcome),
}

impl Claims {
    /// Creates a client for claims in `store`; a claim expires `ttl` after its
    /// last change.
    ///
    /// Must be called inside a Tokio runtime, because it spawns a task that observes
    /// the era of the store.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock, ttl: Duration) -> Self {
        let recovery = Arc::new(Mutex::new(Recovery::new()));
        let observer = observe_recoveries(Arc::clone(&store), Arc::clone(&recovery), clock);
        tokio::spawn(observer);
        Self {
            store,
            clock,
            ttl,
            deduplicator: Arc::default(),
            recovery,
            writers: Arc::default(),
        }
    }

    /// Registers an attempt that has just arrived, and returns its id and the
    /// proof that nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`] if the id is malformed, and
    /// [`Kind::OutcomeUnknown`] for a second copy of an attempt, because the
    /// outcome of the first is not known here.
    pub fn begin(&self, attempt: &str) -> Result<(id::Attempt, Unsent), ExecutionError> {
        let unsent = Unsent::begin();
        let Some(attempt) = id::Attempt::parse(attempt) else {
            return Err(unsent.refuse(Kind::BadRequest, "parsing the attempt id"));
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

    /// Acquires the claim with this name.
    ///
    /// While another attempt holds the claim, waits for its outcome until the
    /// deadline. On success, the proof that nothing was sent is returned with
    /// the claim; an error consumes it.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::KeyReused`], [`Kind::PlatformDown`] or
    /// [`Kind::Deadline`] if the work did not run, or [`Kind::OutcomeUnknown`]
    /// if another attempt still holds the claim.
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
                    return Err(unsent.refuse(Kind::PlatformDown, "the shard of the claim is full"));
                }
                Ok(Reply::Verdict(Verdict::Wait)) => Observation::HeldElsewhere,
                // `Shard::claim` takes a claim over itself, so `TakeOver` is
                // not expected here.
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

    /// Records the outcome of the work. A failure to record it is logged.
    pub async fn record(&self, handle: Handle, outcome: Outcome) {
        if self.settle(&handle, &State::Done { outcome }).await {
            Event::ClaimRecorded.log(format_args!("claim {}", handle.name));
        } else {
            Event::ClaimOpen.log(format_args!("claim {}: not recorded", handle.name));
        }
    }

    /// Records that the work was not sent, so that another attempt may run it.
    /// A failure to record it is logged.
    pub async fn release(&self, handle: Handle, _unsent: &Unsent) {
        if !self.settle(&handle, &State::Unsent).await {
            Event::ClaimOpen.log(format_args!("claim {}: not released", handle.name));
        }
    }

    /// Returns the error for work that got no claim. A claim that may have been
    /// created nonetheless is released in the background.
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

    /// Stores the state of a claim, with retries, and returns whether this
    /// succeeded. It fails if `handle` no longer holds the claim.
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

    /// Sends a request to the writer of the shard and waits for its reply.
    async fn submit(&self, name: Name, operation: Operation, reload: bool) -> Result<Reply, Fault> {
        let (reply, answer) = oneshot::channel();
        let request = Request {
            name,
            operation,
            reload,
            reply,
        };
        // The writer runs as long as its queue exists.
        drop(self.queue(name).send(request));
        let closed = |_| Err(Fault::Lost("the shard writer has stopped".to_owned()));
        answer.await.unwrap_or_else(closed)
    }

    fn queue(&self, name: Name) -> mpsc::UnboundedSender<Request> {
        let object = name.object();
        let mut queues = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by(|queue| queue.object.cmp(&object)) {
            Ok(index) => queues[index].sender.clone(),
            Err(index) => {
                let (sender, receiver) = mpsc::unbounded_channel();
                let writer = Writer::new(
                    Arc::clone(&self.store),
                    self.clock,
                    Arc::clone(&self.recovery),
                    object.clone(),
                );
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

/// Records the era of the store and returns whether a recovery is active.
fn observe_era(recovery: &Mutex<Recovery>, era: u64, clock: Clock) -> bool {
    let mut recovery = recovery.lock().unwrap_or_else(PoisonError::into_inner);
    recovery.observe(era);
    recovery.is_active(clock.now())
}

/// Follows the era of the store, and reads from the store during a recovery to find out
/// whether it answers. Never returns.
async fn observe_recoveries(store: Arc<dyn Store>, recovery: Arc<Mutex<Recovery>>, clock: Clock) {
    let mut eras = store.eras();
    // Another call may have seen a later era already.
    eras.mark_changed();
    while eras.changed().await.is_ok() {
        let observe = || observe_era(&recovery, *store.eras().borrow(), clock);
        while observe() {
            time::sleep(PROBE_INTERVAL).await;
            let answer = store.get(Collection::Claims, PROBE_NAME).await;
            let has_answered = matches!(answer, Ok(_) | Err(Fault::Missing));
            let mut recovery = recovery.lock().unwrap_or_else(PoisonError::into_inner);
            recovery.record_call(has_answered, clock.now());
        }
    }
}

/// State of a claim according to the replies so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observation {
    /// No reply has arrived yet.
    Nothing,
    /// The last request failed.
    Fault,
    /// Another attempt holds the claim; later failures do not change this.
    HeldElsewhere,
}
