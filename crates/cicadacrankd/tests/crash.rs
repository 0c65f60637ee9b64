//! A request that crashes every endpoint that runs it, with separate processes.

mod common;

use cicadacrank_bench::{
    engine::{Capacity, Fault},
    fleet::{Fleet, wait_for},
};
use common::{request, start_small_fleet};
use std::time::{Duration, Instant};

/// Time within which a request that crashed two endpoints is rejected. It covers the attempts
/// and the notification of the other entry.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(2);

const POISON: &str = r#"{"query":"poison"}"#;

/// Sends a request to the pipeline `ask` and returns the status and body of the response.
async fn ask(fleet: &Fleet, entry: usize, body: &str) -> (u16, String) {
    let answer = request(fleet, entry, "ask", "").body(body.to_owned());
    let answer = answer.send().await.expect("request failed");
    let status = answer.status().as_u16();
    (
        status,
        answer.text().await.expect("failed to read the body"),
    )
}

/// Starts a small fleet whose endpoints restart 300 ms after a crash.
async fn start_restarting_fleet() -> Fleet {
    let fleet = start_small_fleet().await;
    for backend in &fleet.backends {
        backend.engine.set_capacity(Capacity {
            restart_ms: 300,
            ..Capacity::default()
        });
    }
    fleet
}

/// Starts a small fleet whose endpoints crash on requests that contain "poison".
async fn start_crashing_fleet() -> Fleet {
    let fleet = start_restarting_fleet().await;
    for backend in &fleet.backends {
        backend
            .engine
            .set_faults(vec![Fault::CrashOn("poison".to_owned())]);
    }
    fleet
}

/// Returns the number of crashes of all endpoints.
fn crashes(fleet: &Fleet) -> u64 {
    let backends = fleet.backends.iter();
    backends
        .map(|backend| backend.engine.incarnation() - 1)
        .sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_crashes_two_endpoints_across_all_entries() {
    let fleet = start_crashing_fleet().await;
    let crashes = || crashes(&fleet);
    let start = Instant::now();
    let (status, text) = ask(&fleet, 0, POISON).await;
    assert!(start.elapsed() < MAX_REFUSAL_TIME, "{:?}", start.elapsed());
    assert!(status != 200 && crashes() == 2, "{status} {text}");
    let refuses = async || ask(&fleet, 1, POISON).await.1.contains("quarantined");
    wait_for("quarantine at the other entry", refuses)
        .await
        .expect("the other entry rejects the request");
    assert_eq!(
        crashes(),
        2,
        "the request crashed an endpoint through the other entry"
    );
    let serves = async || ask(&fleet, 1, r#"{"query":"tea"}"#).await.0 == 200;
    wait_for("other requests served", serves)
        .await
        .expect("other requests are served");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_survives_refused_connections_before_its_deadline() {
    let fleet = start_restarting_fleet().await;
    for backend in &fleet.backends {
        backend.engine.crash();
    }
    let down = async || fleet.backends.iter().all(|backend| !backend.engine.is_up());
    wait_for("all endpoints down", down)
        .await
        .expect("all endpoints are down");
    let request = request(&fleet, 0, "ask", "").header("x-deadline-ms", "20000");
    let answer = request.send().await.expect("request failed");
    let status = answer.status().as_u16();
    let text = answer.text().await.expect("failed to read the body");
    assert_eq!(status, 200, "{text}");
}

/// Requests with one field in common, no two alike, crashed two endpoints each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn field_that_crashes_endpoints_is_refused_whatever_else_the_request_holds() {
    const MAX_CRASHES: u64 = 5;
    let fleet = start_crashing_fleet().await;
    let crashes = || crashes(&fleet);
    let mut refused = 0;
    for number in 0..8 {
        let body = format!(r#"{{"query":"order {number}","template":"poison","guests":2}}"#);
        let (status, text) = ask(&fleet, number % 2, &body).await;
        assert_ne!(status, 200, "{text}");
        refused += usize::from(text.contains("quarantined"));
        // A request with the other field shows that it is sound.
        let serves = async || {
            let body = format!(r#"{{"query":"tea {number}","guests":2}}"#);
            ask(&fleet, number % 2, &body).await.0 == 200
        };
        wait_for("other requests served", serves)
            .await
            .expect("other requests are served");
    }
    assert!(crashes() <= MAX_CRASHES, "{} crashes", crashes());
    assert!(refused >= 4, "{refused} refused");
}
