//! Tests of the decoders and encoders of the platform's formats.

use cicadacrank_core::{
    config::{Limits, Repeat},
    directory::State,
    placement::{Occupancy, Prompt},
};
use cicadacrank_node::platform::{
    Object, Version,
    answer::Answer,
    caller::{self, Additions, Caller},
    config, endpoint, settings,
    stage::{self, Completion},
};
use http::{HeaderMap, StatusCode};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

fn object(spec: Value) -> Object {
    Object {
        name: "i-1".to_owned(),
        version: Version::new(0, 7),
        spec,
        ..Object::default()
    }
}

fn registration() -> Value {
    json!({ "service": "llm", "address": "10.1.0.9:80", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 1500, "sequence": 4, "born": 12, "more": true })
}

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&str, &str)| {
        let name: http::HeaderName = name.parse().expect("valid header name");
        (name, value.parse().expect("valid header value"))
    };
    pairs.iter().map(pair).collect()
}

#[test]
fn endpoint_decodes_a_registration() {
    let endpoint = endpoint::decode(&object(registration())).expect("valid registration");
    assert_eq!(endpoint.life.born, Some(12));
    assert_eq!(endpoint.state, State::Ready);
    assert_eq!(endpoint.cold, Duration::from_millis(1_500));
}

/// An entry of another writer without most fields brought back an endpoint that had left.
#[test]
fn endpoint_rejects_a_registration_that_lacks_a_field() {
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "coldRemainingMs",
        "sequence",
    ];
    for field in fields {
        let mut spec = registration();
        let fields = spec.as_object_mut().expect("an object");
        fields.remove(field).expect("the field");
        let error = endpoint::decode(&object(spec)).expect_err(field);
        assert!(error.contains(field), "{error}");
    }
}

#[test]
fn endpoint_rejects_invalid_fields() {
    for (field, value) in [
        ("service", json!(7)),
        ("address", json!("somewhere")),
        ("zone", Value::Null),
        ("state", json!("asleep")),
        ("coldRemainingMs", json!(-1)),
        ("coldRemainingMs", json!("soon")),
        ("sequence", json!(1.5)),
        ("born", json!("x")),
    ] {
        let mut spec = registration();
        spec[field] = value.clone();
        let decoded = endpoint::decode(&object(spec));
        assert!(decoded.is_err(), "{field} {value}");
    }
}

fn configuration() -> Value {
    json!({
        "version": 7,
        "routes": [{ "name": "r", "host": "Tea.Example", "pathPrefix": "/a/",
            "routeKind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 910,
            "priority": 1, "trafficSplit": [{ "service": "llm", "weight": 9 }],
            "maxAttempts": 2, "streamResumption": true, "maxGapMs": 300,
            "phases": [{ "service": "e", "after": [], "byteCount": 8000 }] }],
        "services": [{ "name": "e", "connectionLimit": 10,
            "segments": { "slots": 1, "queue": 2, "batch": 14, "callTimeMs": 200.0,
                "itemTimeMs": 12.0, "headroomMb": 32.0, "handleTtlS": 4.0 } }],
        "limits": { "maxHeaderBytes": 100, "maxBodyBytes": 200,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "t", "apiKeys": ["k"], "priority": 3 }],
    })
}

#[test]
fn config_decodes_a_valid_document() {
    let config = config::decode(&configuration()).expect("valid configuration");
    let route = config.route("tea.example", "/a/x").expect("matching route");
    assert_eq!(route.repeat, Repeat::ResumableStream);
    assert_eq!(route.objective, Duration::from_millis(910));
    let worker = config.service("e").and_then(|service| service.worker);
    let worker = worker.expect("service with a stage worker");
    assert_eq!(worker.room_bytes, 32_000_000);
    assert_eq!(worker.result_life, Duration::from_secs(4));
    assert_eq!(config.team("k").and_then(|team| team.rank), Some(3));
    assert_eq!(config.limits.head_time, Duration::from_secs(3));
}

/// Older configurations state no time for heads.
#[test]
fn config_decodes_a_document_without_a_time_for_heads() {
    let mut content = configuration();
    let limits = content["limits"].as_object_mut().expect("limits");
    limits.remove("headerTimeoutMs");
    let config = config::decode(&content).expect("valid configuration");
    assert_eq!(config.limits.head_time, Limits::default_head_time());
}

