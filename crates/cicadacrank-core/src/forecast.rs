//! Forecasts of how long the parts of a request take, from those that ended.
//!
//! A forecast covers most of the next durations, not only half of them: it is the
//! moving average plus twice the average deviation from it. It fades with its age, since
//! what made the last requests slow may have passed.

use std::time::Duration;

/// Weight of the newest duration in the moving averages.
const NEWEST_WEIGHT: f64 = 0.15;

/// Average deviations that a forecast adds to the average. For most distributions, few
/// durations are longer.
const DEVIATIONS: f64 = 2.0;

/// Half-life of a forecast, in seconds.
const HALF_LIFE_S: f64 = 2.0;

/// Moving estimate of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    mean_s: f64,
    deviation_s: f64,
    at: Duration,
}

impl Forecast {
    /// Records a duration that ended at `now`.
    pub fn record(&mut self, took: Duration, now: Duration) {
        let fading = self.fading(now);
        self.mean_s *= fading;
        self.deviation_s *= fading;
        self.at = now;
        let error = took.as_secs_f64() - self.mean_s;
        self.mean_s += error * NEWEST_WEIGHT;
        self.deviation_s += (error.abs() - self.deviation_s) * NEWEST_WEIGHT;
    }

    /// Returns the time that covers most durations.
    #[must_use]
    pub fn expected(&self, now: Duration) -> Duration {
        let covered_s = self.mean_s + self.deviation_s * DEVIATIONS;
        Duration::from_secs_f64(covered_s * self.fading(now))
    }

    fn fading(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        (-age / HALF_LIFE_S).exp2()
    }
}

/// Forecasts by name.
#[derive(Clone, Debug, Default)]
pub struct Forecasts {
    /// Sorted by name.
    by_name: Vec<(String, Forecast)>,
}

impl Forecasts {
    /// Records a duration that ended at `now`.
    pub fn record(&mut self, name: &str, took: Duration, now: Duration) {
        let index = match self.find(name) {
            Ok(index) => index,
            Err(index) => {
                let added = (name.to_owned(), Forecast::default());
                self.by_name.insert(index, added);
                index
            }
        };
        self.by_name[index].1.record(took, now);
    }

    /// Returns the time that covers most durations, or zero if none is known.
    #[must_use]
    pub fn expected(&self, name: &str, now: Duration) -> Duration {
        let found = self.find(name);
        found.map_or(Duration::ZERO, |index| self.by_name[index].1.expected(now))
    }

    /// Forgets all names except those that `kept` holds for.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.by_name.retain(|one| kept(&one.0));
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|one| one.0.as_str().cmp(name))
    }
}
