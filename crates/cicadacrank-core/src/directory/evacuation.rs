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
}

#[derive(Clone, Debug)]
struct Hold {
    data_centres: Vec<String>,
    until: Duration,
}

impl Tracker {
    /// Applies a list. Ignores it if it is not newer than the current one. Returns
    /// whether it was applied.
    pub fn adopt(&mut self, evacuation: Evacuation, now: Duration) -> bool {
        if let Some(current) = &self.current {
            if evacuation.version <= current.version {
                return false;
            }
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
}
