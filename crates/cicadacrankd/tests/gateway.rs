//! Tests of the gateway as a separate process between callers and endpoints.

mod gateways;

use self::gateways::{deployment, set_faults, wait_for_log, wait_for_revision};
use cicadacrank_bench::deployment::{
    Answer, CRASHING_PART, Caller, Deployment, EVENTS, Endpoint, Fault, Impairment, Resumption,
    Role, config, route, send,
};
use cicadacrank_bench::fleet;
use cicadacrank_node::platform::Collection;
use reqwest::{
    Method,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use serde_json::json;
use std::time::Duration;
use tokio::{net::TcpStream, time};

/// Number of readiness requests during which a gateway accepts all connections of a flood.
const READINESS_REQUESTS: usize = 100;

fn caller() -> Caller {
    Caller::new().expect("failed to create the caller")
}

async fn book(deployment: &Deployment, attempt: &str) -> Answer {
    let gateway = deployment.gateways[0].caller_address();
    let request = caller().request(Method::POST, gateway, "/book/1?x=2", attempt);
    send(request.header("x-pin-ms", "9").body("two seats")).await
}

async fn look(deployment: &Deployment, attempt: &str) -> Answer {
    let gateway = deployment.gateways[0].caller_address();
    send(caller().request(Method::GET, gateway, "/look/1", attempt)).await
}

async fn stream(deployment: &Deployment, path: &str, attempt: &str) -> Answer {
    let gateway = deployment.gateways[0].caller_address();
    send(caller().stream(gateway, path, attempt)).await
}

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect()
}

#[tokio::test]
async fn request_reaches_its_endpoint_unchanged() {
    let deployment = deployment(1, 1).await;
    let answer = book(&deployment, "a1").await;
    assert_eq!(answer.status, Some(200));
    assert!(answer.signed && answer.whole);
    assert_eq!(answer.attempt, "a1");
    assert_eq!(&answer.body[..], b"answer to a1");
    let runs = deployment.runs("a1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "POST /book/1?x=2");
    assert_eq!(&runs[0].body[..], b"two seats");
    assert_eq!(runs[0].team, "desk-team");
    assert!(!runs[0].leaked);
}

#[tokio::test]
async fn unauthorized_request_is_rejected() {
    let deployment = deployment(1, 1).await;
    let gateway = deployment.gateways[0].caller_address();
    let caller = caller();
    let cases = [
        ("/none/", "Bearer k-desk", 404),
        ("/book/", "Bearer k-other", 401),
        ("/book/", "k-desk", 401),
    ];
    for (path, key, expected) in cases {
        let request = caller.request(Method::GET, gateway, path, "a1");
        let request = request.headers(
            [(
                "authorization".parse().expect("invalid header name"),
                key.parse().expect("invalid header value"),
            )]
            .into_iter()
            .collect(),
        );
        assert_eq!(send(request).await.status, Some(expected), "{path} {key}");
    }
    assert_eq!(deployment.runs("a1").len(), 0);
}

/// Checks the caller's status and the number of runs for each endpoint fault.
#[tokio::test]
async fn faulty_endpoints_never_run_a_booking_twice() {
    let cases = [
        (Fault::Decline, 503, 0),
        (Fault::Misdirected, 503, 0),
        (Fault::LoseAnswer, 502, 1),
        (Fault::Foreign, 502, 1),
        (Fault::Unsigned, 502, 1),
        (Fault::BreakOff, 502, 1),
        (Fault::Fail, 500, 1),
        (Fault::Hang, 504, 1),
    ];
    let deployment = deployment(1, 2).await;
    for (fault, status, runs) in cases {
        set_faults(&deployment, Role::Desk, fault);
        let attempt = format!("{fault:?}");
        let answer = book(&deployment, &attempt).await;
        assert_eq!(answer.status, Some(status), "{fault:?}");
        assert_eq!(deployment.runs(&attempt).len(), runs, "{fault:?}");
        assert_eq!(answer.retry_after.is_some(), status == 503, "{fault:?}");
    }
}

/// A caller was told that a booking had not run, on the word of a refusal that its
/// endpoint had written before it read the booking.
#[tokio::test]
async fn refusal_that_does_not_name_the_request_is_not_believed() {
    let deployment = deployment(1, 2).await;
    for fault in [Fault::EarlyRefusal, Fault::EarlyForeignRefusal] {
        set_faults(&deployment, Role::Desk, fault);
        for number in 0..20 {
            let attempt = format!("{fault:?}-{number}");
            let answer = book(&deployment, &attempt).await;
            let statuses = [Some(200), Some(502)];
            assert!(statuses.contains(&answer.status), "{attempt}: {answer:?}");
            assert!(deployment.runs(&attempt).len() <= 1, "{attempt}");
        }
    }
}

#[tokio::test]
async fn lookup_goes_to_another_endpoint_after_a_fault() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for fault in [Fault::LoseAnswer, Fault::Foreign, Fault::BreakOff] {
        let attempt = format!("{fault:?}");
        set_faults(&deployment, Role::Desk, Fault::None);
        let first: Vec<&Endpoint> = deployment.endpoints_with(Role::Desk).collect();
        first[0].set_fault(fault);
        let mut served = 0;
        for number in 0..4 {
            let answer = look(&deployment, &format!("{attempt}-{number}")).await;
            served += u32::from(answer.status == Some(200));
        }
        assert_eq!(served, 4, "{fault:?}");
    }
}

