//! A request that crashes whatever runs it, over separate processes.

mod common;

use cicadacrank_bench::{
    engine::{Capacity, Fault},
    fleet::{Fleet, wait_for},
};
use common::{request, start_small_fleet};
use std::time::{Duration, Instant};

/// Time in which a request is refused that crashed two endpoints: its attempts,
/// and no more than it takes to tell the other entry.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(2);

const POISON: &str = r#"{"query":"poison"}"#;

/// Returns the status and the body of an answer.
async fn ask(fleet: &Fleet, entry: usize, body: &str) -> (u16, String) {
    let answer = request(fleet, entry, "ask", "").body(body.to_owned());
    let answer = answer.send().await.expect("an answer");
    let status = answer.status().as_u16();
    (status, answer.text().await.expect("a body"))
}

/// A small fleet whose endpoints are back 300 ms after a crash.
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_crashes_two_endpoints_across_all_entries() {
    let fleet = start_restarting_fleet().await;
    for backend in &fleet.backends {
        backend
            .engine
            .set_faults(vec![Fault::CrashOn("poison".to_owned())]);
    }
    let crashes = || -> u64 {
        let backends = fleet.backends.iter();
        backends
            .map(|backend| backend.engine.incarnation() - 1)
            .sum()
    };
    let start = Instant::now();
    let (status, text) = ask(&fleet, 0, POISON).await;
    assert!(start.elapsed() < MAX_REFUSAL_TIME, "{:?}", start.elapsed());
    assert!(status != 200 && crashes() == 2, "{status} {text}");
    let refuses = async || ask(&fleet, 1, POISON).await.1.contains("quarantined");
    wait_for("the other entry", refuses).await.expect("refused");
    assert_eq!(crashes(), 2, "the other entry crashes none");
    let serves = async || ask(&fleet, 1, r#"{"query":"tea"}"#).await.0 == 200;
    wait_for("other requests", serves).await.expect("served");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_survives_refused_connections_before_its_deadline() {
    let fleet = start_restarting_fleet().await;
    for backend in &fleet.backends {
        backend.engine.crash();
    }
    let down = async || fleet.backends.iter().all(|backend| !backend.engine.is_up());
    wait_for("all endpoints down", down).await.expect("down");
    let request = request(&fleet, 0, "ask", "").header("x-deadline-ms", "20000");
    let answer = request.send().await.expect("an answer");
    let status = answer.status().as_u16();
    let text = answer.text().await.expect("a body");
    assert_eq!(status, 200, "{text}");
}
