//! Assembles and runs an entry.

use super::{
    Addresses, Components, bind, local_address, print_addresses, run_drain, serve_operator,
    start_peer, wait_for_signal,
};
use crate::{entry, link, membership, operator, peer, settings::Role};
use cicadacrank_core::event::Event;
use miette::{IntoDiagnostic as _, Result};
use salvo::{Server, conn::tcp::TcpAcceptor, fuse::FuseConfig};
use std::{sync::Arc, time::Duration};
use tokio::time;
use tonic::transport::server::TcpIncoming;

/// Maximum number of connections from callers.
const MAX_CONNECTIONS: usize = 1_024;

/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum time between two parts of a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for which a caller takes nothing of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs an entry until the process receives a termination signal.
pub(super) async fn run(components: Components) -> Result<()> {
    let connect = components.settings.timeouts.connect();
    let service = Arc::new(entry::Service::new(entry::Parts {
        settings: components.settings.clone(),
        clock: components.clock,
        holder: Arc::clone(&components.holder),
        link: Arc::new(link::grpc::Client::new(connect)),
        metrics: Arc::clone(&components.metrics),
    }));
    let peer_listener = bind(components.settings.listen)?;
    let listen = peer_listener.local_addr().into_diagnostic()?;
    let address = components
        .settings
        .caller_listen
        .unwrap_or(components.settings.listen);
    let acceptor = TcpAcceptor::try_from(bind(address)?).into_diagnostic()?;
    let caller_listen = local_address(&acceptor);
    let source: Arc<dyn operator::Source> = Arc::clone(&service) as _;
    let operator_listen = serve_operator(&components, &source).await?;
    let peer = start_peer(&components, listen, operator_listen, service.suspects());
    tokio::spawn(membership::refresh(Arc::clone(&service), Arc::clone(&peer)));
    let peer_server = tonic::transport::Server::builder()
        .add_service(peer::grpc::Server::serve(Arc::clone(&peer)))
        .serve_with_incoming(TcpIncoming::from(peer_listener).with_nodelay(Some(true)));
    tokio::spawn(peer_server);
    let mut server = Server::new(acceptor)
        .max_connections(MAX_CONNECTIONS)
        .fuse_config(
            FuseConfig::default()
                .with_request_body_timeout(BODY_TIMEOUT)
                .with_write_stall_timeout(WRITE_TIMEOUT),
        );
    server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
    let handle = server.handle();
    let server = tokio::spawn(server.serve(entry::http::api(Arc::clone(&service))));
    print_addresses(&Addresses {
        listen,
        caller_listen,
        operator_listen,
    })?;
    wait_for_signal().await?;
    Event::Draining.log(format_args!("entry {}", components.settings.instance));
    service.drain();
    peer.leave();
    let drain = async {
        time::sleep(components.settings.timeouts.notice()).await;
        handle.stop_graceful(None);
        drop(server.await);
        service.finish().await;
    };
    run_drain(&components, drain).await;
    Ok(())
}

impl operator::Source for entry::Service {
    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }

    fn status(&self) -> operator::Status {
        operator::Status {
            role: Some(Role::Entry),
            generation: self.parts().holder.generation(),
            endpoints: Vec::new(),
        }
    }
}
