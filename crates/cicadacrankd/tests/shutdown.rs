//! A graceful shutdown of an entry or a sidecar interrupts no request under steady load.

mod common;

use cicadacrank_bench::fleet::{Backend, Fleet, Plan};
use common::{Answer, plan, profile, request, send, start_small_fleet, wait_for_run};
use serde_json::json;
use std::time::Duration;
use tokio::{task::JoinSet, time};

/// Time between two requests of the steady load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Number of requests that the steady load sends after the shutdown has started.
const REQUESTS: usize = 150;

/// Time for which an entry accepts requests after SIGTERM, in milliseconds. It exceeds the
/// duration of the load.
const DEREGISTRATION_DELAY_MS: u64 = 4_000;

fn stream_slowly(fleet: &Fleet) {
    for backend in &fleet.backends {
        let token_us = if backend.endpoint.starts_with("writer") {
            40_000
        } else {
            0
        };
        backend.engine.set_profile(profile(0, token_us, 5));
    }
}

/// Sends requests to one entry at a steady rate and returns their answers.
async fn send_load(fleet: &Fleet, entry: usize) -> Vec<Answer> {
    let mut tasks = JoinSet::new();
    for _ in 0..REQUESTS {
        tasks.spawn(send(request(fleet, entry, "ask", "")));
        time::sleep(REQUEST_INTERVAL).await;
    }
    tasks.join_all().await
}

fn assert_complete(answers: &[Answer]) {
    for answer in answers {
        assert_eq!(
            answer.body["text"], "word0 word1 word2 word3 word4 ",
            "{answer:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_sidecar_completes_all_requests() {
    let mut fleet = start_small_fleet().await;
    stream_slowly(&fleet);
    // A stream is in flight when the shutdown starts.
    let in_flight = tokio::spawn(send(request(&fleet, 0, "ask", "")));
    wait_for_run(&fleet, "/v1/completions").await;
    let is_north = |backend: &&mut Backend| backend.endpoint.ends_with("-n");
    for backend in fleet.backends.iter_mut().filter(is_north) {
        backend.sidecar.terminate().expect("failed to send SIGTERM");
    }
    assert_complete(&send_load(&fleet, 0).await);
    assert_complete(&[in_flight.await.expect("task panicked")]);
    for backend in fleet.backends.iter_mut().filter(is_north) {
        let status = backend
            .sidecar
            .wait()
            .await
            .expect("failed to wait for the process");
        assert!(status.success(), "{status}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_entry_completes_all_requests() {
    let timeouts = json!({ "refresh_ms": 100, "notice_ms": DEREGISTRATION_DELAY_MS });
    let plan = Plan {
        timeouts,
        ..plan("tests/samples/small.rules")
    };
    let mut fleet = Fleet::start(plan).await.expect("failed to start the fleet");
    stream_slowly(&fleet);
    let in_flight = tokio::spawn(send(request(&fleet, 0, "ask", "")));
    wait_for_run(&fleet, "/v1/completions").await;
    fleet.entries[0]
        .terminate()
        .expect("failed to send SIGTERM");
    // The load balancer keeps sending requests until it notices that the entry is not ready.
    assert_complete(&send_load(&fleet, 0).await);
    assert_complete(&[in_flight.await.expect("task panicked")]);
    let status = fleet.entries[0]
        .wait()
        .await
        .expect("failed to wait for the process");
    assert!(status.success(), "{status}");
}
