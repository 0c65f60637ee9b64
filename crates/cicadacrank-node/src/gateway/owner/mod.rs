//! Batches the pieces of stages from all gateways into calls to endpoints.

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
    rollout,
    stages::Output,
    state::{State, lock},
};
use crate::{memory::Reservation, platform::stage::Source, step::Step};
use cicadacrank_core::{
    batch::{self, Expired, Ticket},
    error::Kind,
    event::Event,
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time};

/// Maximum size of the answer to a call, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Delay, before jitter, after which a caller may retry when a stage failed.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time without a shortage of room after which it counts as over.
const SHORTAGE_END: Duration = Duration::from_secs(1);

/// Memory that a queued piece takes besides its input and the id of its request, in bytes.
const PIECE_BYTES: usize = 512;

/// Interval of the checks for pieces that cannot be completed before they expire.
/// It is a small fraction of the shortest call.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time between two checks of the queue.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// All pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Id of the caller's attempt.
    pub request: String,
    /// Service that processes the pieces.
    pub service: String,
    /// Number of the stage in its route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Key of the pieces, for stages that take no results of other stages.
    pub key: Option<String>,
    /// Handles of the results that each piece takes as inputs.
    pub inputs: Vec<String>,
    /// Data centre of most of the inputs, if they are so large that transferring
    /// them to another one matters.
    pub near: Option<String>,
    /// Approximate size of one result in bytes.
    pub bytes: u64,
    /// Remaining time until the results are needed for the request to be on time.
    pub due: Duration,
    /// Remaining time until the results are no longer useful.
    pub expires: Duration,
    /// Priority rank of the request. Rank 0 is the highest.
    pub rank: u32,
    /// Inputs that nothing else needs. They are released once all pieces have
    /// fetched them.
    pub spent: Vec<Output>,
}

impl Task {
    /// Returns the task with its remaining times reduced by `time`.
    pub fn with_time_passed(mut self, time: Duration) -> Self {
        self.due = self.due.saturating_sub(time);
        self.expires = self.expires.saturating_sub(time);
        self
    }
}

/// Reason why a task has no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Error kind.
    pub kind: Kind,
    /// Delay after which a retry could succeed.
    pub retry_after: Duration,
}

/// Removes the pieces of one task from the queue when it is dropped.
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

/// Starts forming calls, also for services that are configured later.
pub fn start(state: &Arc<State>) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        loop {
            for batcher in lock(&state.pools.batchers).iter() {
                let running = std::mem::replace(&mut lock(&batcher.inner).running, true);
                if !running {
                    tokio::spawn(run(Arc::clone(&state), Arc::clone(batcher)));
                    tokio::spawn(run_releases(Arc::clone(&state), Arc::clone(batcher)));
                }
            }
            state.pools.changed.notified().await;
        }
    });
}

/// Queues the pieces of a task and waits for their results.
///
/// # Errors
///
/// Returns a failure if the service processes no stages or has no usable endpoint,
/// if the task has more pieces than a queue or the memory holds, if it cannot be
/// completed before it expires, or if a piece fails. In the last case, the results of the
/// other pieces are released.
pub async fn produce(state: &Arc<State>, mut task: Task) -> Result<Vec<Output>, Failure> {
    let failure = |kind| Failure {
        kind,
        retry_after: jitter(RETRY_AFTER),
    };
    let batcher = state
        .pools
        .find(&task.service)
        .ok_or_else(|| failure(Kind::NoEndpoint))?;
    let count = task.pieces as usize;
    // Another gateway may pass on a number that its caller should not have named.
    if count > batch::MAX_WAITING {
        return Err(failure(Kind::BadRequest));
    }
    let now = state.clock.now();
    let spent = Guard::new(state, std::mem::take(&mut task.spent));
    let source = match task.key.take() {
        Some(key) => Source::Key(key.into()),
        None => Source::Results(std::mem::take(&mut task.inputs).into()),
    };
    let mut memory = state.bodies.reserve();
    // Calls repeat the input and the id for each piece, and a body that is being encoded takes
    // up to twice its size.
    let piece_bytes = PIECE_BYTES + 2 * (task.request.len() + source.bytes());
    if memory.resize(count * piece_bytes).is_err() {
        return Err(failure(Kind::Overloaded));
    }
    let (reply, mut results) = mpsc::unbounded_channel();
    let cancellation = {
        let mut inner = lock(&batcher.inner);
        let done = inner
            .pool
            .estimate(count, task.rank, now)
            .ok_or_else(|| failure(Kind::NoEndpoint))?;
        if done > now + task.expires {
            let retry_after = jitter(done.saturating_sub(now + task.expires).max(RETRY_AFTER));
            Event::PiecesRefused.log(format_args!(
                "id={} service={} stage={} rank={} pieces={count} queued={} done_in_ms={} \
                 expires_in_ms={} retry_after_ms={}",
                task.request,
                task.service,
                task.stage,
                task.rank,
                inner.pool.len(),
                done.saturating_sub(now).as_millis(),
                task.expires.as_millis(),
                retry_after.as_millis(),
            ));
            return Err(Failure {
                kind: Kind::TimeUp,
                retry_after,
            });
        }
        let job = inner.next_job;
        inner.next_job += 1;
        let shared = Shared {
            source,
            spent,
            memory: Arc::new(memory),
            reply: reply.clone(),
        };
        add(&mut inner, &task, job, now, &shared);
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
    let kind = failed.unwrap_or(Kind::StageFailed);
    let wait = match kind {
        Kind::TimeUp | Kind::Overloaded => queue_time(&batcher, task.rank, state.clock.now()),
        _ => RETRY_AFTER,
    };
    Err(Failure {
        kind,
        retry_after: jitter(wait.max(RETRY_AFTER)),
    })
}

/// Returns the time until what is queued now of this rank and the higher ones is done.
fn queue_time(batcher: &Batcher, rank: u32, now: Duration) -> Duration {
    let done = lock(&batcher.inner).pool.estimate(0, rank, now);
    done.map_or(RETRY_AFTER, |done| done.saturating_sub(now))
}

/// What the pieces of a task share.
struct Shared {
    source: Source,
    spent: Option<Arc<Guard>>,
    memory: Arc<Reservation>,
    reply: mpsc::UnboundedSender<(u32, Result<Output, Kind>)>,
}

/// Queues the pieces of a task. Sends [`Kind::Overloaded`] for each piece that the
/// queue has no room for.
fn add(inner: &mut Inner, task: &Task, job: u64, now: Duration, shared: &Shared) {
    let request: Arc<str> = task.request.as_str().into();
    let is_first = matches!(shared.source, Source::Key(_));
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
                // Waiting for an endpoint near the engine that only may take the
                // results would leave other endpoints idle.
                deferrable: !is_first,
                begun: !is_first,
            },
            request: Arc::clone(&request),
            stage: task.stage,
            number,
            source: shared.source.clone(),
            attempts: 0,
            spent: shared.spent.clone(),
            _memory: Arc::clone(&shared.memory),
            reply: shared.reply.clone(),
        };
        if !inner.enqueue(waiting) {
            // The caller holds the receiver, so that this cannot fail.
            drop(shared.reply.send((number, Err(Kind::Overloaded))));
        }
    }
}