#[tokio::test]
async fn caller_disconnect_cancels_work_at_the_endpoint() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Desk, Fault::Hang);
    let gateway = deployment.gateways[0].caller_address();
    let request = caller().request(Method::GET, gateway, "/look/1", "a1");
    let pending = tokio::spawn(send(request));
    fleet::wait_for("work started", async || !deployment.runs("a1").is_empty())
        .await
        .expect("the work has started");
    pending.abort();
    fleet::wait_for("work cancelled", async || {
        deployment
            .endpoints_with(Role::Desk)
            .any(|endpoint| endpoint.abandoned() == 1)
    })
    .await
    .expect("the work is cancelled");
    wait_for_log(&deployment, 0, "CallerLeft").await;
}

#[tokio::test]
async fn stream_is_served_after_its_stages() {
    let deployment = deployment(2, 2).await;
    for (number, gateway) in deployment.gateways.iter().enumerate() {
        let attempt = format!("s{number}");
        let answer = send(caller().stream(gateway.caller_address(), "/draft/x", &attempt)).await;
        assert_eq!(answer.status, Some(200), "{}", gateway.log_text());
        assert!(answer.whole);
        assert_eq!(answer.body, events(1, EVENTS));
        let runs = deployment.runs(&attempt);
        assert_eq!(runs.len(), 1);
        let results: Vec<&str> = runs[0].results.split(',').collect();
        assert_eq!(results.len(), 2);
        let last = format!("/{attempt}-1-");
        assert!(
            results.iter().all(|result| result.contains(&last)),
            "{results:?}"
        );
    }
    let pieces = deployment
        .endpoints_with(Role::Worker)
        .flat_map(Endpoint::pieces);
    assert_eq!(pieces.count(), 8);
    fleet::wait_for("results released", async || {
        released_results(&deployment) == 8
    })
    .await
    .expect("all results are released");
}

/// Returns the number of results that the workers were told to release.
fn released_results(deployment: &Deployment) -> u64 {
    let workers = deployment.endpoints_with(Role::Worker);
    workers.map(Endpoint::released).sum()
}

/// Returns the number of results that the workers hold.
fn held_results(deployment: &Deployment) -> u64 {
    let made = deployment
        .endpoints_with(Role::Worker)
        .flat_map(Endpoint::pieces)
        .count();
    made as u64 - released_results(deployment)
}

#[tokio::test]
async fn inputs_are_released_while_the_next_stage_runs() {
    let deployment = deployment(2, 1).await;
    let mut number = 0;
    // A gateway that has formed the calls for a while expects them to start at once.
    fleet::wait_for("a call that is expected to start at once", async || {
        number += 1;
        let answer = stream(&deployment, "/draft/x", &format!("s{number}")).await;
        assert_eq!(answer.status, Some(200));
        let mut gateways = deployment.gateways.iter();
        gateways.any(|gateway| gateway.log_text().contains("prompt=true"))
    })
    .await
    .expect("a call is expected to start at once");
    fleet::wait_for("earlier results released", async || {
        held_results(&deployment) == 0
    })
    .await
    .expect("the results of the earlier requests are released");
    let before = released_results(&deployment);
    // The only worker answers the first stage normally and hangs in the second.
    set_faults(&deployment, Role::Worker, Fault::HangWithInputs);
    let gateway = deployment.gateways[0].caller_address();
    let request = tokio::spawn(send(caller().stream(gateway, "/draft/x", "hanging")));
    fleet::wait_for("inputs released", async || {
        released_results(&deployment) == before + 2
    })
    .await
    .expect("the inputs of the hanging stage are released");
    assert!(!request.is_finished());
    request.abort();
}

/// Results that a running stream held would take the room of the results for others.
#[tokio::test]
async fn results_are_released_when_a_stream_that_may_be_resumed_begins() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Engine, Fault::StallAfterEvent);
    let gateway = deployment.gateways[0].caller_address();
    let request = tokio::spawn(send(caller().stream(gateway, "/chat/x", "s1")));
    fleet::wait_for("the first event", async || {
        deployment.gateways[0].log_text().contains("StreamBegan")
    })
    .await
    .expect("the stream begins");
    fleet::wait_for("results released", async || held_results(&deployment) == 0)
        .await
        .expect("the results are released");
    assert!(!request.is_finished());
    request.abort();
}

#[tokio::test]
async fn stream_of_bytes_without_an_event_is_ended_and_reported() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Engine, Fault::Endless);
    let answer = stream(&deployment, "/draft/x", "s1").await;
    assert_eq!(answer.status, Some(502));
    wait_for_log(&deployment, 0, "an event exceeds").await;
    wait_for_log(&deployment, 0, "effect=unknown").await;
}

#[tokio::test]
async fn broken_stream_is_never_reported_complete() {
    let deployment = deployment(1, 2).await;
    set_faults(&deployment, Role::Engine, Fault::BreakOff);
    let answer = stream(&deployment, "/draft/x", "s1").await;
    assert_eq!(answer.status, Some(200));
    assert!(!answer.whole);
    assert!(events(1, EVENTS).as_bytes().starts_with(&answer.body));
    assert_eq!(deployment.runs("s1").len(), 1);
}

#[tokio::test]
async fn resumable_stream_continues_on_another_engine_after_its_last_event() {
    let deployment = deployment(1, 2).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, broken) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::None);
        broken.set_fault(Fault::BreakOff);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        assert!(answer.whole, "{}", deployment.gateways[0].log_text());
        assert_eq!(answer.body, events(1, EVENTS));
    }
}

