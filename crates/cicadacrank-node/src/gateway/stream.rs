//! Requests that a model engine answers by a stream of events.

use super::{
    attempt::{self, Attempts, Guard, Parameters, Started},
    plain::forward_response,
    reply::Body,
    request::{Job, Refusal},
    stages::{self, Outputs},
    state::{InFlight, State, lock},
};
use crate::outbound::Exchange;
use bytes::Bytes;
use cicadacrank_core::{
    error::Kind,
    event::Event,
    once::{ExecutionError, Sent, Unsent},
    placement::{Key, Locality, Report},
    stream::Splitter,
};
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::Frame;
use std::{io, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// What a request to an idle engine takes from its send to its first event,
/// and what is kept of the objective for it.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);

/// Time after which a caller leaves a stream that shows nothing, at least.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Objectives after which it leaves, at least.
const EVENT_TIMEOUT_OBJECTIVES: u32 = 4;

/// Pauses between events after which it leaves, at least.
const EVENT_TIMEOUT_GAPS: u32 = 8;

/// Silence after which a stream that may be resumed goes on elsewhere.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause before engines are looked at again when all have had their share of
/// cold starts.
const COLD_START_RECHECK: Duration = Duration::from_millis(40);

/// Pause after which a caller may come back when no engine takes its request.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves a request from a model engine, after its stages.
pub async fn serve(
    state: &Arc<State>,
    job: Job,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    let expires = job.outgoing.deadline.min(job.arrived + event_timeout(&job));
    let due = job.arrived + job.route.objective.saturating_sub(FIRST_EVENT_TIME);
    let outputs = stages::run(state, &job, due, expires - FIRST_EVENT_TIME).await?;
    let mut attempts = Attempts::new(RETRY_AFTER);
    let sent_at = Instant::now();
    let upstream = start_attempt(state, &job, &outputs, &mut attempts, expires).await?;
    let mut relay = Relay {
        state: Arc::clone(state),
        splitter: Splitter::default(),
        outputs: Some(outputs),
        arrivals: attempts.arrivals + 1,
        tried: attempts.tried,
        events: 0,
        sent_at,
        upstream,
        finished: false,
        expires,
        job,
        _in_flight: in_flight,
    };
    let first = relay.first_events().await?;
    let head = relay.head();
    let rest = stream::unfold((relay, first), |(mut relay, ready)| async move {
        let part = match ready {
            Some(bytes) => Some(Ok(bytes)),
            None => relay.next().await,
        };
        let part = part?.map(Frame::data);
        Some((part, (relay, None)))
    });
    Ok(forward_response(
        head,
        Either::Right(StreamBody::new(Box::pin(rest) as super::reply::Frames)),
    ))
}

/// Returns how long a caller waits for the next event.
fn event_timeout(job: &Job) -> Duration {
    let gap = job.route.event_gap.unwrap_or_default();
    MIN_EVENT_TIMEOUT
        .max(job.route.objective * EVENT_TIMEOUT_OBJECTIVES)
        .max(gap * EVENT_TIMEOUT_GAPS)
}

/// An attempt whose events are passed on.
struct Upstream {
    exchange: Exchange,
    guard: Guard,
    sent: Sent,
}

impl From<Started> for Upstream {
    fn from(started: Started) -> Self {
        Self {
            exchange: started.exchange,
            guard: started.guard,
            sent: started.sent,
        }
    }
}

/// Finds an engine that takes the request.
async fn start_attempt(
    state: &Arc<State>,
    job: &Job,
    outputs: &Outputs,
    attempts: &mut Attempts,
    expires: Instant,
) -> Result<Upstream, Refusal> {
    loop {
        let chosen = choose(state, job, outputs, &attempts.tried, expires).await;
        let Some(key) = chosen else {
            return Err(attempts.refuse(Kind::NoEndpoint));
        };
        let unsent = attempts.begin(state, job, key)?;
        let parameters = parameters(job, outputs, None);
        match attempt::start(state, &job.outgoing, key, &parameters, expires, unsent).await {
            Ok(started) => return Ok(started.into()),
            Err(failure) => attempts.record_failure(job, failure, expires)?,
        }
    }
}

/// Chooses an engine; waits a little where all have had their share of cold
/// starts.
async fn choose(
    state: &Arc<State>,
    job: &Job,
    outputs: &Outputs,
    tried: &[Key],
    expires: Instant,
) -> Option<Key> {
    let results = outputs.bytes_by_data_centre();
    loop {
        let locality = Locality {
            own: &state.settings.data_centre,
            results: &results,
            tried,
        };
        let now = state.clock.now();
        let prompt = job.caller.prompt;
        let (key, has_untried) = {
            let mut fleet = lock(&state.fleet);
            let key = fleet.choose_engine(&job.config, &job.service, prompt, &locality, now);
            let has_untried = fleet
                .usable(&job.service)
                .any(|(key, _)| !tried.contains(&key));
            (key, has_untried)
        };
        if key.is_some() || !has_untried || Instant::now() + COLD_START_RECHECK >= expires {
            return key;
        }
        time::sleep(COLD_START_RECHECK).await;
    }
}

fn parameters(job: &Job, outputs: &Outputs, last_event: Option<String>) -> Parameters {
    Parameters {
        results: outputs.handles(),
        last_event,
        urgency: Some(job.rank.min(9)),
        tokens: job.caller.prompt.tokens,
    }
}

/// Passes the events of a stream on.
struct Relay {
    state: Arc<State>,
    job: Job,
    upstream: Upstream,
    splitter: Splitter,
    outputs: Option<Outputs>,
    tried: Vec<Key>,
    arrivals: u32,
    events: u64,
    sent_at: Instant,
    expires: Instant,
    finished: bool,
    _in_flight: InFlight,
}

impl Relay {
    fn head(&self) -> http::response::Parts {
        let response = &self.upstream.exchange.response;
        let mut head = Response::new(()).into_parts().0;
        head.status = response.status();
        head.headers = response.headers().clone();
        head
    }

    /// Waits for the first events, so that an engine that fails before them is
    /// answered for by a status.
    async fn first_events(&mut self) -> Result<Option<Bytes>, Refusal> {
        if !self.upstream.exchange.response.status().is_success() {
            return Ok(None);
        }
        match self.next().await {
            Some(Ok(bytes)) => Ok(Some(bytes)),
            None => Ok(None),
            Some(Err(error)) => {
                self.finished = true;
                let error = broken_stream_error(error.to_string());
                Err(error.into())
            }
        }
    }

    /// Returns the next complete events; `None` after the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.finished {
            return None;
        }
        loop {
            let deadline = self.event_deadline();
            let body = self.upstream.exchange.response.body_mut();
            let failure = match time::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let events = self.splitter.push(&bytes);
                    if events.is_empty() {
                        continue;
                    }
                    self.record_events(&events);
                    return Some(Ok(events));
                }
                Ok(None) => return self.finish(),
                Ok(Some(Err(error))) => {
                    let crash = attempt::check_crash(
                        Arc::clone(&self.state),
                        self.upstream.guard.endpoint.clone(),
                        self.job.outgoing.fingerprint,
                    );
                    tokio::spawn(crash);
                    error.to_string()
                }
                Err(_) => "no event in time".to_owned(),
            };
            self.upstream.guard.record(Report::Failed);
            if !self.resume(&failure).await {
                self.finished = true;
                Event::StreamBroken.log(format_args!(
                    "id={} age_ms={} endpoint={} events={} context={failure:?}",
                    self.job.id(),
                    self.job.age_ms(),
                    self.upstream.guard.endpoint.life.id,
                    self.events,
                ));
                return Some(Err(io::Error::other(failure)));
            }
        }
    }

    /// Returns until when the next event is waited for.
    fn event_deadline(&self) -> Instant {
        let timeout = if self.may_resume() {
            RESUME_TIMEOUT
        } else {
            event_timeout(&self.job)
        };
        let deadline = if self.events == 0 {
            self.expires
        } else {
            Instant::now() + timeout
        };
        deadline.min(self.job.outgoing.deadline)
    }

    fn may_resume(&self) -> bool {
        self.job.route.repeat.is_repeatable() && self.arrivals < self.job.route.attempts
    }

    /// Notes events that are passed on.
    fn record_events(&mut self, events: &Bytes) {
        if self.events == 0 {
            let took = self.sent_at.elapsed();
            self.upstream.guard.record_prefill();
            self.upstream
                .guard
                .record_answer(self.job.caller.prompt.tokens, took);
            let route = &self.job.route.name;
            self.state.metrics.begin(route, self.job.arrived.elapsed());
            Event::StreamBegan.log(format_args!(
                "id={} route={} config={} endpoint={} age_ms={} first_event_ms={} tokens={} length={}",
                self.job.id(),
                self.job.route.name,
                self.job.config.version,
                self.upstream.guard.endpoint.life.id,
                self.job.age_ms(),
                took.as_millis(),
                self.job.caller.prompt.tokens,
                events.len(),
            ));
            if !self.may_resume() {
                self.outputs = None;
            }
        }
        self.events += 1;
    }

    /// Ends the stream if the engine has ended it.
    fn finish(&mut self) -> Option<io::Result<Bytes>> {
        self.finished = true;
        self.upstream.sent.finish();
        self.state.suspects.clear(self.job.outgoing.fingerprint);
        self.state.metrics.serve(&self.job.route.name);
        Event::RequestServed.log(format_args!(
            "id={} route={} config={} endpoint={} status={} age_ms={} events={}",
            self.job.id(),
            self.job.route.name,
            self.job.config.version,
            self.upstream.guard.endpoint.life.id,
            self.upstream.exchange.response.status().as_u16(),
            self.job.age_ms(),
            self.events,
        ));
        let rest = self.splitter.rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Goes on at another engine after the last complete event.
    async fn resume(&mut self, failure: &str) -> bool {
        if !self.may_resume() || Instant::now() >= self.job.outgoing.deadline {
            return false;
        }
        let Some(outputs) = &self.outputs else {
            return false;
        };
        if !self.state.try_take_retry(&self.job.service) {
            return false;
        }
        let until = self.event_deadline();
        let chosen = choose(&self.state, &self.job, outputs, &self.tried, until).await;
        let Some(key) = chosen else { return false };
        self.tried.push(key);
        self.arrivals += 1;
        let last_event = self.splitter.last_id().map(str::to_owned);
        let parameters = parameters(&self.job, outputs, last_event);
        let attempt = attempt::start(
            &self.state,
            &self.job.outgoing,
            key,
            &parameters,
            self.job.outgoing.deadline,
            Unsent::begin(),
        );
        let Ok(started) = attempt.await else {
            return false;
        };
        if !started.answer.status.is_success() {
            return false;
        }
        Event::StreamResumed.log(format_args!(
            "id={} age_ms={} from={} to={} after={:?} context={failure:?}",
            self.job.id(),
            self.job.age_ms(),
            self.upstream.guard.endpoint.life.id,
            started.guard.endpoint.life.id,
            parameters.last_event,
        ));
        self.splitter.discard_partial();
        self.upstream = started.into();
        true
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            let age = self.job.arrived.elapsed();
            self.state
                .record_caller_left(self.job.id(), age, self.events);
        }
    }
}

/// Returns why a stream that showed nothing yet has no answer.
fn broken_stream_error(context: String) -> ExecutionError {
    Unsent::begin().send().fail(Kind::EndpointFailed, context)
}
