//! How often one process may send to a cold endpoint.

use std::{collections::VecDeque, time::Duration};

/// The span over which sends are counted: a second, and what two sends may
/// drift apart on their way.
const WINDOW: Duration = Duration::from_millis(1_080);

/// The sends of one process to one endpoint in the last span.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    sends: VecDeque<Duration>,
}

impl Throttle {
    /// Returns how many sends a span one process is granted.
    ///
    /// `limit` is what all processes may send together in a second. With more
    /// processes than sends, those whose `position` in an order that differs by
    /// endpoint is below the limit get one each.
    #[must_use]
    pub fn grant(limit: f64, processes: usize, position: usize) -> usize {
        let whole = limit.max(0.0) as usize;
        let processes = processes.max(1);
        whole / processes + usize::from(position < whole % processes)
    }

    /// Returns whether a send is within the grant.
    pub fn may_send(&mut self, grant: usize, now: Duration) -> bool {
        while self.sends.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.sends.pop_front();
        }
        // Before one span has passed, sends of an earlier run may still count.
        now >= WINDOW && self.sends.len() < grant
    }

    /// Notes a send.
    pub fn record_send(&mut self, now: Duration) {
        self.sends.push_back(now);
    }
}
