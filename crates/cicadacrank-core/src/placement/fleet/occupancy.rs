//! The load that endpoints state about themselves.

use super::{Fleet, Row};
use crate::{directory::Incarnation, placement::Occupancy};
use std::time::Duration;

impl Fleet {
    /// Records the load that an endpoint stated in its answer at `at`. Ignores it if a newer
    /// statement is known or the endpoint isn't listed.
    pub fn record_occupancy(&mut self, endpoint: &Incarnation, occupancy: Occupancy, at: Duration) {
        let listed = self.find(endpoint).and_then(|key| self.row_mut(key));
        if let Some(row) = listed
            && row.occupancy.is_none_or(|(_, known_at)| known_at <= at)
        {
            row.occupancy = Some((occupancy, at));
        }
    }
}

impl Row {
    /// Returns the load that the endpoint stated last and the age of that statement, or
    /// `None` if it stated none.
    #[must_use]
    pub fn occupancy(&self, now: Duration) -> Option<(Occupancy, Duration)> {
        let (occupancy, at) = self.occupancy?;
        Some((occupancy, now.saturating_sub(at)))
    }
}
