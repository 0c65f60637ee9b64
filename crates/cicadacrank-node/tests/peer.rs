//! Peers joined in memory, on a paused clock: outages, starts and cut-offs.

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
    task::JoinSet,
    time::{self, Instant},
};

const RULES: &str = include_str!("../../cicadacrankd/tests/samples/small.rules");

/// What is between the processes.
#[derive(Default)]
struct World {
    generation: Mutex<u64>,
    platform_down: Mutex<bool>,
    cut: Mutex<Vec<SocketAddr>>,
    services: Mutex<Vec<(SocketAddr, Arc<Service>)>>,
}

struct Port {
    world: Arc<World>,
    own: SocketAddr,
}

impl World {
    fn is_cut(&self, address: SocketAddr) -> bool {
        self.cut.lock().expect("lock").contains(&address)
    }
}

impl Link for Port {
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, peer::Fault>> {
        let services = self.world.services.lock().expect("lock");
        let service = services.iter().find(|(at, _)| *at == address);
        let open = !self.world.is_cut(address) && !self.world.is_cut(self.own);
        let answer = service.filter(|_| open);
        let answer = answer.and_then(|(_, service)| service.answer(digest));
        let context = "cut".to_owned();
        std::future::ready(answer.ok_or(peer::Fault { address, context })).boxed()
    }
}

impl Port {
    fn check(&self) -> Result<(), Fault> {
        let down = *self.world.platform_down.lock().expect("lock");
        if down || self.world.is_cut(self.own) {
            return Err(Fault::Unreachable("down".to_owned()));
        }
        Ok(())
    }
}

fn write<T: Send + 'static>() -> BoxFuture<'static, Result<T, Fault>> {
    std::future::ready(Err(Fault::Invalid("not written".to_owned()))).boxed()
}

impl Store for Port {
    fn get<'a>(&'a self, _: Collection, name: &'a str) -> BoxFuture<'a, Result<Object, Fault>> {
        let generation = *self.world.generation.lock().expect("lock");
        let object = self.check().map(|()| Object {
            name: name.to_owned(),
            version: Version(generation.to_string()),
            spec: json!({ "generation": generation, "rules": RULES }),
        });
        std::future::ready(object).boxed()
    }

    fn create<'a>(
        &'a self,
        _: Collection,
        _: &'a str,
        _: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        write()
    }

    fn update<'a>(
        &'a self,
        _: Collection,
        _: &'a str,
        _: &'a Version,
        _: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        write()
    }

    fn delete<'a>(
        &'a self,
        _: Collection,
        _: &'a str,
        _: &'a Version,
    ) -> BoxFuture<'a, Result<(), Fault>> {
        write()
    }

    fn list(&self, _: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        let services = self.world.services.lock().expect("lock");
        let objects = services.iter().map(|(address, _)| Object {
            name: format!("node-{}", address.port()),
            version: Version::default(),
            spec: json!({
                "role": "entry", "data_centre": "dc", "address": address,
                "operator_address": address,
            }),
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

fn start(world: &Arc<World>, port: u16, seed: u16, tasks: &mut JoinSet<()>) -> Arc<Holder> {
    let own = address(port);
    let link = || Port {
        world: Arc::clone(world),
        own,
    };
    let holder = Arc::new(Holder::new());
    let service = Arc::new(Service::new(Parts {
        me: Member {
            name: format!("node-{port}"),
            incarnation: 1,
            state: State::Alive,
            role: Role::Entry,
            data_centre: "dc".to_owned(),
            address: own,
            operator_address: own,
            endpoints: Vec::new(),
        },
        seeds: vec![address(seed)],
        pause: Duration::from_secs(1),
        watching: Watching::Chosen,
        clock: Clock::new(),
        holder: Arc::clone(&holder),
        store: Arc::new(link()),
        link: Arc::new(link()),
        suspects: Arc::new(Suspects::new(Clock::new())),
        metrics: Arc::new(Metrics::new()),
    }));
    let listed = (own, Arc::clone(&service));
    world.services.lock().expect("lock").push(listed);
    tasks.spawn(peer::run(service));
    holder
}

/// Waits on the paused clock and returns how long it took.
async fn wait(seconds: u64, mut holds: impl FnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        let spent = began.elapsed();
        assert!(spent < Duration::from_secs(seconds), "not in {seconds} s");
        time::sleep(Duration::from_millis(50)).await;
    }
    began.elapsed()
}

fn set<T>(value: &Mutex<T>, to: T) {
    *value.lock().expect("lock") = to;
}

#[tokio::test(start_paused = true)]
async fn run_serves_through_an_outage_and_starts_from_peers() {
    let (world, mut tasks) = (Arc::new(World::default()), JoinSet::new());
    set(&world.generation, 3);
    let holders = [1, 2, 3].map(|port| start(&world, port, 1, &mut tasks));
    wait(15, || holders.iter().all(|one| one.current().is_some())).await;
    set(&world.platform_down, true);
    time::sleep(Duration::from_secs(3_600)).await;
    assert!(holders.iter().all(|one| one.current().is_some()));
    let late = start(&world, 4, 1, &mut tasks);
    wait(5, || late.current().is_some()).await;
    assert_eq!(late.generation(), 3);
}

#[tokio::test(start_paused = true)]
async fn run_serves_nothing_without_rules() {
    let (world, mut tasks) = (Arc::new(World::default()), JoinSet::new());
    set(&world.platform_down, true);
    let holder = start(&world, 1, 2, &mut tasks);
    time::sleep(Duration::from_secs(3_600)).await;
    assert!(holder.current().is_none());
}

#[tokio::test(start_paused = true)]
async fn run_ends_new_work_a_minute_after_a_cut_and_comes_back() {
    let (world, mut tasks) = (Arc::new(World::default()), JoinSet::new());
    set(&world.generation, 1);
    let holders = [1, 2, 3].map(|port| start(&world, port, 1, &mut tasks));
    wait(15, || holders.iter().all(|one| one.current().is_some())).await;
    set(&world.cut, vec![address(1)]);
    set(&world.generation, 2);
    let served = wait(70, || holders[0].current().is_none()).await;
    assert!(served >= Duration::from_secs(55), "{served:?}");
    assert!(holders[1..].iter().all(|one| one.current().is_some()));
    set(&world.cut, Vec::new());
    wait(30, || holders[0].current().is_some()).await;
    wait(10, || holders.iter().all(|one| one.generation() == 2)).await;
}

#[test]
fn hint_wakes_only_for_a_newer_generation() {
    let holder = Holder::new();
    let ruleset = serde_json::from_value(json!({ "generation": 5, "rules": RULES }));
    holder.offer(ruleset.expect("a ruleset"));
    let mut hints = holder.hints();
    for (generation, wakes) in [(4, false), (5, false), (6, true), (6, false), (9, true)] {
        holder.hint(generation);
        assert_eq!(hints.has_changed().expect("open"), wakes, "{generation}");
        hints.mark_unchanged();
    }
}
