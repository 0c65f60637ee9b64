//! What a pool knows of one endpoint.

use super::DataCentre;
use crate::{config::Worker, directory::Incarnation, retry};
use std::time::Duration;

/// First pause after a failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest pause after failures, below the time within which a restarted
/// endpoint should be in use again.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Pause after an endpoint said that it is full.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// How long room that an endpoint did not have is taken to be used.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(300);

/// Weight of the newest call in the average of how slow an endpoint is.
const NEWEST_WEIGHT: f64 = 0.5;

/// Time in which half of a remembered slowness is forgotten, in seconds.
const SLOWNESS_HALF_LIFE_S: f64 = 4.0;

/// How much longer than at the usual speed a call may take at an endpoint that
/// worked on it at once; waiting for a call of another process adds half as much
/// on average.
const IMMEDIATE_RATIO: f64 = 1.4;

/// Time after such a call in which the next one is taken to have its turn at
/// once too: a few calls.
const IMMEDIATE_WINDOW: Duration = Duration::from_secs(2);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint refused the call and ran nothing of it.
    Full,
    /// No connection, no answer or one that cannot be read.
    Failed,
}

/// Sizes of the results of a call, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// Those that the endpoint holds.
    pub held: u64,
    /// Those that it had no room for.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    bytes: u64,
    until: Duration,
}

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) incarnation: Incarnation,
    pub(super) data_centre: DataCentre,
    busy_since: Option<Duration>,
    pub(super) busy_until: Duration,
    backoff_until: Duration,
    failures: u32,
    slowness: f64,
    slowness_at: Duration,
    immediate_at: Option<Duration>,
    reservations: Vec<Reservation>,
    call_bytes: u64,
    pub(super) leaving: bool,
}

impl Endpoint {
    pub(super) const fn new(incarnation: Incarnation, data_centre: DataCentre) -> Self {
        Self {
            incarnation,
            data_centre,
            busy_since: None,
            busy_until: Duration::ZERO,
            backoff_until: Duration::ZERO,
            failures: 0,
            slowness: 1.0,
            slowness_at: Duration::ZERO,
            immediate_at: None,
            reservations: Vec::new(),
            call_bytes: 0,
            leaving: false,
        }
    }

    pub(super) const fn is_busy(&self) -> bool {
        self.busy_since.is_some()
    }

    pub(super) fn is_free(&self, now: Duration) -> bool {
        !self.is_busy() && !self.leaving && !self.in_backoff(now)
    }

    /// Returns whether the endpoint is left alone for now.
    pub(super) fn in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns when the endpoint can take a call, as far as is known.
    pub(super) fn free_at(&self, now: Duration) -> Duration {
        self.busy_until.max(self.backoff_until).max(now)
    }

    /// Returns whether a call has its turn at once, as the last one had: nobody
    /// else calls the endpoint.
    pub(super) fn starts_immediately(&self, now: Duration) -> bool {
        self.immediate_at
            .is_some_and(|at| now < at + IMMEDIATE_WINDOW)
    }

    /// Returns how many times as long as expected its calls take.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.slowness_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_HALF_LIFE_S).exp2()
    }

    /// Returns the room for results that is left.
    pub(super) fn room(&mut self, worker: &Worker, now: Duration) -> u64 {
        self.reservations
            .retain(|reservation| reservation.until > now);
        let held: u64 = self
            .reservations
            .iter()
            .map(|reservation| reservation.bytes)
            .sum();
        worker
            .room_bytes
            .saturating_sub(held)
            .saturating_sub(self.call_bytes)
    }

    /// Returns how long a call with this many pieces takes here.
    pub(super) fn call_time(&self, worker: &Worker, pieces: usize, now: Duration) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        (worker.call_time + worker.piece_time * pieces).mul_f64(self.slowness(now))
    }

    pub(super) fn begin(&mut self, expected: Duration, bytes: u64, now: Duration) {
        self.busy_since = Some(now);
        self.busy_until = now + expected;
        self.call_bytes = bytes;
    }

    /// Notes the end of the call; `expected` is what it would take at an
    /// endpoint of the usual speed.
    pub(super) fn end(
        &mut self,
        outcome: Outcome,
        results: Results,
        expected: Duration,
        worker: &Worker,
        now: Duration,
    ) {
        let since = self.busy_since.take().unwrap_or(now);
        let immediate = now.saturating_sub(since) <= expected.mul_f64(IMMEDIATE_RATIO);
        self.immediate_at = (outcome == Outcome::Answered && immediate).then_some(now);
        self.busy_until = now;
        let bytes = std::mem::take(&mut self.call_bytes);
        match outcome {
            Outcome::Answered => {
                self.failures = 0;
                let took = now.saturating_sub(since).as_secs_f64();
                let ratio = (took / expected.as_secs_f64().max(0.001)).max(1.0);
                let before = self.slowness(now);
                self.slowness = before + (ratio - before) * NEWEST_WEIGHT;
                self.slowness_at = now;
                self.reserve(results.held, now + worker.result_life);
                // Others took that room, or an earlier run of this process did.
                self.reserve(results.refused, now + NO_ROOM_BACKOFF);
            }
            Outcome::Full => self.backoff_until = now + FULL_BACKOFF,
            Outcome::Failed => {
                self.backoff_until =
                    now + retry::backoff(INITIAL_BACKOFF, MAX_BACKOFF, self.failures);
                self.failures += 1;
                // The endpoint may still be at work on it, and keep the results.
                self.reserve(bytes, now + worker.result_life);
            }
        }
    }

    fn reserve(&mut self, bytes: u64, until: Duration) {
        if bytes > 0 {
            self.reservations.push(Reservation { bytes, until });
        }
    }

    /// Gives back room of results that were freed, the oldest first.
    pub(super) fn release(&mut self, mut bytes: u64) {
        for reservation in &mut self.reservations {
            let part = reservation.bytes.min(bytes);
            reservation.bytes -= part;
            bytes -= part;
        }
        self.reservations
            .retain(|reservation| reservation.bytes > 0);
    }
}
