//! Tests of orders to move a service to another version, with real gateways.

mod gateways;

use self::gateways::{deployment, register, wait_for_directory, wait_for_log};
use cicadacrank_bench::{
    deployment::{Caller, Deployment, Endpoint, Fault, Role, send},
    fleet,
};
use cicadacrank_node::platform::Collection;
use reqwest::Method;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{self, Instant};

const OLD: usize = 2;
const SERVICE: &str = "desk";
const NEW: &str = "v2";

/// Part of the requests, and their number besides, that a bad version may get.
const SHARE: f64 = 0.1;
const TOLERANCE: f64 = 50.0;

/// Time after many bad answers from which on a version gets no requests.
const ROLLBACK: Duration = Duration::from_secs(5);

fn desks(deployment: &Deployment) -> Vec<&Endpoint> {
    deployment.endpoints_with(Role::Desk).collect()
}

/// Starts gateways, with desks of an old and of a new version.
async fn mixed_deployment(gateways: usize) -> Deployment {
    let deployment = deployment(gateways, OLD * 2).await;
    for desk in &desks(&deployment)[OLD..] {
        register(&deployment, desk, NEW, 2);
    }
    for gateway in 0..gateways {
        wait_for_directory(&deployment, gateway).await;
    }
    deployment
}

async fn order(deployment: &Deployment, to: &str, seconds: u64) {
    let order = json!({ "service": SERVICE, "to": to, "durationS": seconds });
    let store = &deployment.store;
    store.state().put(Collection::Rollouts, SERVICE, order);
    for gateway in 0..deployment.gateways.len() {
        wait_for_log(
            deployment,
            gateway,
            &format!("RolloutBegan: service={SERVICE} to={to}"),
        )
        .await;
    }
}

fn status(deployment: &Deployment) -> Value {
    let object = deployment.store.state().get(Collection::Rollouts, SERVICE);
    object.map_or(Value::Null, |object| object.status)
}

fn has_state(deployment: &Deployment, state: &str) -> bool {
    status(deployment)["state"] == json!(state)
}

/// Number of requests that the desks of the old and of the new version ran.
fn runs(deployment: &Deployment) -> (usize, usize) {
    let desks = desks(deployment);
    let count = |desks: &[&Endpoint]| desks.iter().map(|desk| desk.runs().len()).sum();
    (count(&desks[..OLD]), count(&desks[OLD..]))
}

/// Sends requests to all gateways in turn until `done` or for at most `longest`. Returns the
/// numbers of answers with and without success.
async fn send_until(
    deployment: &Deployment,
    longest: Duration,
    done: impl Fn() -> bool,
) -> (usize, usize) {
    let caller = Caller::new().expect("failed to create the caller");
    let until = Instant::now() + longest;
    let (mut good, mut bad) = (0, 0);
    let name = format!("{:?}", Instant::now());
    while Instant::now() < until && !done() {
        let gateway = &deployment.gateways[(good + bad) % deployment.gateways.len()];
        let attempt = format!("{name}-{}", good + bad).replace([' ', '{', '}', ':', ','], "");
        let request = caller.request(Method::POST, gateway.caller_address(), "/book/x", &attempt);
        let answer = send(request).await;
        if answer.status == Some(200) {
            good += 1;
        } else {
            bad += 1;
        }
        time::sleep(Duration::from_millis(3)).await;
    }
    (good, bad)
}

async fn wait_for_state(deployment: &Deployment, state: &str) {
    let reached = fleet::wait_for(state, async || has_state(deployment, state)).await;
    assert!(reached.is_ok(), "{state}: {}", status(deployment));
}

#[tokio::test]
async fn good_version_is_completed_and_serves_alone() {
    let deployment = mixed_deployment(2).await;
    let before = runs(&deployment);
    order(&deployment, NEW, 16).await;
    wait_for_state(&deployment, "in_progress").await;
    let is_done = || has_state(&deployment, "completed");
    let (_, bad) = send_until(&deployment, Duration::from_secs(16), is_done).await;
    assert_eq!(bad, 0, "failed requests");
    assert_eq!(
        status(&deployment),
        json!({ "state": "completed", "to": NEW })
    );
    let after = runs(&deployment);
    assert!(after.1 > before.1, "{before:?} {after:?}");
    send_until(&deployment, Duration::from_millis(500), || false).await;
    assert_eq!(runs(&deployment).0, after.0, "the old version got requests");
}

