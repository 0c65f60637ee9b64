//! Accepts connections from callers, load balancers and metrics scrapers.

use super::{
    connection::{Connection, Listed, RECEIVE_BYTES, Room, Rooms, Stream},
    idle::HeadTimer,
    reply::Body,
    request,
    state::State,
};
use crate::{daemon, outbound, platform::caller::Caller, sync::lock};
use cicadacrank_core::{crowd::Phase as Use, event::Event};
use futures_util::FutureExt as _;
use http::{HeaderValue, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use miette::Result;
use socket2::SockRef;
use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use tokio_util::task::TaskTracker;

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time for which a connection that is accepted during the shutdown may take to
/// send the head of its request.
const CLOSING_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a connection is closed whose client acknowledges nothing or takes no
/// data. No other gateway can deliver the answer in its place.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of connections from load balancers or metrics scrapers at one
/// address. It is separate from the limit for callers, so that callers cannot use
/// up these connections.
const MAX_INSPECTOR_CONNECTIONS: usize = 32;

/// Lower bound for the number of bytes that are buffered of an answer before its caller
/// takes them.
const MIN_BUFFER_LIMIT: usize = 16 * 1024;

/// Size of the shortest header, in bytes.
const MIN_HEADER_BYTES: usize = 4;

/// Number of headers of a request that the HTTP library allows by default.
const DEFAULT_HEADERS: usize = 100;

/// Maximum number of headers of a request. The library allocates room for as many for each
/// request, 64 KiB twice.
const MAX_HEADERS: usize = 2_000;

/// The listeners of a gateway.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    listeners: Vec<(TcpListener, Client)>,
    phase: watch::Sender<Phase>,
    /// Tasks that accept connections from callers.
    acceptors: TaskTracker,
    /// Open connections from callers.
    connections: TaskTracker,
}

/// The newest request on a connection.
#[derive(Debug, Default)]
struct Newest {
    id: String,
    answered: bool,
}

/// Phase of the server on its way to the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Connections serve any number of requests.
    Serving,
    /// Idle connections are closed, and the others after their current request. New
    /// ones serve one request.
    Closing,
    /// Connections that the operating system has accepted are served, and no further
    /// ones accepted.
    Ending,
}

/// Kind of client on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    Caller,
    Inspector,
}

impl Server {
    /// Creates a server that listens on all addresses.
    ///
    /// # Errors
    ///
    /// Returns a report with the address that cannot be bound.
    pub fn bind(state: &Arc<State>, metrics_port: Option<u16>) -> Result<Self> {
        let settings = &state.settings;
        let mut listeners = vec![
            (daemon::bind(settings.caller_listen)?, Client::Caller),
            (daemon::bind(settings.readiness_listen)?, Client::Inspector),
        ];
        if let Some(port) = metrics_port {
            let address = SocketAddr::new(settings.listen.ip(), port);
            listeners.push((daemon::bind(address)?, Client::Inspector));
        }
        let (phase, _) = watch::channel(Phase::Serving);
        Ok(Self {
            listeners,
            state: Arc::clone(state),
            phase,
            acceptors: TaskTracker::new(),
            connections: TaskTracker::new(),
        })
    }

    /// Returns the number of open connections from callers.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Starts to accept connections in background tasks.
    pub fn start(&mut self) {
        for (listener, client) in self.listeners.drain(..) {
            // Accepted connections inherit it.
            if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES) {
                log::warn!("failed to set the receive buffer for {client:?}: {error}");
            }
            let rooms = match client {
                Client::Caller => Rooms::new(
                    Arc::clone(&self.state.callers),
                    self.state.settings.sockets / 2,
                    self.state.memory.clone(),
                ),
                Client::Inspector => Rooms::with_own_memory(MAX_INSPECTOR_CONNECTIONS),
            };
            let acceptor = Acceptor {
                state: Arc::clone(&self.state),
                listener,
                client,
                rooms,
                phase: self.phase.subscribe(),
                connections: self.connections.clone(),
            };
            match client {
                Client::Caller => drop(self.acceptors.spawn(acceptor.run())),
                Client::Inspector => drop(tokio::spawn(acceptor.run())),
            }
        }
    }

    /// Closes idle connections, waits until the answers on all others are delivered, and
    /// stops accepting connections.
    pub async fn finish(&self) {
        self.phase.send_replace(Phase::Closing);
        self.connections.close();
        self.connections.wait().await;
        self.phase.send_replace(Phase::Ending);
        self.acceptors.close();
        self.acceptors.wait().await;
        self.connections.wait().await;
    }
}

