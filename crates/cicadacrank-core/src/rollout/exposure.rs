//! Limits the requests that one process sends to a new version.

use super::Bounds;
use crate::share::Throttle;

/// Part of the allowed share that is used while the version is on trial. The rest is for
/// the requests that a version gets which turns bad after it got all traffic.
const TRIAL_SHARE: f64 = 0.4;

/// Part of the tolerance that is used while the version is on trial.
const TRIAL_TOLERANCE: f64 = 0.5;

/// Requests of one process to a service since the order.
///
/// The bound holds for all processes together, because each one relates its own sends to
/// its own requests and has an equal part of the tolerance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    /// Requests that this process may send to the new version without others to the service.
    allowance: usize,
    /// Requests sent to any version.
    pub requests: u64,
    /// Requests sent to the new version, or about to be.
    pub exposed: u64,
}

impl Exposure {
    /// Creates the counts of a process that shares the tolerance with the others, being the
    /// one at `position` of `processes`.
    #[must_use]
    pub fn new(bounds: &Bounds, processes: usize, position: usize) -> Self {
        let tolerance = bounds.tolerance * TRIAL_TOLERANCE;
        Self {
            allowance: Throttle::grant(tolerance, processes, position),
            ..Self::default()
        }
    }

    /// Counts a request to the service, whatever version gets it.
    pub const fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Takes one request to the new version. Returns whether one was left.
    pub fn try_take(&mut self, bounds: &Bounds) -> bool {
        let has_room = self.has_room(bounds);
        self.exposed += u64::from(has_room);
        has_room
    }

    /// Counts a request to the new version beyond the trial.
    pub const fn record_exposed(&mut self) {
        self.exposed += 1;
    }

    /// Returns whether one more request may go to the new version.
    #[must_use]
    pub fn has_room(&self, bounds: &Bounds) -> bool {
        let earned = self.requests as f64 * bounds.share * TRIAL_SHARE;
        self.exposed + 1 <= self.allowance as u64 + earned as u64
    }

    /// Returns the number of endpoints of the new version that get the requests of the
    /// trial, so that each has about the load of one of the old version.
    #[must_use]
    pub fn endpoints(bounds: &Bounds, old: usize, new: usize) -> usize {
        let wanted = (bounds.share * TRIAL_SHARE * old as f64).ceil() as usize;
        wanted.max(MIN_ENDPOINTS).min(new)
    }
}

/// Minimum number of endpoints in a trial. Trouble at a single one says nothing of its
/// version.
const MIN_ENDPOINTS: usize = 2;
