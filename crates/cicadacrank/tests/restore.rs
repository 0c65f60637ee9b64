//! Tests that rules which the client reported as in force outlive a platform that
//! comes back from a copy some seconds old.

mod common;

use cicadacrank_bench::{
    fleet::wait_for,
    platform::{Copy, Server},
};
use cicadacrank_core::{
    generation::Object,
    membership::{Member, Role, State},
};
use cicadacrank_node::{
    clock::Clock,
    configuration::{Holder, RULESET_NAME},
    membership::Instance,
    metrics::Metrics,
    peer::{self, Link, Parts, Service, Watching},
    platform::{Client, Collection},
    quarantine::Suspects,
    settings,
};
use cicadacrank_wire::wire;
use common::{Run, run};
use futures_util::{FutureExt as _, future::BoxFuture};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

const RULES: &str = include_str!("../../../samples/bergvik.rules");

/// Number of entries.
const ENTRIES: u16 = 3;

/// Time within which an accepted change is in force everywhere.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Services by address, through which entries reach each other.
type Services = Arc<Mutex<Vec<(SocketAddr, Arc<Service>)>>>;

/// Link to the entries of one test.
struct Peers(Services);

impl Link for Peers {
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, peer::Fault>> {
        let services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services.iter().find(|(at, _)| *at == address);
        let answer = service.and_then(|(_, service)| service.handle_sync(digest));
        let context = "no such entry".to_owned();
        std::future::ready(answer.ok_or(peer::Fault { address, context })).boxed()
    }
}

/// The part of an entry that follows the rules.
struct Entry {
    address: SocketAddr,
    holder: Arc<Holder>,
    task: JoinHandle<()>,
}

impl Entry {
    /// Returns whether the entry serves rules with this note.
    fn serves(&self, note: &str) -> bool {
        let current = self.holder.current();
        current.is_some_and(|current| current.ruleset.rules.ends_with(&format!("# {note}\n")))
    }
}

/// A platform, entries that follow its rules, and a directory for rule files.
struct Fixture {
    platform: Server,
    services: Services,
    entries: Vec<Entry>,
    folder: TempDir,
}

impl Fixture {
    /// Starts the entries with the rules of the note `first`.
    async fn new() -> Self {
        let mut fixture = Self {
            platform: Server::start().await.unwrap(),
            services: Services::default(),
            entries: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
        };
        fixture.apply("first").await;
        for number in 0..ENTRIES {
            fixture.start(number);
        }
        fixture.wait_until_served("first").await;
        fixture
    }

