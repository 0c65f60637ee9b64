//! Concurrency limit of an endpoint between its cold start and full load.

use std::time::Duration;

/// Warm-up phase of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The limit is the number of cold slots.
    Cold,
    /// The limit is rising from the cold to the warm slots.
    Warming,
    /// The limit is the number of warm slots.
    Warm,
    /// The endpoint accepts no new work.
    Leaving,
}

/// Concurrency limits of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests in flight on a cold endpoint.
    pub cold_slots: u32,
    /// Maximum number of requests in flight on a warm endpoint.
    pub warm_slots: u32,
    /// Time after the first success during which the limit stays at the cold
    /// slots.
    pub warmup: Duration,
}

/// Reason why an endpoint is considered cold again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// The engine reported a higher incarnation.
    Incarnation,
    /// The engine stopped reporting.
    ReportStopped,
    /// The engine reported a lower incarnation.
    ReportWentBack,
    /// The engine reported that it is cold after it had reported that it is
    /// not.
    ReportedCold,
    /// The endpoint refused a connection.
    Refused,
    /// The first part of an answer took far longer than the mean.
    SlowFirstPart,
    /// Operators took the endpoint out of service and brought it back.
    BroughtBack,
}

/// Period between two detected cold starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch(u32);

/// Raises the concurrency limit from the cold to the warm slots, based on time
/// and successes.
///
/// The limit stays at the cold slots until the warm-up time has passed since
/// the first success after the last cold start; after that, each success raises
/// it by one slot. An endpoint without traffic therefore stays cold, a burst of
/// short answers does not end the warm-up early, and the full load never
/// arrives at once.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    limits: Limits,
    epoch: Epoch,
    first_success: Option<Duration>,
    successes: u32,
    held: bool,
}

impl Warmup {
    /// Creates the state for a cold endpoint.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            epoch: Epoch(0),
            first_success: None,
            successes: 0,
            held: false,
        }
    }

    /// Replaces the limits; the progress of the warm-up is kept.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets whether the limit is held at the cold slots, as it is while the
    /// engine reports that it is cold.
    pub const fn hold(&mut self, held: bool) {
        self.held = held;
    }

    /// Returns the current epoch, which the caller stores with admitted work.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Starts a new epoch, in which the endpoint is cold.
    pub const fn mark_cold(&mut self) {
        self.epoch = Epoch(self.epoch.0.wrapping_add(1));
        self.first_success = None;
        self.successes = 0;
    }

    /// Records successful work.
    ///
    /// Work admitted before the last cold start is ignored, because it says
    /// nothing about the current state of the endpoint.
    pub fn record_success(&mut self, admitted_in: Epoch, now: Duration) {
        if admitted_in != self.epoch {
            return;
        }
        let first = *self.first_success.get_or_insert(now);
        if !self.held && now.saturating_sub(first) >= self.limits.warmup {
            self.successes = self.successes.saturating_add(1);
        }
    }

    /// Returns the current limit on requests in flight.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let Limits {
            cold_slots,
            warm_slots,
            ..
        } = self.limits;
        if self.held {
            return cold_slots;
        }
        cold_slots + warm_slots.saturating_sub(cold_slots).min(self.successes)
    }

    /// Returns the current phase; never [`Phase::Leaving`].
    #[must_use]
    pub fn phase(&self) -> Phase {
        let slots = self.slots();
        if self.first_success.is_some() && !self.held && slots >= self.limits.warm_slots {
            Phase::Warm
        } else if slots > self.limits.cold_slots {
            Phase::Warming
        } else {
            Phase::Cold
        }
    }
}