#[tokio::test]
async fn failed_stage_is_rejected_without_running_the_engine() {
    let deployment = deployment(1, 1).await;
    for fault in [Fault::Fail, Fault::LoseAnswer, Fault::Decline] {
        set_faults(&deployment, Role::Worker, fault);
        let attempt = format!("{fault:?}");
        let answer = stream(&deployment, "/draft/x", &attempt).await;
        assert_eq!(answer.status, Some(503), "{fault:?}");
        assert!(answer.retry_after.is_some());
        assert_eq!(deployment.runs(&attempt).len(), 0);
    }
}

#[tokio::test]
async fn newer_configuration_takes_effect_and_is_never_reverted() {
    let deployment = deployment(1, 1).await;
    let gateway = deployment.gateways[0].caller_address();
    let status = async |path: &str| {
        let request = caller().request(Method::GET, gateway, path, "c1");
        send(request).await.status
    };
    assert_eq!(status("/new/").await, Some(404));
    let added = json!([route("/new/", "idempotent", "desk", 2)]);
    deployment.configure(5, &added);
    fleet::wait_for("new route in effect", async || {
        status("/new/").await == Some(200)
    })
    .await
    .expect("the route is in effect");
    deployment.configure(4, &json!([]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status("/new/").await, Some(200));
}

/// Two gateways divide a limit of one request a second, so that one of them has no share.
#[tokio::test]
async fn gateway_without_a_share_of_a_cold_limit_sends_by_grants() {
    let deployment = deployment(2, 1).await;
    let mut limited = config(2, &json!([]));
    for service in limited["services"].as_array_mut().expect("services") {
        service["coldPerS"] = json!(1.0);
    }
    deployment
        .store
        .state()
        .put(Collection::Config, "main", limited);
    let is_known = async |text: &str| {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| gateway.log_text().contains(text))
    };
    fleet::wait_for("the limit in effect", async || {
        is_known("ConfigAdopted: version=2").await && is_known("PeerRegained").await
    })
    .await
    .expect("both gateways know the limit and each other");
    let mut number = 0;
    fleet::wait_for("a grant", async || {
        number += 1;
        for (index, gateway) in deployment.gateways.iter().enumerate() {
            let attempt = format!("a{number}-{index}");
            let request = caller().stream(gateway.caller_address(), "/draft/", &attempt);
            let answer = send(request).await;
            assert_eq!(answer.status, Some(200), "{attempt}");
        }
        let mut gateways = deployment.gateways.iter();
        gateways.any(|gateway| gateway.log_text().contains("granted=true"))
    })
    .await
    .expect("a request is sent by a grant");
}

#[tokio::test]
async fn invalid_objects_are_ignored() {
    let deployment = deployment(1, 1).await;
    write_invalid_objects(&deployment);
    fleet::wait_for("the faults in the log", async || {
        deployment.gateways[0]
            .log_text()
            .matches("ConfigRejected")
            .count()
            >= 5
    })
    .await
    .expect("each fault is logged");
    for number in 0..5 {
        let answer = book(&deployment, &format!("a{number}")).await;
        assert_eq!(answer.status, Some(200));
    }
}

#[tokio::test]
async fn draining_endpoint_receives_no_new_requests() {
    let deployment = deployment(1, 2).await;
    let desks: Vec<&Endpoint> = deployment.endpoints_with(Role::Desk).collect();
    let entry = desks[0].entry("draining", 2);
    deployment
        .store
        .state()
        .put(Collection::Endpoints, &desks[0].id, entry);
    fleet::wait_for("the change in the log", async || {
        deployment.gateways[0]
            .log_text()
            .matches("DirectoryChanged")
            .count()
            >= 2
    })
    .await
    .expect("the change is logged");
    for number in 0..8 {
        assert_eq!(
            book(&deployment, &format!("a{number}")).await.status,
            Some(200)
        );
    }
    assert_eq!(desks[0].runs().len(), 0);
}

#[tokio::test]
async fn gateway_without_the_store_fetches_state_from_peers() {
    let mut deployment = deployment(2, 1).await;
    deployment.store_proxy.set_impairment(Impairment::Reset);
    let gateway = &mut deployment.gateways[1];
    gateway.kill().expect("failed to send the signal");
    gateway
        .wait()
        .await
        .expect("failed to wait for the process");
    gateway.restart().expect("failed to restart the process");
    gateway
        .wait_ready()
        .await
        .expect("the gateway is ready without the store");
    let address = gateway.caller_address();
    let request = caller().request(Method::POST, address, "/book/1", "a1");
    assert_eq!(send(request.body("x")).await.status, Some(200));
}

#[tokio::test]
async fn terminated_gateway_completes_accepted_requests() {
    let mut deployment = deployment(1, 2).await;
    let address = deployment.gateways[0].caller_address();
    let pending = tokio::spawn(send(caller().stream(address, "/draft/x", "s1")));
    fleet::wait_for("work started", async || !deployment.runs("s1").is_empty())
        .await
        .expect("the stream has started");
    deployment.gateways[0]
        .terminate()
        .expect("failed to send the signal");
    assert!(!stays_ready(&deployment).await);
    // New requests are still served until the load balancer notices the shutdown.
    assert_eq!(book(&deployment, "late").await.status, Some(200));
    let answer = pending.await.expect("task panicked");
    assert!(answer.whole);
    assert_eq!(answer.body, events(1, EVENTS));
    let end = deployment.gateways[0]
        .wait()
        .await
        .expect("failed to wait for the process");
    assert!(end.success());
}