#[test]
fn config_rejects_invalid_fields() {
    for (pointer, value) in [
        ("/version", json!("7")),
        ("/routes/0/routeKind", json!("sometimes")),
        ("/routes/0/timeoutMs", json!(-5)),
        ("/routes/0/phases/0/after", json!([0])),
        ("/services/0/segments/callTimeMs", json!("long")),
        ("/limits", json!(null)),
        ("/tenants/0/apiKeys", json!("k")),
    ] {
        let mut content = configuration();
        *content.pointer_mut(pointer).expect("existing field") = value;
        assert!(config::decode(&content).is_err(), "{pointer}");
    }
}

/// Times that no sum with the current time can represent ended requests and tasks.
#[test]
fn config_bounds_times() {
    const YEAR: Duration = Duration::from_secs(366 * 24 * 60 * 60);
    for pointer in [
        "/routes/0/timeoutMs",
        "/routes/0/targetLatencyMs",
        "/routes/0/maxGapMs",
        "/services/0/segments/callTimeMs",
        "/services/0/segments/itemTimeMs",
        "/services/0/segments/handleTtlS",
        "/limits/headerTimeoutMs",
        "/limits/idleTimeoutMs",
    ] {
        for huge in [1e12, 1.8e19, 1.8e22, 1e300] {
            let mut content = configuration();
            *content.pointer_mut(pointer).expect("existing field") = json!(huge);
            let config = config::decode(&content).expect("valid configuration");
            let (route, worker) = (&config.routes[0], config.services[0].worker);
            let worker = worker.expect("a worker");
            let mut times = vec![route.timeout, route.objective, config.limits.idle];
            times.extend([worker.call_time, worker.piece_time, worker.result_life]);
            times.extend(route.event_gap);
            times.push(config.limits.head_time);
            assert!(times.iter().all(|time| *time <= YEAR), "{pointer} {huge}");
        }
    }
}

