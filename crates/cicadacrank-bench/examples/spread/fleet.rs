//! Runs the peer services of many nodes in one process.

use super::{
    cost::{self, Totals},
    rules,
};
use cicadacrank_bench::platform::{self, Faults};
use cicadacrank_core::membership::{Member, Role, State};
use cicadacrank_node::{
    clock::{self, Clock},
    configuration::{Holder, RULESET_NAME, Ruleset},
    membership::Instance,
    metrics::Metrics,
    peer::{self, Fault, Link},
    platform::{Client, Collection},
    quarantine::Suspects,
    settings,
};
use cicadacrank_wire::wire;
use futures_util::{FutureExt as _, future::BoxFuture};
use std::{
    future, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    task::JoinSet,
    time::{self, Instant},
};
use tokio_stream::wrappers::TcpListenerStream;

/// Number of data centres of a fleet.
const DATA_CENTRES: usize = 8;

/// Number of endpoints in the rules.
const ENDPOINTS: usize = 840;
/// Number of teams in the rules.
const TEAMS: usize = 1200;

/// One in this many syncs is lost under [`Trouble::Loss`].
const LOST_ONE_IN: u64 = 5;

/// One in this many nodes is paused under [`Trouble::Paused`].
const PAUSED_ONE_IN: usize = 10;

/// Length of a pause.
const PAUSE_TIME: Duration = Duration::from_secs(3);

/// Timeout of a sync and of a call to the platform.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Fault injected while a change is distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No fault.
    None,
    /// One in five syncs is lost.
    Loss,
    /// All nodes that watch the platform stop just before the change.
    Watchers,
    /// Watches deliver no changes.
    Mute,
    /// The platform fails as soon as one node has read the change.
    Outage,
    /// One in ten nodes is paused for the first 3 s.
    Paused,
}

impl Trouble {
    /// All faults.
    pub const FAULTS: [Self; 5] = [
        Self::Loss,
        Self::Watchers,
        Self::Mute,
        Self::Outage,
        Self::Paused,
    ];

    /// Returns the name used in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Loss => "lost messages",
            Self::Watchers => "killed watchers",
            Self::Mute => "mute watches",
            Self::Outage => "platform outage",
            Self::Paused => "paused nodes",
        }
    }
}

/// State shared by all links between peers.
#[derive(Debug, Default)]
struct LinkState {
    drops_syncs: AtomicBool,
    syncs: AtomicU64,
}

struct LossyLink {
    inner: peer::grpc::Client,
    link_state: Arc<LinkState>,
}

impl Link for LossyLink {
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, Fault>> {
        self.link_state.syncs.fetch_add(1, Ordering::Relaxed);
        let lost = self.link_state.drops_syncs.load(Ordering::Relaxed)
            && rand::random::<u64>().is_multiple_of(LOST_ONE_IN);
        async move {
            if lost {
                time::sleep(TIMEOUT).await;
                let context = "lost".to_owned();
                return Err(Fault { address, context });
            }
            self.inner.sync(address, digest).await
        }
        .boxed()
    }
}

/// Peer service of one node.
struct Slice {
    name: String,
    holder: Arc<Holder>,
    metrics: Arc<Metrics>,
    service: Arc<peer::Service>,
    runtime: Option<Handle>,
    tasks: JoinSet<()>,
}

/// Starts a runtime on its own thread, which runs until the program ends.
fn runtime() -> io::Result<Handle> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    thread::spawn(move || runtime.block_on(future::pending::<()>()));
    Ok(handle)
}

/// The nodes of a fleet and their platform.
pub struct Fleet {
    platform: platform::Server,
    slices: Vec<Slice>,
    link_state: Arc<LinkState>,
    everyone: bool,
    generation: u64,
    changed: Instant,
    stopped_totals: Totals,
}

