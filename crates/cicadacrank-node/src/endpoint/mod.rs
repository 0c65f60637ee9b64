//! Calls to endpoints, which are model engines and plain services.
//!
//! [`Port`] is the interface, and [`http::Client`] implements it over HTTP.

pub mod http;

use bytes::Bytes;
use cicadacrank_core::{admission::Health, error::Kind, rules::Service};
use futures_util::{future::BoxFuture, stream::BoxStream};
use std::{net::SocketAddr, time::Duration};

/// One call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Service to call, which determines the protocol.
    pub service: Service,
    /// Request path, used only for a plain service.
    pub path: String,
    /// Id of the attempt, sent for the endpoint's own log.
    pub attempt: String,
    /// Idempotency key sent to the endpoint, or empty if there is none.
    pub key: String,
    /// Request body, as JSON.
    pub input: Bytes,
    /// Largest output that is accepted, in bytes.
    pub output_limit: u64,
    /// Longest wait for the next part of the response.
    pub progress_timeout: Duration,
}

/// Why a call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Fault {
    /// Kind of the failure.
    pub kind: Kind,
    /// Whether a connection was made, so that bytes may have been sent.
    pub connected: bool,
    /// Whether the endpoint refused the work in a complete response.
    pub refused: bool,
    /// Description of the failure.
    pub context: String,
}

impl Fault {
    /// Creates a fault of a call for which a connection was made.
    pub fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            connected: true,
            refused: false,
            context: context.into(),
        }
    }
}

/// The parts of a response in order. The response is complete if the stream
/// ends without a fault.
pub type Parts = BoxStream<'static, Result<Bytes, Fault>>;

/// Interface for calling endpoints.
pub trait Port: Send + Sync + 'static {
    /// Makes one call and returns the parts of its response.
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Parts, Fault>>;

    /// Returns whether the endpoint refuses connections now. If its connection
    /// broke during a run, this shows that it crashed.
    fn is_refusing(&self, address: SocketAddr) -> BoxFuture<'_, bool>;

    /// Returns the health report of the endpoint, or `None` if it gives none.
    fn health(&self, address: SocketAddr) -> BoxFuture<'_, Option<Health>>;
}
