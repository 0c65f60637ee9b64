//! Tests of the limits that endpoints state while gateways come and go.

mod gateways;

use self::gateways::{deployment, wait_for_log};
use cicadacrank_bench::{
    deployment::{Caller, Deployment, Role, send},
    fleet,
};
use cicadacrank_core::roster::{Gateway, Room, Roster};
use reqwest::Method;
use std::time::Duration;
use tokio::time::{self, Instant};

/// Window in which a stated limit is broken above 1.5 times the limit and 5 requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the first statement from which on the limit holds.
const STABILITY: Duration = Duration::from_secs(3);

/// Limit that the endpoint states, in requests a second.
const LIMIT: f64 = 1.0;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Returns the largest number of times in any window that begins at `from` or later.
fn most_in_a_window(times: &[Instant], from: Instant) -> usize {
    let starts = times.iter().enumerate().filter(|(_, at)| **at >= from);
    let counts = starts.map(|(index, start)| {
        let window = times[index..].iter();
        window.take_while(|at| **at < *start + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the gateways in the order in which they keep the reserve of an endpoint's limit
/// when they leave one after the other.
fn grantors(deployment: &Deployment, endpoint: &str) -> Vec<usize> {
    let gateway = |number: usize| Gateway {
        instance: format!("gateway-{number}"),
        incarnation: 1,
        address: number.to_string(),
        leaving: false,
        heartbeats: 0,
        reads_digests: false,
        room: Room::default(),
    };
    let mut left: Vec<usize> = (0..deployment.gateways.len()).collect();
    let mut order = Vec::new();
    while let Some((local, others)) = left.split_first() {
        let mut roster = Roster::new(gateway(*local));
        for other in others {
            roster.record_contact(gateway(*other), Duration::ZERO);
        }
        let grantor = roster.grantor(endpoint, Duration::ZERO);
        let next = grantor.map_or(*local, |one| one.address.parse().expect("a number"));
        order.push(next);
        left.retain(|one| *one != next);
    }
    order
}

/// Number of requests that are sent at once.
const BURST: usize = 40;

/// A gateway that had started after an endpoint stated its limit granted without any bound.
#[tokio::test]
async fn gateway_that_has_just_started_grants_no_more_than_a_limit_allows() {
    let mut deployment = deployment(3, 1).await;
    time::sleep(WINDOW + STABILITY).await;
    let desk = deployment.endpoints_with(Role::Desk).next();
    let desk = desk.expect("an endpoint");
    desk.set_limit(Some(LIMIT));
    let id = desk.id.clone();
    let order = grantors(&deployment, &id);
    let caller = Caller::new().expect("failed to create the caller");
    let address = deployment.gateways[order[1]].caller_address();
    let ask = |name: String| send(caller.request(Method::GET, address, "/look/1", &name));
    assert_eq!(ask("first".to_owned()).await.status, Some(200));
    // Heartbeats no longer report the statement.
    time::sleep(STABILITY).await;
    let grantor = &mut deployment.gateways[order[0]];
    grantor.kill().expect("failed to send the signal");
    grantor.wait().await.expect("failed to wait");
    wait_for_log(&deployment, order[1], "PeerLost").await;
    let grantor = &mut deployment.gateways[order[0]];
    grantor.restart().expect("failed to restart the process");
    grantor.wait_ready().await.expect("ready");
    let is_back = || {
        let log = deployment.gateways[order[1]].log_text();
        log.rfind("PeerRegained") > log.rfind("PeerLost")
    };
    fleet::wait_for("the gateway is known to be back", async || is_back())
        .await
        .expect("a heartbeat arrives");
    let requests = (0..BURST).map(|number| tokio::spawn(ask(format!("a{number}"))));
    let requests: Vec<_> = requests.collect();
    for request in requests {
        request.await.expect("the request ends");
    }
    let desk = deployment.endpoints_with(Role::Desk).next();
    let times: Vec<Instant> = desk
        .expect("an endpoint")
        .runs()
        .iter()
        .map(|run| run.at)
        .collect();
    let allowed = (LIMIT * 1.5).mul_add(WINDOW.as_secs_f64(), 5.0) as usize;
    let most = most_in_a_window(&times, times[0] + STABILITY);
    assert!(most <= allowed, "{most} in four seconds, {allowed} allowed");
}

/// A gateway that had started after an endpoint stated its limit sent to it without any bound
/// until the first answer.
#[tokio::test]
async fn gateway_that_has_just_started_learns_the_limits_that_others_know() {
    let mut deployment = deployment(2, 1).await;
    let desk = deployment.endpoints_with(Role::Desk).next();
    desk.expect("an endpoint").set_limit(Some(LIMIT));
    let caller = Caller::new().expect("failed to create the caller");
    let address = deployment.gateways[0].caller_address();
    let request = caller.request(Method::GET, address, "/look/1", "first");
    assert_eq!(send(request).await.status, Some(200));
    // Heartbeats no longer report the statement.
    time::sleep(STABILITY).await;
    let gateway = &mut deployment.gateways[1];
    gateway.kill().expect("failed to send the signal");
    gateway.wait().await.expect("failed to wait");
    let before = gateway.log_text().matches("LimitChanged").count();
    gateway.restart().expect("failed to restart the process");
    let gateway = &deployment.gateways[1];
    fleet::wait_for("the limit in the log", async || {
        gateway.log_text().matches("LimitChanged").count() > before
    })
    .await
    .expect("the limit is known without a request");
}

/// Each gateway that kept the reserve of a limit granted the whole of it, although the one
/// before had done so within the same four seconds.
#[tokio::test]
async fn gateways_that_stop_in_turn_grant_no_more_than_a_limit_allows() {
    let deployment = deployment(6, 1).await;
    let desk = deployment.endpoints_with(Role::Desk).next();
    let desk = desk.expect("an endpoint");
    desk.set_limit(Some(LIMIT));
    let caller = Caller::new().expect("failed to create the caller");
    let ask = |gateway: usize, name: String| {
        let address = deployment.gateways[gateway].caller_address();
        send(caller.request(Method::GET, address, "/look/1", &name))
    };
    // The gateways may use their shares when they have run for a window.
    time::sleep(WINDOW + STABILITY).await;
    assert_eq!(ask(0, "first".to_owned()).await.status, Some(200));
    for gateway in 0..deployment.gateways.len() {
        wait_for_log(&deployment, gateway, "LimitChanged").await;
    }
    time::sleep(STABILITY).await;
    let order = grantors(&deployment, &desk.id);
    let begin = Instant::now();
    let mut requests = Vec::new();
    let mut number = 0;
    for stopped in 0..order.len() - 1 {
        let until = begin + Duration::from_secs(1) * u32::try_from(stopped + 1).expect("few");
        while Instant::now() < until {
            let gateway = order[stopped + number % (order.len() - stopped)];
            requests.push(tokio::spawn(ask(gateway, format!("a{number}"))));
            number += 1;
            time::sleep(REQUEST_INTERVAL).await;
        }
        let gateway = &deployment.gateways[order[stopped]];
        gateway.terminate().expect("failed to send the signal");
    }
    for request in requests {
        request.await.expect("the request ends");
    }
    let times: Vec<Instant> = desk.runs().iter().map(|run| run.at).collect();
    let allowed = (LIMIT * 1.5).mul_add(WINDOW.as_secs_f64(), 5.0) as usize;
    let most = most_in_a_window(&times, times[0] + STABILITY);
    assert!(most <= allowed, "{most} in four seconds, {allowed} allowed");
    assert!(most >= 3, "the endpoint is still used: {most}");
}
