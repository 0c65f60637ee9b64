//! Contract of the platform client, tested over HTTP against the stand-in and
//! against servers that send raw bytes, and the write limit of the in-memory store.

use cicadacrank_bench::{
    memory::Store,
    platform::{Faults, Server},
};
use cicadacrank_node::platform::{
    Change, Client, Collection, Fault, MAX_OBJECT_BYTES, Store as _, Version,
};
use futures_util::StreamExt as _;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time,
};

/// Timeout of a call; a call whose answer is lost takes this long.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a call to a platform that never answers in time.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of waiting for a result or a change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn client(address: SocketAddr) -> Client {
    Client::new(address, TIMEOUT)
}

fn short_timeout_client(address: SocketAddr) -> Client {
    Client::new(address, SHORT_TIMEOUT)
}

/// Returns the name of a result, without the text of a fault.
fn label<T>(result: &Result<T, Fault>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(Fault::Exists) => "exists",
        Err(Fault::Conflict) => "conflict",
        Err(Fault::Missing) => "missing",
        Err(Fault::Throttled) => "throttled",
        Err(Fault::Unreachable(_)) => "unreachable",
        Err(Fault::Lost(_)) => "lost",
        Err(Fault::Expired) => "expired",
        Err(Fault::Invalid(_)) => "invalid",
    }
}

/// Makes each kind of call and returns the names of the results. An object `old`
/// exists and `none` does not.
async fn call_each(client: &Client, old: &Version) -> Vec<&'static str> {
    let stale = Version::new(0, 1_000_000);
    let claims = Collection::Claims;
    vec![
        label(&client.get(claims, "old").await),
        label(&client.get(claims, "none").await),
        label(&client.list(claims).await),
        label(&client.create(claims, "old", json!(1)).await),
        label(&client.update(claims, "none", &stale, json!(1)).await),
        label(&client.update(claims, "old", &stale, json!(1)).await),
        label(&client.delete(claims, "old", &stale).await),
        label(&client.update(claims, "old", old, json!(2)).await),
        label(&client.create(claims, "new", json!(1)).await),
    ]
}

#[tokio::test]
async fn call_maps_injected_faults_to_results() {
    let cases = [
        (
            "no faults",
            Faults::default(),
            "ok missing ok exists missing conflict conflict ok ok",
        ),
        (
            "down",
            Faults {
                down: true,
                ..Faults::default()
            },
            // The platform answers with status 503, which states that the call had no
            // effect.
            "throttled throttled throttled throttled throttled throttled throttled throttled throttled",
        ),
        (
            "throttled",
            Faults {
                throttled: true,
                ..Faults::default()
            },
            "throttled throttled throttled throttled throttled throttled throttled throttled throttled",
        ),
        (
            "too slow",
            Faults {
                delay_ms: 60_000,
                ..Faults::default()
            },
            "lost lost lost lost lost lost lost lost lost",
        ),
        (
            "two answers lost",
            Faults {
                lose_answers: 2,
                ..Faults::default()
            },
            "ok missing ok lost lost conflict conflict ok ok",
        ),
        (
            "two calls lost",
            Faults {
                lose_calls: 2,
                ..Faults::default()
            },
            "ok missing ok lost lost conflict conflict ok ok",
        ),
    ];
    for (name, faults, expected) in cases {
        let server = Server::start().await.expect("the stand-in starts");
        let client = client(server.address);
        let old = client.create(Collection::Claims, "old", json!(0)).await;
        let slow = faults.delay_ms > 0;
        server.set_faults(faults);
        let client = if slow {
            short_timeout_client(server.address)
        } else {
            client
        };
        let found = call_each(&client, &old.expect("the object is created")).await;
        assert_eq!(found.join(" "), expected, "{name}");
    }
}

#[tokio::test]
async fn update_takes_effect_if_only_its_answer_was_lost() {
    for (lose_answers, lose_calls, expected) in [(1, 0, json!("new")), (0, 1, json!("old"))] {
        let server = Server::start().await.expect("the stand-in starts");
        let client = client(server.address);
        let claims = Collection::Claims;
        let version = client.create(claims, "one", json!("old")).await;
        server.set_faults(Faults {
            lose_answers,
            lose_calls,
            ..Faults::default()
        });
        let version = version.expect("the object is created");
        let result = client.update(claims, "one", &version, json!("new")).await;
        assert!(result.expect_err("the answer is lost").may_have_effect());
        let object = client.get(claims, "one").await.expect("the object exists");
        assert_eq!(object.spec, expected);
        let retry = client.update(claims, "one", &version, json!("new")).await;
        assert_eq!(retry.is_ok(), lose_calls == 1);
    }
}

