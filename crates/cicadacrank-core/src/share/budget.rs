//! How often one process may send a request a second time.

use std::{collections::VecDeque, time::Duration};

/// Part of what all requests together earn that is granted, so that requests
/// that come unevenly stay within the limit of every window.
const EARNED_FRACTION: f64 = 0.8;

/// What the limit on repeats of one service is.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// Repeats that one request earns.
    ratio: f64,
    /// Repeats that are granted in a window whatever is earned.
    extra: f64,
    /// Window over which repeats are counted.
    window: Duration,
}

/// The requests and repeats of one process at one service in the last window.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: Limit,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl Budget {
    /// Creates the count of a process that begins now.
    #[must_use]
    pub const fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            limit: Limit {
                ratio,
                extra,
                window,
            },
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; returns whether there was one left among `processes`.
    pub fn try_take(&mut self, processes: usize, now: Duration) -> bool {
        self.expire(now);
        let granted = self.granted(processes, now);
        if (self.repeats.len() as f64) + 1.0 > granted {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn granted(&self, processes: usize, now: Duration) -> f64 {
        let earned = self.requests.len() as f64 * self.limit.ratio * EARNED_FRACTION;
        // What an earlier run of the process took still counts in its window.
        let age = (now.as_secs_f64() / self.limit.window.as_secs_f64()).min(1.0);
        earned + self.limit.extra / processes.max(1) as f64 * age
    }

    fn expire(&mut self, now: Duration) {
        let window = self.limit.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time + window <= now) {
                times.pop_front();
            }
        }
    }
}