#[tokio::test]
async fn terminated_gateway_accepts_late_requests_only_if_they_end_in_time() {
    let deployment = deployment(1, 1).await;
    let address = deployment.gateways[0].caller_address();
    set_faults(&deployment, Role::Desk, Fault::Hang);
    let hanging = caller().request(Method::POST, address, "/book/1", "a1");
    let pending = tokio::spawn(send(hanging.headers(long_deadline())));
    fleet::wait_for("work started", async || !deployment.runs("a1").is_empty())
        .await
        .expect("the booking has started");
    set_faults(&deployment, Role::Desk, Fault::None);
    deployment.gateways[0]
        .terminate()
        .expect("failed to send the signal");
    // The booking in flight keeps the process running.
    let mut number = 0;
    fleet::wait_for("long requests rejected", async || {
        number += 1;
        let request = caller().request(Method::GET, address, "/look/1", &format!("l{number}"));
        let answer = send(request.headers(long_deadline())).await;
        answer.status == Some(503) && answer.retry_after.is_some()
    })
    .await
    .expect("a request that may outlast the process is rejected");
    assert_eq!(look(&deployment, "short").await.status, Some(200));
    pending.abort();
}

/// Returns a deadline header that exceeds the gateway's grace period.
fn long_deadline() -> HeaderMap {
    let name = HeaderName::from_static("x-deadline-ms");
    HeaderMap::from_iter([(name, HeaderValue::from_static("60000"))])
}

/// Waits for the gateway to withdraw its readiness. Returns whether it is still ready.
async fn stays_ready(deployment: &Deployment) -> bool {
    let wait = fleet::wait_for("readiness withdrawn", async || {
        !deployment.gateways[0].is_ready().await
    });
    wait.await.is_err()
}

/// Writes a configuration and endpoints that cannot be decoded.
fn write_invalid_objects(deployment: &Deployment) {
    let mut store = deployment.store.state();
    store.put(Collection::Config, "main", json!({ "version": "seven" }));
    for (name, content) in [
        ("i-bad-1", json!(null)),
        (
            "i-bad-2",
            json!({ "service": "desk", "address": "nowhere" }),
        ),
        (
            "i-bad-3",
            json!({ "service": "desk", "address": "127.0.0.1:1", "zone": 7 }),
        ),
        (
            "i-bad-4",
            json!({ "service": "desk", "address": "127.0.0.1:1", "zone": "one",
            "state": "asleep", "sequence": 1 }),
        ),
    ] {
        store.put(Collection::Endpoints, name, content);
    }
}

