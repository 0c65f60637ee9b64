//! Shared helpers of the tests of gateways.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use cicadacrank_bench::{
    deployment::{Answer, Caller, Deployment, Endpoint, Fault, Plan, Role, send},
    fleet,
};
use cicadacrank_node::platform::Collection;
use serde_json::json;

/// Starts a deployment with a number of gateways, and of endpoints of each role.
pub async fn deployment(gateways: usize, endpoints: usize) -> Deployment {
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
        gateways,
        endpoints,
    };
    Deployment::start(&plan)
        .await
        .expect("failed to start the deployment")
}

/// Waits until the log of a gateway contains `text`. Lines are written after the
/// response that they tell of.
pub async fn wait_for_log(deployment: &Deployment, gateway: usize, text: &str) {
    let gateway = &deployment.gateways[gateway];
    if fleet::wait_for(text, async || gateway.log_text().contains(text))
        .await
        .is_err()
    {
        panic!("{text} is missing: {}", gateway.log_text());
    }
}

/// Sets the fault of all endpoints of a role.
pub fn set_faults(deployment: &Deployment, role: Role, fault: Fault) {
    deployment
        .endpoints_with(role)
        .for_each(|endpoint| endpoint.set_fault(fault));
}

/// Returns the engines, in the order of their numbers.
pub fn engines(deployment: &Deployment) -> Vec<&Endpoint> {
    deployment.endpoints_with(Role::Engine).collect()
}

/// Registers an engine with a version of its software.
pub fn register(deployment: &Deployment, engine: &Endpoint, version: &str, sequence: u64) {
    let mut entry = engine.entry("ready", sequence);
    entry["version"] = json!(version);
    let mut store = deployment.store.state();
    store.put(Collection::Endpoints, &engine.id, entry);
}

/// Waits until a gateway holds the list of endpoints that the store has now.
pub async fn wait_for_directory(deployment: &Deployment, gateway: usize) {
    let listing = deployment.store.state().list(Collection::Endpoints);
    wait_for_revision(deployment, gateway, listing.version.revision).await;
}

/// Waits until a gateway holds the list of endpoints of a revision of the store in its first
/// era. It may have read that list at a later revision, since gateways write other objects.
pub async fn wait_for_revision(deployment: &Deployment, gateway: usize, revision: u64) {
    let gateway = &deployment.gateways[gateway];
    let is_held = async || {
        let log = gateway.log_text();
        let lists = log.split("DirectoryChanged: era=0 revision=").skip(1);
        let mut revisions = lists.filter_map(|list| list.split(' ').next()?.parse::<u64>().ok());
        revisions.any(|held| held >= revision)
    };
    if fleet::wait_for("the list of endpoints", is_held)
        .await
        .is_err()
    {
        panic!("revision {revision} is missing: {}", gateway.log_text());
    }
}

fn caller() -> Caller {
    Caller::new().expect("failed to create the caller")
}

/// Starts a stream at a gateway, and returns the answer.
pub async fn begin(deployment: &Deployment, gateway: usize, attempt: &str) -> Answer {
    let address = deployment.gateways[gateway].caller_address();
    send(caller().stream(address, "/chat/x", attempt)).await
}

/// Takes up the stream that the attempt `began` had begun, after its third event.
pub async fn take_up(
    deployment: &Deployment,
    gateway: usize,
    attempt: &str,
    began: &str,
) -> Answer {
    let address = deployment.gateways[gateway].caller_address();
    let request = caller().stream(address, "/chat/x", attempt);
    let request = request
        .header("last-event-id", "3")
        .header("resumes", began);
    send(request).await
}

/// Begins `count` streams at a gateway, and returns their attempts. They break off after the
/// third event, and no engine goes on with them.
pub async fn begin_streams(deployment: &Deployment, gateway: usize, count: usize) -> Vec<String> {
    set_faults(deployment, Role::Engine, Fault::BreakOff);
    let mut attempts = Vec::new();
    for number in 0..count {
        let attempt = format!("s{number}");
        let answer = begin(deployment, gateway, &attempt).await;
        assert!(!answer.whole, "{attempt}");
        attempts.push(attempt);
    }
    set_faults(deployment, Role::Engine, Fault::None);
    attempts
}
