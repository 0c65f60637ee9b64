//! When responses to requests with a cause began lately.

use super::Cause;
use std::{collections::HashMap, time::Duration};

/// Time for which the begin of a response clears its causes of crashes that become
/// known later. Reports arrive well within it.
const CLEARANCE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of causes in one generation. A full generation is replaced early.
const MAX_CAUSES: usize = 1 << 17;

/// The last begin of a response by cause, in two generations: a generation is dropped as a
/// whole, so that no step goes through all entries. Each request adds some, so that a
/// sorted vector would have to move many.
#[derive(Clone, Debug, Default)]
pub(super) struct Responses {
    newer: HashMap<Cause, Duration>,
    older: HashMap<Cause, Duration>,
    /// Time at which the newer generation began.
    since: Duration,
}

impl Responses {
    /// Records that a response to a request with these causes began.
    pub(super) fn record(&mut self, causes: &[Cause], began: Duration, now: Duration) {
        self.expire(now);
        if self.newer.len() + causes.len() > MAX_CAUSES {
            self.replace(now);
        }
        for cause in causes {
            let last = self.newer.entry(*cause).or_insert(began);
            *last = began.max(*last);
        }
    }

    /// Returns the last begin of a response to a request with a cause.
    pub(super) fn last(&self, cause: &Cause) -> Option<Duration> {
        let newer = self.newer.get(cause);
        newer.max(self.older.get(cause)).copied()
    }

    /// Drops what is older than two generations of [`CLEARANCE_TIME`].
    pub(super) fn expire(&mut self, now: Duration) {
        let age = now.saturating_sub(self.since);
        if age >= CLEARANCE_TIME * 2 {
            self.newer.clear();
        }
        if age >= CLEARANCE_TIME {
            self.replace(now);
        }
    }

    fn replace(&mut self, now: Duration) {
        // The next generation is about as large, and growing would move all entries.
        let next = HashMap::with_capacity(self.newer.len());
        self.older = std::mem::replace(&mut self.newer, next);
        self.since = now;
    }
}
