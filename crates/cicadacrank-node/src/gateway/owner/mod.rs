//! Forms the calls to endpoints that do stages, for all gateways.

mod call;
mod pools;
mod release;

pub use self::{pools::Pools, release::release};

use self::{
    pools::{Batcher, Inner, Waiting},
    release::{Guard, run_releases},
};
use super::{
    reply::jitter,
    stages::Output,
    state::{State, lock},
};
use crate::platform::stage::Source;
use cicadacrank_core::{
    batch::{self, Expired, Ticket},
    error::Kind,
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time};

/// Most bytes of the answer to a call.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Pause after which a caller may come back when a stage failed.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time between two looks for pieces that will not have their turn in time: a
/// small part of the shortest call.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time between two looks at what waits.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// All pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Id of the caller's attempt.
    pub request: String,
    /// Service that makes the pieces.
    pub service: String,
    /// Number of the stage in its route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Key of the pieces, for stages that need no results.
    pub key: Option<String>,
    /// Results that each piece is given.
    pub inputs: Vec<String>,
    /// Data centre of most of the inputs, where bringing them to another one
    /// matters.
    pub near: Option<String>,
    /// About how large one result is, in bytes.
    pub bytes: u64,
    /// Time until the results must be there for the request to be on time.
    pub due: Duration,
    /// Time until the results are of no use.
    pub expires: Duration,
    /// Rank of the request, 0 first.
    pub rank: u32,
    /// Those of the inputs that nothing else needs: given up once every piece
    /// has been given them.
    pub spent: Vec<Output>,
}

impl Task {
    /// Returns the task as it is after some time.
    pub fn with_time_passed(mut self, time: Duration) -> Self {
        self.due = self.due.saturating_sub(time);
        self.expires = self.expires.saturating_sub(time);
        self
    }
}

/// Why there are no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The kind from the closed list.
    pub kind: Kind,
    /// Pause before a further try could succeed.
    pub retry_after: Duration,
}

/// Takes the pieces of one task back when nobody waits for them any more.
struct Cancellation {
    batcher: Arc<Batcher>,
    job: u64,
}

impl Drop for Cancellation {
    fn drop(&mut self) {
        let mut inner = lock(&self.batcher.inner);
        inner.pool.cancel(self.job);
        inner.waiting.retain(|one| one.piece.job != self.job);
    }
}

/// Starts to form calls.
pub fn start(state: &Arc<State>) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        loop {
            for batcher in lock(&state.pools.batchers).iter() {
                let running = std::mem::replace(&mut lock(&batcher.inner).running, true);
                if !running {
                    tokio::spawn(run(Arc::clone(&state), Arc::clone(batcher)));
                    tokio::spawn(run_releases(Arc::clone(batcher)));
                }
            }
            state.pools.changed.notified().await;
        }
    });
}

/// Has the pieces of a task made.
pub async fn produce(state: &Arc<State>, mut task: Task) -> Result<Vec<Output>, Failure> {
    let failure = |kind| Failure {
        kind,
        retry_after: jitter(RETRY_AFTER),
    };
    let batcher = state
        .pools
        .find(&task.service)
        .ok_or_else(|| failure(Kind::NoEndpoint))?;
    let now = state.clock.now();
    let spent = Guard::new(state, std::mem::take(&mut task.spent));
    let (reply, mut results) = mpsc::unbounded_channel();
    let count = task.pieces as usize;
    let cancellation = {
        let mut inner = lock(&batcher.inner);
        let done = inner
            .pool
            .estimate(count, now)
            .ok_or_else(|| failure(Kind::NoEndpoint))?;
        if done > now + task.expires {
            return Err(Failure {
                kind: Kind::TimeUp,
                retry_after: jitter(done.saturating_sub(now + task.expires).max(RETRY_AFTER)),
            });
        }
        let job = inner.next_job;
        inner.next_job += 1;
        add(&mut inner, &task, job, now, spent, &reply);
        Cancellation {
            batcher: Arc::clone(&batcher),
            job,
        }
    };
    drop(reply);
    batcher.wake.notify_one();
    let mut made: Vec<Option<Output>> = vec![None; count];
    let mut failed = None;
    while let Some((number, result)) = results.recv().await {
        match result {
            Ok(output) => made[number as usize] = Some(output),
            Err(kind) => {
                failed = Some(kind);
                break;
            }
        }
        if made.iter().all(Option::is_some) {
            break;
        }
    }
    drop(cancellation);
    let made: Vec<Output> = made.into_iter().flatten().collect();
    if made.len() == count {
        return Ok(made);
    }
    release(state, &made);
    Err(failure(failed.unwrap_or(Kind::StageFailed)))
}

fn add(
    inner: &mut Inner,
    task: &Task,
    job: u64,
    now: Duration,
    spent: Option<Arc<Guard>>,
    reply: &mpsc::UnboundedSender<(u32, Result<Output, Kind>)>,
) {
    let near = task
        .near
        .as_deref()
        .map(|name| inner.pool.data_centre(name));
    for number in 0..task.pieces {
        let ticket = Ticket(inner.next_ticket);
        inner.next_ticket += 1;
        let waiting = Waiting {
            ticket,
            piece: batch::Piece {
                ticket,
                job,
                due: now + task.due,
                expires: now + task.expires,
                rank: task.rank,
                bytes: task.bytes,
                near,
            },
            request: task.request.clone(),
            stage: task.stage,
            number,
            source: match &task.key {
                Some(key) => Source::Key(key.clone()),
                None => Source::Results(task.inputs.clone()),
            },
            attempts: 0,
            spent: spent.clone(),
            reply: reply.clone(),
        };
        if !inner.enqueue(waiting) {
            // The receiver is there: it is the caller's.
            drop(reply.send((number, Err(Kind::Overloaded))));
        }
    }
}

/// Makes calls of what waits at one service, for as long as the process runs.
async fn run(state: Arc<State>, batcher: Arc<Batcher>) {
    let mut last_expiry = Duration::ZERO;
    loop {
        let sleep = {
            let now = state.clock.now();
            let mut inner = lock(&batcher.inner);
            if now >= last_expiry + EXPIRY_INTERVAL {
                last_expiry = now;
                expire(&mut inner, now);
            }
            while let Some(call) = inner.pool.next_call(now) {
                let pieces = inner.dequeue(&call.tickets);
                let address = inner.address(&call.endpoint);
                tokio::spawn(call::execute(
                    Arc::clone(&state),
                    Arc::clone(&batcher),
                    call,
                    pieces,
                    address,
                ));
            }
            let wake = inner.pool.wake_at(now);
            wake.map_or(MAX_SLEEP, |at| {
                at.saturating_sub(now)
                    .clamp(Duration::from_millis(1), MAX_SLEEP)
            })
        };
        drop(time::timeout(sleep, batcher.wake.notified()).await);
    }
}

/// Answers for pieces that will not have their turn in time.
fn expire(inner: &mut Inner, now: Duration) {
    let expired = inner.pool.expire(now);
    let tickets: Vec<Ticket> = expired.into_iter().map(|Expired(ticket)| ticket).collect();
    for waiting in inner.dequeue(&tickets) {
        // Nobody waits for the piece any more if this fails.
        drop(waiting.reply.send((waiting.number, Err(Kind::TimeUp))));
    }
}
