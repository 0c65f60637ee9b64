//! What can be expected of a good version, by what the old one shows at the same time.

use super::{Evidence, evidence::Times};
use std::time::Duration;

/// Standard deviations above the mean of the old version from which on an answer counts as
/// slow.
const SLOW_DEVIATIONS: f64 = 3.0;

/// Bounds of that response time, relative to the mean.
const SLOW_FACTORS: (f64, f64) = (2.0, 3.0);

/// Number of answers of the old version from which on their times are used.
const MIN_ANSWERS: u64 = 10;

/// Half-life of the answers of the old version that are compared, in seconds.
const HALF_LIFE_S: f64 = 0.7;

/// Number of recent answers as which the rate of all answers counts.
const PRIOR: f64 = 2.0;

/// What the old version shows, to all processes since the order and to this one lately.
#[derive(Clone, Debug, Default)]
pub struct Reference {
    /// Response times from which on an answer is slow, in seconds, by route.
    slow: Vec<(String, f64)>,
    /// Rate of bad answers since the order.
    rate: f64,
    answers: f64,
    bad: f64,
    at: Duration,
}

impl Reference {
    /// Takes over what all processes saw of the old version.
    pub fn update(&mut self, sum: &Evidence) {
        let slow = sum.routes.iter().filter_map(|route| {
            let seconds = slow_seconds(&route.times)?;
            Some((route.name.clone(), seconds))
        });
        self.slow = slow.collect();
        let (old, _) = sum.total();
        self.rate = old.bad as f64 / (old.answers() as f64).max(1.0);
    }

    /// Returns whether an answer that took this time is slow.
    #[must_use]
    pub fn is_slow(&self, route: &str, took: Duration) -> bool {
        let found = self.slow.binary_search_by(|one| one.0.as_str().cmp(route));
        found.is_ok_and(|index| took.as_secs_f64() > self.slow[index].1)
    }

    /// Records an answer of the old version.
    pub fn record(&mut self, is_bad: bool, now: Duration) {
        let decay = self.decay(now);
        self.answers = self.answers.mul_add(decay, 1.0);
        self.bad = self.bad.mul_add(decay, f64::from(u8::from(is_bad)));
        self.at = now;
    }

    /// Returns the part of bad answers that a good version gives now.
    #[must_use]
    pub fn rate(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        (self.bad * decay + self.rate * PRIOR) / (self.answers * decay + PRIOR)
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        (-age / HALF_LIFE_S).exp2()
    }
}

fn slow_seconds(times: &Times) -> Option<f64> {
    if times.answers < MIN_ANSWERS {
        return None;
    }
    let answers = times.answers as f64;
    let mean = times.seconds / answers;
    let variance = (times.squares / answers - mean * mean).max(0.0);
    let (least, most) = SLOW_FACTORS;
    let slow = variance.sqrt().mul_add(SLOW_DEVIATIONS, mean);
    Some(slow.clamp(mean * least, mean * most))
}
