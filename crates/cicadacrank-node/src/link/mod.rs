//! The link from an entry to a sidecar.
//!
//! [`Link`] is the edge; [`grpc::Client`] carries jobs over gRPC.

pub mod grpc;

use cicadacrank_core::error::Kind;
use cicadacrank_wire::wire;
use futures_util::{future::BoxFuture, stream::BoxStream};
use std::net::SocketAddr;

/// Why a link failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Fault {
    /// Kind from the closed list.
    pub kind: Kind,
    /// Whether there was a connection, over which the job may have gone.
    pub connected: bool,
    /// What was being done.
    pub context: String,
}

/// Frames as they arrive.
pub type Frames = BoxStream<'static, Result<wire::Frame, Fault>>;

/// The way to a sidecar.
pub trait Link: Send + Sync + 'static {
    /// Sends a job and returns the frames of its answer.
    fn run(&self, address: SocketAddr, job: wire::Job) -> BoxFuture<'_, Result<Frames, Fault>>;

    /// Gives up the connection to a sidecar, so that new work makes a new one.
    fn reset(&self, address: SocketAddr);
}
