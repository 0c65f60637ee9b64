//! Simulated endpoints: plain services, model engines and services that run
//! pipeline stages.

use super::{Impairment, Proxy};
use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt as _};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::{self, Instant},
};

/// Number of events of a complete stream.
pub const EVENTS: u64 = 6;

/// Id of the part of a prompt at which an engine with [`Fault::CrashOnPart`] crashes.
pub const CRASHING_PART: &str = "dead";

/// Size of the head of an answer of an endpoint with [`Fault::CutHead`] to an attempt whose
/// id has four characters.
pub const CUT_HEAD_BYTES: usize = 103;

/// Size of the body of an endpoint with [`Fault::LargeAnswer`], more than sockets buffer.
pub const LARGE_ANSWER_BYTES: usize = 15 << 20;

/// Maximum number of headers of a request, more than gateways pass on.
const MAX_HEADERS: usize = 4_000;

/// Start time of the first process of an endpoint.
const FIRST_BORN: u64 = 1_000;

/// Time between the head of an answer and the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Time from the end of its connections to that of the port of an engine with
/// [`Fault::LingerOnPart`].
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Time for which the port of an engine with [`Fault::RestartOnPart`] is closed.
const RESTART_TIME: Duration = Duration::from_millis(5);

/// Number of interim heads that are written at once.
const INTERIM_HEADS: usize = 1_024;

/// Size of the parts of an answer without end.
const ENDLESS_PART_BYTES: usize = 1 << 14;

/// Pause of an endpoint with [`Fault::Pause`] or [`Fault::PauseAfterEvent`].
pub const SILENCE: Duration = Duration::from_millis(1_700);

/// Time between two bytes of an engine with [`Fault::DribbleAfterEvent`].
const BYTE_GAP: Duration = Duration::from_millis(2);

/// Time between two comments of an engine with [`Fault::CommentsAfterEvent`].
const COMMENT_GAP: Duration = Duration::from_millis(500);

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(15);

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Plain service, which answers without streaming.
    Desk,
    /// Model engine, which answers with a stream of events.
    Engine,
    /// Worker that runs the pieces of pipeline stages.
    Worker,
}

impl Role {
    /// All roles.
    pub const ALL: [Self; 3] = [Self::Desk, Self::Engine, Self::Worker];

    const fn service(self) -> &'static str {
        match self {
            Self::Desk => "desk",
            Self::Engine => "llm",
            Self::Worker => "encode",
        }
    }
}

/// Fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// It rejects requests with status 503 and states that it did not run them.
    Decline,
    /// It runs the request and closes the connection without an answer.
    LoseAnswer,
    /// It runs the request and answers with another attempt id.
    Foreign,
    /// It answers without the signature header.
    Unsigned,
    /// It closes the connection in the middle of its answer.
    BreakOff,
    /// It runs the request and answers with status 500.
    Fail,
    /// It runs the request, answers with status 500 and closes the connection in the middle
    /// of the answer.
    FailAndBreakOff,
    /// It delays its answer for a minute.
    Hang,
    /// It delays its answer for [`SILENCE`].
    Pause,
    /// It delays its answer for a minute to stage calls that have inputs.
    HangWithInputs,
    /// It sends the first event of a stream and delays the others for a minute.
    StallAfterEvent,
    /// It sends the first event of a stream, pauses for [`SILENCE`] and goes on.
    PauseAfterEvent,
    /// It sends the first event of a stream, and then comments without end.
    CommentsAfterEvent,
    /// It sends the first event of a stream, and then the second one byte by byte.
    DribbleAfterEvent,
    /// It answers with bytes that form no event, without end.
    Endless,
    /// As [`Fault::Endless`], each byte in a chunk of its own.
    EndlessChunks,
    /// It answers with a head that never ends.
    EndlessHead,
    /// It answers with interim heads that never end.
    EndlessInterim,
    /// It writes a refusal that names no request on each connection before it reads the
    /// request, which it then runs and answers.
    EarlyRefusal,
    /// As [`Fault::EarlyRefusal`], but the refusal names another request.
    EarlyForeignRefusal,
    /// As [`Fault::Decline`], but it does not state that it did not run them.
    Refuse,
    /// It rejects requests with status 421, as if it were not the target.
    Misdirected,
    /// It answers without a length or chunks, and ends the answer with the connection.
    Unframed,
    /// As [`Fault::Unframed`], but the connection ends inside an event.
    UnframedPartial,
    /// As [`Fault::Unframed`], but the connection ends after the head.
    UnframedEmpty,
    /// As [`Fault::Unframed`], but it crashes in the middle of its answer, between two events
    /// if that is a stream.
    UnframedCrash,
    /// It crashes when it begins to answer a prompt that contains [`CRASHING_PART`].
    CrashOnPart,
    /// As [`Fault::CrashOnPart`], but its port closes only 300 ms after its
    /// connections, as that of a process with much memory to release.
    LingerOnPart,
    /// As [`Fault::CrashOnPart`], but it starts again in place at once.
    RestartOnPart,
    /// It answers with [`LARGE_ANSWER_BYTES`] bytes.
    LargeAnswer,
    /// It closes the connection after so many bytes of its answer, which has a head of
    /// [`CUT_HEAD_BYTES`] bytes. The answer has a length if it is no stream.
    CutHead(usize),
    /// It sends events without ids and closes the connection in the middle.
    BreakOffWithoutIds,
    /// It answers a request to resume a stream in this way instead of resuming it.
    Resumption(Resumption),
}

/// Answer to a request to resume a stream that does not continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Status 500 with a text.
    Error,
    /// Status 302.
    Redirect,
    /// Status 204.
    NoContent,
    /// Status 200 with JSON that describes an error.
    Json,
    /// Status 200 with JSON and a blank line, as at the end of an event.
    JsonEvent,
    /// Status 200 with a length of zero and no content type.
    Empty,
    /// An event that describes an error and has no id.
    ErrorEvent,
    /// The stream from its start.
    Restart,
    /// The stream from the last event that was received.
    Repeat,
}

impl Resumption {
    /// All such answers.
    pub const ALL: [Self; 9] = [
        Self::Error,
        Self::Redirect,
        Self::NoContent,
        Self::Json,
        Self::JsonEvent,
        Self::Empty,
        Self::ErrorEvent,
        Self::Restart,
        Self::Repeat,
    ];
}

impl Fault {
    const fn is_unframed(self) -> bool {
        matches!(
            self,
            Self::Unframed | Self::UnframedPartial | Self::UnframedEmpty | Self::UnframedCrash
        )
    }
}

/// Request that an endpoint ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Time of arrival.
    pub at: Instant,
    /// Attempt id of the caller.
    pub attempt: String,
    /// Method, path and query of the request.
    pub target: String,
    /// Team that the gateway stated in `x-tenant`.
    pub team: String,
    /// Body of the request.
    pub body: Bytes,
    /// Handles of the stage results that it was given, separated by commas.
    pub results: String,
    /// Whether it contained a key or a header that only the system may set.
    pub leaked: bool,
}

type Body = Either<Full<Bytes>, StreamBody<BoxStream<'static, io::Result<Frame<Bytes>>>>>;

#[derive(Debug, Default)]
struct State {
    /// Start time of the process, in milliseconds since the Unix epoch.
    born: u64,
    /// Whether it answers reports about itself.
    silent: bool,
    runs: Vec<Run>,
    pieces: Vec<(String, u64, u64)>,
    /// Arrivals of calls with pieces.
    calls: Vec<Instant>,
    released: u64,
    abandoned: u64,
    crashed: bool,
    /// Number of times that it has started again in place by [`Fault::RestartOnPart`].
    crashes: usize,
    fault: Fault,
    /// Requests a second that its answers name as its limit.
    limit: Option<f64>,
    /// Whether its answers state that it leaves.
    leaving: bool,
    /// Seconds for which it wants no requests when it turns one away.
    retry_after: Option<f64>,
    /// Arrivals of all requests and calls, releases left out.
    arrivals: Vec<Instant>,
}

