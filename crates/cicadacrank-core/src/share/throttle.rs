//! Limits the rate at which one process sends to a cold endpoint.

use std::{collections::VecDeque, time::Duration};

/// Length of the sliding window: one second, plus 80 ms for the difference in
/// transit time between two sends.
const WINDOW: Duration = Duration::from_millis(1_080);

/// Sends of one process to one endpoint in the current window.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    sends: VecDeque<Duration>,
}

impl Throttle {
    /// Returns the number of sends per window that one process is granted.
    ///
    /// `limit` is the number of sends per second for all processes together. If
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
    pub fn may_send(&mut self, grant: usize, now: Duration) -> bool {
        while self.sends.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.sends.pop_front();
        }
        // In the first window, sends of an earlier run may still count.
        now >= WINDOW && self.sends.len() < grant
    }

    /// Records a send.
    pub fn record_send(&mut self, now: Duration) {
        self.sends.push_back(now);
    }
}
