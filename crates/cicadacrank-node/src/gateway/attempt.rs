//! One attempt at a request, at one endpoint.

use super::{
    reply,
    request::{Job, Refusal},
    state::{State, lock},
};
use crate::{
    outbound::{Connection, Exchange},
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
    placement::{Key, Report},
    quarantine::Fingerprint,
};
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Pause before an endpoint that broke off is asked whether it is still there:
/// a crashed one has closed its listener by then.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// What goes to an endpoint.
#[derive(Debug)]
pub struct Outgoing {
    /// Id of the caller's attempt, which the answer must bear.
    pub attempt: Option<HeaderValue>,
    /// Method as the caller sent it.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Team that holds the caller's key.
    pub team: Option<String>,
    /// When the caller has no use for an answer any more.
    pub deadline: Instant,
    /// What the request is known by, should it crash endpoints.
    pub fingerprint: Fingerprint,
}

/// What an attempt adds to the request.
#[derive(Clone, Debug, Default)]
pub struct Parameters {
    /// Results of the last stages.
    pub results: Vec<String>,
    /// Last event that the caller has.
    pub last_event: Option<String>,
    /// Urgency, 0 first.
    pub urgency: Option<u32>,
    /// Tokens that the endpoint has to read.
    pub tokens: u64,
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub struct Started {
    /// The answer.
    pub exchange: Exchange,
    /// What its head states.
    pub answer: Answer,
    /// Counts it at its endpoint.
    pub guard: Guard,
    /// That the request was sent.
    pub sent: Sent,
}

/// An attempt without an answer.
#[derive(Debug)]
pub enum Failure {
    /// The endpoint did not run the request.
    NotRun {
        /// Proof of that.
        unsent: Unsent,
        /// Why.
        kind: Kind,
        /// Whether the endpoint was sent the request.
        arrived: bool,
    },
    /// The endpoint may have run the request.
    Unknown {
        /// That it was sent.
        sent: Sent,
        /// Why there is no answer.
        kind: Kind,
        /// What happened.
        context: String,
    },
}

/// The attempts at one request, each at an endpoint of its own.
#[derive(Debug)]
pub struct Attempts {
    /// Endpoints that were chosen.
    pub tried: Vec<Key>,
    /// Endpoints that the request arrived at.
    pub arrivals: u32,
    unsent: Option<Unsent>,
    may_have_run: bool,
    retry_after: Duration,
}

impl Attempts {
    /// Creates the state before the first attempt; a caller that is refused may
    /// come back after about `retry_after`.
    pub const fn new(retry_after: Duration) -> Self {
        Self {
            tried: Vec::new(),
            arrivals: 0,
            unsent: Some(Unsent::begin()),
            may_have_run: false,
            retry_after,
        }
    }

    /// Begins an attempt, if the service bears a further one.
    pub fn begin(&mut self, state: &State, job: &Job, key: Key) -> Result<Unsent, Refusal> {
        if self.arrivals > 0 && !state.try_take_retry(&job.service) {
            return Err(self.refuse(Kind::Overloaded));
        }
        self.tried.push(key);
        Ok(self.unsent.take().unwrap_or(Unsent::begin()))
    }

    /// Takes up why an attempt has no answer; fails if there may be no other
    /// before `until`.
    pub fn record_failure(
        &mut self,
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
                Err(self.refuse(kind))
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

    /// Ends the request without an answer; that it has not run is only said if
    /// no attempt may have.
    pub fn refuse(&mut self, kind: Kind) -> Refusal {
        let context = format!("tried={} arrivals={}", self.tried.len(), self.arrivals);
        let unsent = self.unsent.take().unwrap_or(Unsent::begin());
        if self.may_have_run {
            return unsent.refuse_unknown(kind, context).into();
        }
        let refusal = Refusal::from(unsent.refuse(kind, context));
        refusal.with_retry_after(reply::jitter(self.retry_after))
    }
}

/// Counts an attempt at its endpoint until it is dropped.
#[derive(Debug)]
pub struct Guard {
    state: Arc<State>,
    /// The endpoint.
    pub key: Key,
    /// What the endpoint says of itself.
    pub endpoint: Endpoint,
    /// What all gateways had in flight there when it was chosen.
    in_flight: u32,
    prefill_tokens: u64,
}

impl Guard {
    fn begin(state: &Arc<State>, key: Key, prefill_tokens: u64) -> Option<Self> {
        let mut fleet = lock(&state.fleet);
        let row = fleet.row(key)?;
        let (endpoint, in_flight) = (row.endpoint.clone(), row.in_flight());
        fleet.begin(key, prefill_tokens, state.clock.now());
        drop(fleet);
        Some(Self {
            state: Arc::clone(state),
            key,
            endpoint,
            in_flight,
            prefill_tokens,
        })
    }