/// Increments `State::abandoned` when it is dropped, as when the gateway cancels
/// a request during [`Fault::Hang`].
struct HangGuard(Arc<Mutex<State>>);

impl Drop for HangGuard {
    fn drop(&mut self) {
        lock(&self.0).abandoned += 1;
    }
}

/// Running simulated endpoint. Dropping it stops the server.
#[derive(Debug)]
pub struct Endpoint {
    /// Id of the endpoint in the store.
    pub id: String,
    /// Role of the endpoint.
    pub role: Role,
    /// Proxy between the gateways and the endpoint.
    pub proxy: Proxy,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    /// Starts an endpoint on a port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start(role: Role, number: usize) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = State {
            born: FIRST_BORN,
            ..State::default()
        };
        let state = Arc::new(Mutex::new(state));
        let id = format!("i-{}-{number}", role.service());
        let proxy = Proxy::start(address).await?;
        let context = Context {
            role,
            id: id.clone(),
            address,
            state: Arc::clone(&state),
            port: proxy.switch(),
        };
        let task = tokio::spawn(accept(listener, context));
        Ok(Self {
            id,
            role,
            proxy,
            state,
            task,
        })
    }

    /// Returns the endpoint's entry for the store.
    #[must_use]
    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({ "service": self.role.service(), "address": self.proxy.address.to_string(),
            "zone": "one", "version": "v1", "slots": 4, "state": state,
            "coldRemainingMs": 0, "sequence": sequence, "born": lock(&self.state).born })
    }

    /// Ends the process with its connections, and closes the port.
    pub fn crash(&self) {
        self.proxy.set_impairment(Impairment::Down);
    }

    /// Starts the process again in place after a crash.
    pub fn start_again(&self) {
        lock(&self.state).born += 1;
        self.proxy.set_impairment(Impairment::None);
    }

    /// Sets whether the endpoint leaves requests for reports about itself unanswered.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Sets the fault for subsequent requests.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Sets the requests a second that the endpoint names in its answers as the limit
    /// for all gateways together.
    pub fn set_limit(&self, per_second: Option<f64>) {
        lock(&self.state).limit = per_second;
    }

    /// Sets whether all answers of the endpoint state that it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Sets the seconds for which the endpoint wants no requests when it turns one away
    /// with status 503.
    pub fn set_retry_after(&self, seconds: Option<f64>) {
        lock(&self.state).retry_after = seconds;
    }

    /// Returns the times at which requests and calls arrived, also those that the
    /// endpoint did not run.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state).arrivals.clone()
    }

    /// Returns the requests that the endpoint ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Returns the pieces that the endpoint ran, each with the attempt id, the
    /// stage and the number of the piece.
    #[must_use]
    pub fn pieces(&self) -> Vec<(String, u64, u64)> {
        lock(&self.state).pieces.clone()
    }

    /// Returns the times at which calls with pieces arrived.
    #[must_use]
    pub fn calls(&self) -> Vec<Instant> {
        lock(&self.state).calls.clone()
    }

    /// Returns the number of requests that were cancelled during
    /// [`Fault::Hang`].
    #[must_use]
    pub fn abandoned(&self) -> u64 {
        lock(&self.state).abandoned
    }

    /// Returns whether the endpoint crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        lock(&self.state).crashed
    }

    /// Returns how often the endpoint crashed and started again in place at once.
    #[must_use]
    pub fn restarts(&self) -> usize {
        lock(&self.state).crashes
    }

    /// Returns the number of stage results that the endpoint was asked to release.
    #[must_use]
    pub fn released(&self) -> u64 {
        lock(&self.state).released
    }
}

