//! Tests of calls to endpoints that answer with bytes without end.

use bytes::Bytes;
use cicadacrank_node::outbound::{self, CallError};
use http::Request;
use http_body_util::Full;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpListener,
    time::{self, Instant},
};

/// Maximum size of a response body, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Timeout of a call. A call that reads without a bound lasts as long.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an endpoint that answers each connection with `start`, followed by bytes
/// without end.
async fn endless_endpoint(start: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut result = connection.write_all(start.as_bytes()).await;
                while result.is_ok() {
                    result = connection.write_all(&[b'a'; 1 << 14]).await;
                }
            });
        }
    });
    address
}

async fn call(address: SocketAddr) -> CallError {
    let request = Request::new(Full::new(Bytes::new()));
    let started_at = Instant::now();
    let answer = time::timeout(
        TIMEOUT,
        outbound::call(address, request, TIMEOUT, MAX_BYTES),
    );
    let error = answer.await.expect("the call ends before its timeout");
    assert!(started_at.elapsed() < TIMEOUT);
    error.expect_err("the response is not complete")
}

#[tokio::test]
async fn call_ends_a_response_head_without_end() {
    for start in ["", "HTTP/1.1 200 OK\r\nx-long: "] {
        let address = endless_endpoint(start).await;
        assert!(matches!(call(address).await, CallError::Lost(_)), "{start}");
    }
}

#[tokio::test]
async fn call_ends_a_response_body_without_end() {
    let start = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let address = endless_endpoint(start).await;
    let error = call(address).await;
    assert!(matches!(error, CallError::Lost(_)), "{error:?}");
}
