//! Tests of what endpoints state about themselves in their answers.

use cicadacrank_bench::{
    deployment::{Answer, Caller, Deployment, Endpoint, Fault, Plan, Role, send},
    fleet,
};
use cicadacrank_node::platform::Collection;
use reqwest::Method;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time;

/// Number of requests of which some would reach each of two endpoints.
const REQUESTS: usize = 12;

async fn deployment(gateways: usize, endpoints: usize) -> Deployment {
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
        gateways,
        endpoints,
    };
    Deployment::start(&plan)
        .await
        .expect("failed to start the deployment")
}

/// Sends a request on the route of the given kind of endpoint.
async fn ask(deployment: &Deployment, gateway: usize, role: Role, attempt: &str) -> Answer {
    let caller = Caller::new().expect("failed to create the caller");
    let gateway = deployment.gateways[gateway].caller_address();
    send(match role {
        Role::Desk => caller.request(Method::GET, gateway, "/look/1", attempt),
        Role::Engine | Role::Worker => caller.stream(gateway, "/chat/x", attempt),
    })
    .await
}

/// Returns the number of requests or calls that an endpoint got.
fn arrivals(endpoint: &Endpoint) -> usize {
    match endpoint.role {
        Role::Worker => endpoint.calls().len(),
        Role::Desk | Role::Engine => endpoint.runs().len(),
    }
}

/// Sends requests until `reached` is true.
async fn ask_until(deployment: &Deployment, role: Role, name: &str, reached: impl Fn() -> bool) {
    let mut number = 0;
    fleet::wait_for("a request at the endpoint", async || {
        number += 1;
        ask(deployment, 0, role, &format!("{name}{number}")).await;
        reached()
    })
    .await
    .expect("the endpoint gets a request");
}

/// Waits until the log of a gateway contains `text`. Lines are written after the
/// response that they tell of.
async fn wait_for_log(deployment: &Deployment, gateway: usize, text: &str) {
    let gateway = &deployment.gateways[gateway];
    let waited = fleet::wait_for(text, async || gateway.log_text().contains(text)).await;
    assert!(waited.is_ok(), "{text} is missing: {}", gateway.log_text());
}

/// Checks that an endpoint whose answers state that it leaves gets nothing after the
/// first of them, although the store lists it as ready, until it has started again.
async fn check_leaving(role: Role) {
    let deployment = deployment(1, 2).await;
    let endpoint = deployment.endpoints_with(role).next().expect("an endpoint");
    endpoint.set_leaving(true);
    ask_until(&deployment, role, "a", || arrivals(endpoint) > 0).await;
    let before = arrivals(endpoint);
    for number in 0..REQUESTS {
        let answer = ask(&deployment, 0, role, &format!("b{number}")).await;
        assert_eq!(answer.status, Some(200), "b{number}");
    }
    assert_eq!(arrivals(endpoint), before, "requests after the statement");
    wait_for_log(&deployment, 0, "EndpointLeaving").await;
    endpoint.set_leaving(false);
    let mut entry = endpoint.entry("ready", 1);
    entry["born"] = json!(2_000);
    deployment
        .store
        .state()
        .put(Collection::Endpoints, &endpoint.id, entry);
    ask_until(&deployment, role, "c", || arrivals(endpoint) > before).await;
}

/// An endpoint that stated that it leaves got requests until the store said so.
#[tokio::test]
async fn plain_endpoint_that_states_that_it_leaves_gets_no_more_requests() {
    check_leaving(Role::Desk).await;
}

/// An engine that stated that it leaves got requests until the store said so.
#[tokio::test]
async fn engine_that_states_that_it_leaves_gets_no_more_requests() {
    check_leaving(Role::Engine).await;
}

/// A worker that stated that it leaves got calls until the store said so.
#[tokio::test]
async fn worker_that_states_that_it_leaves_gets_no_more_calls() {
    check_leaving(Role::Worker).await;
}

/// A statement in an answer that is no success was not heeded.
#[tokio::test]
async fn endpoint_may_state_that_it_leaves_in_any_answer() {
    for fault in [Fault::Decline, Fault::Fail] {
        let deployment = deployment(1, 2).await;
        let desk = deployment.endpoints_with(Role::Desk).next();
        let desk = desk.expect("an endpoint");
        desk.set_fault(fault);
        desk.set_leaving(true);
        let gateway = &deployment.gateways[0];
        ask_until(&deployment, Role::Desk, "a", || {
            gateway.log_text().contains("EndpointLeaving")
        })
        .await;
        desk.set_fault(Fault::None);
        let before = arrivals(desk);
        for number in 0..REQUESTS {
            ask(&deployment, 0, Role::Desk, &format!("b{number}")).await;
        }
        assert_eq!(arrivals(desk), before, "{fault:?}");
    }
}

/// An answer to another request, or of another endpoint, says nothing of this one.
#[tokio::test]
async fn answer_that_belongs_elsewhere_does_not_state_that_an_endpoint_leaves() {
    for fault in [Fault::Foreign, Fault::Misdirected] {
        let deployment = deployment(1, 1).await;
        let desk = deployment.endpoints_with(Role::Desk).next();
        let desk = desk.expect("an endpoint");
        desk.set_fault(fault);
        desk.set_leaving(true);
        ask(&deployment, 0, Role::Desk, "a").await;
        desk.set_fault(Fault::None);
        desk.set_leaving(false);
        ask_until(&deployment, Role::Desk, "b", || {
            desk.runs().iter().any(|run| run.attempt.starts_with('b'))
        })
        .await;
        let log = deployment.gateways[0].log_text();
        assert!(!log.contains("EndpointLeaving"), "{fault:?}: {log}");
    }
}

/// A gateway that has no answer of a leaving endpoint kept sending to it.
#[tokio::test]
async fn gateways_tell_each_other_which_endpoints_leave() {
    let deployment = deployment(2, 2).await;
    let desk = deployment.endpoints_with(Role::Desk).next();
    let desk = desk.expect("an endpoint");
    desk.set_leaving(true);
    ask_until(&deployment, Role::Desk, "a", || arrivals(desk) > 0).await;
    wait_for_log(&deployment, 1, "EndpointLeaving").await;
    let before = arrivals(desk);
    for number in 0..REQUESTS {
        ask(&deployment, 1, Role::Desk, &format!("b{number}")).await;
    }
    assert_eq!(arrivals(desk), before);
}

/// Requests ran their stages and were then refused when all engines were leaving.
#[tokio::test]
async fn request_is_refused_at_once_when_all_endpoints_leave() {
    for role in [Role::Desk, Role::Engine] {
        let deployment = deployment(1, 1).await;
        let endpoint = deployment.endpoints_with(role).next();
        endpoint.expect("an endpoint").set_leaving(true);
        assert_eq!(ask(&deployment, 0, role, "a").await.status, Some(200));
        let worker = deployment.endpoints_with(Role::Worker).next();
        let worker = worker.expect("a worker");
        let calls = arrivals(worker);
        let asked_at = Instant::now();
        assert_eq!(ask(&deployment, 0, role, "b").await.status, Some(503));
        assert!(asked_at.elapsed() < Duration::from_millis(500));
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(arrivals(worker), calls, "stages of a refused request");
    }
}
