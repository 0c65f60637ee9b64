//! Failures that need real processes: killed and stopped processes, an exclusive bind, and an
//! outage of the platform.

mod common;

use cicadacrank_bench::{
    engine,
    fleet::{self, Backend},
    platform::Faults,
    process::Daemon,
};
use common::{delay_pool, profile, request, run_count, send, start_small_fleet, wait_for_run};
use serde_json::json;
use std::time::Instant;

/// Duration of a run that a test interrupts, in milliseconds.
const RUN_MS: u64 = 700;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_entry_killed_during_run_is_recorded_once() {
    let mut fleet = start_small_fleet().await;
    delay_pool(&fleet, "orders", RUN_MS);
    let first = tokio::spawn(request(&fleet, 0, "order", "key").send());
    wait_for_run(&fleet, "/orders").await;
    fleet.entries[0]
        .kill()
        .await
        .expect("failed to kill the process");
    assert!(
        first.await.expect("task panicked").is_err(),
        "the first entry was killed"
    );
    let retry = send(request(&fleet, 1, "order", "key")).await;
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(run_count(&fleet, "/orders"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_sidecar_killed_during_run_is_never_run_again() {
    let mut fleet = start_small_fleet().await;
    delay_pool(&fleet, "orders", RUN_MS);
    let first = tokio::spawn(send(request(&fleet, 0, "order", "key")));
    let backend = wait_for_run(&fleet, "/orders").await;
    fleet.backends[backend]
        .sidecar
        .kill()
        .await
        .expect("failed to kill the process");
    let first = first.await.expect("task panicked");
    assert_eq!(
        (first.kind(), first.effect.as_str()),
        ("outcome-unknown", "unknown"),
        "{first:?}"
    );
    let retry = send(request(&fleet, 1, "order", "key")).await;
    assert_eq!(retry.kind(), "outcome-unknown", "{retry:?}");
    assert_eq!(run_count(&fleet, "/orders"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_sidecar_frozen_during_run_is_never_run_again() {
    let fleet = start_small_fleet().await;
    delay_pool(&fleet, "orders", RUN_MS);
    let first = tokio::spawn(send(request(&fleet, 0, "order", "key")));
    let backend = wait_for_run(&fleet, "/orders").await;
    fleet.backends[backend]
        .sidecar
        .freeze()
        .expect("failed to stop the process");
    let first = first.await.expect("task panicked");
    assert_eq!(first.effect, "unknown", "{first:?}");
    fleet.backends[backend]
        .sidecar
        .thaw()
        .expect("failed to continue the process");
    fleet::wait_for("the outcome is recorded", async || {
        send(request(&fleet, 1, "order", "key")).await.status == 200
    })
    .await
    .expect("the recorded outcome is returned");
    assert_eq!(run_count(&fleet, "/orders"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ask_sidecar_killed_is_served_elsewhere() {
    let mut fleet = start_small_fleet().await;
    for endpoint in ["lookup-n", "writer-s"] {
        let backend = fleet
            .backends
            .iter_mut()
            .find(|backend| backend.endpoint == endpoint)
            .expect("the endpoint exists");
        backend
            .sidecar
            .kill()
            .await
            .expect("failed to kill the process");
    }
    for entry in [0, 1, 0, 1, 0, 1] {
        let answer = send(request(&fleet, entry, "ask", "")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_down_rejects_order_and_serves_ask() {
    let fleet = start_small_fleet().await;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let ask = send(request(&fleet, 0, "ask", "")).await;
    assert_eq!(ask.status, 200, "{ask:?}");
    let order = send(request(&fleet, 0, "order", "key")).await;
    assert_eq!(order.kind(), "platform-down", "{order:?}");
    assert_eq!(
        order.effect, "partial",
        "the lookup stage ran before the order"
    );
    assert_eq!(run_count(&fleet, "/orders"), 0);
    fleet.platform.set_faults(Faults::default());
    let retry = send(request(&fleet, 1, "order", "key")).await;
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(run_count(&fleet, "/orders"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecar_second_process_cannot_bind_beside_frozen_first() {
    let fleet = start_small_fleet().await;
    let backend = &fleet.backends[0];
    backend
        .sidecar
        .freeze()
        .expect("failed to stop the process");
    let settings = json!({
        "role": "sidecar", "instance": "second", "data_centre": "north",
        "platform": fleet.platform.address, "listen": backend.sidecar.addresses.listen,
        "operator_listen": "127.0.0.1:0",
        "endpoints": [{ "name": backend.endpoint, "address": backend.engine.address }],
    });
    let program = env!("CARGO_BIN_EXE_cicadacrankd").as_ref();
    let second = Daemon::start(program, fleet.folder(), "second", &settings).await;
    let error = second.expect_err("the port is in use").to_string();
    assert!(error.contains("binding 127.0.0.1:"), "{error}");
    backend
        .sidecar
        .thaw()
        .expect("failed to continue the process");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ask_sidecar_killed_during_stream_is_resumed_exactly() {
    let mut fleet = start_small_fleet().await;
    for backend in fleet
        .backends
        .iter()
        .filter(|backend| backend.endpoint.starts_with("writer"))
    {
        backend.engine.set_profile(profile(0, 40_000, 8));
    }
    let ask = request(&fleet, 0, "ask", "").header("accept", "text/event-stream");
    let mut answer = ask.send().await.expect("request failed");
    let mut events = Vec::new();
    while !String::from_utf8_lossy(&events).contains("word2 ") {
        events.extend(
            answer
                .chunk()
                .await
                .expect("failed to read the stream")
                .expect("the stream ended early"),
        );
    }
    let running = |backend: &&mut Backend| {
        backend
            .engine
            .runs()
            .iter()
            .any(|run| run.path == "/v1/completions")
    };
    let backend = fleet
        .backends
        .iter_mut()
        .find(running)
        .expect("a writer runs the request");
    backend
        .sidecar
        .kill()
        .await
        .expect("failed to kill the process");
    while let Some(part) = answer.chunk().await.expect("failed to read the stream") {
        events.extend(part);
    }
    let events = String::from_utf8(events).expect("the events are not UTF-8");
    let words = "word0 word1 word2 word3 word4 word5 word6 word7 ";
    assert!(events.contains(&format!(r#""text":"{words}""#)), "{events}");
    let chunks = events.matches("event: chunk").count();
    assert_eq!(chunks, 8, "each word is sent once: {events}");
    assert_eq!(run_count(&fleet, "/v1/completions"), 2);
}

/// Maximum number of attempts that an unreachable endpoint receives from one entry at first.
const MAX_INITIAL_ATTEMPTS: u128 = 16;

/// Minimum time between two probes of an unreachable endpoint, in milliseconds.
const MIN_PROBE_INTERVAL_MS: u128 = 500;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ask_unreachable_endpoint_receives_few_attempts() {
    let mut fleet = start_small_fleet().await;
    let spare = engine::Server::start("spare", profile(0, 0, 3))
        .await
        .expect("failed to start the stand-in");
    let unreachable = fleet
        .backends
        .iter_mut()
        .find(|backend| backend.endpoint == "writer-n")
        .expect("the endpoint exists");
    // From here on, nothing listens at the address that the sidecar uses for its endpoint.
    drop(std::mem::replace(&mut unreachable.engine, spare));
    let start = Instant::now();
    for _ in 0..100 {
        let answer = send(request(&fleet, 0, "ask", "")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let backend = fleet
        .backends
        .iter()
        .find(|backend| backend.endpoint == "writer-n")
        .expect("the endpoint exists");
    let url = format!(
        "http://{}/metrics",
        backend.sidecar.addresses.operator_listen
    );
    let page = fleet::client()
        .expect("failed to create the client")
        .get(url)
        .send()
        .await
        .expect("request failed");
    let page = page.text().await.expect("failed to read the body");
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix("cicadacrank_attempts_total "));
    let attempts: u128 = line
        .expect("the counter is missing")
        .parse()
        .expect("the counter is not a number");
    let probes = start.elapsed().as_millis() / MIN_PROBE_INTERVAL_MS;
    assert!(
        attempts <= MAX_INITIAL_ATTEMPTS + probes,
        "{attempts} attempts"
    );
}