/// Forms calls from the queued pieces of one service, for as long as the process
/// runs.
async fn run(state: Arc<State>, batcher: Arc<Batcher>) {
    let mut last_expiry = Duration::ZERO;
    let mut room = Room::default();
    loop {
        let sleep = {
            let now = state.clock.now();
            let owned = is_owner(&state, &batcher.service);
            let mut inner = lock(&batcher.inner);
            let _step = Step::new("form_calls", inner.waiting.len());
            inner.pool.set_owned(owned, now);
            if now >= last_expiry + EXPIRY_INTERVAL {
                last_expiry = now;
                expire(&mut inner, now);
            }
            loop {
                inner.apply_rollout(&state, &batcher.service);
                let Some(call) = inner.pool.next_call(now) else {
                    break;
                };
                let pieces = inner.dequeue(&call.tickets);
                let endpoint = inner.endpoint(&call.endpoint).cloned();
                let tracked = endpoint.map(|endpoint| rollout::Call::begin(&state, endpoint));
                let address = inner.address(&call.endpoint);
                tokio::spawn(call::execute(
                    Arc::clone(&state),
                    Arc::clone(&batcher),
                    call,
                    pieces,
                    address,
                    tracked,
                ));
            }
            room.record(&state, &batcher.service, &inner.pool, now);
            let wake = inner.pool.wake_at(now);
            wake.map_or(MAX_SLEEP, |at| {
                at.saturating_sub(now)
                    .clamp(Duration::from_millis(1), MAX_SLEEP)
            })
        };
        drop(time::timeout(sleep, batcher.wake.notified()).await);
    }
}

/// Whether a service has room for all of its queued pieces to be on time.
#[derive(Debug, Default)]
struct Room {
    /// Time of the last shortage that counts.
    short_at: Option<Duration>,
}

impl Room {
    /// Records the queue at `now`. A shortage counts until a second has passed without
    /// one, so that at most one line a second is logged.
    fn record(&mut self, state: &State, service: &str, pool: &batch::Pool, now: Duration) {
        let displaced = pool.displaced();
        let gauge = state.metrics.displaced.with_label_values(&[service]);
        gauge.set(i64::try_from(displaced).unwrap_or(i64::MAX));
        let was_short = self.short_at.is_some();
        if displaced > 0 {
            self.short_at = Some(now);
        } else if self.short_at.is_some_and(|at| now >= at + SHORTAGE_END) {
            self.short_at = None;
        }
        if was_short != self.short_at.is_some() {
            Event::RoomChanged.log(format_args!(
                "service={service} short={} displaced={displaced} queued={}",
                !was_short,
                pool.len(),
            ));
        }
    }
}

/// Returns whether this gateway forms the calls of a service.
fn is_owner(state: &State, service: &str) -> bool {
    let number = state.pools.number(service).unwrap_or(0);
    let roster = lock(&state.roster);
    !roster.local().leaving && roster.owner(number, state.clock.now()).is_none()
}

/// Fails the pieces that cannot be completed before they expire.
fn expire(inner: &mut Inner, now: Duration) {
    let expired = inner.pool.expire(now);
    let tickets: Vec<Ticket> = expired.into_iter().map(|Expired(ticket)| ticket).collect();
    for waiting in inner.dequeue(&tickets) {
        // This fails only if no caller waits for the piece any more.
        drop(waiting.reply.send((waiting.number, Err(Kind::TimeUp))));
    }
}
