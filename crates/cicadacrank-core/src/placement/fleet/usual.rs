//! What is usual for a service: the averages over all of its endpoints.

use super::{Fleet, Key, Report, Row, TOKENS_PER_START};
use std::time::Duration;

/// Number of values from which on the newest has a constant weight in an average.
const MAX_COUNT: f64 = 20.0;

/// Moving average, which is the plain mean of the first values.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    count: f64,
}

impl Average {
    fn record(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MAX_COUNT);
        self.value += (value - self.value) / self.count;
    }
}

/// The averages over all endpoints of a service, in seconds.
#[derive(Debug)]
pub(super) struct Usual {
    service: String,
    /// Time per unit of work until the response begins.
    work: Average,
    /// Time until the response begins.
    answer: Average,
    /// Time for which a request is in flight.
    stay: Average,
}

impl Usual {
    /// Returns the average time until a response begins, or `None` if there was none.
    pub(super) fn answer(&self) -> Option<f64> {
        (self.answer.count > 0.0).then_some(self.answer.value)
    }

    /// Returns the average time for which a request is in flight, or `None` if none has
    /// ended.
    pub(super) fn stay(&self) -> Option<f64> {
        (self.stay.count > 0.0).then_some(self.stay.value)
    }
}

impl Fleet {
    /// Records that an endpoint started to respond after `took`. `tokens` is
    /// the number of prompt tokens that it had to read before, those of other
    /// requests included, 0 for a plain service.
    pub fn record_answer(&mut self, key: Key, tokens: u64, took: Duration, now: Duration) {
        let Some(usual) = self.usual_mut(key) else {
            return;
        };
        let work = (tokens + TOKENS_PER_START) as f64 / TOKENS_PER_START as f64;
        let seconds = took.as_secs_f64() / work;
        usual.answer.record(took.as_secs_f64());
        let before = if usual.work.count > 0.0 {
            usual.work.value
        } else {
            seconds
        };
        let times = seconds / before.max(f64::MIN_POSITIVE);
        // Limits the effect of one slow endpoint on the average of the service.
        usual.work.record(seconds.min(before * 2.0));
        if let Some(row) = self.row_mut(key) {
            let unusual = times / row.speed.times(now);
            row.speed.record(times, now);
            row.health.record(Report::Answered(unusual), now);
        }
    }

    /// Records that a request was in flight at an endpoint for `took`.
    pub fn record_stay(&mut self, key: Key, took: Duration) {
        if let Some(usual) = self.usual_mut(key) {
            usual.stay.record(took.as_secs_f64());
        }
    }

    /// Returns the averages of a service, or `None` if no request has ended there.
    pub(super) fn usual(&self, service: &str) -> Option<&Usual> {
        let found = self
            .usual
            .binary_search_by(|usual| usual.service.as_str().cmp(service));
        found.ok().map(|index| &self.usual[index])
    }

    fn usual_mut(&mut self, key: Key) -> Option<&mut Usual> {
        let service = &self.row(key)?.endpoint.service;
        let found = self
            .usual
            .binary_search_by(|usual| usual.service.cmp(service));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let usual = Usual {
                    service: service.clone(),
                    work: Average::default(),
                    answer: Average::default(),
                    stay: Average::default(),
                };
                self.usual.insert(index, usual);
                index
            }
        };
        Some(&mut self.usual[index])
    }
}

impl Row {
    /// Returns the time that the endpoint usually takes relative to its service.
    #[must_use]
    pub fn times(&self, now: Duration) -> f64 {
        self.speed.times(now)
    }
}