#[tokio::test]
async fn version_that_fails_is_rolled_back_within_its_limits() {
    let deployment = mixed_deployment(2).await;
    for desk in &desks(&deployment)[OLD..] {
        desk.set_fault(Fault::Fail);
    }
    let before = runs(&deployment);
    order(&deployment, NEW, 30).await;
    let is_done = || has_state(&deployment, "rolled_back");
    send_until(&deployment, ROLLBACK * 2, is_done).await;
    assert_eq!(
        status(&deployment),
        json!({ "state": "rolled_back", "to": NEW })
    );
    let after = runs(&deployment);
    let exposed = after.1 - before.1;
    let all = after.0 + after.1 - before.0 - before.1;
    assert!(
        exposed as f64 <= (all as f64).mul_add(SHARE, TOLERANCE),
        "{exposed} of {all}"
    );
    let (_, bad) = send_until(&deployment, Duration::from_secs(1), || false).await;
    assert_eq!(bad, 0, "requests failed after the rollback");
    assert_eq!(runs(&deployment).1, after.1, "the new version got requests");
}

/// Gateways that start in the middle know what the store holds, and no tolerance is used
/// twice.
#[tokio::test]
async fn rollout_goes_on_after_all_gateways_were_killed() {
    let mut deployment = mixed_deployment(2).await;
    order(&deployment, NEW, 16).await;
    wait_for_state(&deployment, "in_progress").await;
    send_until(&deployment, Duration::from_secs(1), || false).await;
    for gateway in &deployment.gateways {
        gateway.kill().expect("failed to kill");
    }
    for gateway in &mut deployment.gateways {
        gateway.wait().await.expect("failed to wait");
        gateway.restart().expect("failed to restart the process");
    }
    for gateway in &deployment.gateways {
        gateway.wait_ready().await.expect("ready");
    }
    let before = runs(&deployment);
    send_until(&deployment, Duration::from_millis(800), || false).await;
    let after = runs(&deployment);
    let (old, new) = (after.0 - before.0, after.1 - before.1);
    assert!(
        new as f64 <= (old + new) as f64 * SHARE,
        "{new} of {}",
        old + new
    );
    let is_done = || has_state(&deployment, "completed");
    let (_, bad) = send_until(&deployment, Duration::from_secs(16), is_done).await;
    assert_eq!(bad, 0, "failed requests");
    assert!(
        has_state(&deployment, "completed"),
        "{}",
        status(&deployment)
    );
}

/// An order that was withdrawn leaves the old version in service.
#[tokio::test]
async fn order_that_is_withdrawn_keeps_the_old_version() {
    let deployment = mixed_deployment(1).await;
    order(&deployment, NEW, 60).await;
    wait_for_state(&deployment, "in_progress").await;
    deployment
        .store
        .state()
        .remove(Collection::Rollouts, SERVICE);
    wait_for_log(&deployment, 0, "phase=\"withdrawn\"").await;
    let before = runs(&deployment);
    send_until(&deployment, Duration::from_millis(500), || false).await;
    assert_eq!(
        runs(&deployment).1,
        before.1,
        "the new version got requests"
    );
}

/// While the store is away, a version that fails is still stopped by all gateways.
#[tokio::test]
async fn version_that_fails_is_stopped_while_the_store_is_away() {
    let deployment = mixed_deployment(2).await;
    order(&deployment, NEW, 60).await;
    wait_for_state(&deployment, "in_progress").await;
    let mut faults = deployment.store.state().faults.clone();
    faults.down = true;
    deployment.store.set_faults(faults.clone());
    for desk in &desks(&deployment)[OLD..] {
        desk.set_fault(Fault::Fail);
    }
    let stopped = || {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| gateway.log_text().contains("RolloutStopped"))
    };
    send_until(&deployment, ROLLBACK * 2, stopped).await;
    assert!(stopped(), "not stopped");
    let before = runs(&deployment);
    send_until(&deployment, Duration::from_millis(500), || false).await;
    assert_eq!(
        runs(&deployment).1,
        before.1,
        "the new version got requests"
    );
    faults.down = false;
    deployment.store.set_faults(faults);
    wait_for_state(&deployment, "rolled_back").await;
}