/// What the handler of a request needs from its endpoint.
#[derive(Clone, Debug)]
struct Context {
    role: Role,
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Closes the port of the endpoint.
    port: watch::Sender<Impairment>,
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, context: Context) {
    while let Ok((stream, _)) = listener.accept().await {
        let context = context.clone();
        let fault = lock(&context.state).fault;
        let is_unframed = match context.role {
            Role::Engine => fault.is_unframed(),
            Role::Desk => matches!(fault, Fault::Unframed | Fault::UnframedCrash),
            Role::Worker => false,
        };
        if is_unframed {
            tokio::spawn(async move {
                // An error is a client that disconnected.
                drop(answer_unframed(stream, fault, &context).await);
            });
            continue;
        }
        let is_endless = matches!(fault, Fault::EndlessHead | Fault::EndlessInterim);
        if is_endless && context.role != Role::Worker {
            tokio::spawn(async move {
                // An error is a client that disconnected.
                drop(answer_endless_head(stream, fault).await);
            });
            continue;
        }
        if let Fault::CutHead(length) = fault
            && context.role != Role::Worker
        {
            tokio::spawn(async move {
                // An error is a client that disconnected.
                drop(answer_cut(stream, length, &context).await);
            });
            continue;
        }
        let service = service_fn(move |request| handle(context.clone(), request));
        tokio::spawn(async move {
            let mut stream = stream;
            if let Some(refusal) = early_refusal(fault) {
                // An error is a client that disconnected.
                drop(stream.write_all(refusal.as_bytes()).await);
            }
            let connection = http1::Builder::new()
                .max_headers(MAX_HEADERS)
                .serve_connection(TokioIo::new(stream), service);
            // An error is an injected fault or a client that disconnected.
            drop(connection.await);
        });
    }
}

/// Returns the refusal that an endpoint writes before it reads a request.
fn early_refusal(fault: Fault) -> Option<String> {
    let name = match fault {
        Fault::EarlyRefusal => "",
        Fault::EarlyForeignRefusal => "x-attempt-id: ffffffffffffffff\r\n",
        _ => return None,
    };
    let head = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n";
    Some(format!("{head}{name}\r\n"))
}

/// Answers a request, with what the endpoint states in all its answers.
async fn handle(context: Context, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let state = Arc::clone(&context.state);
    let mut response = answer(context, request).await?;
    if lock(&state).leaving {
        let one = http::HeaderValue::from_static("1");
        response.headers_mut().insert("server-leaving", one);
    }
    let retry_after = lock(&state).retry_after;
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(seconds)) = (response.status(), retry_after) {
        let seconds = seconds.to_string().parse().map_err(io::Error::other)?;
        response.headers_mut().insert("retry-after", seconds);
    }
    Ok(response)
}

