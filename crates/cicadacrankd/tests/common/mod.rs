//! Shared helpers: starts a small fleet of processes and sends requests to it.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use cicadacrank_bench::{
    engine::Profile,
    fleet::{self, Backend, Fleet, Plan},
};
use reqwest::RequestBuilder;
use serde_json::{Value, json};
use std::{fs, path::Path};

/// A response as a caller receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub effect: String,
    pub body: Value,
}

impl Answer {
    /// Returns the kind of the error, or an empty string if the response has no error.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }
}

/// Creates a profile from the time to the first byte and the time between tokens, both in
/// microseconds, and the number of tokens.
pub fn profile(first_us: u64, token_us: u64, tokens: u64) -> Profile {
    let profile = json!({ "first_us": first_us, "token_us": token_us, "tokens": tokens });
    serde_json::from_value(profile).expect("invalid profile")
}

pub fn plan(rules: &str) -> Plan {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(rules);
    Plan {
        program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
        rules: fs::read_to_string(file).expect("failed to read the rules"),
        entries: 2,
        timeouts: json!({ "refresh_ms": 100, "notice_ms": 300 }),
        profile: profile(0, 0, 3),
    }
}

pub async fn start_small_fleet() -> Fleet {
    Fleet::start(plan("tests/samples/small.rules"))
        .await
        .expect("failed to start the fleet")
}

/// Builds a request of the team `desk` with the given idempotency key.
pub fn request(fleet: &Fleet, entry: usize, pipeline: &str, key: &str) -> RequestBuilder {
    let address = fleet.entries[entry]
        .addresses
        .caller_listen
        .expect("an entry listens for callers");
    fleet::client()
        .expect("failed to create the client")
        .post(format!("http://{address}/v1/pipelines/{pipeline}"))
        .header("x-team", "desk")
        .header("idempotency-key", key)
        .body(r#"{"query":"tea for 20"}"#)
}

pub async fn send(request: RequestBuilder) -> Answer {
    let answer = request.send().await.expect("request failed");
    let effect = answer
        .headers()
        .get("x-effect")
        .map(|value| value.to_str().expect("the header is not text"));
    Answer {
        status: answer.status().as_u16(),
        effect: effect.unwrap_or_default().to_owned(),
        body: answer.json().await.expect("invalid JSON"),
    }
}

/// Returns the number of runs on this path at all endpoints, finished or not.
pub fn run_count(fleet: &Fleet, path: &str) -> usize {
    let runs = fleet
        .backends
        .iter()
        .flat_map(|backend| backend.engine.runs());
    runs.filter(|run| run.path == path).count()
}

/// Waits for a run on this path and returns the index of its endpoint in `fleet.backends`.
pub async fn wait_for_run(fleet: &Fleet, path: &str) -> usize {
    fleet::wait_for("work started", async || run_count(fleet, path) > 0)
        .await
        .expect("the work has started");
    let has_run = |backend: &Backend| backend.engine.runs().iter().any(|run| run.path == path);
    fleet
        .backends
        .iter()
        .position(has_run)
        .expect("an endpoint with a run")
}

/// Makes each endpoint whose name starts with `pool` wait `first_ms` before its first byte.
pub fn delay_pool(fleet: &Fleet, pool: &str, first_ms: u64) {
    for backend in fleet
        .backends
        .iter()
        .filter(|backend| backend.endpoint.starts_with(pool))
    {
        backend.engine.set_profile(profile(first_ms * 1_000, 0, 3));
    }
}
