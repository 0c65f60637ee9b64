//! A caller that knows what it asked for.

use super::{HOST, KEY};
use bytes::Bytes;
use futures_util::StreamExt as _;
use reqwest::{Client, Method, redirect};
use std::{io, net::SocketAddr, time::Duration};

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status; none if there was no answer.
    pub status: Option<u16>,
    /// Whether an endpoint signed it.
    pub signed: bool,
    /// Id of the attempt that it names.
    pub attempt: String,
    /// Pause before a retry, in seconds.
    pub retry_after: Option<f64>,
    /// Body as far as it came.
    pub body: Bytes,
    /// Whether the body came whole.
    pub whole: bool,
}

/// Sends requests with ids of its own.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller that keeps its connections.
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

    /// Returns a request with the standard headers.
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

    /// Returns a request for a stream, with two pieces in each of two stages.
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

/// Sends a request and reads all of its answer.
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
