//! How an endpoint answered lately.

use crate::retry;
use std::time::Duration;

/// Weight of the newest answer in the averages.
const NEWEST_WEIGHT: f64 = 0.25;

/// Time in which half of what is held against an endpoint is forgotten, in
/// seconds; long enough to bridge the pauses between trials of a bad endpoint.
const HALF_LIFE_S: f64 = 3.0;

/// First pause after a connection could not be made; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest such pause, below the time within which a restarted endpoint should
/// be in use again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// What an attempt says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// It answered; how many times as long as expected its first byte took.
    Answered(f64),
    /// It refused the work for lack of room.
    Busy,
    /// It failed the work, broke off or gave no answer in time.
    Failed,
    /// No connection could be made.
    Unreachable,
}

/// Averages over the last answers of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_rate: f64,
    slowness: f64,
    at: Duration,
    unreachable: u32,
    backoff_until: Duration,
}

impl Health {
    /// Creates the state of an endpoint that nothing is known of.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            failure_rate: 0.0,
            slowness: 1.0,
            at: Duration::ZERO,
            unreachable: 0,
            backoff_until: Duration::ZERO,
        }
    }

    /// Takes up what an attempt showed.
    pub fn record(&mut self, report: Report, now: Duration) {
        let failure_rate = self.failure_rate(now);
        let slowness = self.slowness(now);
        self.at = now;
        let blend = |before: f64, newest: f64| before + (newest - before) * NEWEST_WEIGHT;
        self.slowness = slowness;
        match report {
            Report::Answered(times) => {
                self.failure_rate = blend(failure_rate, 0.0);
                self.slowness = blend(slowness, times.clamp(1.0, 20.0));
                self.unreachable = 0;
            }
            Report::Busy => self.failure_rate = blend(failure_rate, 0.5),
            Report::Failed => self.failure_rate = blend(failure_rate, 1.0),
            Report::Unreachable => {
                self.failure_rate = blend(failure_rate, 1.0);
                self.backoff_until =
                    now + retry::backoff(INITIAL_BACKOFF, MAX_BACKOFF, self.unreachable);
                self.unreachable += 1;
            }
        }
    }

    /// Returns the part of attempts that fail, as far as the last ones show.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        self.failure_rate * self.decay(now)
    }

    /// Returns how many times as long as expected an answer takes.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Returns whether the endpoint is left alone after failed connections.
    #[must_use]
    pub fn in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        (-age / HALF_LIFE_S).exp2()
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
