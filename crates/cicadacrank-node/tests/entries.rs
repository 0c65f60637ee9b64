//! Tests of answers of the store that contain odd entries of other writers.

use cicadacrank_core::directory::State;
use cicadacrank_node::platform::{
    Change, Client, Collection, Fault, Listing, Object, Store as _, Version, config, endpoint,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    runtime::Runtime,
};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Nesting depth that no recursive parser survives.
const DEPTH: usize = 10_000;

/// Size of an entry that is larger than any registration, in bytes.
const LARGE_ENTRY_BYTES: usize = 900_000;

/// Size of the largest registration that is read, in bytes.
const MAX_REGISTRATION_BYTES: usize = 64 << 10;

/// Number of generated cases of a test.
const CASES: u32 = 64;

/// Starts a store that answers each call with the same body.
async fn store(body: Vec<u8>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let mut request = [0; 4_096];
            // An error is a client that disconnected.
            drop(connection.read(&mut request).await);
            drop(connection.write_all(head.as_bytes()).await);
            drop(connection.write_all(&body).await);
        }
    });
    Client::new(address, TIMEOUT)
}

fn registration(port: u16) -> Vec<u8> {
    registration_with(&format!(r#""address":"10.1.0.9:{port}""#))
}

/// Returns a registration that is whole but for one further or other field.
fn registration_with(field: &str) -> Vec<u8> {
    let fields = [
        r#""service":"llm""#,
        r#""address":"10.1.0.9:80""#,
        r#""zone":"a""#,
        r#""version":"v1""#,
        r#""state":"ready""#,
        r#""slots":8"#,
        r#""coldRemainingMs":0"#,
        r#""sequence":4"#,
    ];
    let name = |field: &str| field.split(':').next().map(str::to_owned);
    let mut fields: Vec<&str> = fields.to_vec();
    fields.retain(|one| name(one) != name(field));
    fields.push(field);
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn object(name: &str, spec: &[u8]) -> Vec<u8> {
    let metadata = format!(r#"{{"name":"{name}","revision":7,"finalizers":[]}}"#);
    [
        br#"{"metadata":"#,
        metadata.as_bytes(),
        br#","specification":"#,
        spec,
        br#","status":null}"#,
    ]
    .concat()
}

/// Returns contents that name no endpoint, each with a label.
fn odd_contents() -> Vec<(&'static str, Vec<u8>)> {
    let nested = |open: &str, close: &str| (open.repeat(DEPTH) + &close.repeat(DEPTH)).into_bytes();
    let objects = format!("{}0{}", r#"{"a":"#.repeat(DEPTH), "}".repeat(DEPTH));
    let deep = format!(r#""more":{}{}"#, "[".repeat(DEPTH), "]".repeat(DEPTH));
    let large = format!("[{}0]", r#"{"":0},"#.repeat(LARGE_ENTRY_BYTES / 7));
    let mut invalid = registration(80);
    let zone = invalid.iter().rposition(|byte| *byte == b'a');
    invalid[zone.expect("a zone")] = 0xff;
    vec![
        ("nested arrays", nested("[", "]")),
        ("nested objects", objects.into_bytes()),
        ("nested field", registration_with(&deep)),
        ("huge float", registration_with(r#""sequence":1e999"#)),
        (
            "huge float elsewhere",
            registration_with(r#""more":-1e999"#),
        ),
        (
            "huge integer",
            registration_with(r#""sequence":99999999999999999999999999"#),
        ),
        ("negative", registration_with(r#""sequence":-1"#)),
        ("fraction", registration_with(r#""born":1.5"#)),
        ("too many slots", registration_with(r#""slots":4294967296"#)),
        (
            "cold for ages",
            registration_with(r#""coldRemainingMs":1.8e22"#),
        ),
        (
            "port out of range",
            registration_with(r#""address":"10.1.0.9:70000""#),
        ),
        ("port zero", registration(0)),
        ("invalid UTF-8", invalid),
        ("lone surrogate", registration_with(r#""more":"\ud800""#)),
        ("large", large.into_bytes()),
        ("null", b"null".to_vec()),
        ("number", b"7".to_vec()),
        ("list", b"[]".to_vec()),
        ("empty", b"{}".to_vec()),
        ("state", registration_with(r#""sequence":{"state":[]}"#)),
    ]
}

fn page(objects: &[Vec<u8>]) -> Vec<u8> {
    let items = objects.join(&b","[..]);
    [
        br#"{"items":["#,
        &items[..],
        br#"],"hasMore":false,"at":9}"#,
    ]
    .concat()
}

fn watch_answer(objects: &[Vec<u8>]) -> Vec<u8> {
    let event = |object: &Vec<u8>| [br#"{"deleted":false,"object":"#, &object[..], b"}"].concat();
    let events: Vec<_> = objects.iter().map(event).collect();
    let events = events.join(&b","[..]);
    [br#"{"events":["#, &events[..], br#"],"at":9}"#].concat()
}

/// Returns the names of the objects that name an endpoint.
fn endpoints(objects: &[Object]) -> Vec<&str> {
    let named = objects.iter().filter(|one| endpoint::decode(one).is_ok());
    named.map(|one| one.name.as_str()).collect()
}

fn names(objects: &[Object]) -> Vec<&str> {
    objects.iter().map(|one| one.name.as_str()).collect()
}

async fn list(client: Client, collection: Collection) -> Result<Listing, Fault> {
    client.list(collection).await
}

async fn changes(client: Client, collection: Collection) -> Result<Vec<Object>, Fault> {
    let version = Version::new(0, 1);
    let changes = client.changes(collection, &version, TIMEOUT).await?;
    let objects = changes.changes.into_iter().map(|change| match change {
        Change::Put(object) | Change::Deleted(object) => object,
    });
    Ok(objects.collect())
}

/// One odd entry made the whole list unreadable, for as long as it stayed.
#[tokio::test]
async fn list_survives_an_odd_entry_among_others() {
    for (label, odd) in odd_contents() {
        let objects = [
            object("a", &registration(80)),
            object("b", &odd),
            object("c", &registration(81)),
        ];
        let client = store(page(&objects)).await;
        let listing = list(client, Collection::Endpoints).await;
        let listing = listing.unwrap_or_else(|fault| panic!("{label}: {fault}"));
        assert_eq!(names(&listing.objects), ["a", "b", "c"], "{label}");
        assert_eq!(endpoints(&listing.objects), ["a", "c"], "{label}");
    }
}

/// One odd entry made the whole answer of a watch unreadable, so that later changes
/// were never seen.
#[tokio::test]
async fn changes_survive_an_odd_entry_among_others() {
    for (label, odd) in odd_contents() {
        let objects = [
            object("a", &registration(80)),
            object("b", &odd),
            object("c", &registration(81)),
        ];
        let client = store(watch_answer(&objects)).await;
        let changed = changes(client, Collection::Endpoints).await;
        let changed = changed.unwrap_or_else(|fault| panic!("{label}: {fault}"));
        assert_eq!(names(&changed), ["a", "b", "c"], "{label}");
        assert_eq!(endpoints(&changed), ["a", "c"], "{label}");
    }
}

/// One odd entry among rules, instances, claims or accounts must not hide the others.
#[tokio::test]
async fn list_of_each_collection_survives_an_odd_entry() {
    for collection in Collection::ALL {
        for (label, odd) in odd_contents() {
            let objects = [object("a", &odd), object("b", &registration(80))];
            let client = store(page(&objects)).await;
            let listing = list(client, collection).await;
            let listing = listing.unwrap_or_else(|fault| panic!("{collection:?} {label}: {fault}"));
            assert_eq!(
                names(&listing.objects),
                ["a", "b"],
                "{collection:?} {label}"
            );
        }
    }
}

#[tokio::test]
async fn get_returns_an_odd_object_that_no_decoder_accepts() {
    for (label, odd) in odd_contents() {
        let client = store(object("main", &odd)).await;
        let object = client.get(Collection::Config, "main").await;
        let object = object.unwrap_or_else(|fault| panic!("{label}: {fault}"));
        assert_eq!(object.version, Version::new(0, 7), "{label}");
        assert!(config::decode(&object.spec).is_err(), "{label}");
    }
}

/// Fields of an object that the store itself writes may be odd too.
#[tokio::test]
async fn list_survives_objects_without_a_readable_name() {
    let odd = [
        &b"7"[..],
        b"null",
        br#"{"metadata":7}"#,
        br#"{"metadata":{"name":7}}"#,
        br#"{"specification":{}}"#,
    ];
    for nameless in odd {
        let objects = [object("a", &registration(80)), nameless.to_vec()];
        let client = store(page(&objects)).await;
        let listing = list(client, Collection::Endpoints).await;
        let listing = listing.expect("a readable list");
        assert_eq!(names(&listing.objects), ["a"]);
    }
    let metadata = br#"{"metadata":{"name":"b","revision":1e999},"specification":{}}"#;
    let client = store(page(&[metadata.to_vec()])).await;
    let listing = list(client, Collection::Endpoints).await;
    let listing = listing.expect("a readable list");
    assert_eq!(names(&listing.objects), ["b"]);
}

/// A log line repeated the whole content of an odd entry.
#[test]
fn decode_describes_an_odd_entry_briefly() {
    let mut spec: serde_json::Value =
        serde_json::from_slice(&registration(80)).expect("a registration");
    for field in ["state", "slots", "address"] {
        spec[field] = "x".repeat(MAX_REGISTRATION_BYTES / 4).into();
        let object = Object {
            name: "i-1".to_owned(),
            version: Version::new(0, 7),
            spec: spec.clone(),
            ..Object::default()
        };
        let error = endpoint::decode(&object).expect_err("an invalid field");
        assert!(error.len() < 1_000, "{field}: {} bytes", error.len());
    }
}

/// Returns JSON values of any shape, with numbers and strings that a parser may reject.
fn any_json() -> impl Strategy<Value = Vec<u8>> {
    let leaf = prop_oneof![
        Just(b"null".to_vec()),
        Just(b"true".to_vec()),
        "-?(0|[1-9][0-9]{0,30})(\\.[0-9]{1,5})?([eE][+-]?[0-9]{1,4})?".prop_map(String::into_bytes),
        vec(any::<u8>(), 0..20).prop_map(|bytes| {
            let is_plain = |byte: &u8| *byte >= b' ' && !b"\"\\".contains(byte);
            let plain: Vec<u8> = bytes.into_iter().filter(is_plain).collect();
            [&b"\""[..], &plain[..], b"\""].concat()
        }),
    ];
    leaf.prop_recursive(6, 60, 5, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..5)
                .prop_map(|items| { [&b"["[..], &items.join(&b","[..]), b"]"].concat() }),
            vec(
                ("(address|state|born|slots|[a-z]{0,3})", inner.clone()),
                0..5
            )
            .prop_map(|fields| {
                let field = |(name, value): &(String, Vec<u8>)| {
                    [format!("\"{name}\":").as_bytes(), value].concat()
                };
                let fields: Vec<Vec<u8>> = fields.iter().map(field).collect();
                [&b"{"[..], &fields.join(&b","[..]), b"}"].concat()
            }),
            (inner, 0..300_usize).prop_map(|(value, depth)| {
                [&b"[".repeat(depth)[..], &value, &b"]".repeat(depth)].concat()
            }),
        ]
    })
}

#[test]
fn list_and_changes_survive_any_entry() {
    let runtime = Runtime::new().expect("a runtime");
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        cases: CASES,
        ..ProptestConfig::default()
    };
    let result = TestRunner::new(config).run(&any_json(), |odd| {
        let objects = [
            object("a", &registration(80)),
            object("b", &odd),
            object("c", &registration(81)),
        ];
        runtime.block_on(async {
            let client = store(page(&objects)).await;
            let listing = list(client, Collection::Endpoints).await;
            let listing = listing.expect("a readable list");
            let client = store(watch_answer(&objects)).await;
            let changed = changes(client, Collection::Endpoints).await;
            let changed = changed.expect("readable changes");
            for objects in [&listing.objects, &changed] {
                assert_eq!(names(objects), ["a", "b", "c"]);
                let sound = [&objects[0], &objects[2]];
                for object in sound {
                    let endpoint = endpoint::decode(object).expect("a sound entry");
                    assert_eq!(endpoint.state, State::Ready);
                }
                drop(endpoint::decode(&objects[1]));
                drop(config::decode(&objects[1].spec));
            }
        });
        Ok(())
    });
    result.expect("each case holds");
}