    /// Starts an entry, which knows nothing.
    fn start(&mut self, number: u16) {
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + number));
        let name = format!("entry-{number}");
        let instance = Instance {
            role: settings::Role::Entry,
            data_centre: "vest-a".to_owned(),
            address,
            operator_address: address,
            endpoints: Vec::new(),
            leaving: false,
        };
        self.platform.set_instance(&name, &instance);
        let holder = Arc::new(Holder::new());
        let service = Arc::new(Service::new(Parts {
            local: Member {
                name,
                incarnation: Clock::new().unix_ms(),
                state: State::Alive,
                role: Role::Entry,
                data_centre: instance.data_centre,
                address,
                operator_address: address,
                endpoints: Vec::new(),
            },
            seeds: Vec::new(),
            sync_interval: Duration::from_secs(1),
            watching: Watching::Chosen,
            clock: Clock::new(),
            holder: Arc::clone(&holder),
            store: Arc::new(Client::new(self.platform.address, CALL_TIMEOUT)),
            link: Arc::new(Peers(Arc::clone(&self.services))),
            suspects: Arc::new(Suspects::new(Clock::new())),
            metrics: Arc::new(Metrics::new()),
        }));
        self.services().push((address, Arc::clone(&service)));
        let task = tokio::spawn(peer::run(service));
        self.entries.push(Entry {
            address,
            holder,
            task,
        });
    }

    /// Kills the entry with this index.
    fn kill(&mut self, index: usize) {
        let entry = self.entries.remove(index);
        entry.task.abort();
        self.services()
            .retain(|(address, _)| *address != entry.address);
    }

    fn services(&self) -> MutexGuard<'_, Vec<(SocketAddr, Arc<Service>)>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the client with arguments separated by spaces, against the platform.
    async fn run(&self, arguments: &str) -> Run {
        let platform = format!("--platform={}", self.platform.address);
        let arguments: Vec<_> = arguments.split(' ').chain([platform.as_str()]).collect();
        run(&arguments).await
    }

    /// Applies rules that end with a note. Panics unless the client reports that they
    /// are in force.
    async fn apply(&self, note: &str) {
        let file = self.folder.path().join(note);
        std::fs::write(&file, format!("{RULES}# {note}\n")).unwrap();
        let arguments = format!(
            "apply {} --who=Bo --why={note} --change={note}",
            file.display()
        );
        let applied = self.run(&arguments).await;
        assert_eq!(applied.code, 0, "{}", applied.err);
        assert!(applied.out.contains("is in force"), "{}", applied.out);
    }

    /// Applies the changes `second` and `third`, waits until they are in force, and
    /// returns a copy of the platform from before.
    async fn change_twice(&self) -> Copy {
        let copy = self.platform.state().save();
        for note in ["second", "third"] {
            self.apply(note).await;
        }
        self.wait_until_served("third").await;
        copy
    }

    fn restore(&self, copy: &Copy) {
        self.platform.state().restore(copy);
    }

    async fn wait_until_served(&self, note: &str) {
        let served = wait_for(note, async || {
            self.entries.iter().all(|entry| entry.serves(note))
        });
        let served = time::timeout(PROPAGATION_TIMEOUT, served).await;
        let in_force: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.holder.generation())
            .collect();
        served
            .unwrap_or_else(|_| panic!("{note} is not served in time; in force: {in_force:?}"))
            .unwrap();
    }

    /// Checks for some seconds that all entries go on serving rules with the note.
    async fn check_served(&self, note: &str) {
        let end = Instant::now() + PROPAGATION_TIMEOUT;
        while Instant::now() < end {
            for entry in &self.entries {
                assert!(entry.serves(note), "{} reverted", entry.address);
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the object that the platform holds.
    fn object(&self) -> Object {
        let object = self
            .platform
            .state()
            .get(Collection::Rulesets, RULESET_NAME);
        Object::decode(object.unwrap().spec).unwrap()
    }

    /// Returns the changes in the audit trail that the platform holds.
    fn changes(&self) -> Vec<String> {
        let audit = self.object().audit.into_iter();
        audit.map(|entry| entry.change.to_string()).collect()
    }
}

// Guards against a change that was accepted after a restore of the platform and that
// no process adopts, since its generation was not above the lost ones.
#[tokio::test(flavor = "multi_thread")]
async fn apply_after_a_restore_is_in_force_at_all_entries() {
    let mut fixture = Fixture::new().await;
    let copy = fixture.change_twice().await;
    let lost = fixture.entries[0].holder.generation();
    fixture.restore(&copy);
    fixture.apply("fourth").await;
    fixture.wait_until_served("fourth").await;
    assert!(
        fixture.object().generation.0 > lost,
        "no generation names two contents"
    );
    fixture.kill(0);
    fixture.start(0);
    fixture.wait_until_served("fourth").await;
    fixture.check_served("fourth").await;
    assert!(fixture.object().rules.ends_with("# fourth\n"));
    fixture.apply("fifth").await;
    fixture.wait_until_served("fifth").await;
}

// Guards against accepted rules that the platform lost with a restore, and that are
// gone once the processes that have them in force have been replaced.
#[tokio::test(flavor = "multi_thread")]
async fn rules_that_a_restore_lost_are_written_back() {
    let mut fixture = Fixture::new().await;
    let copy = fixture.change_twice().await;
    fixture.restore(&copy);
    let written_back = wait_for("rules written back", async || {
        fixture.object().rules.ends_with("# third\n")
    });
    time::timeout(PROPAGATION_TIMEOUT, written_back)
        .await
        .expect("the rules are written back in time")
        .unwrap();
    let changes = fixture.changes();
    assert_eq!(changes[..3], ["first", "second", "third"], "{changes:?}");
    assert_eq!(
        changes.len(),
        4,
        "one process writes them back: {changes:?}"
    );
    for _ in 0..ENTRIES {
        fixture.kill(0);
    }
    for number in 0..ENTRIES {
        fixture.start(number);
    }
    time::sleep(Duration::from_secs(2)).await;
    fixture.wait_until_served("third").await;
    assert_eq!(fixture.changes().len(), 4, "nothing is written once more");
}

// Guards against an edit that is based on rules from before a restore, which reverts
// the accepted changes that the platform lost.
#[tokio::test(flavor = "multi_thread")]
async fn take_out_after_a_restore_keeps_lost_changes() {
    let fixture = Fixture::new().await;
    let copy = fixture.change_twice().await;
    fixture.restore(&copy);
    let taken_out = fixture
        .run("take-out --data-centre=vest-a --who=Bo --why=kettles")
        .await;
    assert_eq!(taken_out.code, 0, "{}", taken_out.err);
    let rules = fixture.object().rules;
    assert!(rules.contains("# third\n"), "{rules}");
    assert!(rules.contains("take-out"), "{rules}");
}

// Guards against the same after two restores in a row.
#[tokio::test(flavor = "multi_thread")]
async fn apply_after_two_restores_is_in_force_at_all_entries() {
    let fixture = Fixture::new().await;
    let copy = fixture.change_twice().await;
    fixture.restore(&copy);
    fixture.apply("fourth").await;
    fixture.wait_until_served("fourth").await;
    fixture.restore(&copy);
    fixture.apply("fifth").await;
    fixture.wait_until_served("fifth").await;
    fixture.check_served("fifth").await;
}

// Guards against a process that is behind and writes back older rules than others have
// in force, or that writes over an operator's change.
#[tokio::test(flavor = "multi_thread")]
async fn changes_during_a_write_back_stay_in_force() {
    let fixture = Fixture::new().await;
    let copy = fixture.change_twice().await;
    fixture.restore(&copy);
    for wait_ms in [0, 700, 700, 700] {
        time::sleep(Duration::from_millis(wait_ms)).await;
        let note = format!("change-{wait_ms}-{}", fixture.changes().len());
        fixture.apply(&note).await;
        fixture.wait_until_served(&note).await;
        assert!(fixture.object().rules.ends_with(&format!("# {note}\n")));
    }
    let changes = fixture.changes();
    time::sleep(PROPAGATION_TIMEOUT).await;
    assert_eq!(fixture.changes(), changes, "nothing is written back later");
}