/// Returns contents of the store that name no endpoint: nested too deeply, with numbers
/// or ports out of range, and with bytes that are not text.
fn odd_contents() -> Vec<Vec<u8>> {
    let with = |address: &str, field: &str| {
        let start = r#"{"service":"desk","zone":"one","state":"ready","slots":4"#;
        format!(r#"{start},"address":"{address}",{field}}}"#).into_bytes()
    };
    let mut invalid = with("127.0.0.1:9", r#""sequence":9,"version":"v""#);
    let version = invalid.iter().rposition(|byte| *byte == b'v');
    invalid[version.expect("a version")] = 0xff;
    vec![
        [b"[".repeat(10_000), b"]".repeat(10_000)].concat(),
        with("127.0.0.1:9", r#""sequence":1e999"#),
        with("127.0.0.1:9", r#""sequence":-99999999999999999999999"#),
        with("127.0.0.1:99999", r#""sequence":9"#),
        with(
            "127.0.0.1:9",
            r#""sequence":9,"born":1000,"coldRemainingMs":1.8e22"#,
        ),
        invalid,
    ]
}

/// Gateways stopped following the endpoints while the store held one odd entry.
#[tokio::test]
async fn odd_entry_takes_out_only_the_endpoint_whose_entry_it_replaces() {
    let mut deployment = deployment(2, 2).await;
    let served = async |deployment: &Deployment, name: &str| {
        for (number, gateway) in deployment.gateways.iter().enumerate() {
            for copy in 0..4 {
                let attempt = format!("{name}-{number}-{copy}");
                let address = gateway.caller_address();
                let request = caller().request(Method::POST, address, "/book/1", &attempt);
                let status = send(request.body("x")).await.status;
                assert_eq!(status, Some(200), "{attempt}: {}", gateway.log_text());
            }
        }
    };
    let desks = |deployment: &Deployment| -> Vec<usize> {
        let desks = deployment.endpoints_with(Role::Desk);
        desks.map(|desk| desk.runs().len()).collect()
    };
    let follow = async |deployment: &Deployment, revision: u64| {
        for gateway in 0..deployment.gateways.len() {
            wait_for_revision(deployment, gateway, revision).await;
        }
    };
    for (number, content) in odd_contents().into_iter().enumerate() {
        let (id, entry) = {
            let desk = deployment.endpoints_with(Role::Desk).next();
            let desk = desk.expect("a desk");
            (desk.id.clone(), desk.entry("ready", 2 + number as u64))
        };
        let revision = {
            let mut state = deployment.store.state();
            state.put_raw(Collection::Endpoints, &id, content);
            state.revision()
        };
        follow(&deployment, revision).await;
        let before = desks(&deployment);
        served(&deployment, &format!("odd-{number}")).await;
        let after = desks(&deployment);
        assert_eq!(after[0], before[0], "the endpoint is not used any more");
        assert_eq!(after[1], before[1] + 8);
        let restored = {
            let mut state = deployment.store.state();
            state.put(Collection::Endpoints, &id, entry);
            state.revision()
        };
        follow(&deployment, restored).await;
        served(&deployment, &format!("restored-{number}")).await;
        assert!(desks(&deployment)[0] > before[0], "it is used again");
    }
    // A gateway that starts lists the odd entries.
    for (number, content) in odd_contents().into_iter().enumerate() {
        let name = format!("i-odd-{number}");
        let mut state = deployment.store.state();
        state.put_raw(Collection::Endpoints, &name, content.clone());
        state.put_raw(Collection::Evacuations, &name, content.clone());
        state.put_raw(Collection::Gateways, &name, content.clone());
        state.put_raw(Collection::Config, &name, content);
    }
    for gateway in &mut deployment.gateways {
        gateway.kill().expect("the signal is sent");
        gateway.wait().await.expect("the process ends");
        gateway.restart().expect("the process starts");
    }
    for gateway in &deployment.gateways {
        gateway.wait_ready().await.expect("the gateway is ready");
    }
    served(&deployment, "restarted").await;
}

/// After an outage of the store, an endpoint whose entry had been overwritten was used for
/// two more seconds.
#[tokio::test]
async fn odd_entry_written_during_an_outage_takes_out_its_endpoint_at_once() {
    let deployment = deployment(1, 2).await;
    deployment.store_proxy.set_impairment(Impairment::Reset);
    wait_for_log(&deployment, 0, "PlatformFailed: collection=Endpoints").await;
    // Long enough for entries to expire.
    time::sleep(Duration::from_millis(1_200)).await;
    let desk = deployment.endpoints_with(Role::Desk).next();
    let desk = desk.expect("a desk");
    let content = odd_contents().swap_remove(0);
    let revision = {
        let mut state = deployment.store.state();
        state.put_raw(Collection::Endpoints, &desk.id, content);
        state.revision()
    };
    deployment.store_proxy.set_impairment(Impairment::None);
    wait_for_revision(&deployment, 0, revision).await;
    for number in 0..8 {
        let answer = book(&deployment, &format!("a{number}")).await;
        assert_eq!(answer.status, Some(200));
    }
    assert_eq!(desk.runs().len(), 0);
}

#[tokio::test]
async fn connection_flood_does_not_delay_readiness_responses() {
    let deployment = deployment(1, 1).await;
    let gateway = &deployment.gateways[0];
    // Callers may use half of the gateway's 800 sockets; this is more than that half.
    let mut idle = Vec::new();
    for _ in 0..450 {
        let connection = TcpStream::connect(gateway.caller_address());
        idle.push(connection.await.expect("failed to connect"));
    }
    for _ in 0..READINESS_REQUESTS {
        let ready = time::timeout(Duration::from_secs(5), gateway.is_ready()).await;
        assert_eq!(ready, Ok(true));
    }
    drop(idle);
    fleet::wait_for("callers served again", async || {
        book(&deployment, "f1").await.status == Some(200)
    })
    .await
    .expect("callers are served again");
}

/// Sends a prompt with the given parts, and a body of its own, to a gateway.
async fn prompt(deployment: &Deployment, gateway: usize, attempt: &str, parts: &str) -> Answer {
    let address = deployment.gateways[gateway].caller_address();
    let request = caller().stream(address, "/draft/x", attempt);
    let prompt = HeaderValue::from_str(parts).expect("invalid prompt");
    let headers = [(HeaderName::from_static("x-prompt-prefix"), prompt)];
    let headers: HeaderMap = headers.into_iter().collect();
    send(request.headers(headers).body(attempt.to_owned())).await
}

/// Requests of one kind, no two alike, kept crashing engines, one after the other.
#[tokio::test]
async fn part_of_a_prompt_that_crashes_engines_is_refused_by_all_gateways() {
    const MAX_CRASHES: usize = 5;
    let deployment = deployment(2, 10).await;
    set_faults(&deployment, Role::Engine, Fault::CrashOnPart);
    let crashes = || {
        let engines = deployment.endpoints_with(Role::Engine);
        engines.filter(|engine| engine.has_crashed()).count()
    };
    let mut last = Vec::new();
    for number in 0..12 {
        let gateway = number % 2;
        let parts = format!("aa:60,{CRASHING_PART}:20,own{number}:20");
        let answer = prompt(&deployment, gateway, &format!("d{number}"), &parts).await;
        last.push(answer.status);
        let parts = format!("aa:60,b{number}:20,own:20");
        let sound = prompt(&deployment, gateway, &format!("s{number}"), &parts).await;
        if crashes() <= MAX_CRASHES {
            assert_eq!(sound.status, Some(200), "{parts}");
        }
        time::sleep(Duration::from_millis(400)).await;
    }
    assert!(crashes() <= MAX_CRASHES, "{} crashes: {last:?}", crashes());
    assert_eq!(&last[8..], &[Some(503); 4]);
    for gateway in 0..2 {
        wait_for_log(&deployment, gateway, "kind=crashing").await;
    }
}

/// Sends requests with the part that crashes engines, and sound ones, and returns the statuses
/// of the former.
async fn send_crashing(deployment: &Deployment, count: usize) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let gateway = number % deployment.gateways.len();
        let parts = format!("aa:60,{CRASHING_PART}:20,own{number}:20");
        let answer = prompt(deployment, gateway, &format!("d{number}"), &parts).await;
        statuses.push(answer.status);
        let parts = format!("aa:60,b{number}:20,own:20");
        prompt(deployment, gateway, &format!("s{number}"), &parts).await;
        time::sleep(CRASH_INTERVAL).await;
        // Engines that have started again register themselves.
        for engine in deployment.endpoints_with(Role::Engine) {
            let entry = engine.entry("ready", 2 + number as u64);
            let mut store = deployment.store.state();
            store.put(Collection::Endpoints, &engine.id, entry);
        }
    }
    statuses
}

/// Time between two requests that crash engines. The end of an engine is known by then.
const CRASH_INTERVAL: Duration = Duration::from_millis(1_500);

/// The port of an engine that crashed still accepted connections when it was asked once, so
/// that no crash was counted and the part went on to crash engines.
#[tokio::test]
async fn part_that_crashes_engines_which_end_slowly_is_refused() {
    let deployment = deployment(2, 8).await;
    set_faults(&deployment, Role::Engine, Fault::LingerOnPart);
    let statuses = send_crashing(&deployment, 6).await;
    let engines = deployment.endpoints_with(Role::Engine);
    let crashes = engines.filter(|engine| engine.has_crashed()).count();
    assert_eq!(crashes, 3, "{statuses:?}");
    assert_eq!(&statuses[3..], &[Some(503); 3]);
}

/// Another process was at the address of an engine that crashed when it was asked.
#[tokio::test]
async fn part_that_crashes_engines_which_start_again_at_once_is_refused() {
    let deployment = deployment(2, 8).await;
    set_faults(&deployment, Role::Engine, Fault::RestartOnPart);
    let statuses = send_crashing(&deployment, 6).await;
    let engines = deployment.endpoints_with(Role::Engine);
    let crashes: usize = engines.map(Endpoint::restarts).sum();
    assert_eq!(crashes, 3, "{statuses:?}");
    assert_eq!(&statuses[3..], &[Some(503); 3]);
}

/// A gateway that had just started was ready before any other had told it what is refused.
#[tokio::test]
async fn gateway_that_starts_refuses_a_part_that_crashed_engines_from_its_first_request_on() {
    let mut deployment = deployment(2, 10).await;
    set_faults(&deployment, Role::Engine, Fault::CrashOnPart);
    let statuses = send_crashing(&deployment, 4).await;
    assert_eq!(statuses[3], Some(503), "{statuses:?}");
    for round in 0..6 {
        let restarted = &mut deployment.gateways[round % 2];
        restarted.kill().expect("failed to kill");
        restarted.wait().await.expect("failed to wait");
        restarted.restart().expect("failed to restart the process");
        let until = time::Instant::now() + CRASH_INTERVAL;
        let mut number = 0;
        while time::Instant::now() < until {
            let parts = format!("aa:60,{CRASHING_PART}:20,own{round}-{number}:20");
            let attempt = format!("r{round}-{number}");
            prompt(&deployment, round % 2, &attempt, &parts).await;
            number += 1;
            time::sleep(Duration::from_millis(5)).await;
        }
        let engines = deployment.endpoints_with(Role::Engine);
        let crashes = engines.filter(|engine| engine.has_crashed()).count();
        assert_eq!(crashes, 3, "round {round}");
    }
}

#[tokio::test]
async fn stream_that_ends_with_its_connection_is_served() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Engine, Fault::Unframed);
    let answer = stream(&deployment, "/draft/x", "s1").await;
    assert_eq!(answer.status, Some(200));
    assert!(answer.whole);
    assert_eq!(answer.body, events(1, EVENTS));
}

/// A stream whose connection ended inside an event was passed on as complete.
#[tokio::test]
async fn stream_that_ends_inside_an_event_is_broken_off() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Engine, Fault::UnframedPartial);
    let answer = stream(&deployment, "/draft/x", "s1").await;
    assert_eq!(answer.status, Some(200));
    assert!(!answer.whole, "{:?}", answer.body);
    assert_eq!(answer.body, events(1, 3));
    wait_for_log(&deployment, 0, "StreamBroken: id=s1").await;
}

