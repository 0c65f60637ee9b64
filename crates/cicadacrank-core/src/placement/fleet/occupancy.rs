//! The load that endpoints state about themselves.

use super::{Fleet, Row};
use crate::{directory::Incarnation, placement::Occupancy};
use std::time::Duration;

/// Time after which a stated pace counts half, in seconds. Others on the machine of an
/// endpoint change it several times a second.
const PACE_HALF_LIFE_S: f64 = 0.2;

/// Largest factor by which a stated pace counts as slower or faster than usual.
const MAX_PACE: f64 = 4.0;

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
    /// Returns the time that work probably takes now, relative to the usual time, as far
    /// as the endpoint states it.
    pub(super) fn pace(&self, now: Duration) -> f64 {
        let Some((occupancy, age)) = self.occupancy(now) else {
            return 1.0;
        };
        let pace = occupancy
            .pace
            .unwrap_or(1.0)
            .clamp(1.0 / MAX_PACE, MAX_PACE);
        let weight = (-age.as_secs_f64() / PACE_HALF_LIFE_S).exp2();
        (pace - 1.0).mul_add(weight, 1.0)
    }

    /// Returns the load that the endpoint stated last and the age of that statement, or
    /// `None` if it stated none.
    #[must_use]
    pub fn occupancy(&self, now: Duration) -> Option<(Occupancy, Duration)> {
        let (occupancy, at) = self.occupancy?;
        Some((occupancy, now.saturating_sub(at)))
    }
}
