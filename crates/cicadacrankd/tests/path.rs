//! Requests through the whole system, with each component as a separate process.

mod common;

use cicadacrank_bench::fleet::{self, Fleet};
use common::plan;
use serde_json::Value;

async fn start(sample: &str) -> Fleet {
    Fleet::start(plan(&format!("../../samples/{sample}")))
        .await
        .expect("failed to start the fleet")
}

async fn send(fleet: &Fleet, entry: usize, pipeline: &str, team: &str, key: &str) -> Value {
    let address = fleet.entries[entry]
        .addresses
        .caller_listen
        .expect("an entry listens for callers");
    let answer = fleet::client()
        .expect("failed to create the client")
        .post(format!("http://{address}/v1/pipelines/{pipeline}"))
        .header("x-team", team)
        .header("idempotency-key", key)
        .body(r#"{"query":"tea for 20"}"#)
        .send()
        .await
        .expect("request failed");
    answer.json().await.expect("invalid JSON")
}

fn finished_runs(fleet: &Fleet, path: &str) -> usize {
    let backends = fleet
        .backends
        .iter()
        .flat_map(|backend| backend.engine.runs());
    backends
        .filter(|run| run.path == path && run.finished)
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn path_serves_bergvik() {
    let fleet = start("bergvik.rules").await;
    let first = send(&fleet, 0, "book-room", "public-portal", "key-1").await;
    assert_eq!(first["text"], "word0 word1 word2 ", "{first}");
    let retry = send(&fleet, 1, "book-room", "public-portal", "key-1").await;
    assert_eq!(
        retry["results"][1], first["results"][1],
        "the recorded booking was not returned"
    );
    assert_eq!(
        finished_runs(&fleet, "/bookings"),
        1,
        "the booking did not run exactly once"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn path_serves_tiha_nosht() {
    let fleet = start("tiha-nosht.rules").await;
    let answer = send(&fleet, 1, "order-parcel", "hospices", "key-1").await;
    assert_eq!(answer["text"], "word0 word1 word2 ", "{answer}");
    assert_eq!(finished_runs(&fleet, "/parcels"), 1);
}
