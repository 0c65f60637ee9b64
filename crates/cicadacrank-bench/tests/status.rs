//! Tests of the status of objects against the mock platform.

use cicadacrank_bench::platform::Server;
use cicadacrank_core::rollout::Phase;
use cicadacrank_node::platform::{Client, Collection, Fault, Store as _, rollout};
use serde_json::json;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::test]
async fn update_status_keeps_the_order_and_is_conditional() {
    let server = Server::start().await.expect("the mock platform");
    let client = Client::new(server.address, TIMEOUT);
    let order = json!({ "service": "llm", "to": "v2", "durationS": 30.0 });
    let collection = Collection::Rollouts;
    server.state().put(collection, "llm", order.clone());
    let object = client.get(collection, "llm").await.expect("the order");
    let (first, status) = rollout::decode(&object).expect("a readable order");
    assert_eq!((first.to.as_str(), status), ("v2", None));
    assert_eq!(first.duration, Duration::from_secs(30));

    let value = rollout::encode_status(Phase::Trial, "v2");
    let version = client
        .update_status(collection, "llm", &first.seen, &value)
        .await
        .expect("a written status");
    let object = client.get(collection, "llm").await.expect("the order");
    assert_eq!((&object.spec, object.version), (&order, version));
    let (second, status) = rollout::decode(&object).expect("a readable order");
    assert_eq!(status, Some(Phase::Trial));
    assert!(first.is_same(&second), "{first:?} {second:?}");

    let stale = client
        .update_status(collection, "llm", &first.seen, &value)
        .await;
    assert_eq!(stale, Err(Fault::Conflict));
    let changes = client.changes(collection, &first.seen, TIMEOUT).await;
    assert_eq!(changes.expect("the change").changes.len(), 1);
}

#[tokio::test]
async fn update_status_fails_for_a_version_of_an_earlier_era() {
    let server = Server::start().await.expect("the mock platform");
    let client = Client::new(server.address, TIMEOUT);
    let collection = Collection::Rollouts;
    let order = json!({ "service": "llm", "to": "v2", "durationS": 30.0 });
    server.state().put(collection, "llm", order);
    let object = client.get(collection, "llm").await.expect("the order");
    let copy = server.state().save();
    server.state().restore(&copy);
    client
        .list(collection)
        .await
        .expect("a list of the new era");
    let value = rollout::encode_status(Phase::Completed, "v2");
    let written = client
        .update_status(collection, "llm", &object.version, &value)
        .await;
    assert_eq!(written, Err(Fault::Conflict));
    let object = client.get(collection, "llm").await.expect("the order");
    assert!(object.status.is_null(), "{:?}", object.status);
}

/// A status that an earlier order left says nothing of the one that replaced it.
#[tokio::test]
async fn status_of_an_earlier_order_is_ignored() {
    let server = Server::start().await.expect("the mock platform");
    let client = Client::new(server.address, TIMEOUT);
    let collection = Collection::Rollouts;
    let order = |to: &str| json!({ "service": "llm", "to": to, "durationS": 30.0 });
    server.state().put(collection, "llm", order("v2"));
    let object = client.get(collection, "llm").await.expect("the order");
    let value = rollout::encode_status(Phase::RolledBack, "v2");
    client
        .update_status(collection, "llm", &object.version, &value)
        .await
        .expect("a written status");
    server.state().put(collection, "llm", order("v3"));
    let object = client.get(collection, "llm").await.expect("the order");
    let (_, status) = rollout::decode(&object).expect("a readable order");
    assert_eq!(status, None);
    server.state().put(
        collection,
        "llm",
        json!({ "service": "other", "to": "v3", "durationS": 1 }),
    );
    let object = client.get(collection, "llm").await.expect("the order");
    assert!(rollout::decode(&object).is_err());
}
