//! Endpoints: model engines and plain services.
//!
//! [`Port`] is the edge; [`http::Client`] speaks the usual HTTP protocols.

pub mod http;

use bytes::Bytes;
use cicadacrank_core::{admission::Health, error::Kind, rules::Service};
use futures_util::{future::BoxFuture, stream::BoxStream};
use std::{net::SocketAddr, time::Duration};

/// One call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// Protocol to speak.
    pub service: Service,
    /// Path at a plain service.
    pub path: String,
    /// Attempt, passed on for the endpoint's own log.
    pub attempt: String,
    /// Idempotency key, passed on; empty when there is none.
    pub key: String,
    /// Body, as JSON.
    pub input: Bytes,
    /// Most bytes of output.
    pub output_limit: u64,
    /// Whether the call may go over a connection that was used before.
    pub reuse_connection: bool,
    /// Longest wait for the next part of the answer.
    pub progress_timeout: Duration,
}

/// Why a call has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Fault {
    /// Kind from the closed list.
    pub kind: Kind,
    /// Whether there was a connection, over which bytes may have gone.
    pub connected: bool,
    /// Whether the endpoint gave a whole answer that refuses the work.
    pub refused: bool,
    /// What was being done.
    pub context: String,
}

impl Fault {
    /// Creates a fault of a call that had a connection.
    pub fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            connected: true,
            refused: false,
            context: context.into(),
        }
    }
}

/// The parts of an answer in order; it is whole if the stream ends without a
/// fault.
pub type Parts = BoxStream<'static, Result<Bytes, Fault>>;

/// The way to an endpoint.
pub trait Port: Send + Sync + 'static {
    /// Makes one call and returns the parts of its answer.
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Parts, Fault>>;

    /// Returns whether the endpoint refuses connections now: after a cut during
    /// a run, the sign that it crashed.
    fn is_refusing(&self, address: SocketAddr) -> BoxFuture<'_, bool>;

    /// Returns what the endpoint reports of itself; `None` if it does not.
    fn health(&self, address: SocketAddr) -> BoxFuture<'_, Option<Health>>;
}
