//! The queue of pieces for one service, and the calls formed from it.

use super::{
    DataCentre, Outcome, Piece, Results, Ticket,
    endpoint::Endpoint,
    schedule::{Timetable, Turn, schedule},
    selection::select,
};
use crate::{config::Worker, directory::Incarnation};
use std::time::Duration;

/// Slowness from which an endpoint is used only if no other endpoint would
/// finish earlier.
const SLOW_THRESHOLD: f64 = 2.0;

/// Interval at which pieces that are deferred to endpoints near their inputs
/// are checked again. It is short compared with the shortest call.
const DEFERRED_RECHECK: Duration = Duration::from_millis(20);

/// Time after a change of ownership during which another process may still call
/// the endpoints. It covers the calls that the other process has queued.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Maximum number of queued pieces. Further pieces are rejected immediately.
pub const MAX_WAITING: usize = 4_096;

/// A batch of pieces for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Endpoint that the call goes to.
    pub endpoint: Incarnation,
    /// Pieces of the call, in order.
    pub tickets: Vec<Ticket>,
    /// Expected duration of the call.
    pub expected: Duration,
    /// Number of pieces that remain in the queue.
    pub waiting: usize,
    /// Free result memory of the endpoint before the call, in bytes.
    pub room: u64,
    /// Whether the endpoint is expected to start the call without queueing it.
    pub immediate: bool,
}

/// A piece that cannot be completed before it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired(pub Ticket);

/// The queued pieces and the endpoints of one service.
#[derive(Clone, Debug)]
pub struct Pool {
    worker: Worker,
    waiting: Vec<Piece>,
    endpoints: Vec<Endpoint>,
    data_centres: Vec<String>,
    /// Jobs with both queued pieces and pieces that were called, sorted.
    split: Vec<u64>,
    /// Number of pieces that gave up their place to others.
    displaced: usize,
    /// Whether pieces were deferred to endpoints nearer to their inputs.
    deferred: bool,
    /// Since when this process forms the calls of the service.
    owned_since: Option<Duration>,
}

impl Pool {
    /// Creates a pool without endpoints.
    #[must_use]
    pub const fn new(worker: Worker) -> Self {
        Self {
            worker,
            waiting: Vec::new(),
            endpoints: Vec::new(),
            data_centres: Vec::new(),
            split: Vec::new(),
            displaced: 0,
            deferred: false,
            owned_since: None,
        }
    }

    /// Sets whether this process forms the calls of the service. A process that
    /// does not may still form calls from pieces that it has queued.
    pub fn set_owned(&mut self, owned: bool, now: Duration) {
        if owned && self.owned_since.is_none() {
            let endpoints = self.endpoints.iter_mut();
            endpoints.for_each(|endpoint| endpoint.record_handover(now));
        }
        self.owned_since = owned.then(|| self.owned_since.unwrap_or(now));
    }

    /// Sets the worker parameters from a newer configuration.
    pub const fn set_worker(&mut self, worker: Worker) {
        self.worker = worker;
    }