/// Accepts the connections to one address.
struct Acceptor {
    state: Arc<State>,
    listener: TcpListener,
    client: Client,
    rooms: Rooms,
    phase: watch::Receiver<Phase>,
    connections: TaskTracker,
}

impl Acceptor {
    /// Accepts connections. Those from callers are accepted until the process ends,
    /// including those that wait to be accepted then.
    async fn run(mut self) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = wait_until(&mut self.phase, Phase::Ending), if self.client == Client::Caller => {
                    match self.listener.accept().now_or_never() {
                        Some(accepted) => accepted,
                        None => return,
                    }
                }
            };
            match accepted {
                // Only a connection that waits to be served has others closed for its room.
                Ok((stream, _)) => {
                    let room = self.rooms.wait(&self.state).await;
                    self.spawn(stream, room);
                }
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection in the background.
    fn spawn(&self, stream: TcpStream, room: Room) {
        let serving = serve(
            Arc::clone(&self.state),
            stream,
            self.client,
            self.rooms.open.add(self.state.clock),
            self.phase.clone(),
        );
        let serving = async move {
            serving.await;
            drop(room);
        };
        match self.client {
            Client::Caller => drop(self.connections.spawn(serving)),
            Client::Inspector => drop(tokio::spawn(serving)),
        }
    }
}

async fn serve(
    state: Arc<State>,
    stream: TcpStream,
    client: Client,
    listed: Listed,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(error) = outbound::configure_socket(&stream, CALLER_TIMEOUT) {
        log::debug!("failed to set socket options for {client:?}: {error}");
        return;
    }
    let limits = state
        .config()
        .map(|config| config.limits)
        .unwrap_or_default();
    // A connection that is accepted during the shutdown serves one request only.
    let is_closing = *phase.borrow() >= Phase::Closing;
    let connection = listed.connection();
    let mut timer = HeadTimer::new(Arc::clone(&state), connection.clone());
    if is_closing {
        timer = timer.with_timeout(CLOSING_HEAD_TIMEOUT);
    }
    let newest = Mutex::new(Newest::default());
    let service =
        service_fn(|request| answer(Arc::clone(&state), request, client, connection, &newest));
    let served = http1::Builder::new()
        .timer(timer.clone())
        .keep_alive(!is_closing)
        .header_read_timeout(HeadTimer::TIMEOUT)
        .max_headers((limits.head_bytes / MIN_HEADER_BYTES).clamp(DEFAULT_HEADERS, MAX_HEADERS))
        .max_buf_size((limits.head_bytes * 2).max(MIN_BUFFER_LIMIT))
        .serve_connection(
            TokioIo::new(Stream::new(stream, connection.clone())),
            service,
        );
    let mut served = pin!(served);
    let mut is_ending = is_closing;
    let mut is_evicted = false;
    let result = loop {
        tokio::select! {
            // Reads a request that has arrived before the connection is closed as idle.
            biased;
            result = served.as_mut() => break result,
            () = connection.evicted(), if !is_evicted => {
                if connection.is_disposable() {
                    return;
                }
                served.as_mut().graceful_shutdown();
                is_evicted = true;
            }
            () = wait_until(&mut phase, Phase::Closing), if !is_ending => {
                served.as_mut().graceful_shutdown();
                is_ending = true;
            }
        }
    };
    if let (Client::Caller, Err(error)) = (client, result) {
        let newest = lock(&newest);
        Event::ConnectionEnded.log(format_args!(
            "newest_id={} answered={} idle_timeout_ms={} error={error}",
            newest.id,
            newest.answered,
            timer.timeout().as_millis()
        ));
    }
}

/// Waits until the server has reached a phase.
async fn wait_until(phase: &mut watch::Receiver<Phase>, reached: Phase) {
    // An error means that the server was dropped, which has the same effect.
    drop(phase.wait_for(|phase| *phase >= reached).await);
}

async fn answer(
    state: Arc<State>,
    request: http::Request<Incoming>,
    client: Client,
    connection: &Connection,
    newest: &Mutex<Newest>,
) -> Result<Response<Body>, Infallible> {
    connection.enter(Use::Working);
    if client == Client::Inspector {
        return Ok(request::inspect(&state, &request));
    }
    let caller = Caller::decode(request.headers());
    *lock(newest) = Newest {
        id: caller.attempt_text().to_owned(),
        answered: false,
    };
    // On the heap, so that idle connections take no memory for it.
    let handling = request::handle(Arc::clone(&state), request, caller, connection);
    let mut response = Box::pin(handling).await;
    lock(newest).answered = true;
    if state.draining().is_some() {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