#[tokio::test]
async fn create_rejects_an_oversized_object() {
    let server = Server::start().await.expect("the stand-in starts");
    let client = client(server.address);
    let claims = Collection::Claims;
    for (name, size, expected) in [
        ("fits", MAX_OBJECT_BYTES - 2, "ok"),
        ("over", MAX_OBJECT_BYTES, "invalid"),
    ] {
        let spec = Value::String("x".repeat(size));
        let result = time::timeout(WAIT_TIMEOUT, client.create(claims, name, spec)).await;
        assert_eq!(
            label(&result.expect("the call ends in time")),
            expected,
            "{name}"
        );
    }
    assert_eq!(label(&client.get(claims, "over").await), "missing");
}

#[tokio::test]
async fn watch_delivers_the_remaining_changes_in_order() {
    let cases = [
        (Faults::default(), vec!["a", "b", "c"]),
        (
            Faults {
                drop_events: 2,
                ..Faults::default()
            },
            vec!["c"],
        ),
    ];
    for (faults, expected) in cases {
        let server = Server::start().await.expect("the stand-in starts");
        let client = client(server.address);
        let claims = Collection::Claims;
        let start = Version::default();
        let mut watch = client
            .watch(claims, &start)
            .await
            .expect("the watch starts");
        server.set_faults(faults);
        for name in ["a", "b", "c"] {
            client
                .create(claims, name, json!(0))
                .await
                .expect("the object is created");
        }
        let mut names = Vec::new();
        while names.last().map(String::as_str) != Some("c") {
            let change = time::timeout(WAIT_TIMEOUT, watch.next())
                .await
                .expect("a change arrives in time");
            let Some(Ok(Change::Put(object))) = change else {
                panic!("{change:?}");
            };
            names.push(object.name);
        }
        assert_eq!(names, expected);
    }
}

#[tokio::test(start_paused = true)]
async fn create_is_throttled_above_the_rate_limit() {
    let store = Store::new();
    store.state().faults.writes_per_second = 2;
    let mut found = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        found.push(label(
            &store.create(Collection::Claims, name, json!(0)).await,
        ));
        time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(
        found.join(" "),
        "ok ok throttled throttled ok ok throttled throttled"
    );
}

/// Starts a server that accepts one connection, sends raw bytes and closes it;
/// returns its address.
async fn serve_raw(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    address
}

#[tokio::test]
async fn get_maps_broken_responses_to_faults() {
    let cases = [
        ("", "lost"),
        ("rubbish\r\n\r\n", "lost"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", "lost"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"metadata\":",
            "lost",
        ),
        (
            "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}",
            "conflict",
        ),
        ("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n", "expired"),
        (
            "HTTP/1.1 403 Forbidden\r\ncontent-length: 0\r\n\r\n",
            "invalid",
        ),
        (
            "HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
            "lost",
        ),
        ("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n", "lost"),
    ];
    for (response, expected) in cases {
        let client = client(serve_raw(response).await);
        let found = client.get(Collection::Claims, "one").await;
        assert_eq!(label(&found), expected, "{response:?}");
    }
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let found = client(address).get(Collection::Claims, "one").await;
    assert_eq!(label(&found), "unreachable");
}

/// Returns the version at which a watch of the claims continues.
async fn claims_version(client: &Client) -> Version {
    let listing = client.list(Collection::Claims).await;
    listing.expect("the claims are listed").version
}

#[tokio::test]
async fn answers_state_the_era_of_the_store() {
    let server = Server::start().await.expect("the stand-in starts");
    let client = client(server.address);
    let claims = Collection::Claims;
    let created = client.create(claims, "one", json!(0)).await;
    assert_eq!(created.expect("the object is created").era, 0);
    let copy = server.state().save();
    for era in 1..=2 {
        server.state().restore(&copy);
        let object = client.get(claims, "one").await.expect("the object exists");
        assert_eq!((object.version.era, client.era()), (era, era));
        let listing = client.list(claims).await.expect("the claims are listed");
        assert_eq!(listing.version.era, era);
        assert_eq!(listing.objects, [object]);
    }
    // An answer with an error states it too.
    server.state().restore(&copy);
    server.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(label(&client.get(claims, "one").await), "throttled");
    assert_eq!(client.era(), 3);
}

