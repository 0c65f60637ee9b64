//! Handling of callers' requests: route, team, deadline and body.

use super::{
    attempt::Outgoing,
    connection::Connection,
    crash, plain,
    reply::{self, Body},
    state::State,
    stream,
};
use crate::{
    inbound,
    memory::{Buffer, FREE_BYTES, Fault, Reservation, Shortage},
    platform::caller::Caller,
};
use bytes::Bytes;
use cicadacrank_core::{
    batch::MAX_WAITING,
    config::{Config, Rejection, Route},
    crowd::{Need, Phase},
    error::Kind,
    event::Event,
    id,
    once::{ExecutionError, Unsent},
    placement::Software,
    quarantine::Fingerprint,
};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header, uri::PathAndQuery};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming, SizeHint};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Part of the caller's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Delay after which a caller may retry at another gateway, because this one is
/// shutting down.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Delay after which a caller may retry at a gateway that is not initialized yet.
/// It is about the time that the initialization takes.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Delay after which a caller may retry a request that is quarantined because it
/// crashed endpoints.
pub const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Memory that a decoded header takes besides its text, in bytes.
const HEADER_BYTES: usize = 128;

/// Time that a request which is refused for room takes to give its memory back.
const EVICTION_TIME: Duration = Duration::from_millis(2);

/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// An accepted request.
#[derive(Debug)]
pub struct Job {
    /// The request as it is sent to endpoints.
    pub outgoing: Outgoing,
    /// What the caller states in the request headers.
    pub caller: Caller,
    /// Route of the request. Later changes of the configuration do not affect it.
    pub route: Route,
    /// Service that processes the request.
    pub service: String,
    /// Configuration with which the request was accepted.
    pub config: Arc<Config>,
    /// Priority rank. Rank 0 is the highest.
    pub rank: u32,
    /// Version of the software of the engine that began the stream, once it has begun. What
    /// engines of two versions write does not fit together.
    pub version: Option<String>,
    /// Time of arrival.
    pub arrived: Instant,
    /// Memory of the headers.
    _headers: Reservation,
}

impl Job {
    /// Returns the id of the caller's attempt, for logs.
    pub fn id(&self) -> &str {
        self.caller.attempt_text()
    }

    /// Returns the versions of the software of endpoints that may run the request.
    pub fn software(&self) -> Software<'_> {
        match &self.version {
            Some(version) => Software::Version(version),
            None if self.route.repeat.is_stream() && self.route.repeat.is_repeatable() => {
                Software::Known
            }
            None => Software::Any,
        }
    }

    /// Returns the time since the arrival, in milliseconds, for logs.
    pub fn age_ms(&self) -> u128 {
        self.arrived.elapsed().as_millis()
    }
}

