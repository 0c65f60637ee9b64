//! The caller interface: responses to valid and invalid requests.

mod common;

use common::{request, run_count, start_small_fleet};
use expect_test::{Expect, expect};
use reqwest::RequestBuilder;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time,
};

/// Maximum time for which a test waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request and returns the status, effect, error kind and context of its response.
async fn summary(request: RequestBuilder) -> String {
    let answer = common::send(request).await;
    let context = answer.body["error"]["context"].as_str().unwrap_or_default();
    format!(
        "{} {} {}: {context}",
        answer.status,
        answer.effect,
        answer.kind()
    )
}

async fn check(request: RequestBuilder, expected: Expect) {
    expected.assert_eq(&summary(request).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_are_rejected_without_running() {
    let fleet = start_small_fleet().await;
    let ask = || request(&fleet, 0, "ask", "");
    check(ask().body("{"), expect!["400 not-run bad-request: reading the body: EOF while parsing an object at line 1 column 1"]).await;
    check(
        ask().body("[]"),
        expect!["400 not-run bad-request: the body needs a text field `query`"],
    )
    .await;
    check(
        ask().body(r#"{"query":1}"#),
        expect!["400 not-run bad-request: the body needs a text field `query`"],
    )
    .await;
    check(
        ask().body(vec![0xff; 16]),
        expect!["400 not-run bad-request: reading the body: expected value at line 1 column 1"],
    )
    .await;
    check(
        ask().body("x".repeat(5 << 10)),
        expect!["413 not-run too-large: checking ask"],
    )
    .await;
    check(
        ask().body("x".repeat(2 << 20)),
        expect!["413 not-run too-large: reading the body: payload too large"],
    )
    .await;
    check(
        ask().header("x-deadline-ms", "soon"),
        expect!["400 not-run bad-request: reading the header x-deadline-ms"],
    )
    .await;
    check(
        ask().header("x-deadline-ms", "0"),
        expect!["504 not-run deadline: beginning stage stock"],
    )
    .await;
    check(
        request(&fleet, 0, "no-such", ""),
        expect!["404 not-run unknown-pipeline: checking no-such"],
    )
    .await;
    check(
        request(&fleet, 0, "order", ""),
        expect!["400 not-run key-missing: checking order"],
    )
    .await;
    let guest = request(&fleet, 0, "ask", "");
    let guest = guest.build().map(|mut guest| {
        guest
            .headers_mut()
            .insert("x-team", "guest".parse().expect("invalid header value"));
        RequestBuilder::from_parts(
            cicadacrank_bench::fleet::client().expect("failed to create the client"),
            guest,
        )
    });
    check(
        guest.expect("invalid request"),
        expect!["403 not-run forbidden: checking ask"],
    )
    .await;
    for path in ["/stock", "/shifts", "/orders", "/v1/completions"] {
        assert_eq!(run_count(&fleet, path), 0, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_streams_events_with_an_end_event() {
    let fleet = start_small_fleet().await;
    let ask = request(&fleet, 0, "ask", "").header("accept", "text/event-stream");
    let answer = ask.send().await.expect("request failed");
    assert_eq!(answer.headers()["content-type"], "text/event-stream");
    let text = answer.text().await.expect("failed to read the body");
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("event: "))
        .collect();
    assert_eq!(events, ["chunk", "chunk", "chunk", "end"], "{text}");
    assert!(text.contains(r#""chunks":3"#), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reused_key_with_another_body_is_rejected() {
    let fleet = start_small_fleet().await;
    check(request(&fleet, 0, "order", "key"), expect!["200  : "]).await;
    let other = request(&fleet, 1, "order", "key").body(r#"{"query":"other"}"#);
    check(other, expect!["422 partial key-reused: claiming the work"]).await;
    assert_eq!(run_count(&fleet, "/orders"), 1);
}

/// Reads the head and body of an answer. Returns `None` if the connection ends before.
async fn read_answer(connection: &mut TcpStream) -> Option<String> {
    let read = async {
        let mut text = String::new();
        let mut length = None;
        while length.is_none_or(|length| text.len() < length) {
            text.push(char::from(connection.read_u8().await.ok()?));
            if text.ends_with("\r\n\r\n") && length.is_none() {
                let lines = text.lines().filter_map(|line| line.split_once(": "));
                let mut lines = lines.filter(|line| line.0 == "content-length");
                length = Some(text.len() + lines.next()?.1.parse::<usize>().ok()?);
            }
        }
        Some(text)
    };
    let read = time::timeout(ANSWER_TIMEOUT, read).await;
    read.expect("timed out waiting for an answer")
}

/// A refusal before the body was read ended the connection after the answer, without
/// saying so. The next request on it got neither an answer nor a refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_with_a_refused_request_serves_the_next_one() {
    const BODY: &str = r#"{"query":"tea for 20"}"#;
    let fleet = start_small_fleet().await;
    let address = fleet.entries[0].addresses.caller_listen;
    let address = address.expect("an entry listens for callers");
    let head = |path: &str, lines: &str, length: usize| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nx-team: desk\r\n{lines}\
             content-length: {length}\r\n\r\n"
        )
    };
    let ask = "/v1/pipelines/ask";
    let cases = [
        (ask, "x-deadline-ms: soon\r\n", 20_000, "400"),
        ("/v1/none", "", 20_000, "404"),
        (ask, "", 2_000_000, "413"),
    ];
    for (path, lines, length, status) in cases {
        let connection = TcpStream::connect(address).await;
        let mut connection = connection.expect("failed to connect");
        let first = head(path, lines, length);
        let sent = connection.write_all(first.as_bytes()).await;
        sent.expect("failed to send the head");
        for _ in 0..10 {
            time::sleep(Duration::from_millis(20)).await;
            let sent = connection.write_all(&vec![b'x'; length / 10]).await;
            assert!(sent.is_ok(), "{status}: reset during the body");
        }
        let answer = read_answer(&mut connection).await;
        let answer = answer.unwrap_or_else(|| panic!("{status}: the refusal is lost"));
        assert!(answer.contains(status), "{answer}");
        let next = head(ask, "", BODY.len()) + BODY;
        let sent = connection.write_all(next.as_bytes()).await;
        assert!(sent.is_ok(), "{status}: reset after the refusal");
        let answer = read_answer(&mut connection).await;
        let answer = answer.unwrap_or_else(|| panic!("{status}: no answer to the next request"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}
