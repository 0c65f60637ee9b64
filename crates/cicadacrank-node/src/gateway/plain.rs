//! Requests that one endpoint answers at once.

use super::{
    attempt::{self, Extra, Missed, Started},
    reply::Body,
    request::{Job, Refusal},
    state::{State, lock},
};
use crate::platform::caller;
use cicadacrank_core::{
    error::Kind,
    event::Event,
    once::Unsent,
    placement::{Key, Report, Sites},
};
use http::Response;
use http_body_util::{Either, Full};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Most bytes of an answer that is passed on whole.
const ANSWER_BYTES: usize = 16 << 20;

/// Part of the objective after which an attempt that may be repeated is taken
/// to be lost.
const ATTEMPT_OBJECTIVES: u32 = 2;

/// Least time for an attempt that may be repeated.
const LEAST_ATTEMPT: Duration = Duration::from_millis(250);

/// Pause after which there should be room at a plain service again.
const RETRY_AFTER: Duration = Duration::from_millis(80);

/// Serves a request from an endpoint of a plain service.
pub async fn serve(state: &Arc<State>, job: &Job) -> Result<Response<Body>, Refusal> {
    let mut tried: Vec<Key> = Vec::new();
    let mut unsent = Unsent::begin();
    let mut arrivals = 0;
    loop {
        let last = arrivals + 1 >= job.route.attempts;
        let Some(key) = choose(state, job, &tried) else {
            let stop = unsent.refuse(Kind::NoEndpoint, format!("tried={}", tried.len()));
            return Err(Refusal::from(stop).with_retry_after(jitter(RETRY_AFTER)));
        };
        if arrivals > 0 && !state.take_repeat(&job.service) {
            let stop = unsent.refuse(Kind::Overloaded, "no repeats left");
            return Err(Refusal::from(stop).with_retry_after(jitter(RETRY_AFTER)));
        }
        tried.push(key);
        match exchange(state, job, key, last, unsent).await {
            Ok(response) => return Ok(response),
            Err(Missed::NotRun {
                unsent: proof,
                kind,
                arrived,
            }) => {
                arrivals += u32::from(arrived);
                if arrivals >= job.route.attempts || Instant::now() >= job.outgoing.deadline {
                    let stop = proof.refuse(kind, format!("tried={}", tried.len()));
                    return Err(Refusal::from(stop).with_retry_after(jitter(RETRY_AFTER)));
                }
                unsent = proof;
            }
            Err(Missed::Unknown {
                sent,
                kind,
                context,
            }) => {
                arrivals += 1;
                Event::AttemptFailed.log(format_args!(
                    "id={} age_ms={} kind={kind} context={context:?}",
                    job.id(),
                    job.age_ms()
                ));
                let again = job.route.repeat.is_repeatable()
                    && arrivals < job.route.attempts
                    && Instant::now() < job.outgoing.deadline;
                if !again {
                    return Err(sent.fail(kind, context).into());
                }
                return repeat(state, job, &mut tried)
                    .await
                    .map_err(|missed| missed.unwrap_or_else(|| sent.fail(kind, context).into()));
            }
        }
    }
}

/// Sends a request that may have run to one more endpoint; without an answer
/// from there either, nothing is known but what was before.
async fn repeat(
    state: &Arc<State>,
    job: &Job,
    tried: &mut Vec<Key>,
) -> Result<Response<Body>, Option<Refusal>> {
    let mut arrivals = 1;
    while arrivals < job.route.attempts {
        let Some(key) = choose(state, job, tried) else {
            break;
        };
        if !state.take_repeat(&job.service) {
            break;
        }
        tried.push(key);
        let last = arrivals + 1 >= job.route.attempts;
        match exchange(state, job, key, last, Unsent::begin()).await {
            Ok(response) => return Ok(response),
            Err(Missed::NotRun { arrived, .. }) => arrivals += u32::from(arrived),
            Err(Missed::Unknown { .. }) => arrivals += 1,
        }
        if Instant::now() >= job.outgoing.deadline {
            break;
        }
    }
    Err(None)
}

fn choose(state: &State, job: &Job, tried: &[Key]) -> Option<Key> {
    let sites = Sites {
        own: &state.settings.data_centre,
        results: &[],
        tried,
    };
    lock(&state.fleet).choose_plain(&job.service, &sites, state.clock.now())
}

/// Makes one attempt and reads its answer whole.
async fn exchange(
    state: &Arc<State>,
    job: &Job,
    key: Key,
    last: bool,
    unsent: Unsent,
) -> Result<Response<Body>, Missed> {
    let began = Instant::now();
    let until = if job.route.repeat.is_repeatable() && !last {
        let bound = (job.route.objective * ATTEMPT_OBJECTIVES).max(LEAST_ATTEMPT);
        job.outgoing.deadline.min(began + bound)
    } else {
        job.outgoing.deadline
    };
    let extra = Extra::default();
    let started = attempt::start(state, &job.outgoing, key, &extra, until, unsent).await?;
    let Started {
        exchange,
        answer,
        flight,
        mut sent,
    } = started;
    let read = time::timeout_at(until, exchange.collect(ANSWER_BYTES)).await;
    let failed = |sent, kind, context: String| {
        flight.note(Report::Failed);
        Missed::Unknown {
            sent,
            kind,
            context,
        }
    };
    let response = match read {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(failed(sent, Kind::Truncated, error)),
        Err(_) => {
            return Err(failed(
                sent,
                Kind::Silent,
                "answer not whole in time".into(),
            ));
        }
    };
    sent.finish();
    if answer.status.is_server_error() && job.route.repeat.is_repeatable() && !last {
        let context = format!("status={}", answer.status);
        return Err(failed(sent, Kind::EndpointFailed, context));
    }
    let took = began.elapsed();
    if answer.status.is_server_error() {
        flight.note(Report::Failed);
    } else {
        flight.answer(0, took);
        lock(&state.suspects).acquit(job.outgoing.fingerprint);
    }
    Event::RequestServed.log(format_args!(
        "id={} route={} config={} endpoint={} status={} age_ms={} attempt_ms={}",
        job.id(),
        job.route.name,
        job.config.version,
        flight.endpoint.life.id,
        answer.status.as_u16(),
        job.age_ms(),
        took.as_millis(),
    ));
    let route = [job.route.name.as_str()];
    state.metrics.served.with_label_values(&route).inc();
    let seconds = job.arrived.elapsed().as_secs_f64();
    state
        .metrics
        .first_byte
        .with_label_values(&route)
        .observe(seconds);
    let (head, body) = response.into_parts();
    Ok(pass_on(head, Either::Left(Full::new(body))))
}

/// Makes the caller's answer of an endpoint's head and what is its body.
pub fn pass_on(head: http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = caller::forwarded(&head.headers);
    response
}

/// Spreads the return of callers that were refused together.
pub fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.5))
}
