//! Tests of what endpoints state about themselves in their answers.

mod gateways;

use self::gateways::{deployment, wait_for_log};
use cicadacrank_bench::{
    deployment::{Answer, Caller, Deployment, Endpoint, Fault, Role, send},
    fleet,
};
use cicadacrank_node::platform::Collection;
use reqwest::{Method, RequestBuilder};
use serde_json::json;
use std::time::Duration;
use tokio::time::{self, Instant};

/// Number of requests of which some would reach each of two endpoints.
const REQUESTS: usize = 12;

/// Returns a request on the route of the given kind of endpoint.
fn request(
    deployment: &Deployment,
    caller: &Caller,
    gateway: usize,
    role: Role,
    attempt: &str,
) -> RequestBuilder {
    let gateway = deployment.gateways[gateway].caller_address();
    match role {
        Role::Desk => caller.request(Method::GET, gateway, "/look/1", attempt),
        Role::Engine | Role::Worker => caller.stream(gateway, "/chat/x", attempt),
    }
}

async fn ask(deployment: &Deployment, gateway: usize, role: Role, attempt: &str) -> Answer {
    let caller = Caller::new().expect("failed to create the caller");
    send(request(deployment, &caller, gateway, role, attempt)).await
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

/// Sends a first request and returns the endpoint of a role that got it, which is chosen
/// for the next one too as long as nothing speaks against it, and the other one.
async fn first_choice(deployment: &Deployment, role: Role) -> (&Endpoint, &Endpoint) {
    let answer = ask(deployment, 0, role, "first").await;
    assert_eq!(answer.status, Some(200));
    let endpoints: Vec<&Endpoint> = deployment.endpoints_with(role).collect();
    match endpoints[..] {
        [one, other] if arrivals(one) > 0 => (one, other),
        [other, one] => (one, other),
        _ => panic!("{} endpoints instead of two", endpoints.len()),
    }
}

/// Checks that an endpoint whose answers state that it leaves gets nothing after the
/// first of them, although the store lists it as ready, until it has started again.
async fn check_leaving(role: Role) {
    let deployment = deployment(1, 2).await;
    let (endpoint, _) = first_choice(&deployment, role).await;
    let before = arrivals(endpoint);
    endpoint.set_leaving(true);
    ask_until(&deployment, role, "a", || arrivals(endpoint) > before).await;
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

/// Time after an answer with status 503 from which on its endpoint gets nothing.
const NOTICE: Duration = Duration::from_millis(500);

/// Number of requests that may reach an endpoint all the same while it wants none.
const TOLERATED: usize = 2;

/// Checks that an endpoint that turns a request away for some time gets nothing until
/// then, although it would serve requests, and is used afterwards.
async fn check_pause(role: Role, fault: Fault) {
    const PAUSE: Duration = Duration::from_millis(2_500);
    let deployment = deployment(1, 2).await;
    let (endpoint, other) = first_choice(&deployment, role).await;
    let before = endpoint.arrivals().len();
    endpoint.set_fault(fault);
    endpoint.set_retry_after(Some(PAUSE.as_secs_f64()));
    ask_until(&deployment, role, "a", || {
        endpoint.arrivals().len() > before
    })
    .await;
    endpoint.set_fault(Fault::None);
    let refused_at = endpoint.arrivals()[before];
    let mut requests = Vec::new();
    while refused_at.elapsed() < PAUSE {
        let caller = Caller::new().expect("failed to create the caller");
        let attempt = format!("b{}", requests.len());
        let request = request(&deployment, &caller, 0, role, &attempt);
        requests.push(tokio::spawn(send(request)));
        time::sleep(Duration::from_millis(40)).await;
    }
    let arrivals = endpoint.arrivals();
    let paused = refused_at + NOTICE..refused_at + PAUSE;
    let early = arrivals.iter().filter(|at| paused.contains(at)).count();
    assert!(early <= TOLERATED, "{early} requests while it wants none");
    for request in requests {
        let answer = request.await.expect("the request ends");
        assert_eq!(answer.status, Some(200));
    }
    // The health of the endpoint, which was full, must not matter for what follows.
    other.set_leaving(true);
    let before = endpoint.arrivals().len();
    ask_until(&deployment, role, "c", || {
        endpoint.arrivals().len() > before
    })
    .await;
    wait_for_log(&deployment, 0, "EndpointPaused").await;
}

/// An endpoint that wanted no requests for some time got them as before.
#[tokio::test]
async fn plain_endpoint_gets_no_requests_for_the_time_that_it_states() {
    check_pause(Role::Desk, Fault::Decline).await;
}

/// As above, when the answer does not state that the request did not run.
#[tokio::test]
async fn plain_endpoint_that_may_have_run_a_request_is_paused_too() {
    check_pause(Role::Desk, Fault::Refuse).await;
}

/// An engine that wanted no requests for some time got them as before.
#[tokio::test]
async fn engine_gets_no_requests_for_the_time_that_it_states() {
    check_pause(Role::Engine, Fault::Decline).await;
}

/// A worker that wanted no calls for some time was called again after 60 ms.
#[tokio::test]
async fn worker_gets_no_calls_for_the_time_that_it_states() {
    check_pause(Role::Worker, Fault::Decline).await;
}

/// Starts a deployment whose only endpoint of a role has just turned a request away for
/// `seconds`, and would now serve requests.
async fn paused_deployment(role: Role, seconds: f64) -> Deployment {
    let deployment = deployment(1, 1).await;
    let endpoint = deployment.endpoints_with(role).next().expect("an endpoint");
    endpoint.set_fault(Fault::Decline);
    endpoint.set_retry_after(Some(seconds));
    assert_eq!(ask(&deployment, 0, role, "a").await.status, Some(503));
    assert_eq!(endpoint.arrivals().len(), 1, "one request is turned away");
    endpoint.set_fault(Fault::None);
    deployment
}

/// A request for which all endpoints are paused too long was sent all the same, or its
/// stages were run before it was refused.
#[tokio::test]
async fn request_is_refused_at_once_when_all_endpoints_are_paused_past_its_deadline() {
    for role in Role::ALL {
        let deployment = paused_deployment(role, 20.0).await;
        let arrivals = || -> usize {
            let endpoints = deployment.endpoints.iter();
            endpoints.map(|endpoint| endpoint.arrivals().len()).sum()
        };
        let before = arrivals();
        let asked_at = Instant::now();
        let answer = ask(&deployment, 0, role, "b").await;
        assert_eq!(answer.status, Some(503), "{role:?}");
        assert!(asked_at.elapsed() < Duration::from_millis(500), "{role:?}");
        assert_eq!(arrivals(), before, "{role:?}");
    }
}

/// A caller was told to come back while the only endpoint still wanted no requests.
#[tokio::test]
async fn refused_caller_is_told_when_the_first_endpoint_is_free_again() {
    let deployment = paused_deployment(Role::Desk, 1.8).await;
    let asked_at = Instant::now();
    let answer = ask(&deployment, 0, Role::Desk, "b").await;
    assert_eq!(answer.status, Some(503));
    let retry_after = answer.retry_after.expect("a time to come back");
    assert!((1.0..2.0).contains(&retry_after), "{retry_after}");
    time::sleep_until(asked_at + Duration::from_secs_f64(retry_after)).await;
    let answer = ask(&deployment, 0, Role::Desk, "c").await;
    assert_eq!(answer.status, Some(200));
}

/// A request was sent to a paused engine that was free again before its deadline.
#[tokio::test]
async fn request_waits_for_an_engine_that_is_free_before_its_deadline() {
    let deployment = paused_deployment(Role::Engine, 1.2).await;
    let answer = ask(&deployment, 0, Role::Engine, "b").await;
    assert_eq!(answer.status, Some(200));
    let engine = deployment.endpoints_with(Role::Engine).next();
    let arrivals = engine.expect("an engine").arrivals();
    let pause = arrivals[1] - arrivals[0];
    assert!(pause >= Duration::from_millis(1_200), "{pause:?}");
}

/// An endpoint that started again was paused for what its last incarnation stated.
#[tokio::test]
async fn endpoint_that_starts_again_is_not_paused() {
    let deployment = paused_deployment(Role::Desk, 20.0).await;
    let desk = deployment.endpoints_with(Role::Desk).next();
    let desk = desk.expect("an endpoint");
    let mut entry = desk.entry("ready", 1);
    entry["born"] = json!(2_000);
    deployment
        .store
        .state()
        .put(Collection::Endpoints, &desk.id, entry);
    ask_until(&deployment, Role::Desk, "b", || desk.arrivals().len() > 1).await;
}

/// Results were released at a worker that wanted nothing for some time.
#[tokio::test]
async fn results_at_a_paused_worker_are_released_after_the_pause() {
    const PAUSE: Duration = Duration::from_millis(1_500);
    let deployment = deployment(1, 1).await;
    let mut workers = deployment.endpoints_with(Role::Worker);
    let worker = workers.next().expect("a worker");
    let mut engines = deployment.endpoints_with(Role::Engine);
    let engine = engines.next().expect("an engine");
    let caller = Caller::new().expect("failed to create the caller");
    let start = |attempt: &str| {
        let request = request(&deployment, &caller, 0, Role::Engine, attempt);
        tokio::spawn(send(request))
    };
    engine.set_fault(Fault::Hang);
    let holder = start("a");
    // The results of the first stage are released, those of the second are held.
    fleet::wait_for("held results", async || {
        !engine.runs().is_empty() && worker.released() == 2
    })
    .await
    .expect("the first request holds results");
    let calls = worker.arrivals().len();
    worker.set_fault(Fault::Decline);
    worker.set_retry_after(Some(PAUSE.as_secs_f64()));
    let declined = start("b");
    fleet::wait_for("a declined call", async || worker.arrivals().len() > calls)
        .await
        .expect("the worker declines a call");
    let declined_at = worker.arrivals()[calls];
    worker.set_fault(Fault::None);
    wait_for_log(&deployment, 0, "EndpointPaused").await;
    holder.abort();
    fleet::wait_for("released results", async || worker.released() > 2)
        .await
        .expect("the results are released");
    assert!(
        declined_at.elapsed() >= PAUSE,
        "{:?}",
        declined_at.elapsed()
    );
    drop(declined.await);
}
