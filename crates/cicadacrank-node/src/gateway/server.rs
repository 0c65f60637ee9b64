//! Accepts connections from callers, load balancers and metrics scrapers.

use super::{reply::Body, request, state::State};
use crate::{daemon, outbound, sync::lock};
use cicadacrank_core::event::Event;
use http::{HeaderValue, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use miette::Result;
use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use tokio_util::task::TaskTracker;

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time added to the idle timeout of a connection, so that the caller closes it
/// first. The caller measures the timeout from an earlier point in time.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of connections from load balancers or metrics scrapers at one
/// address. It is separate from the limit for callers, so that callers cannot use
/// up these connections.
const MAX_INSPECTOR_CONNECTIONS: usize = 32;

/// Lower bound for the number of bytes that are buffered from one connection
/// before they are parsed.
const MIN_BUFFER_LIMIT: usize = 64 * 1024;

/// The listeners of a gateway.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    listeners: Vec<(TcpListener, Client)>,
    closing: watch::Sender<bool>,
    /// Open connections from callers.
    connections: TaskTracker,
}

/// The newest request on a connection.
#[derive(Debug, Default)]
struct Newest {
    id: String,
    answered: bool,
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
        let (closing, _) = watch::channel(false);
        Ok(Self {
            listeners,
            state: Arc::clone(state),
            closing,
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
            let sockets = match client {
                Client::Caller => self.state.settings.sockets / 2,
                Client::Inspector => MAX_INSPECTOR_CONNECTIONS,
            };
            tokio::spawn(accept(
                Arc::clone(&self.state),
                listener,
                client,
                Arc::new(Semaphore::new(sockets)),
                self.closing.subscribe(),
                self.connections.clone(),
            ));
        }
    }

    /// Closes idle connections and waits until no request is in flight.
    pub async fn finish(&self) {
        self.closing.send_replace(true);
        loop {
            let drained = self.state.drained.notified();
            if self.state.in_flight() == 0 {
                return;
            }
            drained.await;
        }
    }
}

async fn accept(
    state: Arc<State>,
    listener: TcpListener,
    client: Client,
    sockets: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
    connections: TaskTracker,
) {
    loop {
        let Ok(permit) = Arc::clone(&sockets).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(Arc::clone(&state), stream, client, closing.clone());
                let serving = async move {
                    serving.await;
                    drop(permit);
                };
                match client {
                    Client::Caller => drop(connections.spawn(serving)),
                    Client::Inspector => drop(tokio::spawn(serving)),
                }
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(
    state: Arc<State>,
    stream: TcpStream,
    client: Client,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = outbound::configure_socket(&stream) {
        log::debug!("failed to set socket options for {client:?}: {error}");
        return;
    }
    let limits = state
        .config()
        .map(|config| config.limits)
        .unwrap_or_default();
    // A connection that is accepted during the shutdown serves one request only.
    let is_closing = *closing.borrow();
    let newest = Mutex::new(Newest::default());
    let service = service_fn(|request| answer(Arc::clone(&state), request, client, &newest));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_closing)
        .header_read_timeout(limits.idle + IDLE_TIMEOUT_MARGIN)
        .max_buf_size((limits.head_bytes * 2).max(MIN_BUFFER_LIMIT))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_until_closing(&mut closing), if !is_closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let (Client::Caller, Err(error)) = (client, result) {
        let newest = lock(&newest);
        Event::ConnectionEnded.log(format_args!(
            "newest_id={} answered={} idle_timeout_ms={} error={error}",
            newest.id,
            newest.answered,
            limits.idle.as_millis()
        ));
    }
}

/// Waits until the server closes idle connections.
async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which has the same effect.
    drop(closing.wait_for(|closing| *closing).await);
}

async fn answer(
    state: Arc<State>,
    request: http::Request<Incoming>,
    client: Client,
    newest: &Mutex<Newest>,
) -> Result<Response<Body>, Infallible> {
    if client == Client::Inspector {
        return Ok(request::inspect(&state, &request));
    }
    *lock(newest) = Newest {
        id: request::attempt_id(&request),
        answered: false,
    };
    let mut response = request::handle(Arc::clone(&state), request).await;
    lock(newest).answered = true;
    if state.draining().is_some() {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
