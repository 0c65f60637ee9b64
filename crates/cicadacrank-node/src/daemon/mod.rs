//! Assembles a process from its settings and runs it until it receives a
//! termination signal.

mod entry;
mod sidecar;

use crate::{
    clock::{self, Clock},
    configuration::Holder,
    membership,
    metrics::Metrics,
    operator, peer,
    platform::{self, Store},
    quarantine::Suspects,
    settings::{Role, Settings},
};
use cicadacrank_core::event::Event;
use miette::{Context as _, IntoDiagnostic as _, Result};
use salvo::{Listener as _, Server, conn::TcpListener};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpSocket,
    signal::unix::{SignalKind, signal},
    time,
};

/// Timeout of a sync with a peer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Addresses that a process has bound. They are printed to standard output as one
/// line of JSON after startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Address for other processes of the system.
    pub listen: SocketAddr,
    /// Address for callers; present only at an entry.
    pub caller_listen: Option<SocketAddr>,
    /// Address for operators.
    pub operator_listen: SocketAddr,
}

/// Components that both roles use.
struct Components {
    settings: Settings,
    clock: Clock,
    holder: Arc<Holder>,
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
}

/// Runs a daemon until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns a report if the startup fails, for example because an address cannot be
/// bound.
pub async fn run(settings: Settings) -> Result<()> {
    let timeout = settings.timeouts.platform();
    let store = platform::Client::new(settings.platform, timeout);
    let components = Components {
        clock: Clock::new(),
        holder: Arc::new(Holder::new()),
        store: Arc::new(store),
        metrics: Arc::new(Metrics::new()),
        settings,
    };
    match components.settings.role {
        Role::Entry => entry::run(components).await,
        Role::Sidecar => sidecar::run(components).await,
    }
}

/// Creates the service that exchanges state with peers, and spawns its task.
fn start_peer(
    components: &Components,
    listen: SocketAddr,
    operator_listen: SocketAddr,
    suspects: &Arc<Suspects>,
) -> Arc<peer::Service> {
    let settings = &components.settings;
    let bytes = components.metrics.peer_bytes.clone();
    let link = peer::grpc::Client::new(SYNC_TIMEOUT, bytes);
    let service = Arc::new(peer::Service::new(peer::Parts {
        local: membership::local_member(settings, clock::unix_ms(), listen, operator_listen),
        seeds: settings.peers.clone(),
        sync_interval: settings.timeouts.refresh(),
        watching: peer::Watching::Chosen,
        clock: components.clock,
        holder: Arc::clone(&components.holder),
        store: Arc::clone(&components.store),
        link: Arc::new(link),
        suspects: Arc::clone(suspects),
        metrics: Arc::clone(&components.metrics),
    }));
    tokio::spawn(peer::run(Arc::clone(&service)));
    service
}

/// Runs the shutdown until it is complete or its time limit has passed.
async fn run_drain(components: &Components, drain: impl Future<Output = ()>) {
    let timeout = components.settings.timeouts.drain();
    if time::timeout(timeout, drain).await.is_err() {
        Event::DrainExpired.log(format_args!("after {} ms", timeout.as_millis()));
    }
    Event::Stopped.log(format_args!("{}", components.settings.instance));
}

/// Binds a listener with `TCP_NODELAY`, so that small writes are sent without
/// delay. Accepted connections inherit the option.
pub(crate) fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen()
        .into_diagnostic()
        .wrap_err_with(|| format!("binding {address}"))
}

async fn serve_operator(
    components: &Components,
    source: &Arc<dyn operator::Source>,
) -> Result<SocketAddr> {
    let address = components.settings.operator_listen;
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .into_diagnostic()?;
    let local = local_address(&acceptor).unwrap_or(address);
    let router = operator::router(source, &components.metrics);
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(local)
}

fn local_address(acceptor: &impl salvo::conn::Acceptor) -> Option<SocketAddr> {
    acceptor.holdings().first()?.local_addr.clone().into_std()
}

fn print_addresses(addresses: &Addresses) -> Result<()> {
    let line = serde_json::to_string(addresses).into_diagnostic()?;
    println!("{line}");
    Event::Started.log(format_args!("{line}"));
    Ok(())
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
