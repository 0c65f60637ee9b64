//! Link to sidecars over gRPC.
//!
//! All jobs for a sidecar share one HTTP/2 connection. Keepalive pings detect a
//! connection that no longer responds. It is dropped, and the next job opens a
//! new one.

use super::{Fault, Frames, Link};
use cicadacrank_core::error::Kind;
use cicadacrank_wire::wire::{self, sidecar_client::SidecarClient};
use futures_util::{FutureExt as _, StreamExt as _, future::BoxFuture};
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tonic::transport::{Channel, Endpoint};

/// Time between two keepalive pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an unanswered keepalive ping closes the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest gRPC message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

#[derive(Clone, Debug)]
struct Connection {
    address: SocketAddr,
    channel: Channel,
}

/// gRPC client of sidecars, with one connection to each.
#[derive(Debug)]
pub struct Client {
    connect_timeout: Duration,
    connections: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client that abandons a connection attempt after
    /// `connect_timeout`.
    #[must_use]
    pub const fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            connections: Mutex::new(Vec::new()),
        }
    }

    /// Returns the connection to an address and opens it if there is none.
    ///
    /// # Errors
    ///
    /// Returns a fault of [`Kind::Unreachable`] if the connection cannot be made.
    pub async fn channel(&self, address: SocketAddr) -> Result<Channel, Fault> {
        if let Some(channel) = self.find(address) {
            return Ok(channel);
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| connect_failed(address, &error))?
            .connect_timeout(self.connect_timeout)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        let channel = endpoint
            .connect()
            .await
            .map_err(|error| connect_failed(address, &error))?;
        self.insert(Connection {
            address,
            channel: channel.clone(),
        });
        Ok(channel)
    }

    fn find(&self, address: SocketAddr) -> Option<Channel> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = connections
            .binary_search_by_key(&address, |connection| connection.address)
            .ok()?;
        Some(connections[index].channel.clone())
    }

    fn insert(&self, connection: Connection) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match connections.binary_search_by_key(&connection.address, |connection| connection.address)
        {
            Ok(index) => connections[index] = connection,
            Err(index) => connections.insert(index, connection),
        }
    }

    async fn send(&self, address: SocketAddr, job: wire::Job) -> Result<Frames, Fault> {
        let channel = self.channel(address).await?;
        let mut client = SidecarClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let frames = client
            .run(job)
            .await
            .map_err(|status| call_failed(&status))?
            .into_inner();
        Ok(frames
            .map(|frame| frame.map_err(|status| call_failed(&status)))
            .boxed())
    }
}

impl Link for Client {
    fn run(&self, address: SocketAddr, job: wire::Job) -> BoxFuture<'_, Result<Frames, Fault>> {
        self.send(address, job).boxed()
    }

    fn reset(&self, address: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| connection.address != address);
    }
}

fn connect_failed(address: SocketAddr, error: &dyn std::error::Error) -> Fault {
    let context = format!("connecting to {address}: {error}");
    Fault {
        kind: Kind::Unreachable,
        connected: false,
        context,
    }
}

fn call_failed(status: &tonic::Status) -> Fault {
    let context = format!("running a job: {status}");
    Fault {
        kind: Kind::Unreachable,
        connected: true,
        context,
    }
}
