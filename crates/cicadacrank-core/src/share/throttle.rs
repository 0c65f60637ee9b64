//! Limits the rate at which one process sends to an endpoint.

use std::{collections::VecDeque, time::Duration};

/// Allowance for the difference in transit time between two sends.
const TRANSIT: Duration = Duration::from_millis(80);

/// Span of time in which the sends of all processes to an endpoint are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// One second, in which a cold endpoint is limited.
    Cold,
    /// Four seconds, in which an endpoint is limited that states a limit.
    Stated,
}

impl Window {
    /// Returns the length of the window, in seconds.
    #[must_use]
    pub const fn seconds(self) -> f64 {
        match self {
            Self::Cold => 1.0,
            Self::Stated => 4.0,
        }
    }

    /// Returns the length of the window with an allowance for different transit times.
    pub(crate) fn length(self) -> Duration {
        Duration::from_secs_f64(self.seconds()) + TRANSIT
    }
}

/// Sends of one process to one endpoint in the longest window.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    sends: VecDeque<Duration>,
}

impl Throttle {
    /// Returns the number of sends per window that one process is granted.
    ///
    /// `limit` is the number of sends per window for all processes together. If
    /// it does not divide evenly, the processes whose `position` is below the
    /// remainder get one more. The order of positions differs by endpoint.
    #[must_use]
    pub fn grant(limit: f64, processes: usize, position: usize) -> usize {
        let whole = limit.max(0.0) as usize;
        let processes = processes.max(1);
        whole / processes + usize::from(position < whole % processes)
    }

    /// Returns the number of sends per window that one process may grant to others
    /// beyond all shares, if an endpoint breaks its limit only above `bound` sends.
    ///
    /// It is half of what the shares leave, since two processes may grant at the
    /// same time while they disagree on which of them does.
    #[must_use]
    pub fn reserve(limit: f64, bound: f64) -> usize {
        ((bound - limit).max(0.0) / 2.0) as usize
    }

    /// Returns whether one more send is within the grant.
    #[must_use]
    pub fn may_send(&self, window: Window, grant: usize, now: Duration) -> bool {
        // In the first window, sends of an earlier run may still count.
        now >= window.length() && self.count(window, now) < grant
    }

    /// Returns the number of sends that the grant allows from `now` until `until`, if
    /// each is made as soon as it may be.
    #[must_use]
    pub fn sends_until(
        &self,
        window: Window,
        grant: usize,
        now: Duration,
        until: Duration,
    ) -> usize {
        let start = now.max(window.length());
        let Some(time) = until.checked_sub(start) else {
            return 0;
        };
        let windows = time.as_nanos() / window.length().as_nanos() + 1;
        let sends = grant.saturating_mul(usize::try_from(windows).unwrap_or(usize::MAX));
        sends.saturating_sub(self.count(window, now))
    }

    /// Returns the number of sends in the window that ends now.
    #[must_use]
    pub fn count(&self, window: Window, now: Duration) -> usize {
        let sends = self.sends.iter().rev();
        sends
            .take_while(|sent| **sent + window.length() > now)
            .count()
    }

    /// Records a send.
    pub fn record_send(&mut self, now: Duration) {
        let longest = Window::Stated.length();
        while self
            .sends
            .front()
            .is_some_and(|sent| *sent + longest <= now)
        {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}
