//! The retry budget of one process.

use std::{collections::VecDeque, time::Duration};

/// Fraction of the earned retries that is granted. The rest is a margin that
/// keeps unevenly arriving requests within the limit in every window.
const EARNED_FRACTION: f64 = 0.8;

/// The retry limit of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// Retries that one request earns.
    ratio: f64,
    /// Retries that all processes together may make per window without earning
    /// them.
    extra: f64,
    /// Length of the sliding window over which requests and retries are
    /// counted.
    window: Duration,
}

/// Requests and retries of one process at one service in the current window.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: Limit,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates the budget of a process that starts at time zero.
    #[must_use]
    pub const fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            limit: Limit {
                ratio,
                extra,
                window,
            },
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request to the service.
    pub fn record_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget. Returns whether one was left, given
    /// that `processes` share the limit.
    pub fn try_take(&mut self, processes: usize, now: Duration) -> bool {
        let left = self.has_retry(processes, now);
        if left {
            self.retries.push_back(now);
        }
        left
    }

    /// Returns whether a retry is left, given that `processes` share the limit.
    pub fn has_retry(&mut self, processes: usize, now: Duration) -> bool {
        self.expire(now);
        (self.retries.len() as f64) + 1.0 <= self.granted(processes, now)
    }

    fn granted(&self, processes: usize, now: Duration) -> f64 {
        let earned = self.requests.len() as f64 * self.limit.ratio * EARNED_FRACTION;
        // Retries that an earlier run of this process made still count in its
        // window.
        let age = (now.as_secs_f64() / self.limit.window.as_secs_f64()).min(1.0);
        earned + self.limit.extra / processes.max(1) as f64 * age
    }

    fn expire(&mut self, now: Duration) {
        let window = self.limit.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time + window <= now) {
                times.pop_front();
            }
        }
    }
}