/// The reason why a request is not served, and when its caller may retry.
#[derive(Debug)]
pub struct Refusal {
    /// Reason, with the proven effect of the request.
    pub error: ExecutionError,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl From<ExecutionError> for Refusal {
    fn from(error: ExecutionError) -> Self {
        Self {
            error,
            retry_after: None,
        }
    }
}

impl Refusal {
    /// Sets the delay after which the caller may retry.
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Handles the request of a caller, whose headers are decoded, and returns the response.
pub async fn handle(
    state: Arc<State>,
    request: Request<Incoming>,
    caller: Caller,
    connection: &Connection,
) -> Response<Body> {
    let in_flight = state.track_request();
    let arrived = Instant::now();
    let mut disconnect = Disconnect::new(&state, &caller, arrived);
    Event::RequestArrived.log(format_args!(
        "id={} path={} body_bytes={:?} last_event={:?} resumes={:?}",
        disconnect.id,
        request.uri().path(),
        request.body().size_hint().exact(),
        caller.last_event,
        caller.resumes,
    ));
    let (head, mut body) = request.into_parts();
    let awaits_consent = inbound::awaits_consent(&head.headers);
    let serving = async {
        match accept(&state, head, &mut body, caller, connection, arrived).await {
            // On the heap, so that a body takes no memory for what follows it.
            Ok(job) if job.route.repeat.is_stream() => {
                Box::pin(stream::serve(&state, job, in_flight)).await
            }
            Ok(job) => Box::pin(plain::serve(&state, &job)).await,
            Err(refusal) => Err(refusal),
        }
    };
    let answer = tokio::select! {
        answer = serving => answer,
        () = state.expired.cancelled() => {
            let unsent = Unsent::begin();
            Err(unsent.refuse_unknown(Kind::Leaving, "the process ends").into())
        }
    };
    disconnect.answered = true;
    match answer {
        Ok(response) => response,
        Err(refusal) => {
            let unread = inbound::unread(&mut body);
            state.metrics.record_failure(&refusal.error);
            let failure = refusal.error.failure();
            Event::RequestRefused.log(format_args!(
                "id={} age_ms={} kind={} effect={} retry_after_ms={} unread_bytes={:?} \
                 context={:?}",
                disconnect.id,
                arrived.elapsed().as_millis(),
                failure.kind,
                failure.effect.as_str(),
                refusal.retry_after.map_or(0, |delay| delay.as_millis()),
                unread.as_ref().and_then(SizeHint::exact),
                failure.context,
            ));
            let mut response = reply::failure(&refusal.error, refusal.retry_after);
            if connection.is_evicted() {
                // Its room is needed: nothing more is read.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            } else if let Some(unread) = unread {
                connection.enter(Phase::Discarding);
                inbound::discard(body, &unread, awaits_consent, response.headers_mut());
            }
            response
        }
    }
}

/// Records that the caller disconnected if it is dropped before the response is
/// ready.
struct Disconnect {
    state: Arc<State>,
    id: String,
    arrived: Instant,
    answered: bool,
}

impl Disconnect {
    fn new(state: &Arc<State>, caller: &Caller, arrived: Instant) -> Self {
        Self {
            state: Arc::clone(state),
            id: caller.attempt_text().to_owned(),
            arrived,
            answered: false,
        }
    }
}

impl Drop for Disconnect {
    fn drop(&mut self) {
        if !self.answered {
            self.state
                .record_caller_left(&self.id, self.arrived.elapsed(), 0);
        }
    }
}

async fn accept(
    state: &Arc<State>,
    head: http::request::Parts,
    body: &mut Incoming,
    caller: Caller,
    connection: &Connection,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let unsent = Unsent::begin();
    let config = match state.config() {
        Some(config) if state.is_initialized() => config,
        _ => {
            let error = unsent.refuse(Kind::NotReady, "configuration or directory not loaded yet");
            return Err(Refusal::from(error).with_retry_after(NOT_READY_RETRY_AFTER));
        }
    };
    let host = host(&head.headers, &head.uri);
    let admitted = config.admit(&host, head.uri.path(), caller.key.as_deref());
    let (route, team) = match admitted {
        Ok((route, team)) => (route.clone(), team.cloned()),
        Err(rejection) => {
            let kind = match rejection {
                Rejection::UnknownRoute => Kind::UnknownRoute,
                Rejection::UnknownKey => Kind::UnknownKey,
            };
            let context = format!(
                "config={} host={host} path={}",
                config.version,
                head.uri.path()
            );
            return Err(unsent.refuse(kind, context).into());
        }
    };
    if team.is_some() {
        connection.record_known();
    }
    if caller.pieces.is_none() && !route.stages.is_empty() {
        let context = format!("the number of pieces of a stage is not 0 to {MAX_WAITING}");
        return Err(unsent.refuse(Kind::BadRequest, context).into());
    }
    let timeout = caller.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived + timeout.saturating_sub(RESPONSE_MARGIN);
    if let Some(drain) = state.draining()
        && !drain.accepts(arrived, deadline)
    {
        let error = unsent.refuse(Kind::Leaving, "the process shuts down before the deadline");
        return Err(Refusal::from(error).with_retry_after(reply::jitter(LEAVING_RETRY_AFTER)));
    }
    let mut headers = state.bodies.reserve();
    if let Err(shortage) = headers.resize(head.headers.len() * HEADER_BYTES) {
        return Err(unsent.refuse(Kind::Overloaded, shortage.to_string()).into());
    }
    let body = match time::timeout_at(deadline, read_body(state, &config, body, connection)).await {
        Ok(body) => body?,
        Err(_) => {
            return Err(unsent
                .refuse(Kind::TimeUp, "timed out reading the request body")
                .into());
        }
    };
    let team_name = team.as_ref().map_or("", |team| team.name.as_str());
    let path = path(&head.uri);
    let Some(service) = route
        .target(attempt_hash(caller.attempt_text()))
        .map(str::to_owned)
    else {
        return Err(unsent
            .refuse(Kind::NoEndpoint, "the route has no service")
            .into());
    };
    let fingerprint = Fingerprint::new(team_name, path.as_str(), "", &id::digest(&body));
    let causes = crash::causes(fingerprint, &service, &caller.shared_parts);
    if let Some(cause) = state.causes.find(&causes) {
        let error = unsent.refuse(Kind::Crashing, format!("cause={cause}"));
        return Err(Refusal::from(error).with_retry_after(QUARANTINE_RETRY_AFTER));
    }
    state.earn_retry(&service);
    Ok(Job {
        rank: team
            .as_ref()
            .and_then(|team| team.rank)
            .unwrap_or(route.rank),
        outgoing: Outgoing {
            attempt: caller.attempt.clone(),
            route: route.name.clone(),
            method: head.method,
            uri: Uri::from(path),
            headers: head.headers,
            body,
            team: team.map(|team| team.name),
            deadline,
            causes,
            shared_parts: caller.shared_parts.clone(),
        },
        caller,
        route,
        service,
        config,
        version: None,
        arrived,
        _headers: headers,
    })
}

/// Reads a complete request body.
///
/// # Errors
///
/// Returns a refusal if the body exceeds the configured limit, if memory for it
/// is short, or if reading it fails.
async fn read_body(
    state: &State,
    config: &Config,
    body: &mut Incoming,
    connection: &Connection,
) -> Result<Bytes, Refusal> {
    let limit = config.limits.body_bytes;
    let declared = body.size_hint().upper();
    if declared == Some(0) {
        return Ok(Bytes::new());
    }
    if declared.is_some_and(|bytes| bytes > limit as u64) {
        return Err(Unsent::begin()
            .refuse(Kind::TooLarge, format!("limit={limit}"))
            .into());
    }
    let declared = declared.and_then(|bytes| usize::try_from(bytes).ok());
    connection.begin_body();
    let read = tokio::select! {
        read = read_parts(state, body, declared.unwrap_or(limit), connection) => read,
        () = connection.evicted() => Err(Fault::Shortage(Shortage)),
    };
    connection.record_body(0, 0);
    connection.enter(Phase::Working);
    read.map_err(|fault| {
        let (kind, context) = match fault {
            Fault::TooLarge(limit) => (Kind::TooLarge, format!("limit={limit}")),
            Fault::Shortage(shortage) => (Kind::Overloaded, shortage.to_string()),
            Fault::Broken(error) => (Kind::BadRequest, error),
        };
        Unsent::begin().refuse(kind, context).into()
    })
}

/// Reads a body of at most `limit` bytes. Takes memory as it arrives, since callers may
/// announce what they never send. While there is none, unfinished bodies that are behind are
/// refused.
async fn read_parts(
    state: &State,
    body: &mut Incoming,
    limit: usize,
    connection: &Connection,
) -> Result<Bytes, Fault> {
    let mut buffer = state.bodies.buffer();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Fault::Broken(error.to_string()))?;
        // Trailers are not part of the body.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if buffer.len() + part.len() > limit {
            return Err(Fault::TooLarge(limit));
        }
        extend(state, &mut buffer, &part).await?;
        connection.record_body(part.len(), buffer.len().saturating_sub(FREE_BYTES));
    }
    Ok(buffer.into_bytes())
}

