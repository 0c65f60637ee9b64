//! Assembles and runs a sidecar.

use super::{
    Addresses, Components, bind, print_addresses, run_drain, serve_operator, start_peer,
    wait_for_signal,
};
use crate::{endpoint, link, operator, peer, settings::Role, sidecar};
use cicadacrank_core::event::Event;
use cicadacrank_wire::wire::sidecar_server::SidecarServer;
use miette::{IntoDiagnostic as _, Result};
use std::sync::Arc;
use tokio::{sync::Notify, time};
use tonic::transport::server::TcpIncoming;

/// Runs a sidecar until the process receives a termination signal.
pub(super) async fn run(components: Components) -> Result<()> {
    let connect = components.settings.timeouts.connect();
    let port = endpoint::http::Client::new(connect).into_diagnostic()?;
    let service = Arc::new(sidecar::Service::new(sidecar::Parts {
        settings: components.settings.clone(),
        clock: components.clock,
        holder: Arc::clone(&components.holder),
        store: Arc::clone(&components.store),
        port: Arc::new(port),
        metrics: Arc::clone(&components.metrics),
    }));
    let listener = bind(components.settings.listen)?;
    let listen = listener.local_addr().into_diagnostic()?;
    let source: Arc<dyn operator::Source> = Arc::clone(&service) as _;
    let operator_listen = serve_operator(&components, &source).await?;
    let peer = start_peer(&components, listen, operator_listen, service.suspects());
    print_addresses(&Addresses {
        listen,
        caller_listen: None,
        operator_listen,
    })?;
    let accounts = sidecar::Accounts::new(Arc::clone(&service));
    let accounting = tokio::spawn(accounts.run(components.settings.timeouts.account()));
    let shutdown = Arc::new(Notify::new());
    let shutdown_signal = Arc::clone(&shutdown);
    let server = tonic::transport::Server::builder()
        .add_service(
            SidecarServer::new(sidecar::grpc::Server::new(Arc::clone(&service)))
                .max_decoding_message_size(link::grpc::MAX_MESSAGE_BYTES)
                .max_encoding_message_size(link::grpc::MAX_MESSAGE_BYTES),
        )
        .add_service(peer::grpc::Server::serve(Arc::clone(&peer)))
        .serve_with_incoming_shutdown(
            TcpIncoming::from(listener).with_nodelay(Some(true)),
            async move {
                shutdown_signal.notified().await;
            },
        );
    let server = tokio::spawn(server);
    wait_for_signal().await?;
    Event::Draining.log(format_args!("sidecar {}", components.settings.instance));
    service.leave();
    peer.leave();
    let drain = async {
        time::sleep(components.settings.timeouts.notice()).await;
        service.finish().await;
        accounting.abort();
        sidecar::Accounts::new(Arc::clone(&service)).write().await;
        shutdown.notify_one();
        // The server stops after its last stream has ended.
        drop(server.await);
    };
    run_drain(&components, drain).await;
    Ok(())
}

impl operator::Source for sidecar::Service {
    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }

    fn status(&self) -> operator::Status {
        operator::Status {
            role: Some(Role::Sidecar),
            generation: self.generation(),
            endpoints: self.endpoints(),
        }
    }
}
