//! How much an endpoint bears between its cold start and full load.

use std::time::Duration;

/// How warm an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The endpoint bears its cold slots only.
    Cold,
    /// The limit rises from cold to warm.
    Warming,
    /// The endpoint bears its warm slots.
    Warm,
    /// The endpoint takes no new work.
    Leaving,
}

/// What an endpoint bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests in flight while cold.
    pub cold_slots: u32,
    /// Requests in flight when warm.
    pub warm_slots: u32,
    /// Time from cold to warm under load.
    pub warmup: Duration,
}

/// Why an endpoint counts as cold again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// The engine reports another incarnation.
    Incarnation,
    /// The engine's report stopped.
    ReportStopped,
    /// A count in the engine's report went back.
    ReportWentBack,
    /// The engine, warm before, reports that it is cold.
    ReportedCold,
    /// The endpoint refused a connection.
    Refused,
    /// The first part of an answer took as long as on a cold engine.
    SlowFirstPart,
    /// Operators took the endpoint out and brought it back.
    BroughtBack,
}

/// The stretch between two signs of a cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch(u32);

/// Raises the limit from cold to warm by time and by successes.
///
/// The limit stays at the cold slots until the warm-up time has passed since
/// the first success after the last sign; from then on each success lifts it by
/// one slot. An endpoint without traffic stays cold, a burst of short answers
/// does not make it warm early, and the whole load never comes at once.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    limits: Limits,
    epoch: Epoch,
    first_success: Option<Duration>,
    successes: u32,
    held: bool,
}

impl Warmup {
    /// Creates the state of a cold endpoint.
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

    /// Takes up new limits from the rules.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Holds the limit at the cold slots while the engine says that it is cold.
    pub const fn hold(&mut self, held: bool) {
        self.held = held;
    }

    /// Returns the present epoch, to be kept with admitted work.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Notes a sign that the endpoint turned cold.
    pub const fn mark_cold(&mut self) {
        self.epoch = Epoch(self.epoch.0.wrapping_add(1));
        self.first_success = None;
        self.successes = 0;
    }

    /// Notes that work ended well; work from before the last sign says nothing
    /// about the endpoint as it is now.
    pub fn record_success(&mut self, admitted_in: Epoch, now: Duration) {
        if admitted_in != self.epoch {
            return;
        }
        let first = *self.first_success.get_or_insert(now);
        if !self.held && now.saturating_sub(first) >= self.limits.warmup {
            self.successes = self.successes.saturating_add(1);
        }
    }

    /// Returns the requests in flight that the endpoint bears now.
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

    /// Returns how warm the endpoint is.
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
