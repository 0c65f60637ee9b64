//! What a process exchanges with other processes: configuration, membership and
//! suspected requests.
//!
//! [`Service`] holds the process's part, decided by
//! [`cicadacrank_core::gossip::Node`]. [`run`] drives it: it syncs with peers
//! over a [`Link`], reads the platform when that is due, and watches it when
//! the process is one of the chosen. [`grpc`] carries syncs.

mod codec;
pub mod grpc;
mod run;
mod service;
mod watch;

pub use self::{
    run::run,
    service::{Parts, Service, Watching},
};

use cicadacrank_wire::wire;
use futures_util::future::BoxFuture;
use std::net::SocketAddr;

/// Why a sync has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("syncing with {address}: {context}")]
pub struct Fault {
    /// The peer.
    pub address: SocketAddr,
    /// What went wrong.
    pub context: String,
}

/// The way to peers.
pub trait Link: Send + Sync + 'static {
    /// Syncs with the peer at an address.
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, Fault>>;
}
