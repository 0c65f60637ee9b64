//! Tests of the gossip service with processes connected in memory and a paused
//! clock: platform outages, starts and isolation.

use cicadacrank_core::membership::{Member, Role, State};
use cicadacrank_node::{
    clock::Clock,
    configuration::Holder,
    metrics::Metrics,
    peer::{self, Link, Parts, Service, Watching},
    platform::{Change, Collection, Fault, Listing, Object, Store, Version},
    quarantine::Suspects,
};
use cicadacrank_wire::wire;
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{self, Instant},
};

const RULES: &str = include_str!("../../cicadacrankd/tests/samples/small.rules");

/// State shared by the simulated processes.
#[derive(Default)]
struct Simulation {
    generation: Mutex<u64>,
    platform_down: Mutex<bool>,
    isolated: Mutex<Vec<SocketAddr>>,
    services: Mutex<Vec<(SocketAddr, Arc<Service>)>>,
}

struct Process {
    simulation: Arc<Simulation>,
    address: SocketAddr,
}

impl Simulation {
    fn is_isolated(&self, address: SocketAddr) -> bool {
        self.isolated
            .lock()
            .expect("poisoned lock")
            .contains(&address)
    }
}

impl Link for Process {
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, peer::Fault>> {
        let services = self.simulation.services.lock().expect("poisoned lock");
        let service = services.iter().find(|(at, _)| *at == address);
        let open =
            !self.simulation.is_isolated(address) && !self.simulation.is_isolated(self.address);
        let answer = service.filter(|_| open);
        let answer = answer.and_then(|(_, service)| service.handle_sync(digest));
        let context = "isolated".to_owned();
        std::future::ready(answer.ok_or(peer::Fault { address, context })).boxed()
    }
}

impl Process {
    fn check(&self) -> Result<(), Fault> {
        let down = *self.simulation.platform_down.lock().expect("poisoned lock");
        if down || self.simulation.is_isolated(self.address) {
            return Err(Fault::Unreachable("down".to_owned()));
        }
        Ok(())
    }
}

fn reject_write<T: Send + 'static>() -> BoxFuture<'static, Result<T, Fault>> {
    std::future::ready(Err(Fault::Invalid(
        "the simulated platform is read-only".to_owned(),
    )))
    .boxed()
}

impl Store for Process {
    fn eras(&self) -> watch::Receiver<u64> {
        watch::Sender::new(0).subscribe()
    }

    fn record_era(&self, _: u64) {}

    fn get<'a>(&'a self, _: Collection, name: &'a str) -> BoxFuture<'a, Result<Object, Fault>> {
        let generation = *self.simulation.generation.lock().expect("poisoned lock");
        let object = self.check().map(|()| Object {
            name: name.to_owned(),
            version: Version::new(0, generation),
            spec: json!({ "generation": generation, "rules": RULES }),
            ..Object::default()
        });
        std::future::ready(object).boxed()
    }

