//! HTTP client for the operator pages of instances and for entries.

use crate::error::Error;
use cicadacrank_core::error::{Effect, Failure, Kind};
use cicadacrank_node::operator::Status;
use reqwest::{Client, redirect, retry};
use std::{net::SocketAddr, time::Duration};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for a request to an operator page, including the response body.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time without any byte of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Creates a client that uses no proxy, follows no redirects and never retries.
pub fn client() -> Result<Client, Error> {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(READ_TIMEOUT)
        .build()
        .map_err(|error| Error::not_run(Kind::Internal, error.to_string()))
}

/// Returns the status of an instance.
///
/// # Errors
///
/// Fails if the instance does not answer or its status page cannot be decoded.
pub async fn status(client: &Client, address: SocketAddr) -> Result<Status, Error> {
    let url = format!("http://{address}/status");
    let response = client.get(url).timeout(PAGE_TIMEOUT).send().await;
    let response = response.map_err(|error| transport_error(address, &error))?;
    let status = response.json().await;
    status.map_err(|error| {
        let context = format!("reading the status of {address}: {error}");
        Error::not_run(Kind::EndpointProtocol, context)
    })
}

/// Returns whether an instance reports that it is ready; `false` if it does not
/// answer.
pub async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let url = format!("http://{address}/readyz");
    let response = client.get(url).timeout(PAGE_TIMEOUT).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Returns the error of a request that got no response.
///
/// The request certainly had no effect only if no connection was established.
pub fn transport_error(address: SocketAddr, error: &reqwest::Error) -> Error {
    let (kind, effect) = if error.is_connect() {
        (Kind::Unreachable, Effect::NotRun)
    } else {
        (Kind::Silent, Effect::Unknown)
    };
    let context = format!("calling {address}: {error}");
    Error::Failure(Failure {
        kind,
        effect,
        context,
    })
}
