//! Tracks the evacuated data centres across returns of the store.

use super::{Evacuation, tracker::RECOVERY_GRACE};
use std::time::Duration;

/// The evacuated data centres as known to one process.
///
/// The newest list is in force, whatever its source. After the store has come back
/// from a copy, the data centres that were evacuated before stay so until operators
/// have had time to name them again.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    current: Option<Evacuation>,
    held: Option<Hold>,
    unavailable_since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Hold {
    data_centres: Vec<String>,
    until: Duration,
}

impl Tracker {
    /// Records that the store did not respond.
    pub fn mark_unavailable(&mut self, now: Duration) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Records that the store responded. A grace period that was paused begins again.
    pub fn mark_available(&mut self, now: Duration) {
        self.resume_hold(now);
        self.unavailable_since = None;
    }

    /// Applies a list. Ignores it if it is not newer than the current one. Returns
    /// whether it was applied.
    pub fn adopt(&mut self, evacuation: Evacuation, now: Duration) -> bool {
        let is_known = |current: &Evacuation| evacuation.version <= current.version;
        if self.current.as_ref().is_some_and(is_known) {
            return false;
        }
        self.resume_hold(now);
        if let Some(current) = &self.current {
            if evacuation.version.era > current.version.era {
                self.held = self.in_force().map(|in_force| Hold {
                    data_centres: in_force.data_centres,
                    until: now + RECOVERY_GRACE,
                });
            } else if let Some(held) = &mut self.held {
                // Operators have taken back what the store named in this era.
                held.data_centres
                    .retain(|name| !current.covers(name) || evacuation.covers(name));
            }
        }
        self.current = Some(evacuation);
        true
    }

    /// Ends the evacuations that the store does not name at the end of the grace
    /// period. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        if self.is_hold_paused() {
            return false;
        }
        let expired = self.held.take_if(|held| now >= held.until);
        let (Some(held), Some(current)) = (expired, &self.current) else {
            return false;
        };
        held.data_centres.iter().any(|name| !current.covers(name))
    }

    /// Returns the newest list, for other processes. Each of them keeps what it knew
    /// before the store came back.
    #[must_use]
    pub const fn current(&self) -> Option<&Evacuation> {
        self.current.as_ref()
    }

    /// Returns the data centres that get no new work, at the version of the newest
    /// list.
    #[must_use]
    pub fn in_force(&self) -> Option<Evacuation> {
        let current = self.current.as_ref()?;
        let held = self.held.iter().flat_map(|held| &held.data_centres);
        let mut data_centres: Vec<String> = held.chain(&current.data_centres).cloned().collect();
        data_centres.sort();
        data_centres.dedup();
        Some(Evacuation::new(current.version, data_centres))
    }

    fn resume_hold(&mut self, now: Duration) {
        if self.is_hold_paused()
            && let Some(held) = &mut self.held
        {
            held.until = now + RECOVERY_GRACE;
        }
    }

    /// Returns whether the store has been away since a grace period began. Operators
    /// cannot write again meanwhile.
    fn is_hold_paused(&self) -> bool {
        let (Some(held), Some(since)) = (&self.held, self.unavailable_since) else {
            return false;
        };
        held.until <= since + RECOVERY_GRACE
    }
}
