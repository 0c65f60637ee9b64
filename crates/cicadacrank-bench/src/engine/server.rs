//! HTTP server of a simulated endpoint.

use super::{
    answer,
    capacity::{Capacity, Fault},
    model::{Arrival, Load, Model, Started},
    profile::Profile,
};
use crate::socket;
use bytes::Bytes;
use cicadacrank_node::clock::unix_ms;
use futures_util::stream;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    conn::tcp::TcpAcceptor,
    http::{Method, StatusCode},
    writing::Json,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::Notify,
    task::JoinHandle,
    time::{self, Instant},
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Time between two checks whether [`Fault::Silent`] is still set.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay before another attempt to bind the port after a crash.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// Request that reached the simulated endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Path of the request.
    pub path: String,
    /// Attempt id in the `x-attempt-id` header.
    pub attempt: String,
    /// Key in the `idempotency-key` header.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Whether the complete answer was produced.
    pub finished: bool,
    /// Time for which it occupied a slot, in microseconds; zero until it ends.
    pub busy_us: u64,
}

#[derive(Debug)]
struct State {
    name: String,
    origin: Instant,
    model: Model,
    /// Incarnation that accepts connections.
    listening: u64,
    runs: Vec<Run>,
}

/// Running simulated endpoint. Dropping it stops the server.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    api: Api,
    task: JoinHandle<()>,
}

#[derive(Clone, Debug)]
struct Api {
    state: Arc<Mutex<State>>,
    crashed: Arc<Notify>,
}

/// Request in flight. Dropping it ends the run and frees its slot.
struct ActiveRun {
    api: Api,
    run: usize,
    started: Started,
    started_at: Instant,
}

impl Server {
    /// Starts a simulated endpoint on a port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn start(name: &str, profile: Profile) -> io::Result<Self> {
        let acceptor = socket::bind(socket::ANY)?;
        let address = acceptor.local_addr()?;
        let state = State {
            name: name.to_owned(),
            origin: Instant::now(),
            model: Model::new(profile, Capacity::default()),
            listening: 1,
            runs: Vec::new(),
        };
        let api = Api {
            state: Arc::new(Mutex::new(state)),
            crashed: Arc::new(Notify::new()),
        };
        let task = tokio::spawn(listen(acceptor, address, api.clone()));
        Ok(Self { address, api, task })
    }

    /// Sets response times and lengths for subsequent work.
    pub fn set_profile(&self, profile: Profile) {
        self.api.lock().model.profile = profile;
    }

    /// Sets the capacity.
    pub fn set_capacity(&self, capacity: Capacity) {
        self.api.lock().model.capacity = capacity;
    }

    /// Replaces the present faults.
    pub fn set_faults(&self, faults: Vec<Fault>) {
        self.api.lock().model.faults = faults;
    }

    /// Makes the endpoint cold without a new incarnation.
    pub fn mark_cold(&self) {
        let mut state = self.api.lock();
        let now = state.origin.elapsed();
        state.model.mark_cold(now);
    }

    /// Makes the endpoint warm.
    pub fn mark_warm(&self) {
        let mut state = self.api.lock();
        let now = state.origin.elapsed();
        state.model.mark_warm(now);
    }

    /// Crashes the endpoint and closes the connections of requests in flight.
    pub fn crash(&self) {
        let mut state = self.api.lock();
        let now = state.origin.elapsed();
        state.model.crash(now);
        self.api.crashed.notify_one();
    }

    /// Returns the number of starts of the endpoint.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.api.lock().model.incarnation()
    }

    /// Returns whether the endpoint accepts connections, which it does not do
    /// while it is down.
    #[must_use]
    pub fn is_up(&self) -> bool {
        let state = self.api.lock();
        state.listening == state.model.incarnation()
    }

    /// Returns all requests that have reached the endpoint.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.api.lock().runs.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && path == "/load" {
            return response.render(Json(self.load()));
        }
        let header = |name: &str| request.header::<String>(name).unwrap_or_default();
        let (attempt, key) = (header("x-attempt-id"), header("idempotency-key"));
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let body = String::from_utf8_lossy(body).into_owned();
        let Ok(input) = serde_json::from_str::<Value>(&body) else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let run = Run {
            at_ms: unix_ms(),
            path,
            attempt,
            key,
            body,
            finished: false,
            busy_us: 0,
        };
        self.serve(run, &input, response).await;
    }
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the incarnation to start and the time until its start.
    fn next_start(&self) -> (u64, Duration) {
        let state = self.lock();
        let downtime = state.model.remaining_downtime(state.origin.elapsed());
        (state.model.incarnation(), downtime)
    }

    fn load(&self) -> Load {
        let state = self.lock();
        state.model.report(state.origin.elapsed())
    }

    async fn serve(&self, run: Run, input: &Value, response: &mut Response) {
        let path = run.path.clone();
        let started = {
            let mut state = self.lock();
            let now = state.origin.elapsed();
            let prompt = input["prompt"].as_str().unwrap_or_default();
            let before = state.model.incarnation();
            let arrival = state.model.arrive(&run.body, prompt, now);
            if state.model.incarnation() != before {
                self.crashed.notify_one();
            }
            state.runs.push(run);
            match arrival {
                Arrival::Started(started) => Ok((started, state.runs.len() - 1)),
                Arrival::Disconnected => Err(true),
                Arrival::Refused => Err(false),
            }
        };
        let active = match started {
            Ok((started, run)) => ActiveRun {
                api: self.clone(),
                run,
                started,
                started_at: Instant::now(),
            },
            Err(true) => return disconnect(response),
            Err(false) => {
                response.status_code(StatusCode::UNPROCESSABLE_ENTITY);
                return response.render("refused\n");
            }
        };
        wait(active.started.time_to_first_byte).await;
        active.wait_until_responsive().await;
        if !active.is_current() {
            return disconnect(response);
        }
        match path.as_str() {
            "/v1/completions" => stream_completion(active, input, response),
            _ => active.respond(&path, input, response),
        }
    }
}

