//! One attempt at a request, at one endpoint.

use super::{
    crash::{self, Interruption},
    lifetime, reply,
    request::{Job, QUARANTINE_RETRY_AFTER, Refusal},
    rollout,
    state::{State, lock},
};
use crate::{
    outbound::Exchange,
    platform::{
        answer::Answer,
        caller::{self, Additions},
    },
};
use bytes::Bytes;
use cicadacrank_core::{
    directory::Endpoint,
    error::Kind,
    event::Event,
    once::{Sent, Unsent},
    placement::{Key, Knowledge, Locality, Report, work},
    quarantine::cause::Cause,
};
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{self, Instant};

/// A request as it is sent to endpoints.
#[derive(Debug)]
pub struct Outgoing {
    /// Id of the caller's attempt. The response must carry the same id.
    pub attempt: Option<HeaderValue>,
    /// Name of the route.
    pub route: String,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub uri: Uri,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Team that the caller's key belongs to.
    pub team: Option<String>,
    /// Time after which the caller no longer needs a response.
    pub deadline: Instant,
    /// What may be the cause if the request crashes endpoints.
    pub causes: Vec<Cause>,
    /// Ids of the parts of the prompt that other requests may share, for logs.
    pub shared_parts: Vec<String>,
}

impl Outgoing {
    /// Returns the id of the caller's attempt, for logs.
    pub fn id(&self) -> &str {
        let id = self.attempt.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }
}

/// Parameters that one attempt adds to the request.
#[derive(Clone, Debug, Default)]
pub struct Parameters {
    /// Handles of the results of the last stages.
    pub results: Vec<String>,
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub last_event: Option<String>,
    /// Urgency of the request. 0 is the most urgent.
    pub urgency: Option<u32>,
    /// Number of prompt tokens that the endpoint has to process.
    pub tokens: u64,
    /// Engine from which the endpoint may fetch shared parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Whether another gateway granted the attempt, so that it does not count
    /// towards the share of this one in the limit for cold starts.
    pub granted: bool,
    /// Whether the endpoint goes on with a stream, so that it must be the process that the
    /// directory lists.
    pub continues: bool,
}

/// An attempt whose response head was received and accepted.
#[derive(Debug)]
pub struct Started {
    /// The response, whose body may still be arriving.
    pub exchange: Exchange,
    /// What the response head states.
    pub answer: Answer,
    /// Counts the attempt at its endpoint.
    pub guard: Guard,
    /// State of the request after it was sent.
    pub sent: Sent,
}

/// An attempt that ended without a usable response.
#[derive(Debug)]
pub enum Failure {
    /// The endpoint did not run the request.
    NotRun {
        /// Proof that the request did not run.
        unsent: Unsent,
        /// Reason for the failure.
        kind: Kind,
        /// Whether the request reached the endpoint.
        arrived: bool,
    },
    /// The endpoint may have run the request.
    Unknown {
        /// State of the request after it was sent.
        sent: Sent,
        /// Reason for the failure.
        kind: Kind,
        /// Details for the log.
        context: String,
    },
}

/// The attempts at one request. Each goes to a different endpoint.
#[derive(Debug)]
pub struct Attempts {
    /// Endpoints that were selected so far.
    pub tried: Vec<Key>,
    /// Number of endpoints that the request reached or may have reached.
    pub arrivals: u32,
    unsent: Option<Unsent>,
    may_have_run: bool,
    retry_after: Duration,
}

impl Attempts {
    /// Creates the state before the first attempt. A caller that is refused is
    /// told to retry after about `retry_after`.
    pub const fn new(retry_after: Duration) -> Self {
        Self {
            tried: Vec::new(),
            arrivals: 0,
            unsent: Some(Unsent::begin()),
            may_have_run: false,
            retry_after,
        }
    }

    /// Starts an attempt at the endpoint `key`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request may crash the endpoint, or if an earlier
    /// attempt reached an endpoint and the retry budget of the service is exhausted.
    pub fn begin(&mut self, state: &State, job: &Job, key: Key) -> Result<Unsent, Refusal> {
        if state.causes.find(&job.outgoing.causes).is_some() {
            self.retry_after = QUARANTINE_RETRY_AFTER;
            return Err(self.refuse(state, job, Kind::Crashing));
        }
        if self.arrivals > 0 && !state.try_take_retry(&job.service) {
            return Err(self.refuse(state, job, Kind::Overloaded));
        }
        self.tried.push(key);
        Ok(self.unsent.take().unwrap_or(Unsent::begin()))
    }