#[test]
fn caller_decodes_headers() {
    let caller = Caller::decode(&headers(&[
        ("x-attempt-id", "9c41"),
        ("x-deadline-ms", "5000"),
        ("authorization", "Bearer key"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e:800,91bd:410,e440:250"),
        ("x-segment-count", "2,0,3"),
    ]));
    assert_eq!(caller.attempt_text(), "9c41");
    assert_eq!(caller.timeout, Some(Duration::from_secs(5)));
    assert_eq!(caller.key.as_deref(), Some("key"));
    assert_eq!(caller.pieces.as_deref(), Some(&[2, 0, 3][..]));
    assert_eq!(caller.prompt.tokens, 1_460);
    assert_eq!(caller.prompt.shared_tokens, 1_210);
    assert!(caller.prompt.shared.is_some());
}

#[test]
fn caller_ignores_unreadable_headers() {
    let caller = Caller::decode(&headers(&[
        ("x-deadline-ms", "soon"),
        ("x-prompt-prefix", ",,:"),
        ("authorization", "Basic x"),
    ]));
    assert_eq!(caller.timeout, None);
    assert_eq!(caller.key, None);
    assert_eq!(caller.prompt, Prompt::default());
    assert_eq!(caller.attempt_text(), "-");
}

/// A number of pieces that no queue holds became allocations and loops of that size.
#[test]
fn caller_states_no_number_of_pieces_that_is_out_of_bounds() {
    let decode = |text: &str| Caller::decode(&headers(&[("x-segment-count", text)])).pieces;
    for (text, expected) in [
        ("", Some(vec![])),
        ("2, 0,,3,", Some(vec![2, 0, 3])),
        ("4096", Some(vec![4_096])),
        ("2,4097", None),
        ("2000000000", None),
        ("4294967296", None),
        ("99999999999999999999999", None),
        ("2,x,3", None),
        ("-1", None),
        ("1e3", None),
    ] {
        assert_eq!(decode(text), expected, "{text}");
    }
    assert_eq!(Caller::decode(&headers(&[])).pieces, Some(vec![]));
}

/// Sums of token counts overflowed.
#[test]
fn caller_states_prompts_of_bounded_size() {
    let huge = u64::MAX;
    let caller = Caller::decode(&headers(&[
        ("x-token-usage", &format!("{huge},{huge}")),
        ("x-prompt-prefix", &format!("aa:{huge},bb:{huge},cc:{huge}")),
    ]));
    assert_eq!(caller.prompt.tokens, u64::from(u32::MAX));
    assert_eq!(caller.prompt.shared_tokens, 2 * u64::from(u32::MAX));
}

#[test]
fn encode_forwards_only_permitted_headers() {
    let sent = headers(&[
        ("x-attempt-id", "9c41"),
        ("authorization", "Bearer key"),
        ("x-tenant", "forged"),
        ("x-pin-ms", "9"),
        ("kv-fetch", "forged"),
        ("kv-from", "10.0.0.1:1/a"),
        ("x-expected-instance", "forged"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-other", "kept"),
    ]);
    let additions = Additions {
        endpoint: "i-1",
        remaining: Duration::from_millis(750),
        team: Some("t"),
        results: &["h1".to_owned(), "h2".to_owned()],
        last_event: Some("4"),
        urgency: Some(2),
        fetch_from: Some(SocketAddr::from(([10, 0, 0, 9], 8080))),
    };
    let mut encoded: Vec<(String, String)> = caller::encode(&sent, &additions)
        .iter()
        .map(|(name, value)| {
            (
                name.to_string(),
                value.to_str().expect("header value is text").to_owned(),
            )
        })
        .collect();
    encoded.sort();
    let expected = [
        ("kv-fetch", "10.0.0.9:8080"),
        ("last-event-id", "4"),
        ("x-attempt-id", "9c41"),
        ("x-deadline-ms", "750"),
        ("x-expected-instance", "i-1"),
        ("x-input-count", "h1,h2"),
        ("x-other", "kept"),
        ("x-request-priority", "2"),
        ("x-tenant", "t"),
    ];
    let expected = expected.map(|(name, value)| (name.to_owned(), value.to_owned()));
    assert_eq!(encoded, expected);
}

#[test]
fn answer_states_that_a_request_did_not_run() {
    for (status, headers, declined) in [
        (503, headers(&[("x-not-executed", "1")]), true),
        (503, headers(&[]), false),
        (421, headers(&[]), true),
        (200, headers(&[("x-not-executed", "1")]), false),
        (500, headers(&[("x-response-signature", "s")]), false),
    ] {
        let status = StatusCode::from_u16(status).expect("valid status code");
        let answer = Answer::decode(status, &headers);
        assert_eq!(answer.declined.is_some(), declined, "{status}");
    }
}

#[test]
fn stage_decodes_results_and_reasons() {
    let body = br#"{"items":[{"kvHandle":"h"},{"reason":"gone"},{"reason":"room"},{"reason":"late"},{"reason":"?"},{}]}"#;
    let completions = stage::decode(StatusCode::OK, body, 6).expect("valid response");
    let expected = [
        Completion::Result("h".to_owned()),
        Completion::SourceGone,
        Completion::NoRoom,
        Completion::Late,
        Completion::Failed,
        Completion::Failed,
    ];
    assert_eq!(completions, expected);
    assert!(stage::decode(StatusCode::OK, body, 5).is_err());
    assert!(stage::decode(StatusCode::OK, b"{", 1).is_err());
    assert!(stage::decode(StatusCode::BAD_GATEWAY, body, 6).is_err());
}

#[test]
fn settings_reject_invalid_values() {
    let text = "nodeName = \"n\"\nzone = \"a\"\nnewField = 1\n\
        [listenAddresses]\nfrontend = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\ncontrolPlane = \"127.0.0.1:3\"\n\
        [limits]\nmemoryMb = 260\nfileDescriptors = 4100\n\
        [bounds]\ngracePeriodS = 8\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetExtra = 56\nstabilityMs = 3000\n\
        [platform]\naddress = \"127.0.0.1:4\"\n";
    let settings = settings::parse(text).expect("valid settings");
    assert_eq!(settings.sockets, 3_900);
    assert_eq!(settings.bounds.grace, Duration::from_secs(8));
    for (from, to) in [
        ("nodeName", "nodeTitle"),
        ("127.0.0.1:1", "localhost:1"),
        ("gracePeriodS = 8", "gracePeriodS = -8"),
        ("budgetWindowS = 10", "budgetWindowS = 0"),
        ("memoryMb = 260", "memoryMb = \"much\""),
    ] {
        let report = settings::parse(&text.replace(from, to));
        assert!(report.is_err(), "{from} -> {to}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn decoders_survive_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(value) = serde_json::from_slice::<Value>(&bytes) {
            drop(endpoint::decode(&object(value.clone())));
            drop(config::decode(&value));
        }
        drop(stage::decode(StatusCode::OK, &bytes, 1));
        if let Ok(value) = http::HeaderValue::from_bytes(&bytes) {
            let mut headers = HeaderMap::new();
            for name in ["x-token-usage", "x-prompt-prefix", "x-segment-count", "x-deadline-ms"] {
                headers.insert(name, value.clone());
            }
            drop(Caller::decode(&headers));
        }
    }
}

#[test]
fn answer_states_the_limit_of_its_endpoint() {
    let cases = [
        ("2.5", Some(2.5)),
        (" 3 ", Some(3.0)),
        ("0", Some(0.0)),
        ("-1", None),
        ("inf", None),
        ("many", None),
    ];
    for (text, expected) in cases {
        let answer = Answer::decode(StatusCode::OK, &headers(&[("server-limit", text)]));
        assert_eq!(answer.limit, expected, "{text}");
    }
    let answer = Answer::decode(StatusCode::OK, &headers(&[]));
    assert_eq!(answer.limit, None);
}

#[test]
fn answer_states_whether_its_endpoint_leaves() {
    let cases = [("1", true), (" 1 ", true), ("0", false), ("yes", false)];
    for (text, expected) in cases {
        for status in [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE] {
            let answer = Answer::decode(status, &headers(&[("server-leaving", text)]));
            assert_eq!(answer.leaving, expected, "{text}");
        }
    }
    assert!(!Answer::decode(StatusCode::OK, &headers(&[])).leaving);
}

#[test]
fn answer_states_for_how_long_its_endpoint_wants_no_requests() {
    let cases = [
        ("2", Some(Duration::from_secs(2))),
        (" 0.25 ", Some(Duration::from_millis(250))),
        ("0", Some(Duration::ZERO)),
        ("1e300", Some(Duration::MAX)),
        ("-1", None),
        ("inf", None),
        ("NaN", None),
        ("soon", None),
        ("Fri, 31 Dec 1999 23:59:59 GMT", None),
    ];
    for (text, expected) in cases {
        let headers = headers(&[("retry-after", text)]);
        let answer = Answer::decode(StatusCode::SERVICE_UNAVAILABLE, &headers);
        assert_eq!(answer.pause, expected, "{text}");
        for status in [StatusCode::OK, StatusCode::MISDIRECTED_REQUEST] {
            assert_eq!(Answer::decode(status, &headers).pause, None, "{text}");
        }
    }
    let answer = Answer::decode(StatusCode::SERVICE_UNAVAILABLE, &headers(&[]));
    assert_eq!(answer.pause, None);
}

#[test]
fn caller_names_the_parts_that_other_requests_may_share() {
    let decode = |parts: &str| {
        let headers = headers(&[("x-prompt-prefix", parts)]);
        Caller::decode(&headers).shared_parts
    };
    assert_eq!(decode("aa:60,bb:20,cc:40"), ["aa", "bb"]);
    assert!(decode("aa:60").is_empty());
    assert!(decode("").is_empty());
    assert_eq!(decode("aa:60, bb:1 ,broken,cc:40"), ["aa", "bb"]);
}

#[test]
fn answer_states_the_load_of_its_endpoint() {
    let load = |pace| Occupancy {
        running: 3,
        waiting: 1,
        slots: 8,
        pace,
    };
    for (text, expected) in [
        ("3,1,8", Some(load(None))),
        ("3, 1, 8, 150", Some(load(Some(1.5)))),
        ("3,1,8,0", Some(load(None))),
        ("3,1,8,50,7", Some(load(Some(0.5)))),
        ("3,1", None),
        ("3,-1,8", None),
        ("3,1,8,x", None),
        ("", None),
    ] {
        let answer = Answer::decode(StatusCode::OK, &headers(&[("x-instance-load", text)]));
        assert_eq!(answer.load, expected, "{text}");
    }
    let answer = Answer::decode(StatusCode::OK, &headers(&[]));
    assert_eq!(answer.load, None);
}