    /// Replaces the set of usable endpoints, each given with its data centre.
    /// The state of endpoints that remain is kept.
    pub fn set_endpoints<'a>(
        &mut self,
        endpoints: impl Iterator<Item = (&'a Incarnation, &'a str)>,
    ) {
        let mut usable: Vec<_> = endpoints.collect();
        usable.sort();
        for endpoint in &mut self.endpoints {
            let found = usable
                .binary_search_by(|(incarnation, _)| (*incarnation).cmp(&endpoint.incarnation));
            endpoint.leaving = found.is_err();
        }
        self.endpoints
            .retain(|endpoint| !endpoint.leaving || endpoint.is_busy());
        for (incarnation, data_centre) in usable {
            let data_centre = self.data_centre(data_centre);
            let found = self
                .endpoints
                .binary_search_by(|endpoint| endpoint.incarnation.cmp(incarnation));
            if let Err(index) = found {
                self.endpoints
                    .insert(index, Endpoint::new(incarnation.clone(), data_centre));
            }
        }
    }

    /// Returns the identifier of a data centre in this pool, and assigns one if
    /// the name is new.
    pub fn data_centre(&mut self, data_centre: &str) -> DataCentre {
        let found = self
            .data_centres
            .iter()
            .position(|name| name == data_centre);
        let index = found.unwrap_or_else(|| {
            self.data_centres.push(data_centre.to_owned());
            self.data_centres.len() - 1
        });
        DataCentre(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Queues a piece. Returns `false` if the queue is full.
    pub fn add(&mut self, piece: Piece) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push(piece);
        true
    }

    /// Removes all queued pieces of a cancelled job.
    pub fn cancel(&mut self, job: u64) {
        self.waiting.retain(|piece| piece.job != job);
    }

    /// Returns the number of queued pieces.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of queued pieces that gave up their place to others, because
    /// not all of them can be on time.
    #[must_use]
    pub const fn displaced(&self) -> usize {
        self.displaced
    }

    /// Returns whether no piece is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the estimated completion time of `pieces` new pieces of this rank,
    /// queued behind all others of the same or a higher rank, or `None` without a
    /// usable endpoint. It is also `None` for more than [`MAX_WAITING`] pieces, since
    /// its cost grows with their number.
    #[must_use]
    pub fn estimate(&self, pieces: usize, rank: u32, now: Duration) -> Option<Duration> {
        if pieces > MAX_WAITING {
            return None;
        }
        let before = self.waiting.iter().filter(|piece| piece.rank <= rank);
        let total = before.count() + pieces;
        let call = self.call_time(pieces.min(self.worker.batch));
        let timetable = self.timetable(total, call, now)?;
        Some(timetable.done(total.saturating_sub(1)))
    }

    /// Removes and returns the pieces that cannot be completed before they
    /// expire.
    pub fn expire(&mut self, now: Duration) -> Vec<Expired> {
        let next = self.next_call_time();
        let Some(timetable) = self.timetable(self.waiting.len(), next, now) else {
            let alone = self.call_time(1);
            return self.expire_after(|_| now + alone);
        };
        self.sort(now, None);
        self.expire_after(|ahead| timetable.done(ahead))
    }

    /// Returns when calls with `pieces` pieces end, each of which takes `call`, or `None`
    /// without a usable endpoint.
    fn timetable(&self, pieces: usize, call: Duration, now: Duration) -> Option<Timetable> {
        let turns = self.usable().map(|endpoint| Turn {
            free_at: endpoint.free_at(now),
            slowness: endpoint.slowness(now),
        });
        Timetable::new(
            turns,
            pieces,
            self.worker.batch,
            (call, self.full_call_time()),
        )
    }

    /// Removes and returns the pieces that expire before their estimated
    /// completion time. `done` returns that time for a given number of pieces
    /// ahead.
    fn expire_after(&mut self, done: impl Fn(usize) -> Duration) -> Vec<Expired> {
        let mut expired = Vec::new();
        let mut ahead = 0;
        self.waiting.retain(|piece| {
            let kept = done(ahead) <= piece.expires;
            if kept {
                ahead += 1;
            } else {
                expired.push(Expired(piece.ticket));
            }
            kept
        });
        expired
    }

    /// Forms the next call. Returns `None` if no piece is queued or no free
    /// endpoint has memory for one.
    pub fn next_call(&mut self, now: Duration) -> Option<Call> {
        let smallest = self.waiting.iter().map(|piece| piece.bytes).min()?;
        let mut sorted_for = None;
        let mut candidates = Vec::new();
        self.deferred = false;
        for index in self.free_endpoints(now) {
            let (worker, data_centre) = (self.worker, self.endpoints[index].data_centre);
            let room = self.endpoints[index].room(&worker, now);
            if room < smallest {
                continue;
            }
            if sorted_for != Some(data_centre) {
                self.sort(now, Some(data_centre));
                sorted_for = Some(data_centre);
                candidates = self.candidates(data_centre, now);
                self.deferred |= candidates.len() < self.waiting.len();
            }
            let endpoint = &self.endpoints[index];
            let taken = select(&candidates, worker, room, |pieces| {
                now + endpoint.call_time(&worker, pieces, now)
            });
            if !taken.is_empty() {
                return Some(self.begin(index, &taken, room, now));
            }
        }
        None
    }

    /// Returns the pieces that an endpoint in this data centre may process, in
    /// queue order. It leaves out deferrable pieces that can wait for the next
    /// endpoint near their inputs and still be on time.
    fn candidates(&self, data_centre: DataCentre, now: Duration) -> Vec<Piece> {
        let mut next: Vec<(DataCentre, Duration)> = self
            .usable()
            .filter(|endpoint| !endpoint.in_backoff(now) && endpoint.slowness(now) < SLOW_THRESHOLD)
            .map(|endpoint| (endpoint.data_centre, endpoint.free_at(now)))
            .collect();
        next.sort_unstable();
        next.dedup_by_key(|one| one.0);
        let call = self.full_call_time();
        let waits = |piece: &Piece| {
            let near = piece.near.filter(|near| *near != data_centre);
            let near = near.and_then(|near| next.binary_search_by_key(&near, |one| one.0).ok());
            near.is_some_and(|near| piece.deferrable && next[near].1 + call < piece.due)
        };
        let waiting = self.waiting.iter().copied();
        waiting.filter(|piece| !waits(piece)).collect()
    }

    /// Returns the expected duration of the next call: one with all queued
    /// pieces, up to the batch limit.
    fn next_call_time(&self) -> Duration {
        self.call_time(self.waiting.len().min(self.worker.batch))
    }

    fn begin(&mut self, index: usize, taken: &[Piece], room: u64, now: Duration) -> Call {
        let calls_alone = self
            .owned_since
            .is_some_and(|since| now >= since + HANDOVER_TIME);
        let endpoint = &mut self.endpoints[index];
        let expected = endpoint.call_time(&self.worker, taken.len(), now);
        let bytes = taken.iter().map(|piece| piece.bytes).sum();
        let immediate = calls_alone && endpoint.starts_immediately(now);
        endpoint.begin(expected, bytes, now);
        let incarnation = endpoint.incarnation.clone();
        let tickets: Vec<Ticket> = taken.iter().map(|piece| piece.ticket).collect();
        let mut taken_tickets = tickets.clone();
        taken_tickets.sort_unstable();
        self.waiting
            .retain(|piece| taken_tickets.binary_search(&piece.ticket).is_err());
        let called = |job| self.split.binary_search(&job).is_ok();
        let split = self.waiting.iter().map(|piece| piece.job);
        let mut split: Vec<u64> = split
            .filter(|job| called(*job) || taken.last().is_some_and(|last| last.job == *job))
            .collect();
        split.sort_unstable();
        split.dedup();
        self.split = split;
        Call {
            endpoint: incarnation,
            tickets,
            expected,
            waiting: self.waiting.len(),
            room,
            immediate,
        }
    }

    /// Records the outcome of a call.
    pub fn end(&mut self, call: &Call, outcome: Outcome, results: Results, now: Duration) {
        let expected = self.call_time(call.tickets.len());
        let worker = self.worker;
        if let Ok(index) = self.find(&call.endpoint) {
            self.endpoints[index].end(outcome, results, expected, &worker, now);
            if self.endpoints[index].leaving {
                self.endpoints.remove(index);
            }
        }
    }

    /// Sets the time from the start of one call to an endpoint to the next, while the
    /// endpoint states a limit. The first call waits too, since another process may have
    /// made the one before.
    pub fn space_calls(
        &mut self,
        incarnation: &Incarnation,
        interval: Option<Duration>,
        now: Duration,
    ) {
        if let Ok(index) = self.find(incarnation) {
            self.endpoints[index].space_calls(interval, now);
        }
    }

    /// Pauses an endpoint until `until`, because it wants no calls from this process.
    pub fn pause(&mut self, incarnation: &Incarnation, until: Duration) {
        if let Ok(index) = self.find(incarnation) {
            self.endpoints[index].pause(until);
        }
    }

    /// Records the time that an endpoint says work takes, relative to the usual time.
    pub fn record_pace(&mut self, incarnation: &Incarnation, pace: f64, now: Duration) {
        if let Ok(index) = self.find(incarnation) {
            self.endpoints[index].record_pace(pace, now);
        }
    }

    /// Returns whether an endpoint wants nothing from this process.
    #[must_use]
    pub fn is_paused(&self, incarnation: &Incarnation, now: Duration) -> bool {
        let found = self.find(incarnation);
        found.is_ok_and(|index| self.endpoints[index].is_paused(now))
    }

    /// Records that results at an endpoint were deleted and their memory is
    /// free.
    pub fn release(&mut self, incarnation: &Incarnation, bytes: u64) {
        if let Ok(index) = self.find(incarnation) {
            self.endpoints[index].release(bytes);
        }
    }

    /// Returns when to ask for the next call because a backoff ends or deferred
    /// pieces are due for another check. The pool should also be asked after
    /// every other change.
    #[must_use]
    pub fn wake_at(&self, now: Duration) -> Option<Duration> {
        if self.waiting.is_empty() {
            return None;
        }
        let idle = self.usable().filter(|endpoint| !endpoint.is_busy());
        let paused = idle.map(|endpoint| endpoint.free_at(now));
        let deferred = self.deferred.then_some(now + DEFERRED_RECHECK);
        paused
            .filter(|free_at| *free_at > now)
            .chain(deferred)
            .min()
    }

    fn usable(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| !endpoint.leaving)
    }

    fn find(&self, incarnation: &Incarnation) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.incarnation.cmp(incarnation))
    }

    fn call_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.worker.call_time + self.worker.piece_time * pieces
    }

    fn full_call_time(&self) -> Duration {
        self.call_time(self.worker.batch)
    }

    /// Returns the free endpoints, earliest expected completion first. A slow
    /// endpoint is left out if any other endpoint, even a busy one, would
    /// finish earlier.
    fn free_endpoints(&self, now: Duration) -> Vec<usize> {
        let done = |endpoint: &Endpoint| {
            let call = self.call_time(1).mul_f64(endpoint.relative_slowness(now));
            endpoint.free_at(now) + call
        };
        let useful = |endpoint: &Endpoint| {
            endpoint.slowness(now) < SLOW_THRESHOLD
                || !self.usable().any(|other| done(other) < done(endpoint))
        };
        let mut free: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| self.endpoints[*index].is_free(now))
            .filter(|index| useful(&self.endpoints[*index]))
            .collect();
        free.sort_by_key(|index| done(&self.endpoints[*index]));
        free
    }

    /// Sorts the queue: the rest of split jobs first, then pieces that keep a place in
    /// the schedule, earliest goal first, then the others, sorted by rank, data centre and lateness.
    ///
    /// While more pieces are queued than one call carries, calls are full, so a
    /// piece counts as late if a full call would make it late. Pieces whose
    /// inputs are outside `data_centre` come after the others that keep their
    /// places, unless they cannot wait for another call.
    fn sort(&mut self, now: Duration, data_centre: Option<DataCentre>) {
        let next = self.next_call_time();
        let after_next = now + next + self.full_call_time();
        // Without a usable endpoint the order does not matter.
        let Some(timetable) = self.timetable(self.waiting.len(), next, now) else {
            return;
        };
        let (mut places, displaced) = schedule(&self.waiting, now + next, &timetable);
        self.displaced = displaced;
        places.sort_by_cached_key(|place| {
            let piece = place.piece;
            let remote = is_remote(&piece, data_centre);
            let priority = if self.split.binary_search(&piece.job).is_ok() {
                Priority::Split
            } else if place.kept {
                Priority::Kept {
                    remote: remote && place.goal > after_next,
                    goal: place.goal,
                }
            } else {
                Priority::Rest {
                    rank: piece.rank,
                    remote,
                    by: now.saturating_sub(piece.due),
                }
            };
            (priority, piece.job, piece.ticket)
        });
        self.waiting.clear();
        self.waiting.extend(places.iter().map(|place| place.piece));
    }
}

/// Returns whether the inputs of a piece are in another data centre.
fn is_remote(piece: &Piece, data_centre: Option<DataCentre>) -> bool {
    matches!((data_centre, piece.near), (Some(here), Some(near)) if here != near)
}

/// Sort key of a queued piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    /// Other pieces of the job were called.
    Split,
    Kept {
        remote: bool,
        goal: Duration,
    },
    Rest {
        rank: u32,
        remote: bool,
        by: Duration,
    },
}