    fn create<'a>(
        &'a self,
        _: Collection,
        _: &'a str,
        _: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        reject_write()
    }

    fn update<'a>(
        &'a self,
        _: Collection,
        _: &'a str,
        _: &'a Version,
        _: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        reject_write()
    }

    fn delete<'a>(
        &'a self,
        _: Collection,
        _: &'a str,
        _: &'a Version,
    ) -> BoxFuture<'a, Result<(), Fault>> {
        reject_write()
    }

    fn list(&self, _: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        let services = self.simulation.services.lock().expect("poisoned lock");
        let objects = services.iter().map(|(address, _)| Object {
            name: format!("node-{}", address.port()),
            version: Version::default(),
            spec: json!({
                "role": "entry", "data_centre": "dc", "address": address,
                "operator_address": address,
            }),
            ..Object::default()
        });
        let listing = Listing {
            objects: objects.collect(),
            version: Version::default(),
        };
        std::future::ready(self.check().map(|()| listing)).boxed()
    }

    fn watch<'a>(
        &'a self,
        _: Collection,
        _: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>> {
        let silent = self.check().map(|()| stream::pending().boxed());
        std::future::ready(silent).boxed()
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn start(
    simulation: &Arc<Simulation>,
    port: u16,
    seed: u16,
    tasks: &mut JoinSet<()>,
) -> Arc<Holder> {
    let local_address = address(port);
    let process = || Process {
        simulation: Arc::clone(simulation),
        address: local_address,
    };
    let holder = Arc::new(Holder::new());
    let service = Arc::new(Service::new(Parts {
        local: Member {
            name: format!("node-{port}"),
            incarnation: 1,
            state: State::Alive,
            role: Role::Entry,
            data_centre: "dc".to_owned(),
            address: local_address,
            operator_address: local_address,
            endpoints: Vec::new(),
        },
        seeds: vec![address(seed)],
        sync_interval: Duration::from_secs(1),
        watching: Watching::Chosen,
        clock: Clock::new(),
        holder: Arc::clone(&holder),
        store: Arc::new(process()),
        link: Arc::new(process()),
        suspects: Arc::new(Suspects::new(Clock::new())),
        metrics: Arc::new(Metrics::new()),
    }));
    let listed = (local_address, Arc::clone(&service));
    simulation
        .services
        .lock()
        .expect("poisoned lock")
        .push(listed);
    tasks.spawn(peer::run(service));
    holder
}

/// Waits on the paused clock until the condition holds and returns how long it
/// took.
async fn wait(seconds: u64, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        let spent = start.elapsed();
        assert!(
            spent < Duration::from_secs(seconds),
            "the condition did not hold within {seconds} s"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
    start.elapsed()
}

fn set<T>(value: &Mutex<T>, to: T) {
    *value.lock().expect("poisoned lock") = to;
}

#[tokio::test(start_paused = true)]
async fn run_serves_through_an_outage_and_starts_from_peers() {
    let (simulation, mut tasks) = (Arc::new(Simulation::default()), JoinSet::new());
    set(&simulation.generation, 3);
    let holders = [1, 2, 3].map(|port| start(&simulation, port, 1, &mut tasks));
    wait(15, || {
        holders.iter().all(|holder| holder.current().is_some())
    })
    .await;
    set(&simulation.platform_down, true);
    time::sleep(Duration::from_secs(3_600)).await;
    assert!(holders.iter().all(|holder| holder.current().is_some()));
    let late = start(&simulation, 4, 1, &mut tasks);
    wait(5, || late.current().is_some()).await;
    assert_eq!(late.generation(), 3);
}

#[tokio::test(start_paused = true)]
async fn run_serves_nothing_without_rules() {
    let (simulation, mut tasks) = (Arc::new(Simulation::default()), JoinSet::new());
    set(&simulation.platform_down, true);
    let holder = start(&simulation, 1, 2, &mut tasks);
    time::sleep(Duration::from_secs(3_600)).await;
    assert!(holder.current().is_none());
}

#[tokio::test(start_paused = true)]
async fn run_stops_new_work_a_minute_after_isolation_and_recovers() {
    let (simulation, mut tasks) = (Arc::new(Simulation::default()), JoinSet::new());
    set(&simulation.generation, 1);
    let holders = [1, 2, 3].map(|port| start(&simulation, port, 1, &mut tasks));
    wait(15, || {
        holders.iter().all(|holder| holder.current().is_some())
    })
    .await;
    set(&simulation.isolated, vec![address(1)]);
    set(&simulation.generation, 2);
    let served = wait(70, || holders[0].current().is_none()).await;
    assert!(
        served >= Duration::from_secs(55),
        "stopped new work after {served:?}"
    );
    assert!(holders[1..].iter().all(|holder| holder.current().is_some()));
    set(&simulation.isolated, Vec::new());
    wait(30, || holders[0].current().is_some()).await;
    wait(10, || holders.iter().all(|holder| holder.generation() == 2)).await;
}

#[test]
fn hint_wakes_only_for_a_newer_generation() {
    let holder = Holder::new();
    let ruleset = serde_json::from_value(json!({ "generation": 5, "rules": RULES }));
    holder.offer(ruleset.expect("invalid ruleset"));
    let mut hints = holder.hints();
    for (generation, wakes) in [(4, false), (5, false), (6, true), (6, false), (9, true)] {
        holder.hint(generation);
        assert_eq!(
            hints.has_changed().expect("the sender was dropped"),
            wakes,
            "hint {generation}"
        );
        hints.mark_unchanged();
    }
}
