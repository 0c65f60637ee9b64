//! One request on one connection of its own.
//!
//! An answer can then belong to no other request, and nothing that an endpoint
//! sends beyond it, or late, is ever read. Dropping the [`Exchange`] closes the
//! connection, which makes the other side stop its work.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

/// Longest time for making a connection: three round trips within a region and
/// one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Silence after which the other side is asked for a sign of life.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which unacknowledged bytes end the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    Unconnected(String),
    /// The request may have arrived.
    Lost(String),
}

/// A connection that no request was sent on yet.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortOnDropHandle<()>,
}

/// An answer whose body may still be on its way.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Says why there is no connection.
    pub async fn open(address: SocketAddr) -> Result<Self, String> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| "connecting took too long".to_owned())?
            .map_err(|error| error.to_string())?;
        configure_socket(&stream).map_err(|error| error.to_string())?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Self {
            sender,
            driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Says why there is none; the request may have arrived.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Exchange, String> {
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(|error| error.to_string())?;
        Ok(Exchange {
            response,
            driver: self.driver,
        })
    }
}

impl Exchange {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Says why it is not whole.
    pub async fn collect(self, max_bytes: usize) -> Result<Response<Bytes>, String> {
        let Self { response, driver } = self;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_bytes)
            .collect()
            .await
            .map_err(|error| error.to_string())?;
        drop(driver);
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Connects, sends the request and reads the whole answer within `timeout`.
///
/// # Errors
///
/// Says why there is no whole answer.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let connection = Connection::open(address)
        .await
        .map_err(CallError::Unconnected)?;
    let exchange = async { connection.send(request).await?.collect(max_bytes).await };
    match time::timeout(timeout, exchange).await {
        Ok(answer) => answer.map_err(CallError::Lost),
        Err(_) => Err(CallError::Lost(format!(
            "no answer in {} ms",
            timeout.as_millis()
        ))),
    }
}

/// Makes a connection send small parts at once and notice a silent other side.
///
/// # Errors
///
/// Returns the error of an option that cannot be set.
pub fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
