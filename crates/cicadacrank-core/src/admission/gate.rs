//! The gate before one endpoint.

use crate::error::Kind;
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
    /// Time from cold to warm.
    pub warmup: Duration,
}

/// Counts the work in flight at one endpoint and admits no more than it bears.
#[derive(Debug)]
pub struct Gate {
    limits: Limits,
    cold_since: Duration,
    leaving: bool,
    in_flight: u32,
}

impl Gate {
    /// Creates the gate of a cold endpoint at time `now`.
    #[must_use]
    pub const fn new(limits: Limits, now: Duration) -> Self {
        Self {
            limits,
            cold_since: now,
            leaving: false,
            in_flight: 0,
        }
    }

    /// Takes up new limits from the rules.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Notes a sign that the endpoint turned cold.
    pub const fn chill(&mut self, now: Duration) {
        self.cold_since = now;
    }

    /// Stops new work for good.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Admits one request or says why not.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Leaving`] or [`Kind::Overloaded`].
    pub fn admit(&mut self, now: Duration) -> Result<(), Kind> {
        if self.leaving {
            return Err(Kind::Leaving);
        }
        if self.in_flight >= self.slots(now) {
            return Err(Kind::Overloaded);
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Returns a slot.
    pub const fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how warm the endpoint is.
    #[must_use]
    pub fn phase(&self, now: Duration) -> Phase {
        let age = now.saturating_sub(self.cold_since);
        if self.leaving {
            Phase::Leaving
        } else if age >= self.limits.warmup {
            Phase::Warm
        } else if self.slots(now) > self.limits.cold_slots {
            Phase::Warming
        } else {
            Phase::Cold
        }
    }

    /// Returns the requests in flight that the endpoint bears now.
    #[must_use]
    pub fn slots(&self, now: Duration) -> u32 {
        let Limits {
            cold_slots,
            warm_slots,
            warmup,
        } = self.limits;
        let age = now.saturating_sub(self.cold_since);
        if age >= warmup {
            return warm_slots;
        }
        let span = u128::from(warm_slots.saturating_sub(cold_slots));
        let risen = span * age.as_millis() / warmup.as_millis().max(1);
        cold_slots + u32::try_from(risen).unwrap_or(0)
    }
}