/// A connection that ended after the head was passed on as an empty, complete answer.
#[tokio::test]
async fn stream_without_an_event_is_reported_as_failed() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Engine, Fault::UnframedEmpty);
    let answer = stream(&deployment, "/draft/x", "s1").await;
    assert_eq!(answer.status, Some(502));
}

/// A stream was passed on as complete when the engine that resumed it sent no event.
#[tokio::test]
async fn resumed_stream_without_an_event_is_broken_off() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, broken) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::UnframedEmpty);
        broken.set_fault(Fault::BreakOff);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        let whole = answer.status == Some(200) && answer.whole;
        assert!(!whole, "{}", deployment.gateways[0].log_text());
    }
}

/// A stream contained what the engine that should have resumed it answered instead, or
/// ended there as if it were complete.
#[tokio::test]
async fn stream_is_broken_off_if_the_next_engine_does_not_continue_it() {
    let deployment = deployment(1, 2).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    let mut failures = Vec::new();
    for resumption in Resumption::ALL {
        // The retry budget refills over time.
        time::sleep(Duration::from_secs(2)).await;
        for (number, broken) in engines.iter().enumerate() {
            set_faults(&deployment, Role::Engine, Fault::Resumption(resumption));
            broken.set_fault(Fault::BreakOff);
            let attempt = format!("{resumption:?}-{number}");
            let answer = stream(&deployment, "/chat/x", &attempt).await;
            let starts_broken = deployment.runs(&attempt).len() == 2;
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let complete = answer.whole && body == events(1, EVENTS);
            let cut = !answer.whole && events(1, EVENTS).starts_with(&body);
            if !(complete || cut) || (starts_broken && answer.whole) {
                failures.push(format!("{attempt}: whole={} {body:?}", answer.whole));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The events of two runs were joined when the first had no ids.
#[tokio::test]
async fn stream_without_event_ids_is_not_resumed() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, broken) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::None);
        broken.set_fault(Fault::BreakOffWithoutIds);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let complete = answer.whole && body == events(1, EVENTS);
        assert!(complete || !answer.whole, "{body:?}");
        assert!(
            !(body.starts_with("data") && body.contains("id: ")),
            "{body:?}"
        );
    }
}

