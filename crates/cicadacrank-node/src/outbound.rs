//! HTTP client that opens a new connection for each request.
//!
//! A response can therefore belong to no other request, and nothing that an
//! endpoint sends late or after its response is ever read. Dropping the
//! [`Exchange`] closes the connection, which makes the other side stop its work.

mod socket;

use self::socket::{Progress, Socket, Upload};
use crate::memory::Memory;
use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{fmt, io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

/// Maximum time for opening a connection, which allows for three round trips
/// within a region and one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time before the first TCP keepalive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a connection to an endpoint, gateway or store with unacknowledged
/// data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Reason why a call has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was opened, so nothing was sent.
    Unconnected(String),
    /// The request may have reached the other side.
    Lost(String),
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

impl fmt::Display for Framing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}

/// An open connection on which no request is under way.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Upload>,
    driver: AbortOnDropHandle<()>,
    progress: Progress,
}

/// A response whose body may not have arrived yet.
#[derive(Debug)]
pub struct Exchange {
    /// The response; its body is still to be read.
    pub response: Response<Incoming>,
    driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or times out.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        configure_socket(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        let progress = Progress::default();
        let socket = Socket::new(stream, progress.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Self {
            sender,
            driver: AbortOnDropHandle::new(driver),
            progress,
        })
    }

    /// Sends a request, reads the whole response, and keeps the connection for a further
    /// request.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no response of at most `max_bytes`.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, String> {
        let request = request.map(|body| self.progress.begin(body));
        let response = self.sender.send_request(request).await;
        let (head, mut body) = response.map_err(|error| error.to_string())?.into_parts();
        self.progress.record_head();
        // One buffer, since parts of a body may be small.
        let memory = Memory::new(max_bytes as u64 * 2);
        let body = memory.buffer().read(&mut body, max_bytes).await;
        let body = body.map_err(|fault| fault.to_string())?;
        self.progress.end();
        Ok(Response::from_parts(head, body))
    }

    /// Waits until the connection takes a further request. Returns whether it does.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns a message if no response arrives. The request may have reached the
    /// other side.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Exchange, String> {
        let request = request.map(|body| self.progress.begin(body));
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(|error| error.to_string())?;
        self.progress.record_head();
        Ok(Exchange {
            response,
            driver: self.driver,
        })
    }
}

impl Exchange {
    /// Returns how the end of the body is marked.
    #[must_use]
    pub fn framing(&self) -> Framing {
        let headers = self.response.headers();
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Closes the connection, after which no more of the response arrives.
    pub fn close(&self) {
        self.driver.abort();
    }

    /// Reads the whole body of the response into `memory`, which it holds until it is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns a message if the body is incomplete or larger than `max_bytes`, or if no
    /// memory is left for it.
    pub async fn collect(
        self,
        max_bytes: usize,
        memory: &Memory,
    ) -> Result<Response<Bytes>, String> {
        let Self { response, driver } = self;
        let (head, mut body) = response.into_parts();
        let read = memory.buffer().read(&mut body, max_bytes).await;
        let bytes = read.map_err(|fault| fault.to_string())?;
        drop(driver);
        Ok(Response::from_parts(head, bytes))
    }
}

/// Returns whether the port at an address refuses connections, so that no process
/// listens there.
pub async fn is_refusing(address: SocketAddr, timeout: Duration) -> bool {
    let connect = time::timeout(timeout, TcpStream::connect(address)).await;
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connect.is_ok_and(|result| result.is_err_and(|error| refused(&error)))
}

/// Connects, sends a request and reads the whole response. `timeout` starts after
/// connecting.
///
/// # Errors
///
/// Returns an error if no connection is made or no complete response arrives.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let connection = Connection::open(address)
        .await
        .map_err(|error| CallError::Unconnected(error.to_string()))?;
    let memory = Memory::new(max_bytes as u64 * 2);
    let exchange = async {
        let exchange = connection.send(request).await?;
        exchange.collect(max_bytes, &memory).await
    };
    match time::timeout(timeout, exchange).await {
        Ok(answer) => answer.map_err(CallError::Lost),
        Err(_) => Err(CallError::Lost(format!(
            "no response within {} ms",
            timeout.as_millis()
        ))),
    }
}

/// Configures a socket to send small writes without delay, and to close the connection
/// when the peer acknowledges nothing, or takes no data, for `timeout`.
///
/// # Errors
///
/// Returns an error if a socket option cannot be set.
pub fn configure_socket(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}
