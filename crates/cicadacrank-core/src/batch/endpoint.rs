//! The state that a pool keeps about one endpoint.

use super::DataCentre;
use crate::{config::Worker, directory::Incarnation, retry};
use std::time::Duration;

/// Backoff after the first failure. It doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Upper limit of the backoff after failures. It is shorter than the time
/// within which a restarted endpoint should be in use again.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Backoff after an endpoint rejected a call because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// How long result memory that an endpoint reported as unavailable is treated
/// as in use.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(300);

/// Weight of the newest call in the moving average of the slowness.
const NEWEST_WEIGHT: f64 = 0.5;

/// Half-life of the measured slowness, in seconds.
const SLOWNESS_HALF_LIFE_S: f64 = 4.0;

/// Half-life of the pace that an endpoint states, in seconds. It is short, since the
/// pace changes many times a second where machines are shared.
const PACE_HALF_LIFE_S: f64 = 0.25;

/// Least ratio of actual to expected call duration that is believed. Calls that end
/// sooner had nothing to do, since their inputs were gone.
const MIN_SLOWNESS: f64 = 0.5;

/// Greatest stated pace that is believed.
const MAX_PACE: f64 = 10.0;

/// Limit on the actual duration of a call, relative to the expected one, for it
/// to count as started without queueing. Queueing behind a call of another
/// process adds half a call on average.
const IMMEDIATE_RATIO: f64 = 1.4;

/// How long after an immediately started call the next one is expected to start
/// immediately too. It covers a few calls.
const IMMEDIATE_WINDOW: Duration = Duration::from_secs(2);

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint rejected the call without running any of it.
    Full,
    /// The connection failed, or the answer was missing or malformed.
    Failed,
}

/// Total sizes of the results of a call, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// Size of the results that the endpoint stores.
    pub held: u64,
    /// Size of the results that the endpoint had no memory for.
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
    /// Start of the last call, or time until which another process may have called.
    began: Duration,
    /// Time from the start of one call to the next, while the endpoint states a limit.
    interval: Option<Duration>,
    busy_since: Option<Duration>,
    pub(super) busy_until: Duration,
    backoff_until: Duration,
    /// Time until which the endpoint wants no calls from this process.
    paused_until: Duration,
    failures: u32,
    slowness: f64,
    slowness_at: Duration,
    /// Pace that the endpoint states, and when it did.
    pace: Option<(f64, Duration)>,
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
            began: Duration::ZERO,
            interval: None,
            busy_since: None,
            busy_until: Duration::ZERO,
            backoff_until: Duration::ZERO,
            paused_until: Duration::ZERO,
            failures: 0,
            slowness: 1.0,
            slowness_at: Duration::ZERO,
            pace: None,
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

    /// Sets the time from the start of one call to the next.
    pub(super) fn space_calls(&mut self, interval: Option<Duration>, now: Duration) {
        if self.interval.is_none() && self.began.is_zero() {
            self.began = now;
        }
        self.interval = interval;
    }

    /// Records that another process may have called the endpoint until now.
    pub(super) fn record_handover(&mut self, now: Duration) {
        self.began = self.began.max(now);
    }

    /// Returns the time from which the limit that the endpoint states allows a call.
    fn spaced_until(&self) -> Duration {
        let interval = self.interval;
        interval.map_or(Duration::ZERO, |interval| self.began + interval)
    }

    /// Sets the time until which the endpoint wants no calls from this process.
    pub(super) const fn pause(&mut self, until: Duration) {
        self.paused_until = until;
    }

    pub(super) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Returns whether the endpoint must not be called yet because of earlier
    /// failures or what it states about itself.
    pub(super) fn in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until || now < self.spaced_until() || self.is_paused(now)
    }

    /// Returns the estimated time at which the endpoint can accept a call.
    pub(super) fn free_at(&self, now: Duration) -> Duration {
        let backoff_until = self.backoff_until.max(self.paused_until);
        let backoff_until = backoff_until.max(self.spaced_until());
        self.busy_until.max(backoff_until).max(now)
    }

    /// Returns whether the next call is expected to start without queueing,
    /// because the last one did. This shows that no other process calls the
    /// endpoint.
    pub(super) fn starts_immediately(&self, now: Duration) -> bool {
        self.immediate_at
            .is_some_and(|at| now < at + IMMEDIATE_WINDOW)
    }

    /// Records the time that the endpoint says work takes, relative to the usual time.
    pub(super) fn record_pace(&mut self, pace: f64, now: Duration) {
        self.pace = Some((pace.clamp(MIN_SLOWNESS, MAX_PACE), now));
    }

    /// Returns the expected ratio of actual to usual call duration. What calls showed
    /// decays towards 1, and what the endpoint states decays towards what calls showed.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        self.with_pace(self.shown_slowness(now), now)
    }

    /// Returns the slowness for comparisons between endpoints. Calls that were short say
    /// more about their pieces than about the endpoint, so they are no reason to prefer
    /// it to one that had none.
    pub(super) fn relative_slowness(&self, now: Duration) -> f64 {
        self.with_pace(self.shown_slowness(now).max(1.0), now)
    }

    fn with_pace(&self, shown: f64, now: Duration) -> f64 {
        self.pace.map_or(shown, |(pace, at)| {
            shown + (pace - shown) * decay(at, now, PACE_HALF_LIFE_S)
        })
    }

    fn shown_slowness(&self, now: Duration) -> f64 {
        let weight = decay(self.slowness_at, now, SLOWNESS_HALF_LIFE_S);
        1.0 + (self.slowness - 1.0) * weight
    }

    /// Returns the free result memory in bytes.
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

    /// Returns the expected duration of a call with this many pieces at this
    /// endpoint.
    pub(super) fn call_time(&self, worker: &Worker, pieces: usize, now: Duration) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        (worker.call_time + worker.piece_time * pieces).mul_f64(self.slowness(now))
    }

    pub(super) fn begin(&mut self, expected: Duration, bytes: u64, now: Duration) {
        self.began = now;
        self.busy_since = Some(now);
        self.busy_until = now + expected;
        self.call_bytes = bytes;
    }

    /// Records the end of the call. `expected` is its expected duration at an
    /// endpoint of normal speed.
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
                let ratio = (took / expected.as_secs_f64().max(0.001)).max(MIN_SLOWNESS);
                let before = self.shown_slowness(now);
                self.slowness = before + (ratio - before) * NEWEST_WEIGHT;
                self.slowness_at = now;
                self.reserve(results.held, now + worker.result_life);
                // The memory is used by other processes, or by an earlier run
                // of this one.
                self.reserve(results.refused, now + NO_ROOM_BACKOFF);
            }
            Outcome::Full => self.backoff_until = now + FULL_BACKOFF,
            Outcome::Failed => {
                self.backoff_until =
                    now + retry::backoff(INITIAL_BACKOFF, MAX_BACKOFF, self.failures);
                self.failures += 1;
                // The endpoint may still be processing the call and may store
                // its results.
                self.reserve(bytes, now + worker.result_life);
            }
        }
    }

    fn reserve(&mut self, bytes: u64, until: Duration) {
        if bytes > 0 {
            self.reservations.push(Reservation { bytes, until });
        }
    }

    /// Releases reserved memory for deleted results, oldest reservation first.
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

/// Returns the weight at `now` of what was known at `at`.
fn decay(at: Duration, now: Duration, half_life_s: f64) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (-age / half_life_s).exp2()
}
