//! The link from an entry to a sidecar.
//!
//! [`Link`] is the interface, and [`grpc::Client`] implements it over gRPC.

pub mod grpc;

use cicadacrank_core::error::Kind;
use cicadacrank_wire::wire;
use futures_util::{future::BoxFuture, stream::BoxStream};
use std::net::SocketAddr;

/// Why a job failed on the link.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Fault {
    /// Kind of the failure.
    pub kind: Kind,
    /// Whether a connection was made, so that the job may have been sent.
    pub connected: bool,
    /// Description of the failure.
    pub context: String,
}

/// Stream of frames, in order of arrival.
pub type Frames = BoxStream<'static, Result<wire::Frame, Fault>>;

/// Interface for running jobs on sidecars.
pub trait Link: Send + Sync + 'static {
    /// Sends a job and returns the frames of the response.
    fn run(&self, address: SocketAddr, job: wire::Job) -> BoxFuture<'_, Result<Frames, Fault>>;

    /// Drops the connection to a sidecar, so that the next job opens a new one.
    fn reset(&self, address: SocketAddr);
}