impl ActiveRun {
    fn is_current(&self) -> bool {
        self.api.lock().model.incarnation() == self.started.incarnation
    }

    /// Waits while [`Fault::Silent`] is set, but not beyond a crash.
    async fn wait_until_responsive(&self) {
        while self.has_fault(|fault| *fault == Fault::Silent) && self.is_current() {
            time::sleep(SILENCE_POLL_INTERVAL).await;
        }
    }

    fn has_fault(&self, predicate: impl FnMut(&Fault) -> bool) -> bool {
        self.api.lock().model.faults.iter().any(predicate)
    }

    fn truncates_at(&self, token: u64) -> bool {
        self.has_fault(|fault| matches!(fault, Fault::Truncate(after) if *after <= token))
    }

    fn finish(&self) {
        self.api.lock().runs[self.run].finished = true;
    }

    fn respond(&self, path: &str, input: &Value, response: &mut Response) {
        if self.truncates_at(u64::MAX) {
            return disconnect(response);
        }
        self.finish();
        if self.has_fault(|fault| *fault == Fault::Rubbish) {
            return response.render("} rubbish {");
        }
        let name = self.api.lock().name.clone();
        response.render(Json(answer::body(&name, path, input)));
    }

    /// Waits for the next event of a generation and returns it, or `None` if the
    /// connection is to be closed.
    async fn next_event(&self, mark: &str, token: u64, count: u64) -> Option<String> {
        if token > 0 {
            let interval = self.api.lock().model.token_interval();
            wait(interval).await;
        }
        self.wait_until_responsive().await;
        if !self.is_current() || self.truncates_at(token) {
            return None;
        }
        if self.has_fault(|fault| *fault == Fault::Rubbish) {
            return Some("data: } rubbish {\n\n".to_owned());
        }
        if token == count {
            self.finish();
            return Some("data: [DONE]\n\n".to_owned());
        }
        let text = answer::token(mark, token);
        Some(format!(
            "data: {}\n\n",
            json!({ "choices": [{ "text": text }] })
        ))
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        let mut state = self.api.lock();
        let now = state.origin.elapsed();
        state.model.finish(self.started.incarnation, now);
        let busy = self.started_at.elapsed().as_micros();
        state.runs[self.run].busy_us = u64::try_from(busy).unwrap_or(u64::MAX);
    }
}

/// Serves requests. Connections are refused while the endpoint is down.
async fn listen(mut acceptor: TcpAcceptor, address: SocketAddr, api: Api) {
    loop {
        let router = Router::with_path("{**path}").goal(api.clone());
        let server = salvo::Server::new(acceptor).serve(router);
        let crashed = api.crashed.notified();
        tokio::select! {
            () = server => return,
            () = crashed => {}
        }
        let (incarnation, downtime) = api.next_start();
        time::sleep(downtime).await;
        acceptor = loop {
            match socket::bind(address) {
                Ok(acceptor) => break acceptor,
                Err(_) => time::sleep(REBIND_DELAY).await,
            }
        };
        api.lock().listening = incarnation;
    }
}

/// Sleeps for `duration`. Returns at once if it is zero, because a timer would
/// take at least one tick.
async fn wait(duration: Duration) {
    if !duration.is_zero() {
        time::sleep(duration).await;
    }
}

/// Closes the connection instead of sending an answer.
fn disconnect(response: &mut Response) {
    response.stream(stream::iter([Err::<Bytes, _>(disconnect_error())]));
}

fn disconnect_error() -> io::Error {
    io::Error::other("the simulated endpoint closed the connection")
}

fn stream_completion(active: ActiveRun, input: &Value, response: &mut Response) {
    let tokens = active.api.lock().model.profile.tokens;
    let prompt = input["prompt"].as_str().unwrap_or_default();
    let mark = answer::mark_of(prompt).to_owned();
    let first = answer::next_token(&mark, prompt, tokens);
    let requested = input["max_tokens"].as_u64().unwrap_or(tokens);
    let count = first.saturating_add(requested).min(tokens);
    drop(response.add_header("content-type", "text/event-stream", true));
    let events = stream::try_unfold((active, first), move |(active, token)| {
        let mark = mark.clone();
        async move {
            if token > count {
                return Ok(None);
            }
            let text = active.next_event(&mark, token, count).await;
            let text = text.ok_or_else(disconnect_error)?;
            Ok::<_, io::Error>(Some((Bytes::from(text), (active, token + 1))))
        }
    });
    response.stream(events);
}
