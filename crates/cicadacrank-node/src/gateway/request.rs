//! From a caller's request to its route.

use super::{
    attempt::Outgoing,
    plain,
    reply::{self, Body},
    state::State,
    stream,
};
use crate::platform::caller::Caller;
use bytes::Bytes;
use cicadacrank_core::{
    config::{Config, Rejection, Route},
    error::Kind,
    event::Event,
    id,
    once::{ExecutionError, Unsent},
    quarantine::{Fingerprint, Status},
};
use http::{Method, Request, Response, StatusCode, Uri, header, uri::PathAndQuery};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// What is kept of the caller's time for the way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Pause after which a caller may come back to another gateway.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Pause after which a caller may come back to a gateway that knows too little
/// to serve: about what it takes to learn the rest.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Pause after which a caller may come back with a request that crashed
/// endpoints.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Longest time that a caller who states none is waited for.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that was accepted.
#[derive(Debug)]
pub struct Job {
    /// What goes to endpoints.
    pub outgoing: Outgoing,
    /// What the caller says beside.
    pub caller: Caller,
    /// Its route, which stays that of its arrival.
    pub route: Route,
    /// Service that takes it.
    pub service: String,
    /// Configuration it was accepted with.
    pub config: Arc<Config>,
    /// Its rank, 0 first.
    pub rank: u32,
    /// When it arrived.
    pub arrived: Instant,
}

impl Job {
    /// Returns the id of the attempt, for logs.
    pub fn id(&self) -> &str {
        self.caller.attempt_text()
    }

    /// Returns the time since it arrived, in milliseconds, for logs.
    pub fn age_ms(&self) -> u128 {
        self.arrived.elapsed().as_millis()
    }
}

/// A request that is not served, and when its caller may come back.
#[derive(Debug)]
pub struct Refusal {
    /// Why.
    pub error: ExecutionError,
    /// Pause before the caller may come back.
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
    /// Sets the pause before the caller may come back.
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Answers a request.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let in_flight = state.track_request();
    let arrived = Instant::now();
    let caller = Caller::decode(request.headers());
    let mut disconnect = Disconnect::new(&state, &caller, arrived);
    let answer = match accept(&state, request, caller, arrived).await {
        Ok(job) if job.route.repeat.is_stream() => stream::serve(&state, job, in_flight).await,
        Ok(job) => plain::serve(&state, &job).await,
        Err(refusal) => Err(refusal),
    };
    disconnect.answered = true;
    match answer {
        Ok(response) => response,
        Err(refusal) => {
            state.metrics.fail(&refusal.error);
            let failure = refusal.error.failure();
            Event::RequestRefused.log(format_args!(
                "id={} age_ms={} kind={} effect={} retry_after_ms={} context={:?}",
                disconnect.id,
                arrived.elapsed().as_millis(),
                failure.kind,
                failure.effect.as_str(),
                refusal.retry_after.map_or(0, |delay| delay.as_millis()),
                failure.context,
            ));
            reply::failure(&refusal.error, refusal.retry_after)
        }
    }
}

/// Logs that a caller left, should the answer never be made.
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
    request: Request<Incoming>,
    caller: Caller,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let unsent = Unsent::begin();
    let config = match state.config() {
        Some(config) if state.is_initialized() => config,
        _ => {
            let error = unsent.refuse(Kind::NotReady, "no configuration or directory yet");
            return Err(Refusal::from(error).with_retry_after(NOT_READY_RETRY_AFTER));
        }
    };
    let (head, body) = request.into_parts();
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
    let timeout = caller
        .patience
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    let deadline = arrived + timeout.saturating_sub(RESPONSE_MARGIN);
    if let Some(drain) = state.draining()
        && !drain.accepts(arrived, deadline)
    {
        let error = unsent.refuse(Kind::Leaving, "the process ends before the deadline");
        return Err(Refusal::from(error).with_retry_after(reply::jitter(LEAVING_RETRY_AFTER)));
    }
    let body = match time::timeout_at(deadline, read_body(state, &config, body)).await {
        Ok(body) => body?,
        Err(_) => return Err(unsent.refuse(Kind::TimeUp, "body not read in time").into()),
    };
    let team_name = team.as_ref().map_or("", |team| team.name.as_str());
    let path = path(&head.uri);
    let fingerprint = Fingerprint::new(team_name, path.as_str(), "", &id::digest(&body));
    if state.suspects.status(fingerprint) == Status::Quarantined {
        let error = unsent.refuse(Kind::Crashing, format!("fingerprint={fingerprint}"));
        return Err(Refusal::from(error).with_retry_after(QUARANTINE_RETRY_AFTER));
    }
    let Some(service) = route
        .target(attempt_hash(caller.attempt_text()))
        .map(str::to_owned)
    else {
        return Err(unsent
            .refuse(Kind::NoEndpoint, "the route has no service")
            .into());
    };
    state.earn_retry(&service);
    Ok(Job {
        rank: team
            .as_ref()
            .and_then(|team| team.rank)
            .unwrap_or(route.rank),
        outgoing: Outgoing {
            attempt: caller.attempt.clone(),
            method: head.method,
            uri: Uri::from(path),
            headers: head.headers,
            body,
            team: team.map(|team| team.name),
            deadline,
            fingerprint,
        },
        caller,
        route,
        service,
        config,
        arrived,
    })
}

/// Reads a body whole, within the limits of the configuration and of memory.
async fn read_body(state: &State, config: &Config, body: Incoming) -> Result<Bytes, Refusal> {
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
    let reserved = declared.map_or(limit, |bytes| usize::try_from(bytes).unwrap_or(limit));
    let permits = u32::try_from(reserved).unwrap_or(u32::MAX);
    let Ok(_permit) = state.body_bytes.try_acquire_many(permits) else {
        return Err(Unsent::begin()
            .refuse(Kind::Overloaded, "no memory for the body")
            .into());
    };
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Unsent::begin()
            .refuse(Kind::TooLarge, format!("limit={limit}"))
            .into()),
        Err(error) => Err(Unsent::begin()
            .refuse(Kind::BadRequest, error.to_string())
            .into()),
    }
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

/// Draws a number from an attempt's id, so that the choice can be traced.
fn attempt_hash(attempt: &str) -> u64 {
    use std::hash::Hasher as _;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(attempt.as_bytes());
    hasher.finish()
}

/// Answers whether the gateway is ready, and with its metrics.
pub fn inspect(state: &State, request: &Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/readyz") if state.is_ready() => reply::status(StatusCode::OK),
        (&Method::GET, "/readyz") => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        (&Method::GET, "/metrics") => {
            let text = Bytes::from(state.metrics.text());
            Response::new(http_body_util::Either::Left(http_body_util::Full::new(
                text,
            )))
        }
        _ => reply::status(StatusCode::NOT_FOUND),
    }
}