impl Fleet {
    /// Starts a fleet of `nodes` nodes. If `everyone` is set, all of them watch
    /// the platform; if `pausing` is set, some of them can be paused.
    pub async fn start(nodes: usize, everyone: bool, pausing: bool) -> io::Result<Self> {
        let mut fleet = Self {
            platform: platform::Server::start().await?,
            slices: Vec::new(),
            link_state: Arc::default(),
            everyone,
            generation: 0,
            changed: Instant::now(),
            stopped_totals: Totals {
                bytes: 0.0,
                syncs: 0.0,
                calls: 0.0,
                cpu: 0.0,
            },
        };
        fleet.change_rules();
        for index in 0..nodes {
            let runtime = (pausing && index % PAUSED_ONE_IN == 0)
                .then(runtime)
                .transpose()?;
            let slice = fleet.slice(index, runtime).await?;
            fleet.slices.push(slice);
        }
        Ok(fleet)
    }

    async fn slice(&self, index: usize, runtime: Option<Handle>) -> io::Result<Slice> {
        let handle = runtime.clone().unwrap_or_else(Handle::current);
        let listener = handle.spawn(TcpListener::bind("127.0.0.1:0")).await??;
        let address = listener.local_addr()?;
        let name = format!("sidecar-{index:04}");
        let data_centre = format!("dc-{}", index % DATA_CENTRES);
        let endpoints = vec![format!("endpoint-{index}")];
        let instance = Instance {
            role: settings::Role::Sidecar,
            data_centre: data_centre.clone(),
            address,
            operator_address: address,
            endpoints: endpoints.clone(),
            leaving: false,
        };
        self.platform.set_instance(&name, &instance);
        let metrics = Arc::new(Metrics::new());
        let holder = Arc::new(Holder::new());
        let store = Client::new(self.platform.address, TIMEOUT);
        let service = Arc::new(peer::Service::new(peer::Parts {
            local: Member {
                name: name.clone(),
                incarnation: clock::unix_ms(),
                state: State::Alive,
                role: Role::Sidecar,
                data_centre,
                address,
                operator_address: address,
                endpoints,
            },
            seeds: Vec::new(),
            sync_interval: Duration::from_secs(1),
            watching: if self.everyone {
                peer::Watching::Everyone
            } else {
                peer::Watching::Chosen
            },
            clock: Clock::new(),
            holder: Arc::clone(&holder),
            store: Arc::new(store),
            link: Arc::new(LossyLink {
                inner: peer::grpc::Client::new(TIMEOUT, metrics.peer_bytes.clone()),
                link_state: Arc::clone(&self.link_state),
            }),
            suspects: Arc::new(Suspects::new(Clock::new())),
            metrics: Arc::clone(&metrics),
        }));
        let mut tasks = JoinSet::new();
        tasks.spawn_on(peer::run(Arc::clone(&service)), &handle);
        let server = tonic::transport::Server::builder()
            .add_service(peer::grpc::Server::serve(Arc::clone(&service)))
            .serve_with_incoming(TcpListenerStream::new(listener));
        let server = async move {
            // The server is aborted together with the slice.
            let _ = server.await;
        };
        tasks.spawn_on(server, &handle);
        Ok(Slice {
            name,
            holder,
            metrics,
            service,
            runtime,
            tasks,
        })
    }

