//! Gossip with other processes about configuration, membership and suspected
//! requests.
//!
//! [`Service`] holds the state of the process and leaves decisions to
//! [`cicadacrank_core::gossip::Node`]. [`run`] drives it: it syncs with peers
//! over a [`Link`], reads the platform when that is due, and watches the platform
//! if the process is selected as a watcher. [`grpc`] implements the link.

mod codec;
pub mod grpc;
mod restore;
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

/// Why a sync failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("syncing with {address}: {context}")]
pub struct Fault {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Description of the failure.
    pub context: String,
}

/// Interface for syncs with peers.
pub trait Link: Send + Sync + 'static {
    /// Sends a digest to the peer at an address and returns its update.
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, Fault>>;
}
