//! Puts a process together from its settings and runs it until it is told to
//! stop.

use crate::{
    clock::Clock,
    configuration::{Holder, RULESET_NAME, Ruleset},
    endpoint, entry, link,
    metrics::Metrics,
    operator,
    platform::{self, Collection, Store},
    settings::{Role, Settings},
    sidecar,
};
use cicadacrank_core::event::Event;
use cicadacrank_wire::wire::sidecar_server::SidecarServer;
use miette::{Context as _, IntoDiagnostic as _, Result};
use salvo::{
    Listener as _, Server,
    conn::{Acceptor as _, TcpListener},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::Notify,
    time,
};
use tokio_stream::wrappers::TcpListenerStream;

/// The addresses a process has bound; printed as one line of JSON on the
/// standard output when it is up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// For other processes of the system.
    pub listen: SocketAddr,
    /// For callers, at an entry.
    pub caller_listen: Option<SocketAddr>,
    /// For operators.
    pub operator_listen: SocketAddr,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Role of the process on it.
    pub role: Role,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Endpoints behind it.
    #[serde(default)]
    pub endpoints: Vec<String>,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

struct Common {
    settings: Settings,
    clock: Clock,
    holder: Arc<Holder>,
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
}

/// Runs a daemon until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns a report if an address cannot be bound.
pub async fn run(settings: Settings) -> Result<()> {
    let timeout = settings.timeouts.platform();
    let store = platform::http::Client::new(settings.platform, timeout).into_diagnostic()?;
    let common = Common {
        clock: Clock::new(),
        holder: Arc::new(Holder::new()),
        store: Arc::new(store),
        metrics: Arc::new(Metrics::new()),
        settings,
    };
    tokio::spawn(follow(
        Arc::clone(&common.holder),
        Arc::clone(&common.store),
        common.settings.timeouts.refresh(),
    ));
    match common.settings.role {
        Role::Entry => run_entry(common).await,
        Role::Sidecar => run_sidecar(common).await,
    }
}

/// Keeps the newest ruleset of the platform in force.
async fn follow(holder: Arc<Holder>, store: Arc<dyn Store>, pause: Duration) {
    loop {
        match store.get(Collection::Rulesets, RULESET_NAME).await {
            Ok(object) => match serde_json::from_value::<Ruleset>(object.spec) {
                Ok(ruleset) => {
                    holder.offer(ruleset);
                }
                Err(error) => Event::GenerationRejected.log(format_args!("{error}")),
            },
            Err(fault) => Event::PlatformFailed.log(format_args!("reading the rules: {fault}")),
        }
        time::sleep(pause).await;
    }
}

/// Keeps an entry's table at the platform's instance list and the rules.
async fn refresh(service: Arc<entry::Service>, store: Arc<dyn Store>, pause: Duration) {
    loop {
        match store.list(Collection::Instances).await {
            Ok(listing) => {
                let instances = listing.objects.into_iter();
                let instances: Vec<Instance> = instances
                    .filter_map(|object| serde_json::from_value(object.spec).ok())
                    .collect();
                take_up(&service, &instances);
            }
            Err(fault) => Event::PlatformFailed.log(format_args!("listing instances: {fault}")),
        }
        time::sleep(pause).await;
    }
}

fn take_up(service: &entry::Service, instances: &[Instance]) {
    let Some(configuration) = service.parts().holder.current() else {
        return;
    };
    let book = &configuration.book;
    let mut table = service.table();
    let mut seen: Vec<&str> = Vec::new();
    for instance in instances.iter().filter(|instance| !instance.leaving) {
        for name in &instance.endpoints {
            let Some(key) = book.endpoint(name).filter(|key| !book.is_taken_out(*key)) else {
                continue;
            };
            let pool = &book[book[key].pool].name;
            let data_centre = &book[book[key].data_centre].name;
            table.insert(name, pool, data_centre, instance.address);
            seen.push(name);
        }
    }
    seen.sort_unstable();
    table.retain(|endpoint| seen.binary_search(&endpoint).is_ok());
}

