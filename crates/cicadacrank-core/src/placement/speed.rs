//! The usual speed of one endpoint, relative to its service.

use std::time::Duration;

/// Half-life of the weight of what is known, in seconds.
const HALF_LIFE_S: f64 = 20.0;

/// Number of results from which on the newest has a constant weight.
const MAX_WEIGHT: f64 = 32.0;

/// Number of results at the speed of the service that an endpoint starts with.
const PRIOR_WEIGHT: f64 = 1.0;

/// Factor up to which an endpoint counts as of the speed of its service. A smaller
/// difference is mostly chance, and would keep an idle endpoint out of use.
const TOLERANCE: f64 = 1.25;

/// Largest factor by which one result may differ from the average of the service.
const MAX_TIMES: f64 = 4.0;

/// Weight of a result above what is known, relative to one below it. A wait behind requests
/// that are not known yet makes a result slow and says nothing about the speed.
pub(super) const SLOW_WEIGHT: f64 = 0.25;

/// How long an endpoint takes at its own speed, relative to its service.
///
/// The mean is that of the logarithms, so that half and double the time count alike. What
/// is known loses weight with its age, and with it the difference from the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    log_times: f64,
    weight: f64,
    at: Duration,
}

impl Speed {
    /// Records that an endpoint took `times` the time that is usual for its service.
    pub fn record(&mut self, times: f64, now: Duration) {
        let bounded = times.clamp(1.0 / MAX_TIMES, MAX_TIMES);
        let weight = self.weight(now) + 1.0;
        let difference = bounded.ln() - self.log_times;
        let trust = if difference > 0.0 { SLOW_WEIGHT } else { 1.0 };
        self.log_times += difference * trust / weight;
        self.weight = weight.min(MAX_WEIGHT);
        self.at = now;
    }

    /// Returns the time that the endpoint takes relative to the average of its service.
    #[must_use]
    pub fn times(&self, now: Duration) -> f64 {
        let weight = self.weight(now);
        let known = self.log_times * weight / (weight + PRIOR_WEIGHT);
        let beyond = (known.abs() - TOLERANCE.ln()).max(0.0);
        beyond.copysign(known).exp()
    }

    /// Returns the number of results that the speed rests on, less their age.
    fn weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.weight * (-age / HALF_LIFE_S).exp2()
    }
}
