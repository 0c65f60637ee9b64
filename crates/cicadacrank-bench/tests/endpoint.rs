//! Contract of the endpoint client, tested against servers that send raw bytes.

use bytes::Bytes;
use cicadacrank_core::rules::Service;
use cicadacrank_node::endpoint::{Call, Fault, Port as _, http::Client};
use futures_util::TryStreamExt as _;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time,
};

/// Timeout of a connection without progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest output that a call accepts, in bytes.
const MAX_OUTPUT_BYTES: u64 = 16;

/// What the server does with the connection after its response.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    KeepOpen,
}

use Ending::{Close, KeepOpen};

/// Starts a server that accepts one connection, reads a request and sends raw bytes;
/// returns its address.
async fn serve_raw(response: &'static str, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(response.as_bytes()).await;
        if matches!(ending, KeepOpen) {
            // Returns when the client closes the connection.
            let _ = stream.read(&mut request).await;
        }
    });
    address
}

async fn call(address: SocketAddr, service: Service) -> Result<Vec<Bytes>, Fault> {
    let client = Client::new(PROGRESS_TIMEOUT).expect("the client is created");
    send(&client, address, service, "{}").await
}

async fn send(
    client: &Client,
    address: SocketAddr,
    service: Service,
    input: &'static str,
) -> Result<Vec<Bytes>, Fault> {
    let call = Call {
        address,
        service,
        path: "/bookings".to_owned(),
        attempt: "1".to_owned(),
        key: "key".to_owned(),
        input: Bytes::from_static(input.as_bytes()),
        output_limit: MAX_OUTPUT_BYTES,
        progress_timeout: PROGRESS_TIMEOUT,
    };
    client.call(call).await?.try_collect().await
}

/// Formats a result: the parts of the output, or the kind of the fault, whether a
/// connection was made, and whether the endpoint refused the work.
fn label(result: Result<Vec<Bytes>, Fault>) -> String {
    match result {
        Ok(parts) => format!("{parts:?}"),
        Err(fault) => format!(
            "{} connected={} refused={}",
            fault.kind, fault.connected, fault.refused
        ),
    }
}

const PLAIN_CASES: &[(&str, &str, Ending, &str)] = &[
    (
        "complete",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        KeepOpen,
        "[b\"{}\"]",
    ),
    (
        "invalid status line",
        "rubbish\r\n\r\n",
        Close,
        "endpoint-failed connected=true refused=false",
    ),
    (
        "closed without a response",
        "",
        Close,
        "endpoint-failed connected=true refused=false",
    ),
    (
        "silent",
        "",
        KeepOpen,
        "silent connected=true refused=false",
    ),
    (
        "silent in the body",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{",
        KeepOpen,
        "silent connected=true refused=false",
    ),
    (
        "truncated",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}",
        Close,
        "truncated connected=true refused=false",
    ),
    (
        "truncated chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
        Close,
        "truncated connected=true refused=false",
    ),
    (
        "oversized",
        "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n12345678901234567",
        KeepOpen,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "redirected",
        "HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n",
        KeepOpen,
        "endpoint-failed connected=true refused=false",
    ),
    (
        "refused",
        "HTTP/1.1 422 No\r\ncontent-length: 2\r\n\r\nno",
        KeepOpen,
        "endpoint-refused connected=true refused=true",
    ),
    (
        "refused, truncated",
        "HTTP/1.1 422 No\r\ncontent-length: 9\r\n\r\nno",
        Close,
        "endpoint-refused connected=true refused=false",
    ),
    (
        "failed",
        "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
        KeepOpen,
        "endpoint-failed connected=true refused=false",
    ),
    (
        "busy",
        "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
        KeepOpen,
        "endpoint-failed connected=true refused=false",
    ),
];

const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