/// A watch that goes on in the history of a copy would miss what the copy undid.
#[tokio::test]
async fn watch_of_an_earlier_era_expires() {
    let server = Server::start().await.expect("the stand-in starts");
    let claims = Collection::Claims;
    let copy = server.state().save();
    for name in ["a", "b"] {
        server.state().put(claims, name, json!(0));
    }
    // After the return, the store has given out fewer, as many and more revisions.
    for written in 0..4 {
        let client = client(server.address);
        let version = claims_version(&client).await;
        server.state().restore(&copy);
        for number in 0..written {
            let name = format!("new-{number}");
            server.state().put(claims, &name, json!(0));
        }
        let changes = client.changes(claims, &version, SHORT_TIMEOUT).await;
        assert_eq!(label(&changes), "expired", "{written} writes");
        let version = claims_version(&client).await;
        server.state().put(claims, "next", json!(0));
        let changes = client.changes(claims, &version, WAIT_TIMEOUT).await;
        let changes = changes.expect("the watch continues in its era").changes;
        assert_eq!(changes.len(), 1, "{written} writes");
    }
}

/// A watch that waits for a rare change would learn of the return only with it.
#[tokio::test]
async fn waiting_watch_expires_when_another_call_sees_a_newer_era() {
    let server = Server::start().await.expect("the stand-in starts");
    let client = client(server.address);
    let copy = server.state().save();
    let version = claims_version(&client).await;
    server.state().restore(&copy);
    // This client has not seen the new era yet, so that the store accepts its watch.
    let watch = {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .changes(Collection::Claims, &version, WAIT_TIMEOUT)
                .await
        })
    };
    while server.counts().watches == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
    let listing = client.list(Collection::Config).await;
    assert_eq!(listing.expect("the list is complete").version.era, 1);
    let changes = time::timeout(TIMEOUT, watch).await;
    let changes = changes.expect("the watch ends at once").expect("no panic");
    assert_eq!(label(&changes), "expired");
}

#[tokio::test]
async fn running_watch_ends_when_the_store_comes_back_from_a_copy() {
    let server = Server::start().await.expect("the stand-in starts");
    let client = client(server.address);
    let copy = server.state().save();
    server.state().put(Collection::Claims, "undone", json!(0));
    let version = claims_version(&client).await;
    let mut watch = client
        .watch(Collection::Claims, &version)
        .await
        .expect("the watch starts");
    let next = tokio::spawn(async move { watch.next().await });
    while server.counts().watches == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
    server.state().restore(&copy);
    let end = time::timeout(TIMEOUT, next).await;
    let end = end.expect("the watch ends at once").expect("no panic");
    assert!(matches!(end, Some(Err(_))), "{end:?}");
    assert_eq!(client.era(), 1);
}

/// The revision that a caller has read may have been given out again, for another state.
#[tokio::test]
async fn conditional_write_of_an_earlier_era_conflicts_without_being_sent() {
    let server = Server::start().await.expect("the stand-in starts");
    let client = client(server.address);
    let claims = Collection::Claims;
    let copy = server.state().save();
    let version = client.create(claims, "one", json!("mine")).await;
    let version = version.expect("the object is created");
    server.state().restore(&copy);
    server.state().put(claims, "one", json!("another's"));
    let object = client.get(claims, "one").await.expect("the object exists");
    assert_eq!(object.version.revision, version.revision);
    let writes = server.counts().writes;
    let update = client.update(claims, "one", &version, json!("mine")).await;
    assert_eq!(label(&update), "conflict");
    let delete = client.delete(claims, "one", &version).await;
    assert_eq!(label(&delete), "conflict");
    assert_eq!(server.counts().writes, writes);
    assert_eq!(client.get(claims, "one").await, Ok(object));
}

/// The client sees the new era only in the answer, when the write has taken effect.
#[tokio::test]
async fn conditional_write_that_is_answered_in_a_later_era_is_lost() {
    let server = Server::start().await.expect("the stand-in starts");
    let client = client(server.address);
    let claims = Collection::Claims;
    let copy = server.state().save();
    let version = client.create(claims, "one", json!("mine")).await;
    let version = version.expect("the object is created");
    server.state().restore(&copy);
    server.state().put(claims, "one", json!("another's"));
    let update = client.update(claims, "one", &version, json!("mine")).await;
    assert!(
        update
            .expect_err("the write is of another era")
            .may_have_effect()
    );
}