    /// Records the failure of an attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no further attempt is allowed: the limit of the route
    /// is reached, `until` has passed, or a request that may have run must not be
    /// repeated.
    pub fn record_failure(
        &mut self,
        state: &State,
        job: &Job,
        failure: Failure,
        until: Instant,
    ) -> Result<(), Refusal> {
        let (kind, failed) = match failure {
            Failure::NotRun {
                unsent,
                kind,
                arrived,
            } => {
                self.arrivals += u32::from(arrived);
                self.unsent = Some(unsent);
                (kind, None)
            }
            Failure::Unknown {
                sent,
                kind,
                context,
            } => {
                self.arrivals += 1;
                (kind, Some((sent, context)))
            }
        };
        let exhausted = self.arrivals >= job.route.attempts || Instant::now() >= until;
        let Some((sent, context)) = failed else {
            return if exhausted {
                Err(self.refuse(state, job, kind))
            } else {
                Ok(())
            };
        };
        Event::AttemptFailed.log(format_args!(
            "id={} age_ms={} kind={kind} context={context:?}",
            job.id(),
            job.age_ms()
        ));
        if exhausted || !job.route.repeat.is_repeatable() {
            return Err(sent.fail(kind, context).into());
        }
        self.may_have_run = true;
        Ok(())
    }

    /// Returns whether the attempt that was begun last may be followed by another one at
    /// an endpoint that is usable now.
    pub fn has_successor(&self, state: &State, job: &Job) -> bool {
        self.arrivals + 1 < job.route.attempts
            && self.has_untried(state, job)
            && state.has_retry(&job.service)
    }

    fn has_untried(&self, state: &State, job: &Job) -> bool {
        let guide = rollout::outlook(state, &job.service, job.version.as_deref(), &self.tried);
        let fleet = lock(&state.fleet);
        let locality = Locality {
            tried: &guide.tried,
            track: guide.track(),
            software: job.software(),
            ..Locality::default()
        };
        let mut usable = fleet.usable(&job.service);
        usable.any(|(key, row)| locality.allows(key, row))
    }

    /// Checks before the first attempt that the service has endpoints.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it has none, or if all of them want no requests until
    /// `expires`.
    pub fn check_endpoints(
        &mut self,
        state: &State,
        job: &Job,
        expires: Instant,
    ) -> Result<(), Refusal> {
        let kind = self.shortage(state, job);
        let paused = pause(state, job).is_some_and(|pause| Instant::now() + pause >= expires);
        if kind == Kind::NoEndpoint || paused {
            return Err(self.refuse(state, job, kind));
        }
        Ok(())
    }

    /// Returns why no endpoint can be selected: all were tried, or those that were not
    /// have reached a limit.
    pub fn shortage(&self, state: &State, job: &Job) -> Kind {
        if self.has_untried(state, job) {
            Kind::Overloaded
        } else {
            Kind::NoEndpoint
        }
    }

    /// Returns the refusal that ends the request. It states that the request did
    /// not run only if no attempt may have run it.
    ///
    /// The caller is told to retry when the first endpoint wants requests again, if that
    /// is before its deadline.
    pub fn refuse(&mut self, state: &State, job: &Job, kind: Kind) -> Refusal {
        let context = format!("tried={} arrivals={}", self.tried.len(), self.arrivals);
        let unsent = self.unsent.take().unwrap_or(Unsent::begin());
        if self.may_have_run {
            return unsent.refuse_unknown(kind, context).into();
        }
        let refusal = Refusal::from(unsent.refuse(kind, context));
        let useful = |pause: &Duration| Instant::now() + *pause < job.outgoing.deadline;
        let pause = match kind {
            Kind::Crashing => None,
            _ => pause(state, job).filter(useful),
        };
        refusal.with_retry_after(pause.unwrap_or_default() + reply::jitter(self.retry_after))
    }
}

/// Returns the time until the first endpoint of a request's service wants requests
/// again, or `None` if one of them is not paused.
fn pause(state: &State, job: &Job) -> Option<Duration> {
    let now = state.clock.now();
    let until = lock(&state.fleet).paused_until(&job.service, now)?;
    Some(until.saturating_sub(now))
}

/// Counts an attempt at its endpoint until it is dropped.
#[derive(Debug)]
pub struct Guard {
    state: Arc<State>,
    /// Key of the endpoint.
    pub key: Key,
    /// Directory entry of the endpoint.
    pub endpoint: Endpoint,
    /// Start of the attempt, since the origin of the clock.
    pub sent: Duration,
    /// Number of requests that all gateways had in flight at the endpoint when it
    /// was selected.
    in_flight: u32,
    /// What was known then of the load from other gateways.
    knowledge: Knowledge,
    /// Time that the endpoint usually takes, relative to its service.
    times: f64,
    /// Limit that the endpoint states, in requests a second.
    limit: Option<f64>,
    /// Number of sends that count towards the share of this gateway in that limit.
    recent_sends: usize,
    /// Name of the route.
    route: String,
    /// Whether the endpoint was cold.
    is_cold: bool,
    /// Whether the outcome is known.
    has_outcome: AtomicBool,
    prefill_tokens: u64,
    /// Number of prompt tokens that the endpoint has to process before its first
    /// event, those of earlier requests included.
    tokens_until_first_event: u64,
}

