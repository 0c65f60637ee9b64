//! HTTP client of endpoints.
//!
//! Engines speak OpenAI-style protocols, with completions as server-sent events.
//! Plain services accept and return JSON.

use super::{Call, Fault, Parts, Port};
use crate::outbound;
use bytes::Bytes;
use cicadacrank_core::{admission::Health, error::Kind, rules::Service};
use eventsource_stream::Eventsource as _;
use futures_util::{FutureExt as _, StreamExt as _, future::BoxFuture, stream};
use reqwest::{Response, StatusCode, header, redirect, retry};
use serde::{Deserialize, de::IgnoredAny};
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Data of the event that ends a stream of completions.
const END_MARK: &str = "[DONE]";

/// Path of an engine's health report.
const LOAD_PATH: &str = "/load";

/// Longest part of an error response that is kept, in characters.
const MAX_REFUSAL_CHARACTERS: usize = 200;

#[derive(Deserialize)]
struct Report {
    incarnation: u64,
    #[serde(default)]
    cold: bool,
}

#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// HTTP client of endpoints.
#[derive(Clone, Debug)]
pub struct Client {
    connect_timeout: Duration,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client that abandons a connection attempt after
    /// `connect_timeout`.
    ///
    /// # Errors
    ///
    /// Returns a fault if the HTTP client cannot be built.
    pub fn new(connect_timeout: Duration) -> Result<Self, Fault> {
        // Each call has a connection of its own. An answer to an earlier call that
        // arrives late on a kept connection cannot be told from the answer to this one.
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .connect_timeout(connect_timeout)
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
        Ok(Self {
            connect_timeout,
            http,
        })
    }

    async fn send(&self, call: Call) -> Result<Parts, Fault> {
        let url = format!("http://{}{}", call.address, path(&call));
        let mut request = self
            .http
            .post(url)
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-attempt-id", &call.attempt)
            .body(call.input);
        if !call.key.is_empty() {
            request = request.header("idempotency-key", &call.key);
        }
        let response = time::timeout(call.progress_timeout, request.send())
            .await
            .map_err(|_| no_progress(call.progress_timeout))?
            .map_err(|error| Fault {
                connected: !error.is_connect(),
                ..Fault::new(
                    if error.is_connect() {
                        Kind::Unreachable
                    } else {
                        Kind::EndpointFailed
                    },
                    error_chain(&error),
                )
            })?;
        let response = check_status(response, call.progress_timeout).await?;
        Ok(match call.service {
            Service::Generate => {
                read_completions(response, call.progress_timeout, call.output_limit)
            }
            _ => read_body(response, call.progress_timeout, call.output_limit),
        })
    }
}

impl Port for Client {
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Parts, Fault>> {
        self.send(call).boxed()
    }

    fn health(&self, address: SocketAddr) -> BoxFuture<'_, Option<Health>> {
        let request = self.http.get(format!("http://{address}{LOAD_PATH}"));
        async move {
            let response = request.timeout(self.connect_timeout).send().await.ok()?;
            let report: Report = response.json().await.ok()?;
            Some(Health {
                incarnation: report.incarnation,
                cold: report.cold,
            })
        }
        .boxed()
    }

    fn is_refusing(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        outbound::is_refusing(address, self.connect_timeout).boxed()
    }
}

fn path(call: &Call) -> &str {
    match call.service {
        Service::Encode => "/v1/embeddings",
        Service::Retrieve => "/v1/retrieve",
        Service::Rerank => "/v1/rerank",
        Service::Generate => "/v1/completions",
        Service::Plain => &call.path,
    }
}

fn no_progress(progress: Duration) -> Fault {
    Fault::new(
        Kind::Silent,
        format!("no progress in {} ms", progress.as_millis()),
    )
}

fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}

async fn check_status(response: Response, progress: Duration) -> Result<Response, Fault> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let body = time::timeout(progress, response.text()).await;
    let body = body.ok().and_then(Result::ok);
    let kind = match status {
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND | StatusCode::UNPROCESSABLE_ENTITY => {
            Kind::EndpointRefused
        }
        _ => Kind::EndpointFailed,
    };
    let refused = kind == Kind::EndpointRefused && body.is_some();
    let text: String = body
        .unwrap_or_default()
        .chars()
        .take(MAX_REFUSAL_CHARACTERS)
        .collect();
    Err(Fault {
        refused,
        ..Fault::new(kind, format!("status {status}: {text}"))
    })
}

/// Reads a response body and returns it as one part.
fn read_body(response: Response, progress: Duration, limit: u64) -> Parts {
    stream::once(async move {
        let mut body = response.bytes_stream();
        let mut output = Vec::new();
        while let Some(part) = next_part(&mut body, progress).await? {
            output.extend_from_slice(&part.map_err(|error| truncated(&error))?);
            if output.len() as u64 > limit {
                return Err(oversized(limit));
            }
        }
        Ok(Bytes::from(output))
    })
    .boxed()
}

/// Reads a stream of completions. Each event with text is one part.
fn read_completions(response: Response, progress: Duration, limit: u64) -> Parts {
    struct State<S> {
        events: S,
        bytes: u64,
        ended: bool,
    }
    let events = response.bytes_stream().eventsource().boxed();
    let state = State {
        events,
        bytes: 0,
        ended: false,
    };
    stream::try_unfold(state, move |mut state| async move {
        loop {
            let event = match next_part(&mut state.events, progress).await? {
                None if state.ended => return Ok(None),
                None => return Err(Fault::new(Kind::Truncated, "the stream has no end mark")),
                Some(event) => event.map_err(|error| truncated(&error))?,
            };
            if state.ended {
                return Err(Fault::new(
                    Kind::EndpointProtocol,
                    "the stream has data after the end mark",
                ));
            }
            if event.data == END_MARK {
                state.ended = true;
                continue;
            }
            let text = completion_text(&event.data)?;
            state.bytes += text.len() as u64;
            if state.bytes > limit {
                return Err(oversized(limit));
            }
            if !text.is_empty() {
                return Ok(Some((Bytes::from(text), state)));
            }
        }
    })
    .boxed()
}

fn completion_text(data: &str) -> Result<String, Fault> {
    let completion: Completion = serde_json::from_str(data).map_err(|error| {
        Fault::new(Kind::EndpointProtocol, format!("reading an event: {error}"))
    })?;
    if completion.error.is_some() {
        return Err(Fault::new(
            Kind::EndpointFailed,
            "an event of the stream reports an error",
        ));
    }
    Ok(completion
        .choices
        .into_iter()
        .map(|choice| choice.text)
        .collect())
}

async fn next_part<S: futures_util::Stream + Unpin>(
    parts: &mut S,
    progress: Duration,
) -> Result<Option<S::Item>, Fault> {
    time::timeout(progress, parts.next())
        .await
        .map_err(|_| no_progress(progress))
}

fn truncated(error: &dyn std::error::Error) -> Fault {
    Fault::new(Kind::Truncated, format!("reading the answer: {error}"))
}

fn oversized(limit: u64) -> Fault {
    Fault::new(
        Kind::EndpointProtocol,
        format!("the output exceeds {limit} bytes"),
    )
}