#[tokio::test]
async fn in_memory_store_comes_back_from_a_copy() {
    let store = Store::new();
    let claims = Collection::Claims;
    let copy = store.state().save();
    let version = store.create(claims, "one", json!("mine")).await;
    let version = version.expect("the object is created");
    let mut watch = store
        .watch(claims, &version)
        .await
        .expect("the watch starts");
    store.state().restore(&copy);
    assert_eq!(watch.next().await, Some(Err(Fault::Expired)));
    assert_eq!(label(&store.get(claims, "one").await), "missing");
    let created = store.create(claims, "one", json!("another's")).await;
    let created = created.expect("the object is created");
    assert_eq!(created, Version::new(1, version.revision));
    let update = store.update(claims, "one", &version, json!("mine")).await;
    assert_eq!(label(&update), "conflict");
    let mut watch = store
        .watch(claims, &version)
        .await
        .expect("the watch starts");
    assert_eq!(watch.next().await, Some(Err(Fault::Expired)));
}

/// Starts a server that sends raw answers, one for each connection; returns its
/// address.
async fn serve_each(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn page(era: &str, name: &str, has_more: bool) -> String {
    let body = json!({
        "items": [{ "metadata": { "name": name, "revision": 2 } }],
        "hasMore": has_more,
        "at": 3,
    });
    let body = body.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{era}content-length: {length}\r\n\r\n{body}")
}

/// Pages of two eras would make up a list that the store never held.
#[tokio::test]
async fn list_across_eras_expires() {
    let cases = [
        ("", "", "ok"),
        ("store-era: 4\r\n", "store-era: 4\r\n", "ok"),
        ("store-era: 4\r\n", "store-era: 5\r\n", "expired"),
        ("store-era: 4\r\n", "", "expired"),
        ("store-era: many\r\n", "", "lost"),
    ];
    for (first, second, expected) in cases {
        let pages = vec![page(first, "a", true), page(second, "b", false)];
        let client = client(serve_each(pages).await);
        let listing = client.list(Collection::Claims).await;
        assert_eq!(label(&listing), expected, "{first:?} {second:?}");
    }
    // A delayed answer of an era before the newest that the client has seen.
    let pages = vec![
        page("store-era: 5\r\n", "a", false),
        page("store-era: 4\r\n", "a", false),
    ];
    let client = client(serve_each(pages).await);
    assert_eq!(label(&client.list(Collection::Claims).await), "ok");
    assert_eq!(label(&client.list(Collection::Claims).await), "expired");
}

/// Names that other writers may choose, in order.
const ODD_NAMES: [&str; 12] = [
    "a b", "a#b", "a%20b", "a&b=c", "a+b", "a/b", "a:b", "a;b", "a?b", "a\"b", "a\u{7f}b",
    "a\u{e9}b",
];

/// A name with a space ended the list of all objects for good; others were cut or changed.
#[tokio::test]
async fn list_continues_after_each_name() {
    let server = Server::start().await.expect("failed to start the server");
    let mut names: Vec<String> = ODD_NAMES.iter().map(|name| (*name).to_owned()).collect();
    names.extend(["a".to_owned(), "a-".to_owned(), "n".repeat(200)]);
    names.sort();
    for name in &names {
        server
            .state()
            .put(Collection::Endpoints, name, json!({ "name": name }));
    }
    server.state().faults.page_items = 1;
    let client = client(server.address);
    let listing = client.list(Collection::Endpoints).await;
    let listing = listing.expect("the list is complete");
    let listed: Vec<String> = listing.objects.into_iter().map(|one| one.name).collect();
    assert_eq!(listed, names);
}

/// The same of calls for one object.
#[tokio::test]
async fn calls_reach_the_object_of_each_name() {
    let server = Server::start().await.expect("failed to start the server");
    let client = client(server.address);
    for name in ODD_NAMES {
        let created = client.create(Collection::Claims, name, json!({ "at": 1 }));
        let version = created.await.expect("created");
        let written = client.update(Collection::Claims, name, &version, json!({ "at": 2 }));
        let version = written
            .await
            .unwrap_or_else(|fault| panic!("{name}: {fault}"));
        let object = client.get(Collection::Claims, name).await;
        let object = object.unwrap_or_else(|fault| panic!("{name}: {fault}"));
        assert_eq!(
            (object.name.as_str(), &object.spec["at"]),
            (name, &json!(2))
        );
        let deleted = client.delete(Collection::Claims, name, &version).await;
        assert_eq!(deleted, Ok(()), "{name}");
    }
}