    /// Notes that the endpoint has read the prompt.
    pub fn record_prefill(&mut self) {
        lock(&self.state.fleet).record_prefill(self.key, std::mem::take(&mut self.prefill_tokens));
    }

    /// Notes how the endpoint did.
    pub fn record(&self, report: Report) {
        lock(&self.state.fleet).record(self.key, report, self.state.clock.now());
    }

    /// Notes that the endpoint began to answer after `took`.
    pub fn record_answer(&self, tokens: u64, took: Duration) {
        lock(&self.state.fleet).record_answer(self.key, tokens, took, self.state.clock.now());
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut fleet = lock(&self.state.fleet);
        fleet.record_prefill(self.key, self.prefill_tokens);
        fleet.end(self.key);
    }
}

/// Sends a request to an endpoint and waits for the head of its answer until
/// `until`.
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
    let Some(guard) = Guard::begin(state, key, parameters.tokens) else {
        return Err(not_run(unsent, Kind::NoEndpoint));
    };
    let endpoint = &guard.endpoint;
    let service = [endpoint.service.as_str()];
    state.metrics.attempts.with_label_values(&service).inc();
    log_choice(outgoing, &guard, parameters);
    let connection = time::timeout_at(until, Connection::open(endpoint.address)).await;
    let Ok(Ok(connection)) = connection else {
        guard.record(Report::Unreachable);
        return Err(not_run(unsent, Kind::Unreachable));
    };
    let request = match encode(outgoing, endpoint, parameters) {
        Ok(request) => request,
        Err(error) => {
            log::error!("request cannot be written: {error}");
            return Err(not_run(unsent, Kind::Internal));
        }
    };
    let sent = unsent.send();
    match time::timeout_at(until, connection.send(request)).await {
        Ok(Ok(exchange)) => check_head(outgoing, exchange, guard, sent),
        Ok(Err(error)) => {
            guard.record(Report::Failed);
            tokio::spawn(check_crash(
                Arc::clone(state),
                guard.endpoint.clone(),
                outgoing.fingerprint,
            ));
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
                context: "no answer in time".to_owned(),
            })
        }
    }
}

/// Logs where an attempt goes, and what the choice was made on.
fn log_choice(outgoing: &Outgoing, guard: &Guard, parameters: &Parameters) {
    let id = outgoing.attempt.as_ref();
    let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
    Event::AttemptChosen.log(format_args!(
        "id={} service={} endpoint={} born={:?} sequence={} in_flight={} tokens={} results={} \
         after={:?} remaining_ms={}",
        id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        guard.endpoint.service,
        guard.endpoint.life.id,
        guard.endpoint.life.born,
        guard.endpoint.sequence,
        guard.in_flight,
        parameters.tokens,
        parameters.results.len(),
        parameters.last_event,
        remaining.as_millis(),
    ));
}

/// Tells whether the head of an answer is one to this request.
fn check_head(
    outgoing: &Outgoing,
    exchange: Exchange,
    guard: Guard,
    sent: Sent,
) -> Result<Started, Failure> {
    let headers = exchange.response.headers();
    let answer = Answer::decode(exchange.response.status(), headers);
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let foreign = answer.attempt.is_some() && answer.attempt != outgoing.attempt;
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
    let valid = !foreign && answer.attempt.is_some() && answer.signed && !encoded;
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
    };
    let mut request = Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.uri.clone())
        .body(Full::new(outgoing.body.clone()))?;
    *request.headers_mut() = caller::encode(&outgoing.headers, &additions);
    Ok(request)
}

/// Holds a crash against a request if its endpoint is there no more.
pub async fn check_crash(state: Arc<State>, endpoint: Endpoint, fingerprint: Fingerprint) {
    time::sleep(CRASH_CHECK_DELAY).await;
    if Connection::open(endpoint.address).await.is_ok() {
        return;
    }
    state
        .suspects
        .record_endpoint_crash(fingerprint, &endpoint.life);
}
