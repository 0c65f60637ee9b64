//! A sidecar in front of a stand-in engine that crashes when it gets more requests
//! than its capacity.

use cicadacrank_bench::{
    engine::{Capacity, Profile, Server},
    fleet::wait_for,
    memory::Store,
};
use cicadacrank_core::id;
use cicadacrank_node::{
    clock::Clock,
    configuration::{Holder, Ruleset},
    endpoint::http::Client,
    metrics::Metrics,
    settings::Settings,
    sidecar::{Parts, Service},
};
use cicadacrank_wire::wire::{self, frame::Body};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::task::JoinSet;

/// Rules in which the endpoint `desk-1` has two slots while cold and eight after a
/// warm-up of one second.
const RULES: &str = include_str!("samples/policy.rules");

/// Number of concurrent callers; each sends its next job when the previous one
/// ends.
const CALLERS: usize = 24;

async fn engine() -> Server {
    let profile = Profile {
        first_us: 4_000,
        token_us: 0,
        tokens: 3,
    };
    let engine = Server::start("desk-1", profile)
        .await
        .expect("the stand-in starts");
    engine.set_capacity(Capacity {
        cold_slots: 2,
        warm_slots: 8,
        warmup_ms: 1_000,
        restart_ms: 50,
        ..Capacity::default()
    });
    engine
}

fn sidecar(engine: &Server) -> Arc<Service> {
    let holder = Arc::new(Holder::new());
    assert!(holder.offer(Ruleset {
        generation: 1,
        rules: RULES.to_owned(),
    }));
    let settings = format!(
        r#"{{ "role": "sidecar", "instance": "one", "data_centre": "north",
            "platform": "127.0.0.1:1", "listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "endpoints": [{{ "name": "desk-1", "address": "{}" }}] }}"#,
        engine.address
    );
    Arc::new(Service::new(Parts {
        settings: Settings::parse(&settings).expect("the settings are valid"),
        clock: Clock::new(),
        holder,
        store: Arc::new(Store::new()),
        port: Arc::new(Client::new(Duration::from_secs(10)).expect("the client is created")),
        metrics: Arc::new(Metrics::new()),
    }))
}

fn job() -> wire::Job {
    wire::Job {
        request: id::Request::new(1).to_string(),
        attempt: id::Attempt::new(rand::random()).to_string(),
        generation: 1,
        team: "team".to_owned(),
        pipeline: "ask".to_owned(),
        stage: "one".to_owned(),
        endpoint: "desk-1".to_owned(),
        remaining_ms: 60_000,
        digest: rand::random::<[u8; 32]>().to_vec(),
        input: b"{}".to_vec(),
        ..wire::Job::default()
    }
}

/// Runs jobs one after another until `stop` is set; returns the number of complete
/// answers.
async fn call_until_stopped(service: Arc<Service>, stop: Arc<AtomicBool>) -> usize {
    let mut complete = 0;
    while !stop.load(Ordering::SeqCst) {
        let mut frames = service.run(job());
        while let Some(frame) = frames.recv().await {
            complete += usize::from(matches!(frame.body, Some(Body::End(_))));
        }
    }
    complete
}

async fn wait_for_slots(service: &Service, slots: u32) {
    let has_slots = async || {
        service
            .load("desk-1")
            .is_some_and(|load| load.slots == slots)
    };
    wait_for("slot limit", has_slots)
        .await
        .expect("the limiter reaches the slot limit");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_under_load_crashes_only_on_demand() {
    let engine = engine().await;
    let service = sidecar(&engine);
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(call_until_stopped(Arc::clone(&service), Arc::clone(&stop)));
    }
    for incarnation in 1..=3 {
        wait_for_slots(&service, 8).await;
        assert_eq!(
            engine.incarnation(),
            incarnation,
            "the engine crashed under load"
        );
        engine.crash();
        wait_for_slots(&service, 2).await;
    }
    wait_for_slots(&service, 8).await;
    stop.store(true, Ordering::SeqCst);
    let complete: usize = callers.join_all().await.into_iter().sum();
    assert_eq!(engine.incarnation(), 4, "the engine crashed under load");
    assert!(complete > 0, "no answer was complete");
}
