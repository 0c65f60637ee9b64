//! Tests of the check of a configuration of the platform.

mod common;

use cicadacrank_bench::platform::Server;
use cicadacrank_node::platform::Collection;
use common::run;
use expect_test::expect;
use serde_json::{Value, json};
use std::{fs, path::PathBuf};

const SAMPLE: &str = "platform/small.json";

fn sample() -> Value {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../samples/platform/small.json"
    );
    let text = fs::read_to_string(path).expect("failed to read the sample");
    serde_json::from_str(&text).expect("the sample is JSON")
}

/// Writes the sample with other values at some places, and returns the path of the file.
fn altered(folder: &tempfile::TempDir, values: &[(&str, Value)]) -> PathBuf {
    let mut content = sample();
    for (pointer, value) in values {
        let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
        let parent = content.pointer_mut(parent).expect("an existing parent");
        match parent {
            Value::Array(entries) => entries.push(value.clone()),
            _ => parent[name] = value.clone(),
        }
    }
    let file = folder.path().join("next.json");
    fs::write(&file, content.to_string()).expect("failed to write the file");
    file
}

#[tokio::test]
async fn check_of_a_sound_configuration_prints_its_size() {
    let result = run(&["check", "--platform", SAMPLE]).await;
    assert_eq!((result.code, result.err.as_str()), (0, ""));
    expect![[r#"
        version 7: 2 routes, 3 services, 1 teams; no errors, 0 warnings
    "#]]
    .assert_eq(&result.out);
}

#[tokio::test]
async fn check_reports_all_findings_with_place_and_help() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut hidden = sample()["routes"][1].clone();
    hidden["name"] = json!("again");
    let file = altered(
        &folder,
        &[
            ("/routes/0/timeoutMs", json!("long")),
            ("/routes/1/service", json!("nobody")),
            ("/routes/1/timeoutMs", json!(100)),
            ("/routes/1/maxAttempts", json!(3)),
            ("/routes/-", hidden),
            ("/services/2/segments/headroomMb", json!(0.001)),
        ],
    );
    let file = file.to_str().expect("a path");
    let result = run(&["check", "--platform", file]).await;
    assert_eq!((result.code, result.out.as_str()), (3, ""));
    expect![[r#"
        error: configuration: routes[0]: invalid type: string "long", expected f64
          help: the platform takes only valid fields; entries that are not are left out here
        error: route `bookings`: it never matches, since route `again` has the same host and path prefix
          help: remove one of them, or change its prefix
        error: route `bookings`: its service `nobody` does not exist
          help: add the service, or correct the name
        warning: route `bookings`: of 3 attempts, those after the first are made only if an endpoint states that it did not run the request, since it may run once only
          help: allow one attempt, or let the request be repeated
        warning: route `bookings`: the timeout of 100 ms ends requests that could still meet the objective of 150 ms
          help: raise the timeout, or lower the objective
    "#]].assert_eq(&result.err);
    let result = run(&["check", "--json", "--platform", file]).await;
    assert_eq!(result.code, 3);
    let printed: Value = serde_json::from_str(&result.out).expect("JSON");
    let findings = printed["error"]["findings"].as_array().expect("findings");
    assert!(findings.len() > 3, "{printed}");
}

#[tokio::test]
async fn check_compares_with_the_version_in_force() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = altered(
        &folder,
        &[
            ("/version", json!(9)),
            ("/routes/0/timeoutMs", json!(5000)),
            (
                "/routes/1/trafficSplit",
                json!([{ "service": "desk", "weight": 9 },
                { "service": "engines", "weight": 1 }]),
            ),
            ("/tenants/0/apiKeys", json!(["second", "third"])),
            ("/limits/maxBodyBytes", json!(1000)),
        ],
    );
    let file = file.to_str().expect("a path");
    let expected = expect![[r#"
        route `bookings`: services by weight: ["desk=1"] to ["desk=9", "engines=1"]: new requests go to other services
        route `drafts`: timeout: 6s to 5s: callers wait for another time at most
        team `council`: 1 keys added, 1 removed: requests with the removed keys are answered with 401
        limits: body limit in bytes: 4194304 to 1000: larger bodies are answered with 413
        version 9: 2 routes, 3 services, 1 teams; no errors, 0 warnings, 4 changes
    "#]];
    let result = run(&["check", "--platform", file, "--against", SAMPLE]).await;
    assert_eq!((result.code, result.err.as_str()), (0, ""));
    expected.assert_eq(&result.out);
    assert!(!result.out.contains("third"), "keys are secret");
    let store = Server::start().await.expect("a store");
    store.state().put(Collection::Config, "main", sample());
    let address = store.address.to_string();
    let live = run(&["check", "--platform", file, "--against", &address]).await;
    assert_eq!((live.code, live.out), (0, result.out));
}

#[tokio::test]
async fn check_refuses_what_it_cannot_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("x.json");
    for content in ["", "[1, 2", "[]", "7"] {
        fs::write(&file, content).expect("failed to write the file");
        let result = run(&["check", "--platform", file.to_str().expect("a path")]).await;
        assert_eq!(result.code, 3, "{content:?}: {}", result.err);
        assert!(!result.err.is_empty(), "{content:?}");
    }
    let result = run(&["check", "--platform", "nowhere.json"]).await;
    assert_eq!(result.code, 3);
    let against = ["check", "--platform", SAMPLE, "--against", "127.0.0.1:1"];
    let result = run(&against).await;
    assert_eq!(result.code, 6, "{}", result.err);
}
