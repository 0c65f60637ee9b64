//! Counts the requests to services on roll-out, and how they were answered.

use crate::gateway::state::{State, lock};
use cicadacrank_core::{
    directory::Endpoint,
    event::Event,
    rollout::{Outcome, Phase, Rollout},
};
use std::{sync::Arc, time::Duration};

/// Name under which calls with pieces of stages are counted, which belong to several routes.
const CALLS: &str = "calls";

/// Minimum of the expected duration of a call, in seconds.
const MIN_CALL_SECONDS: f64 = 0.001;

/// Records the send of a request to an endpoint.
pub fn begin(state: &State, endpoint: &Endpoint) {
    let now = state.clock.now();
    state.rollouts.count(endpoint, |count| count + 1, now);
    let is_new = state.rollouts.with(&endpoint.service, |rollout| {
        rollout.begin(&endpoint.version);
        rollout.is_new(&endpoint.version)
    });
    if is_new == Some(true) {
        let service = [endpoint.service.as_str()];
        state.metrics.exposed.with_label_values(&service).inc();
    }
}

/// Counts a call with pieces of stages at its endpoint until it is dropped.
#[derive(Debug)]
pub struct Call {
    state: Arc<State>,
    endpoint: Endpoint,
    sent: Duration,
}

impl Call {
    /// Takes a call from the limit of a trial, if its endpoint is on trial, and records its
    /// start.
    pub fn begin(state: &Arc<State>, endpoint: Endpoint) -> Self {
        let sent = state.clock.now();
        state.rollouts.with(&endpoint.service, |rollout| {
            if rollout.phase() == Phase::Trial {
                rollout.try_continue(&endpoint.version, sent);
            }
        });
        begin(state, &endpoint);
        Self {
            state: Arc::clone(state),
            endpoint,
            sent,
        }
    }

    /// Records that the endpoint made all pieces of the call.
    pub fn record_answer(&self, pieces: usize) {
        let config = self.state.config();
        let service = config
            .as_ref()
            .map(|config| config.service(&self.endpoint.service));
        let Some(worker) = service.flatten().and_then(|service| service.worker) else {
            return;
        };
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        let expected = worker.call_time + worker.piece_time * pieces;
        let took = self.took();
        let took = took.div_f64(expected.as_secs_f64().max(MIN_CALL_SECONDS));
        let is_cold = {
            let fleet = lock(&self.state.fleet);
            let row = fleet.row_of(&self.endpoint.life);
            row.is_some_and(|row| self.sent < row.cold_until)
        };
        record_answer(&self.state, CALLS, &self.endpoint, took, is_cold);
    }

    /// Records that the endpoint did not make all pieces of the call.
    pub fn record_failure(&self) {
        record_failure(&self.state, CALLS, &self.endpoint, self.took());
    }

    fn took(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.sent)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        self.state.rollouts.end(&self.endpoint, now);
    }
}

/// Records that an endpoint answered after `took` per unit of its work.
pub fn record_answer(state: &State, route: &str, endpoint: &Endpoint, took: Duration, cold: bool) {
    let now = state.clock.now();
    record(state, endpoint, route, took, |rollout| {
        let digest = endpoint.life.digest();
        rollout.record_answer(route, &endpoint.version, digest, took, cold, now)
    });
}

/// Records that a request was abandoned at an endpoint that had not answered after `took`
/// per unit of its work.
pub fn record_wait(state: &State, route: &str, endpoint: &Endpoint, took: Duration, cold: bool) {
    let now = state.clock.now();
    record(state, endpoint, route, took, |rollout| {
        let digest = endpoint.life.digest();
        rollout.record_wait(route, &endpoint.version, digest, took, cold, now)
    });
}

/// Records that an endpoint failed a request after `took`.
pub fn record_failure(state: &State, route: &str, endpoint: &Endpoint, took: Duration) {
    let now = state.clock.now();
    record(state, endpoint, route, took, |rollout| {
        let digest = endpoint.life.digest();
        rollout.record(route, &endpoint.version, digest, Outcome::Bad, now);
        Outcome::Bad
    });
}

fn record(
    state: &State,
    endpoint: &Endpoint,
    route: &str,
    took: Duration,
    act: impl FnOnce(&mut Rollout) -> Outcome,
) {
    let outcome = state.rollouts.with(&endpoint.service, |rollout| {
        let outcome = act(rollout);
        (outcome, rollout.is_new(&endpoint.version))
    });
    if outcome == Some((Outcome::Bad, true)) {
        let service = [endpoint.service.as_str()];
        state.metrics.bad_answers.with_label_values(&service).inc();
        Event::AnswerJudged.log(format_args!(
            "service={} version={} endpoint={} born={:?} route={route} took_ms={}",
            endpoint.service,
            endpoint.version,
            endpoint.life.id,
            endpoint.life.born,
            took.as_millis(),
        ));
    }
}