#[tokio::test]
async fn resumable_stream_that_ends_inside_an_event_continues_on_another_engine() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, broken) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::None);
        broken.set_fault(Fault::UnframedPartial);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        assert!(answer.whole, "{}", deployment.gateways[0].log_text());
        assert_eq!(answer.body, events(1, EVENTS));
    }
}

/// A stream was given up when its engine was silent for 1.2 s, also if no other engine
/// could go on with it.
#[tokio::test]
async fn stream_of_an_engine_that_pauses_is_completed_without_another_engine() {
    for declining in 0..=1 {
        let deployment = deployment(1, 1 + declining).await;
        // The retry budget refills over time.
        time::sleep(Duration::from_secs(2)).await;
        let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
        for (number, pausing) in engines.iter().enumerate() {
            set_faults(&deployment, Role::Engine, Fault::Decline);
            pausing.set_fault(Fault::PauseAfterEvent);
            let attempt = format!("s{number}");
            // An engine that declines may be asked before the stream begins.
            let answer = stream(&deployment, "/chat/x", &attempt).await;
            let log = deployment.gateways[0].log_text();
            assert_eq!(answer.status, Some(200), "{log}");
            assert!(answer.whole, "{log}");
            assert_eq!(answer.body, events(1, EVENTS));
            assert_eq!(deployment.runs(&attempt).len(), 1);
        }
    }
}

/// The events of another engine followed the status and the headers of an engine that had
/// answered with an error and broken off.
#[tokio::test]
async fn error_that_breaks_off_is_not_continued_by_another_engine() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, failing) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::None);
        failing.set_fault(Fault::FailAndBreakOff);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        let is_error = answer.status != Some(200);
        let has_events = answer.body.windows(3).any(|part| part == b"id:");
        assert!(!is_error || !has_events, "{answer:?}");
        assert!(!is_error || !answer.whole, "{answer:?}");
    }
}

/// A lookup was given up after twice its objective although no other endpoint was left.
#[tokio::test]
async fn lookup_waits_for_the_only_endpoint_that_pauses() {
    let deployment = deployment(1, 1).await;
    set_faults(&deployment, Role::Desk, Fault::Pause);
    let answer = look(&deployment, "a1").await;
    assert_eq!(
        answer.status,
        Some(200),
        "{}",
        deployment.gateways[0].log_text()
    );
    assert_eq!(deployment.runs("a1").len(), 1);
}

/// The engine that was asked to go on with a stream was given up when the silent one broke
/// off meanwhile, and no further one was allowed.
#[tokio::test]
async fn stream_of_an_engine_that_breaks_off_continues_where_it_was_resumed() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    set_faults(&deployment, Role::Engine, Fault::StallAfterEvent);
    let gateway = deployment.gateways[0].caller_address();
    let deadline = HeaderName::from_static("x-deadline-ms");
    let headers = [(deadline, HeaderValue::from_static("6000"))];
    let request = caller().stream(gateway, "/chat/x", "s1");
    let answer = send(request.headers(headers.into_iter().collect()));
    let break_off = async {
        wait_for_log(&deployment, 0, "StreamBegan: id=s1").await;
        let mut engines = deployment.endpoints_with(Role::Engine);
        let silent = engines.find(|engine| !engine.runs().is_empty());
        let silent = silent.expect("no engine runs the stream");
        let others = deployment.endpoints_with(Role::Engine);
        others
            .filter(|engine| engine.id != silent.id)
            .for_each(|engine| engine.set_fault(Fault::Pause));
        fleet::wait_for("a second run", async || deployment.runs("s1").len() == 2)
            .await
            .expect("the stream is not resumed");
        silent.proxy.set_impairment(Impairment::Reset);
    };
    let (answer, ()) = tokio::join!(answer, break_off);
    assert!(answer.whole, "{}", deployment.gateways[0].log_text());
    assert_eq!(answer.body, events(1, EVENTS));
}

/// Each part of an event cancelled the attempt to resume the stream elsewhere, and took a
/// retry from the budget of the service.
#[tokio::test]
async fn stream_of_an_engine_that_never_ends_its_event_continues_on_another_engine() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, dribbling) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::None);
        dribbling.set_fault(Fault::DribbleAfterEvent);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        assert!(answer.whole, "{}", deployment.gateways[0].log_text());
        assert_eq!(answer.body, events(1, EVENTS));
    }
    wait_for_log(&deployment, 0, "StreamResumed").await;
}

