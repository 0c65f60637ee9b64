//! Calls instances over HTTP: their pages for operators, and entries.

use crate::error::Error;
use cicadacrank_core::error::{Effect, Failure, Kind};
use cicadacrank_node::operator::Status;
use reqwest::{Client, redirect, retry};
use std::{net::SocketAddr, time::Duration};

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a whole page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without any byte of an response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Creates a client that goes straight to its target and repeats nothing.
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

/// Reads the status page of an instance.
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

/// Returns whether an instance says that it is ready.
pub async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let url = format!("http://{address}/readyz");
    let response = client.get(url).timeout(PAGE_TIMEOUT).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Returns the error of a call that got no answer.
///
/// Only a call that made no connection surely had no effect.
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