async fn answer(context: Context, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let Context {
        role,
        id,
        address,
        state,
        port,
    } = context;
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = head.uri.path().to_owned();
    if path == "/stage-free" {
        let released = parse_json(&body)["kvHandles"]
            .as_array()
            .map_or(0, Vec::len);
        lock(&state).released += released as u64;
        return Ok(plain_response(
            StatusCode::OK,
            &head.headers,
            Bytes::new(),
            false,
        ));
    }
    if path == "/healthz" {
        let mut response = plain_response(StatusCode::OK, &head.headers, Bytes::new(), false);
        let id = id.parse().map_err(io::Error::other)?;
        response.headers_mut().insert("x-instance-id", id);
        return Ok(response);
    }
    if path == "/report" {
        let mut response = plain_response(StatusCode::OK, &head.headers, Bytes::new(), false);
        if lock(&state).silent {
            *response.status_mut() = StatusCode::NOT_FOUND;
        } else {
            let body = report(&lock(&state)).to_string();
            *response.body_mut() = Either::Left(Full::new(Bytes::from(body)));
        }
        return Ok(response);
    }
    lock(&state).arrivals.push(Instant::now());
    let fault = lock(&state).fault;
    match fault {
        Fault::Refuse => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(plain_response(status, &head.headers, Bytes::new(), true));
        }
        Fault::Decline => {
            return Ok(not_executed_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &head.headers,
            ));
        }
        Fault::Misdirected => {
            return Ok(not_executed_response(
                StatusCode::MISDIRECTED_REQUEST,
                &head.headers,
            ));
        }
        _ => {}
    }
    if path == "/stage-run" {
        return run_stage(address, &state, fault, &parse_json(&body)).await;
    }
    let text = |name: &str| header(&head.headers, name);
    lock(&state).runs.push(Run {
        at: Instant::now(),
        attempt: text("x-attempt-id"),
        target: format!("{} {}", head.method, head.uri),
        team: text("x-tenant"),
        body: body.clone(),
        results: text("x-input-count"),
        leaked: head.headers.contains_key("authorization") || head.headers.contains_key("x-pin-ms"),
    });
    match fault {
        Fault::LoseAnswer => return Err(io::Error::other("injected fault: no answer")),
        Fault::Hang => {
            let _guard = HangGuard(Arc::clone(&state));
            time::sleep(Duration::from_secs(60)).await;
        }
        Fault::Pause => time::sleep(SILENCE).await,
        Fault::Fail => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(plain_response(status, &head.headers, Bytes::new(), true));
        }
        Fault::FailAndBreakOff => {
            let mut response = truncated_response(&head.headers, Bytes::from("out of memory"));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(response);
        }
        Fault::Endless => {
            return Ok(endless_response(&head.headers, &[b'x'; ENDLESS_PART_BYTES]));
        }
        Fault::EndlessChunks => return Ok(endless_response(&head.headers, b"x")),
        Fault::CrashOnPart if text("x-prompt-prefix").contains(CRASHING_PART) => {
            lock(&state).crashed = true;
            tokio::spawn(async move {
                time::sleep(CRASH_DELAY).await;
                port.send_replace(Impairment::Down);
            });
            return Ok(silent_response(&head.headers));
        }
        Fault::LingerOnPart if text("x-prompt-prefix").contains(CRASHING_PART) => {
            lock(&state).crashed = true;
            tokio::spawn(async move {
                time::sleep(CRASH_DELAY).await;
                port.send_replace(Impairment::Reset);
                time::sleep(LINGER_TIME).await;
                port.send_replace(Impairment::Down);
            });
            return Ok(silent_response(&head.headers));
        }
        Fault::RestartOnPart if text("x-prompt-prefix").contains(CRASHING_PART) => {
            let ended = Arc::clone(&state);
            tokio::spawn(async move {
                time::sleep(CRASH_DELAY).await;
                port.send_replace(Impairment::Down);
                time::sleep(RESTART_TIME).await;
                let mut state = lock(&ended);
                state.born += 1;
                state.crashes += 1;
                port.send_replace(Impairment::None);
            });
            return Ok(silent_response(&head.headers));
        }
        _ => {}
    }
    let mut response = match role {
        Role::Engine => event_stream(&head.headers, fault),
        Role::Desk | Role::Worker => {
            let body = match fault {
                Fault::LargeAnswer => Bytes::from(vec![b'x'; LARGE_ANSWER_BYTES]),
                _ => Bytes::from(format!("answer to {}", text("x-attempt-id"))),
            };
            if fault == Fault::BreakOff {
                truncated_response(&head.headers, body)
            } else {
                plain_response(StatusCode::OK, &head.headers, body, true)
            }
        }
    };
    state_limit(&state, &mut response)?;
    match fault {
        Fault::Foreign => {
            let other = "ffffffffffffffff".parse().map_err(io::Error::other)?;
            response.headers_mut().insert("x-attempt-id", other);
        }
        Fault::Unsigned => drop(response.headers_mut().remove("x-response-signature")),
        _ => {}
    }
    Ok(response)
}

/// Returns what an endpoint says of itself.
fn report(state: &State) -> Value {
    json!({ "phase": "combined", "sequence": 1, "activeRequests": 0, "born": state.born })
}

