//! What is left of the load that other processes reported.

use super::{Fleet, Row, usual::Usual};
use std::time::Duration;

/// Minimum number of requests that other processes have sent since their reports. With
/// it, processes that find a service idle select different endpoints of the same cost.
const MIN_REQUESTS: f64 = 1e-3;

/// What a process knows of the load that others put on the endpoints of a service.
///
/// Some of the requests that they reported have ended, and others have come since. While a
/// service is as busy as before, as many have come as have ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Knowledge {
    /// Mean age of the reports.
    pub age: Duration,
    /// Time for which a request is in flight, in seconds, or `None` if it is not known.
    stay: Option<f64>,
    /// Number of prompt tokens that an endpoint reads a second, or `None` if it is not
    /// known.
    tokens_per_second: Option<f64>,
    /// Number of requests in flight that others have sent since.
    pub requests: f64,
    /// Number of prompt tokens, of those that others have sent since, which are yet to be
    /// read.
    pub unread: f64,
    /// Number of endpoints that may have got them.
    pub endpoints: usize,
}

impl Knowledge {
    /// Creates what a process knows that has no reports of others, or reports that are up
    /// to date.
    const fn alone(endpoints: usize) -> Self {
        Self {
            age: Duration::ZERO,
            stay: None,
            tokens_per_second: None,
            requests: 0.0,
            unread: 0.0,
            endpoints,
        }
    }

    /// Returns the number of reported requests that are probably still in flight. Those
    /// beyond the slots of the endpoint wait for the others.
    fn staying(&self, row: &Row) -> f64 {
        let reported = f64::from(row.peer_load.in_flight);
        let slots = f64::from(row.endpoint.slots.max(1));
        self.stay.map_or(reported, |stay| {
            let ended = self.age.as_secs_f64() / stay * slots.min(reported);
            reported * remaining(ended, reported)
        })
    }

    /// Returns the number of reported prompt tokens that the endpoint has probably yet to
    /// read.
    fn waiting(&self, row: &Row) -> f64 {
        let reported = row.peer_load.unread as f64;
        self.tokens_per_second.map_or(reported, |rate| {
            reported * remaining(self.age.as_secs_f64() * rate, reported)
        })
    }

    /// Returns the number of prompts of `tokens` that make up the unread tokens.
    pub(super) fn prompts(&self, tokens: u64) -> f64 {
        let prompts = self.unread / tokens.max(1) as f64;
        prompts.max(self.requests.min(MIN_REQUESTS))
    }
}

/// Returns the fraction that remains of `reported` work while `done` could be worked off.
/// Not all ends at the mean time, so some remains.
fn remaining(done: f64, reported: f64) -> f64 {
    if reported > 0.0 {
        (-done / reported).exp()
    } else {
        0.0
    }
}

impl Fleet {
    /// Returns what is known of the load that other processes put on the endpoints of a
    /// service.
    #[must_use]
    pub fn knowledge(&self, service: &str, now: Duration) -> Knowledge {
        let Some(reported_at) = self.peers.reported_at() else {
            return Knowledge::alone(self.usable(service).count());
        };
        let usual = self.usual(service);
        let mut knowledge = Knowledge {
            age: now.saturating_sub(reported_at),
            stay: usual.and_then(Usual::stay),
            tokens_per_second: usual.and_then(Usual::tokens_per_second),
            ..Knowledge::alone(0)
        };
        for (_, row) in self.usable(service) {
            knowledge.requests += f64::from(row.peer_load.in_flight) - knowledge.staying(row);
            knowledge.unread += row.peer_load.unread as f64 - knowledge.waiting(row);
            knowledge.endpoints += 1;
        }
        knowledge.requests = knowledge.requests.max(MIN_REQUESTS);
        knowledge
    }
}

impl Row {
    /// Returns the number of requests that are probably in flight, without those that
    /// others have sent since their reports.
    pub(super) fn staying(&self, knowledge: &Knowledge) -> f64 {
        knowledge.staying(self) + f64::from(self.own_load.in_flight)
    }

    /// Returns the number of prompt tokens that the endpoint has probably yet to read,
    /// without those that others have sent since their reports.
    pub(super) fn waiting(&self, knowledge: &Knowledge) -> f64 {
        knowledge.waiting(self) + self.own_load.unread as f64
    }
}
