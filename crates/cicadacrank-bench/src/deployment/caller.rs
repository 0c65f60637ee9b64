//! Caller that sends requests to gateways and records the answers.

use super::{HOST, KEY};
use bytes::Bytes;
use futures_util::StreamExt as _;
use reqwest::{Client, Method, redirect};
use std::{io, net::SocketAddr, time::Duration};

/// Answer as the caller received it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status code; `None` if no response arrived.
    pub status: Option<u16>,
    /// Whether it has the signature header of an endpoint.
    pub signed: bool,
    /// Attempt id in the response; empty if there is none.
    pub attempt: String,
    /// Value of `retry-after`, in seconds.
    pub retry_after: Option<f64>,
    /// Body as far as it was received.
    pub body: Bytes,
    /// Whether the body ended without an error.
    pub whole: bool,
}

/// Caller of a gateway.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller that reuses connections and never retries or redirects.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new() -> io::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(Duration::from_secs(10))
            .build()
            .map_err(io::Error::other)?;
        Ok(Self { client })
    }

    /// Returns a request with the given attempt id and the standard headers.
    pub fn request(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        attempt: &str,
    ) -> reqwest::RequestBuilder {
        self.client
            .request(method, format!("http://{gateway}{path}"))
            .header("host", HOST)
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-attempt-id", attempt)
            .header("x-deadline-ms", "2500")
    }

    /// Returns a streaming request with two stages of two pieces each.
    pub fn stream(
        &self,
        gateway: SocketAddr,
        path: &str,
        attempt: &str,
    ) -> reqwest::RequestBuilder {
        self.request(Method::POST, gateway, path, attempt)
            .header("x-model", "m")
            .header("x-token-usage", "100,20")
            .header("x-prompt-prefix", "aa:60,bb:40")
            .header("x-segment-count", "2,2")
            .header("x-segment-key", "7c1e")
            .body("draft")
    }
}

/// Sends a request and reads the complete answer.
pub async fn send(request: reqwest::RequestBuilder) -> Answer {
    let mut answer = Answer {
        status: None,
        signed: false,
        attempt: String::new(),
        retry_after: None,
        body: Bytes::new(),
        whole: false,
    };
    let Ok(response) = request.send().await else {
        return answer;
    };
    let text = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    answer.status = Some(response.status().as_u16());
    answer.signed = text("x-response-signature").is_some();
    answer.attempt = text("x-attempt-id").unwrap_or_default();
    answer.retry_after = text("retry-after").and_then(|value| value.parse().ok());
    let mut parts = response.bytes_stream();
    let mut body = Vec::new();
    answer.whole = loop {
        match parts.next().await {
            Some(Ok(part)) => body.extend_from_slice(&part),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    answer.body = Bytes::from(body);
    answer
}
