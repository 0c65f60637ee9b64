//! Limits the requests that one process sends to a new version.

use super::Bounds;
use crate::share::Throttle;

/// Minimum number of endpoints in a trial. Trouble at a single one says nothing of its
/// version.
const MIN_ENDPOINTS: usize = 2;

/// Number of requests of which a version gets one at most while it is sampled.
const SAMPLE_INTERVAL: u64 = 4;

/// Number of requests of which a version gets one at most while it is under load.
const LOAD_INTERVAL: u64 = 2;

/// Part of a deployment's limits that may be used at one time of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Few requests at a time, from the order on.
    Sample,
    /// Every other request, until this part is used up. It shows how the version bears the
    /// load, while the old one gets the other requests, for comparison.
    Load,
}

impl Stage {
    /// Returns the parts of the share and of the tolerance. What they leave is for requests
    /// that are counted otherwise elsewhere, and for a version that turns bad later.
    const fn parts(self) -> (f64, f64) {
        match self {
            Self::Sample => (0.45, 0.6),
            Self::Load => (0.8, 0.85),
        }
    }
}

/// Requests of one process to a service since the order.
///
/// The bound holds for all processes together, because each one relates its own sends to
/// its own requests and has an equal part of the tolerance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    /// Requests that this process may send to the new version without others to the
    /// service, in each stage.
    sample: usize,
    load: usize,
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
        let grant =
            |stage: Stage| Throttle::grant(bounds.tolerance * stage.parts().1, processes, position);
        Self {
            sample: grant(Stage::Sample),
            load: grant(Stage::Load),
            ..Self::default()
        }
    }

    /// Returns whether the next request may go to the new version, so that the old one gets
    /// others at the same time.
    #[must_use]
    pub const fn is_turn(&self, stage: Stage) -> bool {
        let interval = match stage {
            Stage::Sample => SAMPLE_INTERVAL,
            Stage::Load => LOAD_INTERVAL,
        };
        self.requests % interval == interval - 1
    }

    /// Counts a request to the service, whatever version gets it.
    pub const fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Counts a request to the new version.
    pub const fn record_exposed(&mut self) {
        self.exposed += 1;
    }

    /// Returns whether one more request may go to the new version.
    #[must_use]
    pub fn has_room(&self, bounds: &Bounds, stage: Stage) -> bool {
        let earned = self.requests as f64 * bounds.share * stage.parts().0;
        let granted = match stage {
            Stage::Sample => self.sample,
            Stage::Load => self.load,
        };
        self.exposed < granted as u64 + earned as u64
    }

    /// Returns the number of endpoints of the new version that get the requests of a stage,
    /// so that each has about the load of one of the old version.
    #[must_use]
    pub fn endpoints(bounds: &Bounds, stage: Stage, old: usize, new: usize) -> usize {
        let part = match stage {
            Stage::Sample => bounds.share * stage.parts().0,
            Stage::Load => 1.0 / LOAD_INTERVAL as f64,
        };
        let wanted = (part * old as f64).ceil() as usize;
        wanted.max(MIN_ENDPOINTS).min(new)
    }
}
