//! Requests that a model engine answers by a stream of events.

use super::{
    attempt::{self, Attempts, Extra, Flight, Started},
    plain::pass_on,
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
const FIRST_EVENT: Duration = Duration::from_millis(150);

/// Time after which a caller leaves a stream that shows nothing, at least.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// Objectives after which it leaves, at least.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Pauses between events after which it leaves, at least.
const PATIENCE_GAPS: u32 = 8;

/// Silence after which a stream that may be resumed goes on elsewhere.
const RESUME_SILENCE: Duration = Duration::from_millis(1_200);

/// Pause before engines are looked at again when all have had their share of
/// cold starts.
const COLD_PAUSE: Duration = Duration::from_millis(40);

/// Pause after which a caller may come back when no engine takes its request.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves a request from a model engine, after its stages.
pub async fn serve(
    state: &Arc<State>,
    job: Job,
    entered: InFlight,
) -> Result<Response<Body>, Refusal> {
    let expires = job.outgoing.deadline.min(job.arrived + patience(&job));
    let due = job.arrived + job.route.objective.saturating_sub(FIRST_EVENT);
    let outputs = stages::run(state, &job, due, expires - FIRST_EVENT).await?;
    let mut attempts = Attempts::new(RETRY_AFTER);
    let sent_at = Instant::now();
    let started = begin(state, &job, &outputs, &mut attempts, expires).await?;
    let mut relay = Relay {
        state: Arc::clone(state),
        splitter: Splitter::default(),
        outputs: Some(outputs),
        arrivals: attempts.arrivals + 1,
        tried: attempts.tried,
        events: 0,
        sent_at,
        started,
        finished: false,
        expires,
        job,
        _entered: entered,
    };
    let first = relay.first().await?;
    let head = relay.head();
    let rest = stream::unfold((relay, first), |(mut relay, ready)| async move {
        let part = match ready {
            Some(bytes) => Some(Ok(bytes)),
            None => relay.next().await,
        };
        let part = part?.map(Frame::data);
        Some((part, (relay, None)))
    });
    Ok(pass_on(
        head,
        Either::Right(StreamBody::new(Box::pin(rest) as super::reply::Parts)),
    ))
}

/// Returns how long a caller waits for the next event.
fn patience(job: &Job) -> Duration {
    let gap = job.route.event_gap.unwrap_or_default();
    LEAST_PATIENCE
        .max(job.route.objective * PATIENCE_OBJECTIVES)
        .max(gap * PATIENCE_GAPS)
}

/// An attempt whose events are passed on.
struct Running {
    exchange: Exchange,
    flight: Flight,
    sent: Sent,
}

impl From<Started> for Running {
    fn from(started: Started) -> Self {
        Self {
            exchange: started.exchange,
            flight: started.flight,
            sent: started.sent,
        }
    }
}

/// Finds an engine that takes the request.
async fn begin(
    state: &Arc<State>,
    job: &Job,
    outputs: &Outputs,
    attempts: &mut Attempts,
    expires: Instant,
) -> Result<Running, Refusal> {
    loop {
        let chosen = choose(state, job, outputs, &attempts.tried, expires).await;
        let Some(key) = chosen else {
            return Err(attempts.give_up(Kind::NoEndpoint));
        };
        let unsent = attempts.begin(state, job, key)?;
        let extra = extra(job, outputs, None);
        match attempt::start(state, &job.outgoing, key, &extra, expires, unsent).await {
            Ok(started) => return Ok(started.into()),
            Err(missed) => attempts.miss(job, missed, expires)?,
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
        let (key, any) = {
            let mut fleet = lock(&state.fleet);
            let key = fleet.choose_engine(&job.config, &job.service, prompt, &locality, now);
            let any = fleet
                .usable(&job.service)
                .any(|(key, _)| !tried.contains(&key));
            (key, any)
        };
        if key.is_some() || !any || Instant::now() + COLD_PAUSE >= expires {
            return key;
        }
        time::sleep(COLD_PAUSE).await;
    }
}

fn extra(job: &Job, outputs: &Outputs, last_event: Option<String>) -> Extra {
    Extra {
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
    started: Running,
    splitter: Splitter,
    outputs: Option<Outputs>,
    tried: Vec<Key>,
    arrivals: u32,
    events: u64,
    sent_at: Instant,
    expires: Instant,
    finished: bool,
    _entered: InFlight,
}

impl Relay {
    fn head(&self) -> http::response::Parts {
        let response = &self.started.exchange.response;
        let mut head = Response::new(()).into_parts().0;
        head.status = response.status();
        head.headers = response.headers().clone();
        head
    }

    /// Waits for the first events, so that an engine that fails before them is
    /// answered for by a status.
    async fn first(&mut self) -> Result<Option<Bytes>, Refusal> {
        if !self.started.exchange.response.status().is_success() {
            return Ok(None);
        }
        match self.next().await {
            Some(Ok(bytes)) => Ok(Some(bytes)),
            None => Ok(None),
            Some(Err(error)) => {
                self.finished = true;
                let stop = broken(error.to_string());
                Err(stop.into())
            }
        }
    }

    /// Returns the next whole events; `None` after the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.finished {
            return None;
        }
        loop {
            let limit = self.limit();
            let body = self.started.exchange.response.body_mut();
            let failure = match time::timeout_at(limit, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let whole = self.splitter.push(&bytes);
                    if whole.is_empty() {
                        continue;
                    }
                    self.pass(&whole);
                    return Some(Ok(whole));
                }
                Ok(None) => return self.end(),
                Ok(Some(Err(error))) => {
                    let crash = attempt::check_crash(
                        Arc::clone(&self.state),
                        self.started.flight.endpoint.clone(),
                        self.job.outgoing.fingerprint,
                    );
                    tokio::spawn(crash);
                    error.to_string()
                }
                Err(_) => "no event in time".to_owned(),
            };
            self.started.flight.note(Report::Failed);
            if !self.resume(&failure).await {
                self.finished = true;
                Event::StreamBroken.log(format_args!(
                    "id={} age_ms={} endpoint={} events={} context={failure:?}",
                    self.job.id(),
                    self.job.age_ms(),
                    self.started.flight.endpoint.life.id,
                    self.events,
                ));
                return Some(Err(io::Error::other(failure)));
            }
        }
    }

    /// Returns until when the next event is waited for.
    fn limit(&self) -> Instant {
        let silence = if self.may_resume() {
            RESUME_SILENCE
        } else {
            patience(&self.job)
        };
        let limit = if self.events == 0 {
            self.expires
        } else {
            Instant::now() + silence
        };
        limit.min(self.job.outgoing.deadline)
    }

    fn may_resume(&self) -> bool {
        self.job.route.repeat.is_repeatable() && self.arrivals < self.job.route.attempts
    }

    /// Notes events that are passed on.
    fn pass(&mut self, whole: &Bytes) {
        if self.events == 0 {
            let took = self.sent_at.elapsed();
            self.started.flight.read();
            self.started
                .flight
                .answer(self.job.caller.prompt.tokens, took);
            let route = &self.job.route.name;
            self.state.metrics.begin(route, self.job.arrived.elapsed());
            Event::StreamBegan.log(format_args!(
                "id={} route={} config={} endpoint={} age_ms={} first_event_ms={} tokens={} length={}",
                self.job.id(),
                self.job.route.name,
                self.job.config.version,
                self.started.flight.endpoint.life.id,
                self.job.age_ms(),
                took.as_millis(),
                self.job.caller.prompt.tokens,
                whole.len(),
            ));
            if !self.may_resume() {
                self.outputs = None;
            }
        }
        self.events += 1;
    }

    /// Ends the stream if the engine has ended it.
    fn end(&mut self) -> Option<io::Result<Bytes>> {
        self.finished = true;
        self.started.sent.finish();
        self.state.suspects.clear(self.job.outgoing.fingerprint);
        self.state.metrics.serve(&self.job.route.name);
        Event::RequestServed.log(format_args!(
            "id={} route={} config={} endpoint={} status={} age_ms={} events={}",
            self.job.id(),
            self.job.route.name,
            self.job.config.version,
            self.started.flight.endpoint.life.id,
            self.started.exchange.response.status().as_u16(),
            self.job.age_ms(),
            self.events,
        ));
        let rest = self.splitter.rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Goes on at another engine after the last whole event.
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
        let until = self.limit();
        let chosen = choose(&self.state, &self.job, outputs, &self.tried, until).await;
        let Some(key) = chosen else { return false };
        self.tried.push(key);
        self.arrivals += 1;
        let last_event = self.splitter.last_id().map(str::to_owned);
        let extra = extra(&self.job, outputs, last_event);
        let attempt = attempt::start(
            &self.state,
            &self.job.outgoing,
            key,
            &extra,
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
            self.started.flight.endpoint.life.id,
            started.flight.endpoint.life.id,
            extra.last_event,
        ));
        self.splitter.discard_partial();
        self.started = started.into();
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
fn broken(context: String) -> ExecutionError {
    Unsent::begin().send().fail(Kind::EndpointFailed, context)
}
