//! Selection of an endpoint by expected cost.

use super::{Fleet, Key, Locality, Row, rendezvous_weight};
use crate::placement::draw::{self, Candidate};
use std::time::Duration;

/// Increase of the cost of an endpoint at a failure rate of 1, relative to one
/// without failures.
const FAILURE_WEIGHT: f64 = 12.0;

/// Extra cost of an endpoint in another data centre, as a fraction of a
/// request.
const REMOTE_WEIGHT: f64 = 0.1;

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
        let average = self.average_times(service);
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
}