const STREAM_CASES: &[(&str, &str, Ending, &str)] = &[
    (
        "complete",
        "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\ndata: [DONE]\n\n",
        Close,
        "[b\"a\", b\"b\"]",
    ),
    (
        "no end mark",
        "data: {\"choices\":[{\"text\":\"a\"}]}\n\n",
        Close,
        "truncated connected=true refused=false",
    ),
    (
        "closed within an event",
        "data: {\"choices\":[{\"te",
        Close,
        "truncated connected=true refused=false",
    ),
    (
        "invalid JSON",
        "data: rubbish\n\n",
        Close,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "other JSON",
        "data: {}\n\n",
        Close,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "error",
        "data: {\"error\":{\"message\":\"x\"}}\n\ndata: [DONE]\n\n",
        Close,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "error beside choices",
        "data: {\"error\":{\"message\":\"x\"},\"choices\":[]}\n\ndata: [DONE]\n\n",
        Close,
        "endpoint-failed connected=true refused=false",
    ),
    (
        "no error beside choices",
        "data: {\"error\":null,\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n",
        Close,
        "[b\"a\"]",
    ),
    (
        "error of another type",
        "{\"error\":{\"message\":\"x\"}}\n\n",
        Close,
        "truncated connected=true refused=false",
    ),
    (
        "data after the end mark",
        "data: [DONE]\n\ndata: {\"choices\":[]}\n\n",
        Close,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "two end marks",
        "data: [DONE]\n\ndata: [DONE]\n\n",
        Close,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "oversized",
        "data: {\"choices\":[{\"text\":\"12345678901234567\"}]}\n\n",
        KeepOpen,
        "endpoint-protocol connected=true refused=false",
    ),
    (
        "silent",
        "data: {\"choices\":[{\"text\":\"a\"}]}\n\n",
        KeepOpen,
        "silent connected=true refused=false",
    ),
    ("empty", "", Close, "truncated connected=true refused=false"),
];

#[tokio::test]
async fn call_maps_plain_responses_to_results() {
    for (name, response, ending, expected) in PLAIN_CASES {
        let address = serve_raw(response, *ending).await;
        assert_eq!(
            label(call(address, Service::Plain).await),
            *expected,
            "{name}"
        );
    }
}

#[tokio::test]
async fn call_maps_streams_to_results() {
    for (name, events, ending, expected) in STREAM_CASES {
        let response = format!("{HEAD}{events}").leak();
        let address = serve_raw(response, *ending).await;
        assert_eq!(
            label(call(address, Service::Generate).await),
            *expected,
            "{name}"
        );
    }
}

/// When an endpoint writes its last refusal of a connection once more.
#[derive(Clone, Copy, Debug)]
enum Repetition {
    /// Right after the refusal.
    Early,
    /// When the next request arrives on the same connection.
    Late,
}

/// Answer that the endpoint below refuses with.
const REFUSAL: &[u8] = b"HTTP/1.1 422 No\r\ncontent-length: 2\r\n\r\nno";

/// Answer of the endpoint below to a request that it runs.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Starts an endpoint that keeps connections open, refuses requests that contain
/// `invalid`, and writes each refusal once more on its connection. It runs all other
/// requests.
async fn repeating_endpoint(repetition: Repetition) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut refused = false;
                let mut request = [0; 4_096];
                while let Ok(size @ 1..) = stream.read(&mut request).await {
                    let request = String::from_utf8_lossy(&request[..size]);
                    let answer = match repetition {
                        Repetition::Late if refused => [REFUSAL, ANSWER].concat(),
                        Repetition::Early if request.contains("invalid") => REFUSAL.repeat(2),
                        _ if request.contains("invalid") => REFUSAL.to_vec(),
                        _ => ANSWER.to_vec(),
                    };
                    refused = request.contains("invalid");
                    // An error is a client that disconnected.
                    drop(stream.write_all(&answer).await);
                }
            });
        }
    });
    address
}

/// The refusal of an earlier request was taken for the answer to a request that ran.
#[tokio::test]
async fn call_ignores_an_earlier_refusal_on_the_same_connection() {
    for repetition in [Repetition::Early, Repetition::Late] {
        let address = repeating_endpoint(repetition).await;
        let client = Client::new(PROGRESS_TIMEOUT).expect("the client is created");
        for number in 0..20 {
            let context = format!("{repetition:?} {number}");
            let refused = send(&client, address, Service::Plain, "invalid").await;
            let expected = "endpoint-refused connected=true refused=true";
            assert_eq!(label(refused), expected, "{context}");
            let answered = send(&client, address, Service::Plain, "{}").await;
            assert_eq!(label(answered), "[b\"{}\"]", "{context}");
        }
    }
}

#[tokio::test]
async fn call_reports_a_refused_connection_as_not_connected() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let result = time::timeout(PROGRESS_TIMEOUT * 20, call(address, Service::Plain)).await;
    let result = label(result.expect("the call ends in time"));
    assert_eq!(result, "unreachable connected=false refused=false");
}
