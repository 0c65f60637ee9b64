//! Tests of streams while engines of two software versions serve side by side.

mod gateways;

use self::gateways::{deployment, set_faults, wait_for_log};
use cicadacrank_bench::deployment::{Answer, Caller, Deployment, Endpoint, Fault, Role, send};
use cicadacrank_node::platform::Collection;
use serde_json::json;
use std::time::Duration;
use tokio::time;

/// Time in which the retry budget of a gateway that has just started fills.
const BUDGET_TIME: Duration = Duration::from_secs(3);

const NEW: &str = "v2";

fn engines(deployment: &Deployment) -> Vec<&Endpoint> {
    deployment.endpoints_with(Role::Engine).collect()
}

/// Registers an engine with a version of its software.
fn register(deployment: &Deployment, engine: &Endpoint, version: &str, sequence: u64) {
    let mut entry = engine.entry("ready", sequence);
    entry["version"] = json!(version);
    let mut store = deployment.store.state();
    store.put(Collection::Endpoints, &engine.id, entry);
}

/// Registers the engines from `first` on with the new version, and waits until all
/// gateways know.
async fn release(deployment: &Deployment, first: usize) {
    for engine in &engines(deployment)[first..] {
        register(deployment, engine, NEW, 2);
    }
    let listing = deployment.store.state().list(Collection::Endpoints);
    let revision = listing.version.revision;
    let known = format!("DirectoryChanged: era=0 revision={revision} ");
    for gateway in 0..deployment.gateways.len() {
        wait_for_log(deployment, gateway, &known).await;
    }
}

/// Returns the numbers of the engines that ran an attempt.
fn engines_of(deployment: &Deployment, attempt: &str) -> Vec<usize> {
    let ran = |engine: &Endpoint| engine.runs().iter().any(|run| run.attempt == attempt);
    let engines = engines(deployment);
    let ran = engines.iter().enumerate().filter(|(_, engine)| ran(engine));
    ran.map(|(number, _)| number).collect()
}

fn caller() -> Caller {
    Caller::new().expect("failed to create the caller")
}

/// Starts a stream at a gateway, and returns the answer.
async fn begin(deployment: &Deployment, gateway: usize, attempt: &str) -> Answer {
    let address = deployment.gateways[gateway].caller_address();
    send(caller().stream(address, "/chat/x", attempt)).await
}

/// A stream that broke off went on at an engine of another version.
#[tokio::test]
async fn stream_goes_on_only_at_an_engine_of_the_version_that_began_it() {
    let deployment = deployment(1, 3).await;
    release(&deployment, 2).await;
    time::sleep(BUDGET_TIME).await;
    let mut resumed = 0;
    for broken in 0..3 {
        set_faults(&deployment, Role::Engine, Fault::None);
        engines(&deployment)[broken].set_fault(Fault::BreakOff);
        for number in 0..6 {
            let attempt = format!("s{broken}-{number}");
            let answer = begin(&deployment, 0, &attempt).await;
            let ran = engines_of(&deployment, &attempt);
            let versions = ran.iter().map(|engine| *engine >= 2);
            let is_mixed = versions.clone().any(|new| new) && versions.clone().any(|new| !new);
            assert!(!is_mixed, "{attempt} ran at {ran:?}");
            if ran.contains(&broken) {
                let has_other = broken < 2;
                assert_eq!(answer.whole, has_other, "{attempt} ran at {ran:?}");
                resumed += usize::from(has_other);
            }
        }
    }
    assert!(resumed > 0, "no stream was resumed");
}
