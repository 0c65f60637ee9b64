//! Requests that a model engine answers with a stream of events.

use super::{
    attempt::{self, Attempts, Parameters, Started},
    lifetime, origin, peers,
    plain::forward_response,
    reply::{self, Body},
    request::{Job, Refusal},
    rollout::{self, Guide},
    stages::{self, Outputs},
    state::{InFlight, State, lock},
    upstream::{self, Current, Progress, Upstream},
};
use crate::{memory::Reservation, outbound::Framing};
use bytes::Bytes;
use cicadacrank_core::{
    error::Kind,
    event::Event,
    once::{ExecutionError, Unsent},
    placement::{Choice, Key, Locality, Report, Selection},
    stream::Splitter,
};
use futures_util::stream;
use http::{Response, header};
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::Frame;
use std::{io, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Time from the send of a request to its first event at an idle engine. This part
/// of the objective is reserved for it.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);

/// Lower bound for the event timeout, the time for which a caller waits for the
/// next event before it disconnects.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Lower bound for the event timeout, as a multiple of the objective.
const EVENT_TIMEOUT_OBJECTIVES: u32 = 4;

/// Lower bound for the event timeout, as a multiple of the interval between events
/// that the route allows.
const EVENT_TIMEOUT_GAPS: u32 = 8;

/// Time without an event after which a stream that may be resumed is resumed at
/// another engine, if one accepts it.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time from the send to another engine until the silent one is abandoned. Two engines
/// must not work on the same stream for longer than 400 ms.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// Time for which a stream lasts beyond the time that its caller waits, so that the caller
/// or the engine ends it.
const CALLER_MARGIN: Duration = Duration::from_millis(100);

/// Failure of an engine that sends no event in time.
const SILENCE: &str = "timed out waiting for the next event";

/// Time between two checks for an available engine while all engines have reached
/// their cold-start limit.
const COLD_START_RECHECK: Duration = Duration::from_millis(40);

/// Delay after which a caller may retry if no engine accepts its request.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Runs the stages of a request and streams the response of a model engine.
///
/// # Errors
///
/// Returns a refusal if a stage fails, if no engine accepts the request, or if the
/// stream breaks before its first event and cannot be resumed.
pub async fn serve(
    state: &Arc<State>,
    mut job: Job,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    origin::bind(state, &mut job).await?;
    let expires = job.outgoing.deadline.min(job.arrived + event_timeout(&job));
    let due = job.arrived
        + job
            .route
            .objective
            .saturating_sub(first_event_time(state, &job));
    let mut attempts = Attempts::new(RETRY_AFTER);
    attempts.check_endpoints(state, &job, expires)?;
    let outputs = stages::run(state, &job, due, expires - FIRST_EVENT_TIME).await?;
    let sent_at = Instant::now();
    let upstream = start_attempt(state, &job, &outputs, &mut attempts, expires).await?;
    let last_event = job.caller.last_event.clone();
    let last_event = last_event.filter(|_| job.route.repeat.is_repeatable());
    let splitter = last_event.map_or_else(Splitter::default, Splitter::after);
    let mut relay = Relay {
        state: Arc::clone(state),
        splitter,
        partial_memory: state.events.reserve(),
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

/// Returns the time for which a caller waits for the next event.
fn event_timeout(job: &Job) -> Duration {
    let gap = job.route.event_gap.unwrap_or_default();
    MIN_EVENT_TIMEOUT
        .max(job.route.objective * EVENT_TIMEOUT_OBJECTIVES)
        .max(gap * EVENT_TIMEOUT_GAPS)
}

/// Makes attempts until an engine accepts the request.
///
/// # Errors
///
/// Returns a refusal if no engine is left or no further attempt is allowed.
async fn start_attempt(
    state: &Arc<State>,
    job: &Job,
    outputs: &Outputs,
    attempts: &mut Attempts,
    expires: Instant,
) -> Result<Upstream, Refusal> {
    loop {
        let chosen = choose(state, job, outputs, &attempts.tried, expires).await;
        let Some(chosen) = chosen else {
            let kind = attempts.shortage(state, job);
            return Err(attempts.refuse(state, job, kind));
        };
        let key = chosen.choice.key;
        let unsent = attempts.begin(state, job, key)?;
        let parameters = parameters(state, job, outputs, chosen, None);
        match attempt::start(state, &job.outgoing, key, &parameters, expires, unsent).await {
            Ok(started) => return Ok(started.into()),
            Err(failure) => attempts.record_failure(state, job, failure, expires)?,
        }
    }
}

/// An engine selected for an attempt.
#[derive(Clone, Copy)]
struct Chosen {
    choice: Choice,
    /// Whether the attempt was granted from the reserve of the engine's limit.
    granted: bool,
}

/// Selects an engine that was not tried yet. While all of them have reached a limit,
/// checks again until shortly before `expires`, unless the limits leave no request
/// for this one by then.
async fn choose(
    state: &Arc<State>,
    job: &Job,
    outputs: &Outputs,
    tried: &[Key],
    expires: Instant,
) -> Option<Chosen> {
    let results = outputs.bytes_by_data_centre();
    let seed = rand::random();
    let select = |guide: &Guide| {
        let locality = locality(state, job, &results, guide, seed);
        let fleet = lock(&state.fleet);
        let prompt = job.caller.prompt;
        let now = state.clock.now();
        fleet.choose_engine(&job.config, &job.service, prompt, &locality, now)
    };
    let bound = job.version.as_deref();
    let mut guide = rollout::guide(state, &job.service, bound, tried);
    let mut waiting = None;
    loop {
        if !state.rollouts.is_current(&job.service, &guide) {
            guide = rollout::guide(state, &job.service, bound, tried);
        }
        if select(&guide) == Selection::default()
            && let Some(fallback) = guide.fallback(tried)
        {
            guide = fallback;
        }
        if let Some(choice) = select(&guide).beyond_share
            && let Some(endpoint) = state.incarnation(choice.key)
            && peers::grant(state, &endpoint).await
        {
            return Some(Chosen {
                choice,
                granted: true,
            });
        }
        // The fleet may have changed while this gateway waited for the grant.
        if let Some(choice) = select(&guide).within_share {
            return Some(Chosen {
                choice,
                granted: false,
            });
        }
        if Instant::now() + COLD_START_RECHECK >= expires {
            return None;
        }
        let ahead = if waiting.is_none() {
            let (waiter, ahead) = state.begin_waiting(&job.service);
            waiting = Some(waiter);
            ahead
        } else {
            0
        };
        let locality = locality(state, job, &results, &guide, seed);
        if sends_until(state, job, &locality, expires) <= ahead {
            return None;
        }
        time::sleep(COLD_START_RECHECK).await;
    }
}

/// Returns the engines among which one is selected.
fn locality<'a>(
    state: &'a State,
    job: &'a Job,
    results: &'a [(String, u64)],
    guide: &'a Guide,
    seed: u64,
) -> Locality<'a> {
    Locality {
        own: &state.settings.data_centre,
        results,
        tried: &guide.tried,
        software: job.software(),
        track: guide.track(),
        seed,
    }
}

/// Returns the part of the objective that is reserved for the engine: what the last
/// requests of the route needed, at most half of it.
fn first_event_time(state: &State, job: &Job) -> Duration {
    let route = &job.route;
    let expected = state
        .pools
        .expected_first_event(&route.name, state.clock.now());
    expected.clamp(FIRST_EVENT_TIME, FIRST_EVENT_TIME.max(route.objective / 2))
}

/// Returns the number of requests that this gateway may send until `expires` to the
/// engines that `locality` allows.
fn sends_until(state: &State, job: &Job, locality: &Locality<'_>, expires: Instant) -> usize {
    let service = job.config.service(&job.service);
    let cold_rate = service.map_or(0.0, |service| service.cold_rate);
    let now = state.clock.now();
    let until = now + expires.saturating_duration_since(Instant::now());
    lock(&state.fleet).sends_until(&job.service, cold_rate, locality, now, until)
}

fn parameters(
    state: &State,
    job: &Job,
    outputs: &Outputs,
    chosen: Chosen,
    last_event: Option<String>,
) -> Parameters {
    let Chosen { choice, granted } = chosen;
    let fleet = lock(&state.fleet);
    let source = choice.source.and_then(|source| fleet.row(source));
    Parameters {
        fetch_from: source.map(|row| row.endpoint.address),
        results: outputs.handles(),
        last_event,
        urgency: Some(job.rank.min(9)),
        tokens: choice.unread,
        granted,
        continues: job.version.is_some(),
    }
}

/// Forwards the events of a stream to the caller.
struct Relay {
    state: Arc<State>,
    job: Job,
    upstream: Upstream,
    splitter: Splitter,
    /// Memory of the incomplete event at the end.
    partial_memory: Reservation,
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

    /// Waits for the first events, so that a failure before them can still be
    /// reported by an HTTP status.
    ///
    /// Returns `None` if the engine answered with an error status or without any
    /// data.
    async fn first_events(&mut self) -> Result<Option<Bytes>, Refusal> {
        let status = self.upstream.exchange.response.status();
        if !status.is_success() {
            if status.is_server_error() {
                self.upstream.guard.record_bad_answer();
            }
            if reply::implies_not_run(status) && !self.job.route.repeat.is_repeatable() {
                // The caller would send it again, although the engine may have run it.
                self.finished = true;
                let context = format!("status={status} without a statement");
                return Err(broken_stream_error(context).into());
            }
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

    /// Returns the next complete events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.finished {
            return None;
        }
        // Parts of an event do not extend the time for it.
        let (mut patience, mut deadline) = (self.patience(), self.event_deadline());
        loop {
            let body = self.upstream.exchange.response.body_mut();
            let received = time::timeout_at(patience.min(deadline), body.frame()).await;
            let failure = match received {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    match upstream::push(&mut self.splitter, &mut self.partial_memory, &bytes) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => {
                            self.record_events(&events);
                            return Some(Ok(events));
                        }
                        Err(fault) => fault,
                    }
                }
                Ok(None) => match self.unexpected_end().await {
                    None => return self.finish(),
                    Some(reason) => {
                        self.check_crash();
                        reason.to_owned()
                    }
                },
                Ok(Some(Err(error))) => {
                    self.check_crash();
                    error.to_string()
                }
                Err(_) if Instant::now() < deadline => {
                    match self.resume(SILENCE, true).await {
                        Resumption::Progress(Progress::Events(events)) => {
                            self.record_events(&events);
                            return Some(Ok(events));
                        }
                        Resumption::Progress(Progress::End) => {
                            let Some(reason) = self.unexpected_end().await else {
                                return self.finish();
                            };
                            self.check_crash();
                            if !self.resume_after(reason).await {
                                return Some(Err(self.break_off(reason)));
                            }
                            (patience, deadline) = (self.patience(), self.event_deadline());
                        }
                        Resumption::Waiting => patience = Instant::now() + RESUME_TIMEOUT,
                        Resumption::Resumed => {
                            (patience, deadline) = (self.patience(), self.event_deadline());
                        }
                        Resumption::Failed => {
                            if !self.resume_after(SILENCE).await {
                                return Some(Err(self.break_off(SILENCE)));
                            }
                            (patience, deadline) = (self.patience(), self.event_deadline());
                        }
                    }
                    continue;
                }
                Err(_) => SILENCE.to_owned(),
            };
            if !self.resume_after(&failure).await {
                return Some(Err(self.break_off(&failure)));
            }
            (patience, deadline) = (self.patience(), self.event_deadline());
        }
    }

    /// Resumes the stream after its engine has failed, at the first engine that accepts it.
    /// Returns whether one did.
    async fn resume_after(&mut self, failure: &str) -> bool {
        self.upstream.guard.record(Report::Failed);
        loop {
            let arrivals = self.arrivals;
            if matches!(self.resume(failure, false).await, Resumption::Resumed) {
                return true;
            }
            // No engine was asked, so none is left, or no further attempt is allowed.
            if self.arrivals == arrivals {
                return false;
            }
        }
    }

    /// Ends the stream before it is complete.
    fn break_off(&mut self, failure: &str) -> io::Error {
        self.finished = true;
        Event::StreamBroken.log(format_args!(
            "id={} age_ms={} endpoint={} born={:?} version={} framing={} events={} after={:?} \
             context={failure:?}",
            self.job.id(),
            self.job.age_ms(),
            self.upstream.guard.endpoint.life.id,
            self.upstream.guard.endpoint.life.born,
            self.upstream.guard.endpoint.version,
            self.upstream.exchange.framing(),
            self.events,
            self.splitter.last_id(),
        ));
        io::Error::other(failure.to_owned())
    }

    /// Returns the time from which another engine is sought while the current one is
    /// silent.
    fn patience(&self) -> Instant {
        if self.events > 0 && self.may_resume() {
            Instant::now() + RESUME_TIMEOUT
        } else {
            self.event_deadline()
        }
    }

    /// Returns the time until which the relay waits for the next event.
    fn event_deadline(&self) -> Instant {
        if self.events == 0 {
            return self.expires;
        }
        let deadline = Instant::now() + event_timeout(&self.job);
        deadline.min(self.job.outgoing.deadline) + CALLER_MARGIN
    }

    /// Returns why the end of the body is not the end of the answer. Without a length
    /// or chunks, a broken connection looks like the end.
    async fn unexpected_end(&self) -> Option<&'static str> {
        let truncation = self.truncation();
        if truncation.is_some() || self.upstream.exchange.framing() != Framing::Connection {
            return truncation;
        }
        let has_survived = lifetime::has_survived(&self.state, &self.upstream.guard.endpoint).await;
        (!has_survived)
            .then_some("the engine is not known to have survived the end of its connection")
    }

    /// Returns how the events show that the answer is incomplete.
    fn truncation(&self) -> Option<&'static str> {
        let response = &self.upstream.exchange.response;
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let is_event_stream =
            content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
        if !response.status().is_success() || !(is_event_stream || self.events > 0) {
            return None;
        }
        if self.splitter.has_partial() {
            Some("the stream ended inside an event")
        } else if self.events == 0 || !self.upstream.may_end() {
            Some("the stream ended without an event")
        } else {
            None
        }
    }

    /// Checks whether the engine has ended, after its connection has broken.
    fn check_crash(&self) {
        self.upstream.check_crash(&self.state, &self.job.outgoing);
    }

    /// Clears the request of crashes before its response began.
    fn clear_causes(&mut self) {
        if let Some(began) = self.upstream.began
            && !std::mem::replace(&mut self.upstream.cleared, true)
        {
            let causes = &self.job.outgoing.causes;
            self.state.causes.clear(causes, began);
        }
    }

    fn may_resume(&self) -> bool {
        self.job.route.repeat.is_repeatable() && self.arrivals < self.job.route.attempts
    }

    /// Records events that are about to be forwarded.
    fn record_events(&mut self, events: &Bytes) {
        if self.events == 0 {
            let version = &self.upstream.guard.endpoint.version;
            self.job.version.get_or_insert_with(|| version.clone());
            origin::record(&self.state, &self.job, version);
            let took = self.sent_at.elapsed();
            self.upstream.guard.record_prefill();
            self.upstream.guard.record_answer(took);
            let (route, now) = (&self.job.route.name, self.state.clock.now());
            self.state.pools.record_first_event(route, took, now);
            let route = &self.job.route.name;
            self.state
                .metrics
                .record_first_byte(route, self.job.arrived.elapsed());
            Event::StreamBegan.log(format_args!(
                "id={} route={} config={} endpoint={} version={} age_ms={} first_event_ms={} \
                 tokens={} length={}",
                self.job.id(),
                self.job.route.name,
                self.job.config.version,
                self.upstream.guard.endpoint.life.id,
                self.upstream.guard.endpoint.version,
                self.job.age_ms(),
                took.as_millis(),
                self.job.caller.prompt.tokens,
                events.len(),
            ));
        }
        self.events += 1;
        if !self.upstream.is_response_start(self.state.clock.now()) {
            self.clear_causes();
        }
        self.upstream
            .began
            .get_or_insert_with(|| self.state.clock.now());
        // The engine has fetched the results, and other requests need their room.
        self.outputs = None;
        if !self.may_resume() {
            // Other requests need the memory of the body.
            self.job.outgoing.body = Bytes::new();
        }
    }

    /// Completes the stream after the engine has ended it. Returns the incomplete
    /// data that is left, if any.
    fn finish(&mut self) -> Option<io::Result<Bytes>> {
        self.finished = true;
        self.upstream.sent.finish();
        self.clear_causes();
        self.state.metrics.record_served(&self.job.route.name);
        Event::RequestServed.log(format_args!(
            "id={} route={} config={} endpoint={} born={:?} status={} age_ms={} framing={} \
             events={} after={:?}",
            self.job.id(),
            self.job.route.name,
            self.job.config.version,
            self.upstream.guard.endpoint.life.id,
            self.upstream.guard.endpoint.life.born,
            self.upstream.exchange.response.status().as_u16(),
            self.job.age_ms(),
            self.upstream.exchange.framing(),
            self.events,
            self.splitter.last_id(),
        ));
        let rest = self.splitter.rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Returns whether a response may continue the stream. After the first event it
    /// must have the status and content type of the response that it continues.
    fn is_continued_by(&self, started: &Started) -> bool {
        let (before, after) = (&self.upstream.exchange.response, &started.exchange.response);
        if self.events == 0 {
            return after.status().is_success();
        }
        after.status() == before.status() && media_type(after) == media_type(before)
    }

    /// Resumes the stream at another engine after the last complete event. Runs the
    /// stages again if their results were released.
    ///
    /// If the current engine `may_continue`, it is abandoned only when another one has
    /// accepted the request, or [`HANDOVER_TIME`] after the request was sent there, or
    /// when it breaks off. Parts of an event do not keep it.
    async fn resume(&mut self, failure: &str, may_continue: bool) -> Resumption {
        let outgoing = &self.job.outgoing;
        // The caller already has the head of an error. Without the id of the last event,
        // another engine would start again.
        let is_resumable = self.upstream.exchange.response.status().is_success()
            && (self.events == 0 || self.splitter.last_id().is_some());
        if !is_resumable
            || !self.may_resume()
            || Instant::now() >= outgoing.deadline
            || self.state.causes.find(&outgoing.causes).is_some()
            || !self.state.try_take_retry(&self.job.service)
        {
            return Resumption::not_resumed(may_continue);
        }
        let until = Instant::now() + event_timeout(&self.job);
        let until = until.min(outgoing.deadline);
        let mut current = Current {
            state: &self.state,
            outgoing,
            upstream: &mut self.upstream,
            splitter: &mut self.splitter,
            partial_memory: &mut self.partial_memory,
            may_continue,
        };
        let held = self.outputs.take();
        let prepared = prepare(&self.state, &self.job, held, &self.tried, until);
        let (outputs, chosen) = match current.race(prepared, until).await {
            Ok(Some((outputs, Some(chosen)))) => (outputs, chosen),
            Ok(prepared) => {
                self.outputs = prepared.map(|(outputs, _)| outputs);
                return Resumption::not_resumed(current.may_continue);
            }
            Err(progress) => return Resumption::Progress(progress),
        };
        let key = chosen.choice.key;
        self.tried.push(key);
        self.arrivals += 1;
        let last_event = current.splitter.last_id().map(str::to_owned);
        let parameters = parameters(&self.state, &self.job, &outputs, chosen, last_event);
        let unsent = Unsent::begin();
        let until = outgoing.deadline;
        let attempt = attempt::start(&self.state, outgoing, key, &parameters, until, unsent);
        let started = match current.race(attempt, Instant::now() + HANDOVER_TIME).await {
            Ok(Ok(started)) => started,
            Ok(Err(_)) => {
                self.outputs = Some(outputs);
                return Resumption::not_resumed(current.may_continue);
            }
            Err(progress) => return Resumption::Progress(progress),
        };
        let may_go_on = current.may_continue;
        if !self.is_continued_by(&started) {
            Event::AttemptFailed.log(format_args!(
                "id={} age_ms={} endpoint={} status={} context=\"not a continuation of the stream\"",
                self.job.id(),
                self.job.age_ms(),
                started.guard.endpoint.life.id,
                started.answer.status.as_u16(),
            ));
            self.outputs = Some(outputs);
            return Resumption::not_resumed(may_go_on);
        }
        Event::StreamResumed.log(format_args!(
            "id={} age_ms={} from={} to={} born={:?}/{:?} versions={}/{} after={:?} \
             context={failure:?}",
            self.job.id(),
            self.job.age_ms(),
            self.upstream.guard.endpoint.life.id,
            started.guard.endpoint.life.id,
            self.upstream.guard.endpoint.life.born,
            started.guard.endpoint.life.born,
            self.upstream.guard.endpoint.version,
            started.guard.endpoint.version,
            parameters.last_event,
        ));
        if may_continue {
            // The failure of an engine that ended was recorded before.
            self.upstream.guard.record(Report::Failed);
        }
        self.splitter.resume();
        self.upstream = started.into();
        self.outputs = Some(outputs);
        Resumption::Resumed
    }
}