async fn run_stage(
    address: SocketAddr,
    state: &Mutex<State>,
    fault: Fault,
    call: &Value,
) -> io::Result<Response<Body>> {
    lock(state).calls.push(Instant::now());
    let items = call["items"].as_array().cloned().unwrap_or_default();
    time::sleep(Duration::from_millis(20)).await;
    if matches!(fault, Fault::LoseAnswer | Fault::BreakOff) {
        return Err(io::Error::other("injected fault: no answer"));
    }
    let has_inputs = items.iter().any(|item| item["inputs"].is_array());
    if fault == Fault::HangWithInputs && has_inputs {
        time::sleep(Duration::from_secs(60)).await;
    }
    let mut results = Vec::new();
    for item in &items {
        let piece = (
            item["id"].as_str().unwrap_or_default().to_owned(),
            item["phase"].as_u64().unwrap_or_default(),
            item["segment"].as_u64().unwrap_or_default(),
        );
        results.push(match fault {
            Fault::Fail => json!({ "reason": "error" }),
            _ => json!({ "kvHandle": format!("{address}/{}-{}-{}", piece.0, piece.1, piece.2) }),
        });
        lock(state).pieces.push(piece);
    }
    let body = Bytes::from(json!({ "items": results }).to_string());
    let mut response = Response::new(Either::Left(Full::new(body)));
    state_limit(state, &mut response)?;
    Ok(response)
}

/// Adds the limit that the endpoint states, if any, to a response.
fn state_limit(state: &Mutex<State>, response: &mut Response<Body>) -> io::Result<()> {
    if let Some(limit) = lock(state).limit {
        let limit = limit.to_string().parse().map_err(io::Error::other)?;
        response.headers_mut().insert("server-limit", limit);
    }
    Ok(())
}

/// Returns a response whose body never ends, sent in chunks of `part`.
fn endless_response(headers: &HeaderMap, part: &'static [u8]) -> Response<Body> {
    let part = move || Ok(Frame::data(Bytes::from_static(part)));
    let mut response = plain_response(StatusCode::OK, headers, Bytes::new(), true);
    let parts = stream::repeat_with(part).boxed();
    *response.body_mut() = Either::Right(StreamBody::new(parts));
    response
}

fn event_stream(headers: &HeaderMap, fault: Fault) -> Response<Body> {
    let silence = match fault {
        Fault::StallAfterEvent => Duration::from_secs(60),
        Fault::PauseAfterEvent => SILENCE,
        _ => Duration::ZERO,
    };
    let resumed = header(headers, "last-event-id").parse::<u64>().ok();
    let first = match (fault, resumed) {
        (Fault::Resumption(Resumption::Restart), _) | (_, None) => 1,
        (Fault::Resumption(Resumption::Repeat), Some(last)) => last,
        (Fault::Resumption(resumption), Some(_)) => return not_resumed(headers, resumption),
        (_, Some(last)) => last + 1,
    };
    let breaks = matches!(fault, Fault::BreakOff | Fault::BreakOffWithoutIds);
    let last = if breaks { 3 } else { EVENTS };
    let has_ids = fault != Fault::BreakOffWithoutIds;
    let parts = stream::iter(first..=last).then(move |number| async move {
        time::sleep(EVENT_GAP).await;
        if number == 2 {
            time::sleep(silence).await;
        }
        let id = if has_ids {
            format!("id: {number}\n")
        } else {
            String::new()
        };
        let event = format!("{id}data: token {number}\n\n");
        Ok(Frame::data(Bytes::from(event)))
    });
    let end: BoxStream<'static, io::Result<Frame<Bytes>>> = match fault {
        Fault::BreakOff | Fault::BreakOffWithoutIds => parts
            .chain(stream::iter([Err(io::Error::other(
                "injected fault: answer broken off",
            ))]))
            .boxed(),
        Fault::DribbleAfterEvent => {
            let bytes = stream::repeat_with(|| Bytes::from_static(b"x"));
            let bytes = bytes.then(async |byte| {
                time::sleep(BYTE_GAP).await;
                Ok(Frame::data(byte))
            });
            parts.take(1).chain(bytes).boxed()
        }
        Fault::CommentsAfterEvent => {
            let comments = stream::repeat_with(|| Bytes::from_static(b": ping\n\n"));
            let comments = comments.then(async |comment| {
                time::sleep(COMMENT_GAP).await;
                Ok(Frame::data(comment))
            });
            parts.take(1).chain(comments).boxed()
        }
        _ => parts.boxed(),
    };
    let mut response = plain_response(StatusCode::OK, headers, Bytes::new(), true);
    let event_stream = http::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, event_stream);
    *response.body_mut() = Either::Right(StreamBody::new(end));
    response
}

