//! Tests of the HTTP client of endpoints.

use cicadacrank_node::endpoint::{Port as _, http::Client};
use std::time::Duration;
use tokio::net::TcpListener;

#[tokio::test]
async fn is_refusing_distinguishes_closed_from_open_ports() {
    let client = Client::new(Duration::from_secs(10)).expect("creating the client failed");
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    assert!(!client.is_refusing(address).await, "the port is open");
    drop(listener);
    assert!(client.is_refusing(address).await, "the port is closed");
}