/// Appends a part to a body.
async fn extend(state: &State, buffer: &mut Buffer, part: &[u8]) -> Result<(), Shortage> {
    while let Err(shortage) = buffer.extend(part) {
        let now = state.clock.now();
        if !state.callers.evict(Need::Body, now, &state.metrics) {
            return Err(shortage);
        }
        // The other request gives its memory back when its task runs.
        time::sleep(EVICTION_TIME).await;
    }
    Ok(())
}

/// Returns the host of a request in lower case, without its port.
fn host(headers: &http::HeaderMap, uri: &Uri) -> String {
    let declared = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    let name = declared.rsplit_once(':').map_or(declared, |(name, _)| name);
    name.to_ascii_lowercase()
}

fn path(uri: &Uri) -> PathAndQuery {
    uri.path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"))
}

/// Returns a hash of the id of an attempt. The service of a request is selected by
/// this hash, so that the choice can be reproduced from the logged id.
fn attempt_hash(attempt: &str) -> u64 {
    use std::hash::Hasher as _;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(attempt.as_bytes());
    hasher.finish()
}

/// Answers a request for the readiness or the metrics of the gateway.
pub fn inspect(state: &State, request: &Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/readyz") if state.is_ready() => reply::status(StatusCode::OK),
        (&Method::GET, "/readyz") => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        (&Method::GET, "/metrics") => {
            let quarantined = state.causes.quarantined_count();
            state.metrics.record_quarantined(quarantined);
            let text = Bytes::from(state.metrics.text());
            Response::new(http_body_util::Either::Left(http_body_util::Full::new(
                text,
            )))
        }
        _ => reply::status(StatusCode::NOT_FOUND),
    }
}
