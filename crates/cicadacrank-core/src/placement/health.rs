//! Recent response times and failures of one endpoint.

use crate::retry;
use std::time::Duration;

/// Weight of the newest result in the moving averages.
const NEWEST_WEIGHT: f64 = 0.25;

/// Half-life of the failure rate and the slowness, in seconds. It is long
/// enough to span the intervals between attempts at a failing endpoint.
const HALF_LIFE_S: f64 = 3.0;

/// Backoff after the first failed connection. It doubles with each consecutive
/// failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Upper limit of the backoff. It is shorter than the time within which a
/// restarted endpoint should be in use again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The result of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// The endpoint answered. The value is the ratio of actual to expected time
    /// to the first byte.
    Answered(f64),
    /// The endpoint rejected the request because it was full.
    Busy,
    /// The request failed, the answer broke off or the attempt timed out.
    Failed,
    /// The connection could not be established.
    Unreachable,
}

/// Decaying averages over the recent attempts at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_rate: f64,
    slowness: f64,
    at: Duration,
    unreachable: u32,
    backoff_until: Duration,
}

impl Health {
    /// Creates the state of an endpoint without any recorded attempt.
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

    /// Records the result of an attempt.
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

    /// Returns the moving average of failed attempts, from 0 to 1. A rejection
    /// counts as half a failure.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        self.failure_rate * self.decay(now)
    }

    /// Returns the ratio of actual to expected response time, decaying towards
    /// 1.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Returns whether the endpoint is in backoff after failed connections.
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