/// Returns an answer that does not resume a stream.
fn not_resumed(headers: &HeaderMap, resumption: Resumption) -> Response<Body> {
    let (status, content_type, body) = match resumption {
        Resumption::Error => (500, "text/plain", "out of memory\n\n"),
        Resumption::Redirect => (302, "text/html", "<p>moved</p>\n\n"),
        Resumption::NoContent => (204, "", ""),
        Resumption::Json => (200, "application/json", r#"{"error":"out of memory"}"#),
        Resumption::JsonEvent => (200, "application/json", "{\"error\":\"memory\"}\n\n"),
        Resumption::Empty => (200, "", ""),
        Resumption::ErrorEvent | Resumption::Restart | Resumption::Repeat => {
            (200, "text/event-stream", "event: error\ndata: memory\n\n")
        }
    };
    let status = StatusCode::from_u16(status).unwrap_or_default();
    let mut response = plain_response(status, headers, Bytes::from_static(body.as_bytes()), true);
    if !content_type.is_empty() {
        let content_type = http::HeaderValue::from_static(content_type);
        let headers = response.headers_mut();
        headers.insert(http::header::CONTENT_TYPE, content_type);
    }
    response
}

/// Reads the head of a request, or returns `None` if the client disconnects before its end.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(String::from_utf8_lossy(&request).into_owned()))
}

/// Answers one request with a line of a head, or with interim heads, that never end.
async fn answer_endless_head(mut stream: TcpStream, fault: Fault) -> io::Result<()> {
    if read_head(&mut stream).await?.is_none() {
        return Ok(());
    }
    let part = match fault {
        Fault::EndlessInterim => b"HTTP/1.1 100 \r\n\r\n".repeat(INTERIM_HEADS),
        _ => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nx-rest: ").await?;
            vec![b'x'; ENDLESS_PART_BYTES]
        }
    };
    loop {
        stream.write_all(&part).await?;
    }
}

/// Answers one request with the first bytes of a whole answer, and closes the connection.
async fn answer_cut(mut stream: TcpStream, length: usize, context: &Context) -> io::Result<()> {
    let Some(request) = read_head(&mut stream).await? else {
        return Ok(());
    };
    let lines = request.lines().filter_map(|line| line.split_once(": "));
    let mut attempts = lines.filter(|(key, _)| key.eq_ignore_ascii_case("x-attempt-id"));
    let attempt = attempts.next().map_or("", |(_, value)| value);
    let framing = match context.role {
        Role::Engine => "content-type: text/event-stream",
        Role::Desk | Role::Worker => "content-length: 000000000000006",
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: 3e1b.07\r\n\
         {framing}\r\n\r\nanswer"
    );
    stream
        .write_all(&answer.as_bytes()[..length.min(answer.len())])
        .await?;
    stream.shutdown().await?;
    // Reads the rest of the request, so that the connection is not reset.
    while stream.read_buf(&mut Vec::new()).await? > 0 {}
    Ok(())
}

