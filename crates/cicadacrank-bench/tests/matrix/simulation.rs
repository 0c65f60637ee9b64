//! Simulation of two entries, two sidecars, six endpoints and a platform in one
//! process.

use bytes::Bytes;
use cicadacrank_bench::memory::{Behaviour, Link, Port, Process, Sidecar, Store};
use cicadacrank_core::{error::Effect, id};
use cicadacrank_node::{
    clock::Clock,
    configuration::{Holder, Ruleset},
    entry::{Parts, Reply, Request, Service},
    link::{self, Frames, Link as Interface},
    metrics::Metrics,
    settings::Settings,
};
use cicadacrank_wire::wire;
use futures_util::{FutureExt as _, StreamExt as _, future::BoxFuture};
use serde_json::{Value, json};
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};

pub const RULES: &str = include_str!("../../../cicadacrankd/tests/samples/small.rules");

/// Endpoints of each sidecar; the last letter stands for the data centre.
const ENDPOINTS: [[&str; 3]; 2] = [
    ["lookup-n", "orders-n", "writer-n"],
    ["lookup-s", "orders-s", "writer-s"],
];

const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// Duration of each run at an endpoint.
pub const RUN_TIME: Duration = Duration::from_millis(200);

/// Delay of each call to the platform, in milliseconds.
pub const PLATFORM_DELAY_MS: u64 = 100;

/// Maximum wait for an answer: the deadline, and time to report that it passed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Complete(Value),
    Failed { kind: &'static str, effect: Effect },
    NoAnswer,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete(_) => formatter.write_str("whole"),
            Self::Failed { kind, effect } => write!(formatter, "{kind} ({})", effect.as_str()),
            Self::NoAnswer => formatter.write_str("no answer"),
        }
    }
}

/// Links of one entry to the sidecars. They block while the entry is paused, and
/// killing the entry closes every connection.
struct EntryLink {
    process: Process,
    killed: watch::Receiver<bool>,
    link: Link,
}

async fn wait_until_killed(mut killed: watch::Receiver<bool>) {
    // The sender lives as long as the simulation, so waiting cannot fail.
    drop(killed.wait_for(|killed| *killed).await);
}

impl Interface for EntryLink {
    fn run(
        &self,
        address: SocketAddr,
        job: wire::Job,
    ) -> BoxFuture<'_, Result<Frames, link::Fault>> {
        async move {
            self.process.wait_until_running().await;
            let frames = self.link.run(address, job).await?;
            self.process.wait_until_running().await;
            let process = self.process.clone();
            let killed = wait_until_killed(self.killed.clone());
            let frames = frames.take_until(killed.boxed()).then(move |frame| {
                let process = process.clone();
                async move {
                    process.wait_until_running().await;
                    frame
                }
            });
            Ok(frames.boxed())
        }
        .boxed()
    }

    fn reset(&self, address: SocketAddr) {
        self.link.reset(address);
    }
}

pub struct Entry {
    pub process: Process,
    pub holder: Arc<Holder>,
    killed: watch::Sender<bool>,
    service: Arc<Service>,
}

impl Entry {
    fn new(number: usize, link: &Link, sidecars: &[Sidecar]) -> Self {
        let process = Process::new();
        let (killed, killed_receiver) = watch::channel(false);
        let holder = Arc::new(Holder::new());
        holder.offer(Ruleset {
            generation: 1,
            rules: RULES.to_owned(),
        });
        let text = json!({
            "role": "entry", "instance": format!("entry-{number}"),
            "data_centre": DATA_CENTRES[number], "platform": "127.0.0.1:1",
            "listen": "127.0.0.1:0", "caller_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
        });
        let service = Arc::new(Service::new(Parts {
            settings: Settings::parse(&text.to_string()).expect("the settings are valid"),
            clock: Clock::new(),
            holder: Arc::clone(&holder),
            link: Arc::new(EntryLink {
                process: process.clone(),
                killed: killed_receiver,
                link: link.clone(),
            }),
            metrics: Arc::new(Metrics::new()),
        }));
        for ((names, data_centre), sidecar) in ENDPOINTS.iter().zip(DATA_CENTRES).zip(sidecars) {
            for name in names {
                let pool = name
                    .split('-')
                    .next()
                    .expect("the name starts with its pool");
                service
                    .table()
                    .insert(name, pool, data_centre, sidecar.address);
            }
        }
        Self {
            process,
            holder,
            killed,
            service,
        }
    }

    pub fn kill(&self) {
        self.killed.send_replace(true);
        self.process.pause();
    }
}

pub struct Simulation {
    pub store: Store,
    pub port: Port,
    pub link: Link,
    pub sidecars: Vec<Sidecar>,
    pub entries: Vec<Entry>,
}

impl Simulation {
    pub fn new() -> Self {
        let store = Store::new();
        store.state().faults.delay_ms = PLATFORM_DELAY_MS;
        let port = Port::new().with_default_behaviour(Behaviour::Answer(RUN_TIME));
        let sidecars: Vec<Sidecar> = (0u16..)
            .zip(&ENDPOINTS)
            .map(|(number, names)| Sidecar::new(number, names, RULES, &store, &port))
            .collect();
        let link = Link::new(sidecars.clone());
        let entries = (0..2)
            .map(|number| Entry::new(number, &link, &sidecars))
            .collect();
        Self {
            store,
            port,
            link,
            sidecars,
            entries,
        }
    }

    /// Sends an order through an entry and returns the task that waits for its
    /// outcome.
    pub fn send_order(&self, entry: usize, key: &str) -> JoinHandle<Outcome> {
        let replies = self.entries[entry].service.run(Request {
            id: id::Request::new(1),
            team: "desk".to_owned(),
            pipeline: "order".to_owned(),
            key: key.to_owned(),
            deadline: None,
            body: Bytes::from_static(br#"{"query":"tea for 20"}"#),
        });
        tokio::spawn(async move {
            time::timeout(ANSWER_TIMEOUT, read_outcome(replies))
                .await
                .unwrap_or(Outcome::NoAnswer)
        })
    }

    /// Returns the sidecar of the most recent run.
    ///
    /// Panics if there has been no run.
    pub fn last_used_sidecar(&self) -> &Sidecar {
        let runs = self.port.runs();
        let port = runs.last().expect("a run has started").address.port();
        &self.sidecars[usize::from((port - 20_000) / 100)]
    }

    /// Returns the number of order runs under a key.
    pub fn order_runs(&self, key: &str) -> usize {
        let runs = self.port.runs();
        let is_order = |port: u16| (port - 20_000) % 100 == 1;
        runs.iter()
            .filter(|run| run.key == key && is_order(run.address.port()))
            .count()
    }

    /// Takes a data centre out by offering new rules to every process.
    pub fn take_out(&self, data_centre: &str) {
        let rules = format!("{RULES}take-out data-centre={data_centre} # Ada Test: matrix\n");
        let holders = self.sidecars.iter().map(|sidecar| &sidecar.holder);
        for holder in holders.chain(self.entries.iter().map(|entry| &entry.holder)) {
            assert!(
                holder.offer(Ruleset {
                    generation: 2,
                    rules: rules.clone()
                }),
                "the rules are valid"
            );
        }
    }
}

async fn read_outcome(mut replies: mpsc::Receiver<Reply>) -> Outcome {
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Chunk(_) => {}
            Reply::End { answer, .. } => return Outcome::Complete(answer),
            Reply::Failure(failure) => {
                return Outcome::Failed {
                    kind: failure.kind.as_str(),
                    effect: failure.effect,
                };
            }
        }
    }
    Outcome::NoAnswer
}