    /// Waits until every node has the rules and knows all other nodes.
    pub async fn wait_until_settled(&self, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let settled = |slice: &Slice| {
                slice.holder.current().is_some() && slice.service.live().len() == self.slices.len()
            };
            if self.slices.iter().all(settled) {
                return Ok(());
            }
            if Instant::now() > deadline {
                let known = self.slices.iter().map(|slice| slice.service.live().len());
                let (least, most) = (known.clone().min(), known.max());
                return Err(io::Error::other(format!(
                    "the fleet did not settle in time: nodes know {least:?} to {most:?} members"
                )));
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Changes the rules on the platform and returns the new generation.
    pub fn change_rules(&mut self) -> u64 {
        self.generation += 1;
        let ruleset = Ruleset {
            generation: self.generation,
            rules: rules::text(ENDPOINTS, TEAMS, self.generation),
        };
        let spec = serde_json::to_value(ruleset).unwrap_or_default();
        self.changed = Instant::now();
        self.platform
            .state()
            .put(Collection::Rulesets, RULESET_NAME, spec);
        self.generation
    }

    /// Injects a fault that starts before a change.
    pub fn begin_fault(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::None | Trouble::Outage => {}
            Trouble::Loss => self.link_state.drops_syncs.store(true, Ordering::Relaxed),
            Trouble::Mute => self.platform.set_faults(Faults {
                mute_watches: true,
                ..Faults::default()
            }),
            Trouble::Paused => self.pause_processes(),
            Trouble::Watchers => {
                let before = self.totals();
                self.slices.retain_mut(|slice| {
                    let watches = slice.service.is_watching();
                    if watches {
                        slice.tasks.abort_all();
                    }
                    !watches
                });
                let after = self.totals();
                self.stopped_totals.bytes += before.bytes - after.bytes;
                self.stopped_totals.calls += before.calls - after.calls;
            }
        }
    }

    /// Injects a fault that starts after a change.
    pub async fn inject_after_change(&self, trouble: Trouble, change: u64) {
        match trouble {
            Trouble::Outage => {
                while !self
                    .slices
                    .iter()
                    .any(|one| one.holder.generation() >= change)
                {
                    time::sleep(Duration::from_millis(1)).await;
                }
                self.platform.set_faults(Faults {
                    down: true,
                    ..Faults::default()
                });
            }
            Trouble::None | Trouble::Loss | Trouble::Watchers | Trouble::Mute | Trouble::Paused => {
            }
        }
    }

    /// Ends all faults.
    pub fn end_faults(&self, _trouble: Trouble) {
        self.link_state.drops_syncs.store(false, Ordering::Relaxed);
        self.platform.set_faults(Faults::default());
    }

    /// Blocks the threads of some nodes, as on an overloaded machine.
    fn pause_processes(&self) {
        for runtime in self
            .slices
            .iter()
            .filter_map(|slice| slice.runtime.as_ref())
        {
            runtime.spawn(async { thread::sleep(PAUSE_TIME) });
        }
    }

    /// Waits until a change is in force on all nodes, and returns the time that
    /// it took to reach each node, in milliseconds.
    pub async fn wait_for_change(&self, change: u64, timeout: Duration) -> io::Result<Vec<u64>> {
        let waits = self.slices.iter().map(|slice| async move {
            let reached = slice.holder.wait(change, timeout).await;
            let spent = self.changed.elapsed().as_millis();
            reached
                .then(|| u64::try_from(spent).unwrap_or(u64::MAX))
                .ok_or_else(|| {
                    io::Error::other(format!("the change did not reach {} in time", slice.name))
                })
        });
        futures_util::future::join_all(waits)
            .await
            .into_iter()
            .collect()
    }

    /// Returns whether no node has changes of members left to send.
    pub fn is_quiescent(&self) -> bool {
        self.slices.iter().all(|slice| slice.service.is_quiescent())
    }

    /// Returns the number of nodes that watch the platform.
    pub fn watch_count(&self) -> usize {
        let watching = |slice: &&Slice| slice.service.is_watching();
        self.slices.iter().filter(watching).count()
    }

    /// Returns the total usage of all nodes so far.
    pub fn totals(&self) -> Totals {
        let sum = |read: fn(&Metrics) -> u64| {
            let values = self.slices.iter().map(|slice| read(&slice.metrics));
            // The counts are small enough for an exact conversion.
            values.sum::<u64>() as f64
        };
        Totals {
            bytes: 2.0 * sum(|metrics| metrics.peer_bytes.get()) + self.stopped_totals.bytes,
            syncs: self.link_state.syncs.load(Ordering::Relaxed) as f64,
            calls: sum(|metrics| metrics.platform_calls.get()) + self.stopped_totals.calls,
            cpu: cost::cpu_seconds(),
        }
    }
}