/// Reads the head of one request and answers it with events and no framing. The
/// body of the request is left unread, as by an engine that does not need it.
async fn answer_unframed(mut stream: TcpStream, fault: Fault, context: &Context) -> io::Result<()> {
    let state = &context.state;
    let Some(request) = read_head(&mut stream).await? else {
        return Ok(());
    };
    if request.starts_with("GET /report ") {
        let body = report(&lock(state)).to_string();
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length:";
        let answer = format!("{head} {}\r\n\r\n{body}", body.len());
        return stream.write_all(answer.as_bytes()).await;
    }
    if request.starts_with("GET /healthz ") {
        let id = &context.id;
        let answer = format!("HTTP/1.1 200 OK\r\nx-instance-id: {id}\r\ncontent-length: 0\r\n\r\n");
        return stream.write_all(answer.as_bytes()).await;
    }
    let text = |name: &str| {
        let lines = request.lines().filter_map(|line| line.split_once(": "));
        let mut lines = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        lines.next().map(|(_, value)| value.to_owned())
    };
    let attempt = text("x-attempt-id").unwrap_or_default();
    let first = text("last-event-id").and_then(|id| id.parse::<u64>().ok());
    lock(state).runs.push(Run {
        at: Instant::now(),
        attempt: attempt.clone(),
        target: request.lines().next().unwrap_or_default().to_owned(),
        team: text("x-tenant").unwrap_or_default(),
        body: Bytes::new(),
        results: text("x-input-count").unwrap_or_default(),
        leaked: false,
    });
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: 3e1b.07\r\n\
         content-type: text/event-stream\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    if context.role == Role::Desk {
        stream.write_all(b"ans").await?;
        if fault == Fault::Unframed {
            return Ok(());
        }
        time::sleep(EVENT_GAP).await;
        context.port.send_replace(Impairment::Down);
        return Ok(());
    }
    let last = match fault {
        Fault::UnframedPartial | Fault::UnframedCrash => 3,
        Fault::UnframedEmpty => 0,
        _ => EVENTS,
    };
    for number in first.unwrap_or(0) + 1..=last {
        time::sleep(EVENT_GAP).await;
        let event = format!("id: {number}\ndata: token {number}\n\n");
        stream.write_all(event.as_bytes()).await?;
    }
    if fault == Fault::UnframedPartial {
        stream.write_all(b"id: 4\ndata: tok").await?;
    }
    if fault == Fault::UnframedCrash {
        time::sleep(EVENT_GAP).await;
        context.port.send_replace(Impairment::Down);
    }
    stream.shutdown().await?;
    // Reads the rest of the request, so that the connection is not reset.
    while stream.read_buf(&mut Vec::new()).await? > 0 {}
    Ok(())
}

/// Returns a response whose body never sends anything.
fn silent_response(headers: &HeaderMap) -> Response<Body> {
    let mut response = plain_response(StatusCode::OK, headers, Bytes::new(), true);
    *response.body_mut() = Either::Right(StreamBody::new(stream::pending().boxed()));
    response
}

fn truncated_response(headers: &HeaderMap, body: Bytes) -> Response<Body> {
    let parts = stream::iter([
        Ok(Frame::data(body.slice(..5))),
        Err(io::Error::other("injected fault: answer broken off")),
    ]);
    // The head and the first part are sent before the connection breaks.
    let parts = parts.then(|part| async {
        time::sleep(EVENT_GAP).await;
        part
    });
    let mut response = plain_response(StatusCode::OK, headers, Bytes::new(), true);
    *response.body_mut() = Either::Right(StreamBody::new(parts.boxed()));
    response
}

fn plain_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    signed: bool,
) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    if let Some(attempt) = headers.get("x-attempt-id") {
        response
            .headers_mut()
            .insert("x-attempt-id", attempt.clone());
    }
    if signed {
        let signature = http::HeaderValue::from_static("3e1b.07");
        response
            .headers_mut()
            .insert("x-response-signature", signature);
    }
    response
}

fn not_executed_response(status: StatusCode, headers: &HeaderMap) -> Response<Body> {
    let mut response = plain_response(status, headers, Bytes::new(), false);
    let one = http::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-executed", one);
    response
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn parse_json(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or_default()
}