/// Outcome of an attempt to resume a stream at another engine.
enum Resumption {
    /// Another engine goes on with the stream.
    Resumed,
    /// The current engine went on before another one had accepted the request.
    Progress(Progress),
    /// No other engine goes on with the stream, but the current one may.
    Waiting,
    /// No engine goes on with the stream.
    Failed,
}

impl Resumption {
    const fn not_resumed(may_continue: bool) -> Self {
        if may_continue {
            Self::Waiting
        } else {
            Self::Failed
        }
    }
}

/// Runs the stages of a stream again, unless their results are still held, and selects
/// an engine that was not tried, if there is one. Returns `None` if a stage fails.
async fn prepare(
    state: &Arc<State>,
    job: &Job,
    held: Option<Outputs>,
    tried: &[Key],
    until: Instant,
) -> Option<(Outputs, Option<Chosen>)> {
    let outputs = match held {
        Some(outputs) => outputs,
        None => stages::repeat(state, job, until).await?,
    };
    let chosen = choose(state, job, &outputs, tried, until).await;
    Some((outputs, chosen))
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

/// Returns the content type of a response without its parameters.
fn media_type<T>(response: &Response<T>) -> Option<&[u8]> {
    let value = response.headers().get(header::CONTENT_TYPE)?.as_bytes();
    let media_type = value.split(|byte| *byte == b';').next();
    media_type.map(<[u8]>::trim_ascii)
}

/// Returns the error for a stream that broke before its first event.
fn broken_stream_error(context: String) -> ExecutionError {
    Unsent::begin().send().fail(Kind::EndpointFailed, context)
}