impl Guard {
    fn begin(state: &Arc<State>, key: Key, route: &str, parameters: &Parameters) -> Option<Self> {
        let prefill_tokens = parameters.tokens;
        let sent = state.clock.now();
        let mut fleet = lock(&state.fleet);
        let row = fleet.row(key)?;
        let (endpoint, in_flight) = (row.endpoint.clone(), row.in_flight());
        let (limit, recent_sends) = (row.stated_limit(), row.recent_sends(sent));
        let times = row.times(sent);
        let knowledge = fleet.knowledge(&endpoint.service, sent);
        let tokens_until_first_event = row.unread() + prefill_tokens;
        let is_cold = sent < row.cold_until;
        if parameters.granted {
            fleet.begin_granted(key, prefill_tokens);
        } else {
            fleet.begin(key, prefill_tokens, sent);
        }
        drop(fleet);
        rollout::begin(state, &endpoint);
        Some(Self {
            state: Arc::clone(state),
            key,
            endpoint,
            route: route.to_owned(),
            is_cold,
            has_outcome: AtomicBool::new(false),
            sent,
            in_flight,
            knowledge,
            times,
            limit,
            recent_sends,
            prefill_tokens,
            tokens_until_first_event,
        })
    }

    /// Records that the endpoint has processed the prompt.
    pub fn record_prefill(&mut self) {
        lock(&self.state.fleet).record_prefill(self.key, std::mem::take(&mut self.prefill_tokens));
    }

    /// Records the result of the attempt.
    pub fn record(&self, report: Report) {
        lock(&self.state.fleet).record(self.key, report, self.state.clock.now());
        if report == Report::Failed {
            self.record_bad_answer();
        }
        self.has_outcome.store(true, Ordering::Relaxed);
    }

    /// Records that the answer of the endpoint is a failure.
    pub fn record_bad_answer(&self) {
        let took = self.state.clock.now().saturating_sub(self.sent);
        rollout::record_failure(&self.state, &self.route, &self.endpoint, took);
        self.has_outcome.store(true, Ordering::Relaxed);
    }

    /// Records what the endpoint states about itself in its answer.
    fn record_statements(&self, answer: &Answer) {
        self.state.record_statements(&self.endpoint.life, answer);
    }

