//! Tests of the way to endpoints.

use cicadacrank_node::endpoint::{Port as _, http::Client};
use std::time::Duration;
use tokio::net::TcpListener;

#[tokio::test]
async fn is_refusing_distinguishes_closed_from_open_ports() {
    let client = Client::new(Duration::from_secs(10)).expect("a client");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    assert!(!client.is_refusing(address).await, "it listens");
    drop(listener);
    assert!(client.is_refusing(address).await, "it is closed");
}
