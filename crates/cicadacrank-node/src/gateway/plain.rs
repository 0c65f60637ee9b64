//! Requests that an endpoint answers with a single complete response.

use super::{
    attempt::{self, Attempts, Failure, Parameters, Started},
    lifetime, peers,
    reply::{self, Body},
    request::{Job, Refusal},
    rollout::{self, Guide},
    state::{State, lock},
};
use crate::{outbound::Framing, platform::caller};
use cicadacrank_core::{
    error::Kind,
    event::Event,
    once::Unsent,
    placement::{Key, Locality, Report, Software},
};
use http::Response;
use http_body_util::{Either, Full};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Timeout of a repeatable attempt that is not the last, as a multiple of the
/// objective of the route. After it, the attempt is considered lost.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 2;

/// Minimum timeout of a repeatable attempt that is not the last.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay after which a plain service is expected to have free capacity again.
const RETRY_AFTER: Duration = Duration::from_millis(80);

/// Serves a request from an endpoint of a plain service, with retries.
///
/// # Errors
///
/// Returns a refusal if no endpoint is left or no further attempt is allowed.
pub async fn serve(state: &Arc<State>, job: &Job) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::new(RETRY_AFTER);
    loop {
        let Some(chosen) = choose(state, job, &attempts.tried).await else {
            let kind = attempts.shortage(state, job);
            return Err(attempts.refuse(state, job, kind));
        };
        let unsent = attempts.begin(state, job, chosen.key)?;
        let last = !attempts.has_successor(state, job);
        match exchange(state, job, chosen, last, unsent).await {
            Ok(response) => return Ok(response),
            Err(failure) => attempts.record_failure(state, job, failure, job.outgoing.deadline)?,
        }
    }
}

/// An endpoint selected for an attempt.
#[derive(Clone, Copy)]
struct Chosen {
    key: Key,
    /// Whether the attempt was granted from the reserve of the endpoint's limit.
    granted: bool,
}

/// Selects an endpoint that was not tried yet. Returns `None` if there is none, or if
/// the limits that endpoints state leave no room.
async fn choose(state: &Arc<State>, job: &Job, tried: &[Key]) -> Option<Chosen> {
    let guide = rollout::guide(state, &job.service, None, tried);
    if let Some(chosen) = choose_within(state, job, &guide).await {
        return Some(chosen);
    }
    choose_within(state, job, &guide.fallback(tried)?).await
}

/// Selects an endpoint that a guide allows.
async fn choose_within(state: &Arc<State>, job: &Job, guide: &Guide) -> Option<Chosen> {
    let locality = Locality {
        own: &state.settings.data_centre,
        results: &[],
        tried: &guide.tried,
        software: Software::Any,
        track: guide.track(),
        seed: rand::random(),
    };
    let now = state.clock.now();
    let within_share = lock(&state.fleet).choose_plain(&job.service, &locality, now);
    if let Some(key) = within_share {
        return Some(Chosen {
            key,
            granted: false,
        });
    }
    let beyond_share = lock(&state.fleet).choose_plain_beyond_share(&job.service, &locality, now);
    let key = beyond_share?;
    let endpoint = state.incarnation(key)?;
    let granted = peers::grant(state, &endpoint).await;
    granted.then_some(Chosen { key, granted })
}

/// Makes one attempt and reads the complete response. `last` is true if no further
/// attempt is possible.
///
/// # Errors
///
/// Returns a failure if there is no complete response in time, or if it is a
/// server error and another attempt is allowed.
async fn exchange(
    state: &Arc<State>,
    job: &Job,
    chosen: Chosen,
    last: bool,
    unsent: Unsent,
) -> Result<Response<Body>, Failure> {
    let started_at = Instant::now();
    let until = if job.route.repeat.is_repeatable() && !last {
        let timeout = (job.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES).max(MIN_ATTEMPT_TIMEOUT);
        job.outgoing.deadline.min(started_at + timeout)
    } else {
        job.outgoing.deadline
    };
    let parameters = Parameters {
        granted: chosen.granted,
        ..Parameters::default()
    };
    let started =
        attempt::start(state, &job.outgoing, chosen.key, &parameters, until, unsent).await?;
    let Started {
        exchange,
        answer,
        guard,
        mut sent,
    } = started;
    let framing = exchange.framing();
    let read = time::timeout_at(until, exchange.collect(MAX_ANSWER_BYTES, &state.answers)).await;
    let failed = |sent, kind, context: String| {
        guard.record(Report::Failed);
        Failure::Unknown {
            sent,
            kind,
            context,
        }
    };
    let response = match read {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            attempt::check_crash(&job.outgoing, &guard);
            return Err(failed(sent, Kind::Truncated, error));
        }
        Err(_) => {
            return Err(failed(
                sent,
                Kind::Silent,
                "timed out reading the response body".into(),
            ));
        }
    };
    if framing == Framing::Connection && !lifetime::has_survived(state, &guard.endpoint).await {
        let context =
            "the endpoint is not known to have survived the end of its connection".to_owned();
        return Err(failed(sent, Kind::Truncated, context));
    }
    sent.finish();
    if answer.status.is_server_error() && job.route.repeat.is_repeatable() && !last {
        let context = format!("status={}", answer.status);
        return Err(failed(sent, Kind::EndpointFailed, context));
    }
    if reply::implies_not_run(answer.status) && !job.route.repeat.is_repeatable() {
        // The caller would send it again, although the endpoint may have run it.
        let context = format!("status={} without a statement", answer.status);
        return Err(failed(sent, Kind::EndpointFailed, context));
    }
    let took = started_at.elapsed();
    if answer.status.is_server_error() {
        guard.record(Report::Failed);
    } else {
        guard.record_answer(took);
        state.causes.clear(&job.outgoing.causes, guard.sent);
    }
    Event::RequestServed.log(format_args!(
        "id={} route={} config={} endpoint={} born={:?} status={} age_ms={} framing={framing} \
         attempt_ms={}",
        job.id(),
        job.route.name,
        job.config.version,
        guard.endpoint.life.id,
        guard.endpoint.life.born,
        answer.status.as_u16(),
        job.age_ms(),
        took.as_millis(),
    ));
    state.metrics.record_served(&job.route.name);
    state
        .metrics
        .record_first_byte(&job.route.name, job.arrived.elapsed());
    let (head, body) = response.into_parts();
    Ok(forward_response(head, Either::Left(Full::new(body))))
}

/// Returns the response to the caller, built from the head of an endpoint's
/// response and a body.
pub fn forward_response(head: http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = caller::forwarded(&head.headers);
    response
}