    /// Records that the endpoint began to respond after `took`.
    pub fn record_answer(&self, took: Duration) {
        let tokens = self.tokens_until_first_event;
        lock(&self.state.fleet).record_answer(self.key, tokens, took, self.state.clock.now());
        // `took` includes the time before the send.
        let took = self.state.clock.now().saturating_sub(self.sent);
        let took = took.div_f64(work(tokens));
        rollout::record_answer(&self.state, &self.route, &self.endpoint, took, self.is_cold);
        self.has_outcome.store(true, Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut fleet = lock(&self.state.fleet);
        let stay = self.state.clock.now().saturating_sub(self.sent);
        fleet.record_prefill(self.key, self.prefill_tokens);
        fleet.record_stay(self.key, stay);
        fleet.end(self.key);
        drop(fleet);
        let now = self.state.clock.now();
        if !self.has_outcome.load(Ordering::Relaxed) {
            let took = now.saturating_sub(self.sent);
            let took = took.div_f64(work(self.tokens_until_first_event));
            rollout::record_wait(&self.state, &self.route, &self.endpoint, took, self.is_cold);
        }
        self.state.rollouts.end(&self.endpoint, now);
    }
}

/// Sends a request to an endpoint and waits until `until` for the head of the
/// response.
///
/// # Errors
///
/// Returns a failure if the request cannot be sent, or if no valid response head
/// arrives in time.
pub async fn start(
    state: &Arc<State>,
    outgoing: &Outgoing,
    key: Key,
    parameters: &Parameters,
    until: Instant,
    unsent: Unsent,
) -> Result<Started, Failure> {
    let not_run = |unsent, kind| Failure::NotRun {
        unsent,
        kind,
        arrived: false,
    };
    let Some(guard) = Guard::begin(state, key, &outgoing.route, parameters) else {
        return Err(not_run(unsent, Kind::NoEndpoint));
    };
    let endpoint = &guard.endpoint;
    let service = [endpoint.service.as_str()];
    state.metrics.attempts.with_label_values(&service).inc();
    let report_age = state.metrics.report_age.with_label_values(&service);
    report_age.observe(guard.knowledge.age.as_secs_f64());
    log_choice(outgoing, &guard, parameters);
    let connection = lifetime::connect(state, endpoint, parameters.continues);
    let connection = time::timeout_at(until, connection).await;
    let Ok(Ok(connection)) = connection else {
        guard.record(Report::Unreachable);
        return Err(not_run(unsent, Kind::Unreachable));
    };
    let request = match encode(outgoing, endpoint, parameters) {
        Ok(request) => request,
        Err(error) => {
            log::error!("failed to build a request to an endpoint: {error}");
            return Err(not_run(unsent, Kind::Internal));
        }
    };
    let sent = unsent.send();
    match time::timeout_at(until, connection.send(request)).await {
        Ok(Ok(exchange)) => check_head(outgoing, exchange, guard, sent),
        Ok(Err(error)) => {
            guard.record(Report::Failed);
            check_crash(outgoing, &guard);
            Err(Failure::Unknown {
                sent,
                kind: Kind::EndpointFailed,
                context: error,
            })
        }
        Err(_) => {
            guard.record(Report::Failed);
            Err(Failure::Unknown {
                sent,
                kind: Kind::Silent,
                context: "timed out waiting for the response head".to_owned(),
            })
        }
    }
}

/// Logs the selected endpoint and the data that the selection was based on.
fn log_choice(outgoing: &Outgoing, guard: &Guard, parameters: &Parameters) {
    let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
    Event::AttemptChosen.log(format_args!(
        "id={} service={} endpoint={} born={:?} version={} sequence={} in_flight={} tokens={} results={} \
         fetch_from={:?} limit={:?} sends={} granted={} after={:?} parts={:?} remaining_ms={} \
         known_ms={} others={:.1} others_unread={:.0} times={:.2}",
        outgoing.id(),
        guard.endpoint.service,
        guard.endpoint.life.id,
        guard.endpoint.life.born,
        guard.endpoint.version,
        guard.endpoint.sequence,
        guard.in_flight,
        parameters.tokens,
        parameters.results.len(),
        parameters.fetch_from,
        guard.limit,
        guard.recent_sends,
        parameters.granted,
        parameters.last_event,
        outgoing.shared_parts,
        remaining.as_millis(),
        guard.knowledge.age.as_millis(),
        guard.knowledge.requests,
        guard.knowledge.unread,
        guard.times,
    ));
}

/// Checks that the head of a response is valid and belongs to this request.
///
/// # Errors
///
/// Returns a failure if it is not, or if the endpoint did not run the request.
fn check_head(
    outgoing: &Outgoing,
    exchange: Exchange,
    guard: Guard,
    sent: Sent,
) -> Result<Started, Failure> {
    let headers = exchange.response.headers();
    let answer = Answer::decode(exchange.response.status(), headers);
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    // An answer of another endpoint, or to another request, says nothing here.
    let foreign = answer.attempt != outgoing.attempt;
    if answer.attempt.is_some() && !foreign && !answer.misdirected {
        guard.record_statements(&answer);
    }
    if let (false, Some(declined)) = (foreign, answer.declined) {
        guard.record(if answer.misdirected {
            Report::Unreachable
        } else {
            Report::Busy
        });
        return Err(Failure::NotRun {
            unsent: sent.decline(declined),
            kind: Kind::Overloaded,
            arrived: true,
        });
    }
    // Other statuses end no request in HTTP.
    let is_final = (200..600).contains(&answer.status.as_u16());
    let valid = is_final && !foreign && answer.attempt.is_some() && answer.signed && !encoded;
    if !valid {
        guard.record(Report::Failed);
        return Err(Failure::Unknown {
            sent,
            kind: Kind::EndpointProtocol,
            context: format!(
                "status={} signed={} foreign={foreign} encoded={encoded}",
                answer.status, answer.signed
            ),
        });
    }
    Ok(Started {
        exchange,
        answer,
        guard,
        sent,
    })
}

fn encode(
    outgoing: &Outgoing,
    endpoint: &Endpoint,
    parameters: &Parameters,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
    let additions = Additions {
        endpoint: &endpoint.life.id,
        remaining,
        team: outgoing.team.as_deref(),
        results: &parameters.results,
        last_event: parameters.last_event.as_deref(),
        urgency: parameters.urgency,
        fetch_from: parameters.fetch_from,
    };
    let mut request = Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.uri.clone())
        .body(Full::new(outgoing.body.clone()))?;
    *request.headers_mut() = caller::encode(&outgoing.headers, &additions);
    Ok(request)
}

/// Checks in the background whether the endpoint of a broken connection crashed,
/// when it had not begun to respond to the request or had only just.
pub fn check_crash(outgoing: &Outgoing, guard: &Guard) {
    let state = Arc::clone(&guard.state);
    let interruption = Interruption {
        endpoint: guard.endpoint.clone(),
        id: outgoing.id().to_owned(),
        causes: outgoing.causes.clone(),
        shared_parts: outgoing.shared_parts.clone(),
        sent: guard.sent,
        at: state.clock.now(),
    };
    tokio::spawn(async move { crash::check(&state, interruption).await });
}
