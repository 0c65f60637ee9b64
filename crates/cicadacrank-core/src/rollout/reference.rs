//! Expected response times, by what the old version shows at the same time.

use std::time::Duration;

/// Response time, relative to the mean of the old version, from which on an answer counts
/// as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Weight of the newest response in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// Number of answers of the old version from which on its mean is used.
const MIN_ANSWERS: u32 = 10;

/// Mean response times of the old version, by route, each per unit of work.
#[derive(Clone, Debug, Default)]
pub struct References(Vec<Reference>);

#[derive(Clone, Debug)]
struct Reference {
    route: String,
    answers: u32,
    seconds: f64,
}

impl References {
    /// Returns whether an answer that took this time is slow.
    #[must_use]
    pub fn is_slow(&self, route: &str, took: Duration) -> bool {
        let found = self.find(route).ok();
        found.map(|index| &self.0[index]).is_some_and(|reference| {
            reference.answers >= MIN_ANSWERS && took.as_secs_f64() > reference.seconds * SLOW_FACTOR
        })
    }

    /// Records an answer of the old version.
    pub fn record(&mut self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        match self.find(route) {
            Ok(index) => {
                let reference = &mut self.0[index];
                reference.answers = reference.answers.saturating_add(1);
                let weight = NEWEST_WEIGHT.max(1.0 / f64::from(reference.answers));
                reference.seconds += (took - reference.seconds) * weight;
            }
            Err(index) => {
                let reference = Reference {
                    route: route.to_owned(),
                    answers: 1,
                    seconds: took,
                };
                self.0.insert(index, reference);
            }
        }
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|reference| reference.route.as_str().cmp(route))
    }
}
