//! Selection of an endpoint by expected cost.

use super::{Fleet, Key, Locality, Row, rendezvous_weight, usual::Usual};
use crate::placement::draw::{self, Candidate};
use std::time::Duration;

/// Increase of the cost of an endpoint at a failure rate of 1, relative to one
/// without failures.
const FAILURE_WEIGHT: f64 = 12.0;

/// Extra cost of an endpoint in another data centre, as a fraction of a
/// request.
const REMOTE_WEIGHT: f64 = 0.1;

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
            reported
                * remaining(
                    self.age.as_secs_f64() / stay * slots.min(reported),
                    reported,
                )
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

/// Returns the fraction that remains of `reported` after `done` of it may have been worked
/// off. Reported work ends one by one and not all at the mean, so some remains.
fn remaining(done: f64, reported: f64) -> f64 {
    if reported > 0.0 {
        (-done / reported).exp()
    } else {
        0.0
    }
}

/// The cost of a request at an endpoint without regard to its health.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Work at the endpoint before the response begins, at its speed.
    pub(super) own: f64,
    /// Increase of that by each further request.
    pub(super) step: f64,
    /// Work that the service would not have elsewhere, at the average speed.
    pub(super) extra: f64,
}

impl Fleet {
    /// Selects the endpoint of a plain service with the earliest expected response,
    /// within the share of this process in its limit.
    #[must_use]
    pub fn choose_plain(
        &self,
        service: &str,
        locality: &Locality<'_>,
        now: Duration,
    ) -> Option<Key> {
        let share = self.share();
        self.choose_plain_if(service, locality, now, |row| row.may_send(0.0, share, now))
    }

    /// Selects the endpoint of a plain service with the earliest expected response,
    /// which needs a grant from the reserve of its limit.
    #[must_use]
    pub fn choose_plain_beyond_share(
        &self,
        service: &str,
        locality: &Locality<'_>,
        now: Duration,
    ) -> Option<Key> {
        self.choose_plain_if(service, locality, now, |_| true)
    }

    fn choose_plain_if(
        &self,
        service: &str,
        locality: &Locality<'_>,
        now: Duration,
        may_send: impl Fn(&Row) -> bool,
    ) -> Option<Key> {
        let knowledge = self.knowledge(service, now);
        let mut candidates = self.candidates(service, locality, now, |_, row| {
            let slots = f64::from(row.endpoint.slots.max(1));
            let busy = row.staying(&knowledge) / slots;
            let remote = f64::from(u8::from(row.endpoint.data_centre != locality.own));
            may_send(row).then_some(Cost {
                own: 1.0 + busy + remote * REMOTE_WEIGHT,
                step: slots.recip(),
                extra: 0.0,
            })
        });
        let drawn = draw::draw(&mut candidates, knowledge.requests, locality.seed);
        drawn.map(|candidate| candidate.key)
    }

    /// Returns what is known of the load that other processes put on the endpoints of a
    /// service.
    #[must_use]
    pub fn knowledge(&self, service: &str, now: Duration) -> Knowledge {
        let Some(reported_at) = self.peers_reported_at else {
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

    /// Returns the endpoints that may be selected, with their costs. Those in backoff are
    /// left out if there are others.
    pub(super) fn candidates(
        &self,
        service: &str,
        locality: &Locality<'_>,
        now: Duration,
        cost: impl Fn(Key, &Row) -> Option<Cost>,
    ) -> Vec<Candidate<Key>> {
        let mut candidates = Vec::new();
        let mut backing_off = Vec::new();
        let strained = self.is_strained(service, now);
        let average = self.usual(service).map_or(1.0, Usual::average_times);
        for (key, row) in self.usable(service) {
            let refuses = row.is_paused(now) || (strained && row.is_full());
            if refuses || !locality.allows(key, row) {
                continue;
            }
            let Some(cost) = cost(key, row) else { continue };
            let times = row.expected_times(now);
            let candidate = Candidate {
                key,
                cost: cost.own.mul_add(times, cost.extra * average),
                step: cost.step * times,
                idle: now.saturating_sub(row.sent_at).as_secs_f64(),
                id: rendezvous_weight(0, &row.endpoint.life.id),
            };
            if row.health.in_backoff(now) {
                backing_off.push(candidate);
            } else {
                candidates.push(candidate);
            }
        }
        if candidates.is_empty() {
            backing_off
        } else {
            candidates
        }
    }
}

impl Row {
    /// Returns the time that the endpoint probably takes now, relative to its service.
    /// Failures count as time.
    fn expected_times(&self, now: Duration) -> f64 {
        let failures = self.health.failure_rate(now).mul_add(FAILURE_WEIGHT, 1.0);
        self.speed.times(now) * self.health.slowness(now) * self.pace(now) * failures
    }

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
