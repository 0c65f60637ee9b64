//! A data centre is taken out and brought back while requests arrive.

mod common;

use cicadacrank_bench::fleet::{self, Fleet};
use cicadacrank_node::{
    configuration::{RULESET_NAME, Ruleset},
    platform::Collection,
};
use common::{request, send, start_small_fleet};
use serde_json::Value;
use std::time::Duration;
use tokio::time;

/// Time within which every process applies a stored change.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of requests sent in each state.
const REQUESTS: usize = 40;

/// Stores rules as the operators' client does, and waits until every process has applied them.
///
/// Panics if that takes longer than `PROPAGATION_TIMEOUT`.
async fn publish_rules(fleet: &Fleet, generation: u64, rules: &str) {
    let ruleset = Ruleset {
        generation,
        rules: rules.to_owned(),
    };
    let spec = serde_json::to_value(ruleset).expect("failed to serialize the rules");
    fleet
        .platform
        .state()
        .put(Collection::Rulesets, RULESET_NAME, spec);
    time::timeout(PROPAGATION_TIMEOUT, wait_for_generation(fleet, generation))
        .await
        .expect("the rules were not applied in time");
}

async fn wait_for_generation(fleet: &Fleet, generation: u64) {
    let http = fleet::client().expect("failed to create the client");
    let daemons = fleet
        .backends
        .iter()
        .map(|backend| &backend.sidecar)
        .chain(&fleet.entries);
    for daemon in daemons {
        let url = format!("http://{}/status", daemon.addresses.operator_listen);
        loop {
            let page = http.get(&url).send().await.expect("request failed");
            let status: Value = page.json().await.expect("invalid JSON");
            if status["generation"].as_u64() >= Some(generation) {
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the number of runs at the endpoints whose names have the suffix of a data centre.
fn run_count(fleet: &Fleet, suffix: &str) -> usize {
    let backends = fleet
        .backends
        .iter()
        .filter(|backend| backend.endpoint.ends_with(suffix));
    backends.map(|backend| backend.engine.runs().len()).sum()
}

async fn send_requests(fleet: &Fleet) {
    for number in 0..REQUESTS {
        let answer = send(request(fleet, number % 2, "ask", "")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centre_taken_out_gets_no_new_work_until_it_is_back() {
    let fleet = start_small_fleet().await;
    let rules = include_str!("samples/small.rules");
    send_requests(&fleet).await;
    assert!(
        run_count(&fleet, "-n") > 0 && run_count(&fleet, "-s") > 0,
        "a data centre got no work before the take-out"
    );

    let taken_out = format!("{rules}take-out data-centre=north # Ada Test: maintenance\n");
    publish_rules(&fleet, 2, &taken_out).await;
    let before = run_count(&fleet, "-n");
    send_requests(&fleet).await;
    assert_eq!(run_count(&fleet, "-n"), before, "new work while taken out");

    publish_rules(&fleet, 3, rules).await;
    send_requests(&fleet).await;
    assert!(
        run_count(&fleet, "-n") > before,
        "no work after the data centre was brought back"
    );
}