async fn run_sidecar(common: Common) -> Result<()> {
    let connect = common.settings.timeouts.connect();
    let port = endpoint::http::Client::new(connect).into_diagnostic()?;
    let service = Arc::new(sidecar::Service::new(sidecar::Parts {
        settings: common.settings.clone(),
        clock: common.clock,
        holder: Arc::clone(&common.holder),
        store: Arc::clone(&common.store),
        port: Arc::new(port),
        metrics: Arc::clone(&common.metrics),
    }));
    let listener = bind(common.settings.listen).await?;
    let listen = listener.local_addr().into_diagnostic()?;
    let source: Arc<dyn operator::Source> = Arc::clone(&service) as _;
    let operator_listen = serve_operator(&common, &source).await?;
    announce(&Addresses { listen, caller_listen: None, operator_listen })?;
    let stop = Arc::new(Notify::new());
    let stopped = Arc::clone(&stop);
    let server = tonic::transport::Server::builder()
        .add_service(
            SidecarServer::new(sidecar::grpc::Server::new(Arc::clone(&service)))
                .max_decoding_message_size(link::grpc::MESSAGE_BYTES)
                .max_encoding_message_size(link::grpc::MESSAGE_BYTES),
        )
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async move {
            stopped.notified().await;
        });
    let server = tokio::spawn(server);
    wait_for_signal().await?;
    Event::Draining.log(format_args!("sidecar {}", common.settings.instance));
    service.leave();
    let drain = async {
        time::sleep(common.settings.timeouts.notice()).await;
        service.finish().await;
        stop.notify_one();
        // The server ends once its last stream is through.
        drop(server.await);
    };
    finish(&common, drain).await;
    Ok(())
}

async fn run_entry(common: Common) -> Result<()> {
    let connect = common.settings.timeouts.connect();
    let service = Arc::new(entry::Service::new(entry::Parts {
        settings: common.settings.clone(),
        clock: common.clock,
        holder: Arc::clone(&common.holder),
        link: Arc::new(link::grpc::Client::new(connect)),
        metrics: Arc::clone(&common.metrics),
    }));
    let pause = common.settings.timeouts.refresh();
    tokio::spawn(refresh(Arc::clone(&service), Arc::clone(&common.store), pause));
    let peer_listener = bind(common.settings.listen).await?;
    let listen = peer_listener.local_addr().into_diagnostic()?;
    let address = common.settings.caller_listen.unwrap_or(common.settings.listen);
    let acceptor = TcpListener::new(address).try_bind().await.into_diagnostic()?;
    let caller_listen = address_of(&acceptor);
    let source: Arc<dyn operator::Source> = Arc::clone(&service) as _;
    let operator_listen = serve_operator(&common, &source).await?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let server = tokio::spawn(server.serve(entry::http::router(Arc::clone(&service))));
    announce(&Addresses { listen, caller_listen, operator_listen })?;
    wait_for_signal().await?;
    Event::Draining.log(format_args!("entry {}", common.settings.instance));
    service.drain();
    let drain = async {
        time::sleep(common.settings.timeouts.notice()).await;
        handle.stop_graceful(None);
        drop(server.await);
        service.finish().await;
    };
    finish(&common, drain).await;
    Ok(())
}

/// Waits for the end of a shutdown, no longer than its bound.
async fn finish(common: &Common, drain: impl Future<Output = ()>) {
    let bound = common.settings.timeouts.drain();
    if time::timeout(bound, drain).await.is_err() {
        Event::DrainExpired.log(format_args!("after {} ms", bound.as_millis()));
    }
    Event::Stopped.log(format_args!("{}", common.settings.instance));
}

async fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("binding {address}"))
}

async fn serve_operator(common: &Common, source: &Arc<dyn operator::Source>) -> Result<SocketAddr> {
    let address = common.settings.operator_listen;
    let acceptor = TcpListener::new(address).try_bind().await.into_diagnostic()?;
    let bound = address_of(&acceptor).unwrap_or(address);
    let router = operator::router(source, &common.metrics);
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(bound)
}

fn address_of(acceptor: &impl salvo::conn::Acceptor) -> Option<SocketAddr> {
    acceptor.holdings().first()?.local_addr.clone().into_std()
}

fn announce(addresses: &Addresses) -> Result<()> {
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

impl operator::Source for sidecar::Service {
    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }

    fn status(&self) -> Value {
        json!({ "role": "sidecar", "generation": self.generation() })
    }
}

impl operator::Source for entry::Service {
    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }

    fn status(&self) -> Value {
        json!({ "role": "entry", "generation": self.parts().holder.generation() })
    }
}