/// A stream was broken off when the first engine that was asked to go on with it declined,
/// although the route allowed a further one.
#[tokio::test]
async fn broken_stream_continues_on_the_next_engine_when_one_declines() {
    for declining in 0..2 {
        let deployment = deployment(1, 3).await;
        let mut talk = route("/talk/", "streaming", "llm", 3);
        talk["streamResumption"] = json!(true);
        talk["maxGapMs"] = json!(300);
        deployment.configure(2, &json!([talk]));
        wait_for_log(&deployment, 0, "ConfigAdopted: version=2").await;
        // The retry budget refills over time.
        time::sleep(Duration::from_secs(2)).await;
        set_faults(&deployment, Role::Engine, Fault::StallAfterEvent);
        let answer = stream(&deployment, "/talk/x", "s1");
        let break_off = async {
            wait_for_log(&deployment, 0, "StreamBegan: id=s1").await;
            let engines = || deployment.endpoints_with(Role::Engine);
            let broken = engines().find(|engine| !engine.runs().is_empty());
            let broken = broken.expect("no engine runs the stream");
            let others = engines().filter(|engine| engine.id != broken.id);
            for (number, engine) in others.enumerate() {
                let declines = number == declining;
                engine.set_fault(if declines {
                    Fault::Decline
                } else {
                    Fault::None
                });
            }
            broken.proxy.set_impairment(Impairment::Reset);
        };
        let (answer, ()) = tokio::join!(answer, break_off);
        assert!(answer.whole, "{}", deployment.gateways[0].log_text());
        assert_eq!(answer.body, events(1, EVENTS));
    }
}

#[tokio::test]
async fn stream_of_an_engine_that_stalls_continues_on_another_engine() {
    let deployment = deployment(1, 2).await;
    // The retry budget refills over time.
    time::sleep(Duration::from_secs(2)).await;
    let engines: Vec<&Endpoint> = deployment.endpoints_with(Role::Engine).collect();
    for (number, stalled) in engines.iter().enumerate() {
        set_faults(&deployment, Role::Engine, Fault::None);
        stalled.set_fault(Fault::StallAfterEvent);
        let answer = stream(&deployment, "/chat/x", &format!("s{number}")).await;
        assert!(answer.whole, "{}", deployment.gateways[0].log_text());
        assert_eq!(answer.body, events(1, EVENTS));
    }
    wait_for_log(&deployment, 0, "StreamResumed").await;
}

/// Sends requests to three gateways, one each 40 ms, while endpoints name a limit, and
/// checks that an endpoint gets no more than `allowed` requests in any four seconds
/// once the limit holds.
async fn check_limit(role: Role, limit: f64, limited: usize) {
    const WINDOW: Duration = Duration::from_secs(4);
    const STABILITY: Duration = Duration::from_secs(3);
    let allowed = (limit * 1.5).mul_add(WINDOW.as_secs_f64(), 5.0) as usize;
    let deployment = deployment(3, 3).await;
    let endpoints: Vec<&Endpoint> = deployment.endpoints_with(role).collect();
    for endpoint in &endpoints[..limited] {
        endpoint.set_limit(Some(limit));
    }
    let caller = caller();
    let mut requests = Vec::new();
    for number in 0..250 {
        let gateway = deployment.gateways[number % 3].caller_address();
        let attempt = format!("a{number}");
        let request = match role {
            Role::Desk => caller.request(Method::GET, gateway, "/look/1", &attempt),
            Role::Engine | Role::Worker => caller.stream(gateway, "/draft/x", &attempt),
        };
        requests.push(tokio::spawn(send(request)));
        time::sleep(Duration::from_millis(40)).await;
    }
    let mut served = 0;
    for request in requests {
        let answer = request.await.expect("the request ends");
        served += usize::from(answer.status == Some(200));
    }
    for endpoint in &endpoints[..limited] {
        let times: Vec<time::Instant> = match role {
            Role::Worker => endpoint.calls(),
            Role::Desk | Role::Engine => endpoint.runs().iter().map(|run| run.at).collect(),
        };
        let from = *times.first().expect("the endpoint states its limit") + STABILITY;
        for (index, start) in times.iter().enumerate().filter(|(_, at)| **at >= from) {
            let window = times[index..].iter();
            let count = window.take_while(|at| **at < *start + WINDOW).count();
            assert!(
                count <= allowed,
                "{count} in four seconds, {allowed} allowed"
            );
        }
        assert!(
            times.len() >= 8,
            "the endpoint is still used: {}",
            times.len()
        );
    }
    if limited < endpoints.len() {
        assert!(served >= 240, "{served} of 250 served");
    }
}

/// Engines that named a limit got several times as many requests.
#[tokio::test]
async fn engine_gets_no_more_requests_than_the_limit_that_it_names() {
    check_limit(Role::Engine, 2.0, 2).await;
}

/// Workers that named a limit for their calls got them as fast as they ended.
#[tokio::test]
async fn worker_gets_no_more_calls_than_the_limit_that_it_names() {
    check_limit(Role::Worker, 2.0, 2).await;
}

/// Endpoints of plain services that named a limit got several times as many requests.
#[tokio::test]
async fn plain_endpoint_gets_no_more_requests_than_the_limit_that_it_names() {
    check_limit(Role::Desk, 1.5, 2).await;
}
