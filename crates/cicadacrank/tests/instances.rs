//! Tests of the commands that call instances: status pages and responses of an
//! entry.

mod common;

use cicadacrank_bench::platform::Server;
use cicadacrank_node::{membership::Instance, settings::Role};
use common::{Run, run};
use expect_test::expect;
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

const ENTRY_STATUS: &str = r#"{"role": "entry", "generation": 12}"#;
const SIDECAR_STATUS: &str = r#"{"role": "sidecar", "generation": 11, "endpoints": [
    {"name": "booking-desk-01", "phase": "warming", "in_flight": 3, "queued": 1, "slots": 9}]}"#;

/// Starts a server that sends the same status and body in response to every request
/// and then closes the connection; returns its address.
async fn serve(status: u16, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let response = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n\r\n{body}");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let response = response.clone();
            tokio::spawn(async move {
                let mut request = vec![0; 4096];
                let mut received = 0;
                while !is_complete(&request[..received]) {
                    received += stream.read(&mut request[received..]).await.unwrap();
                }
                stream.write_all(response.as_bytes()).await.unwrap();
            });
        }
    });
    address
}

/// Returns whether a request has arrived completely: up to the closing brace of its
/// body, or up to the end of the headers of a GET request.
fn is_complete(request: &[u8]) -> bool {
    request.ends_with(b"}") || (request.starts_with(b"GET") && request.ends_with(b"\r\n\r\n"))
}

/// Returns an address at which nothing listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_instances_of_platform() {
    let platform = Server::start().await.unwrap();
    let instances = [
        (
            "entry-0",
            Role::Entry,
            serve(200, ENTRY_STATUS).await,
            false,
        ),
        (
            "sidecar-0",
            Role::Sidecar,
            serve(200, SIDECAR_STATUS).await,
            true,
        ),
        ("sidecar-1", Role::Sidecar, unused_address().await, false),
        (
            "sidecar-2",
            Role::Sidecar,
            serve(200, "rubbish").await,
            false,
        ),
    ];
    for (name, role, address, leaving) in instances {
        let instance = Instance {
            role,
            data_centre: "vest-a".into(),
            address,
            operator_address: address,
            endpoints: Vec::new(),
            leaving,
        };
        platform.set_instance(name, &instance);
    }
    let result = run(&["status", "--platform", &platform.address.to_string()]).await;
    assert_eq!((result.code, result.err.as_str()), (0, ""));
    expect![[r#"
        INSTANCE   ROLE     DATA CENTRE  STATE      GENERATION
        entry-0    entry    vest-a       ready      12
        sidecar-0  sidecar  vest-a       leaving    11
        sidecar-1  sidecar  vest-a       no answer  -
        sidecar-2  sidecar  vest-a       no answer  -

        ENDPOINT         PHASE    IN FLIGHT  QUEUED  SLOTS
        booking-desk-01  warming  3          1       9

        generation 12 is in force at 1 of 4 instances
    "#]]
    .assert_eq(&result.out);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_queries_given_instances() {
    let address = serve(503, ENTRY_STATUS).await.to_string();
    let result = run(&["status", "--json", "--instance", &address]).await;
    expect![[r#"
        [
          {
            "instance": "IP:PORT",
            "address": "IP:PORT",
            "role": "entry",
            "data_centre": "",
            "state": "not ready",
            "generation": 12,
            "endpoints": []
          }
        ]
    "#]]
    .assert_eq(&result.out.replace(&address, "IP:PORT"));
    let down = unused_address().await.to_string();
    assert_eq!(run(&["status", "--platform", &down]).await.code, 6);
}

async fn send(address: SocketAddr, extra: &[&str]) -> Run {
    let entry = address.to_string();
    let arguments = [
        "send",
        "book-room",
        "--entry",
        &entry,
        "--team=counter",
        "--body={}",
    ];
    run(&[&arguments, extra].concat()).await
}

#[tokio::test(flavor = "multi_thread")]
async fn send_prints_complete_response() {
    let body = "event: chunk\ndata: {\"text\": \"Dear \"}\n\n\
                event: chunk\ndata: {\"text\": \"host\\u001b\"}\n\n\
                event: end\ndata: {\"chunks\": 2, \"answer\": {\"text\": \"Dear host\"}, \
                \"request_id\": \"r1\"}\n\n";
    let address = serve(200, body).await;
    let result = send(address, &[]).await;
    assert_eq!((result.code, result.err.as_str()), (0, ""));
    expect![[r#"
        Dear host�
        whole answer (request r1):
        {"text":"Dear host"}
    "#]]
    .assert_eq(&result.out);
    let result = send(address, &["--json"]).await;
    expect![[r#"
        {
          "answer": {
            "text": "Dear host"
          },
          "chunks": 2,
          "request_id": "r1"
        }
    "#]]
    .assert_eq(&result.out);
}

#[tokio::test(flavor = "multi_thread")]
async fn send_reports_incomplete_responses() {
    let chunk = "event: chunk\ndata: {\"text\": \"Dear\"}\n\n";
    let end = "event: end\ndata: {\"chunks\": 2, \"answer\": {}}\n\n";
    let error = r#"{"error": {"kind": "deadline", "effect": "partial", "context": "stage two"}}"#;
    let refused = r#"{"error": {"kind": "forbidden", "effect": "not-run", "context": "team"}}"#;
    let cases = [
        ("no end", 200, chunk.to_owned(), 6, "effect: unknown"),
        ("empty", 200, String::new(), 6, "effect: unknown"),
        (
            "chunk lost",
            200,
            format!("{chunk}{end}"),
            6,
            "chunks are missing",
        ),
        (
            "error",
            200,
            format!("{chunk}event: error\ndata: {error}\n\n"),
            7,
            "effect: partial",
        ),
        ("refused", 403, refused.to_owned(), 4, "effect: not-run"),
        ("rubbish", 500, "rubbish".to_owned(), 6, "effect: unknown"),
    ];
    for (case, status, body, code, message) in cases {
        let result = send(serve(status, &body).await, &[]).await;
        assert_eq!(result.code, code, "{case}: {}", result.err);
        assert!(result.err.contains(message), "{case}: {}", result.err);
    }
    let result = send(unused_address().await, &[]).await;
    assert_eq!(result.code, 6);
    assert!(result.err.contains("effect: not-run"), "{}", result.err);
}
