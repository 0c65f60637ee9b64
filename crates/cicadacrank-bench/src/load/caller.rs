//! Sends requests through an entry, as a caller does.

use super::arrivals::Request;
use crate::{checker::Reply, engine::mark_of};
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use reqwest::{Client, Response};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{self, Instant};

/// Time past the deadline after which a caller gives up.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

/// Result of a call, with its timings.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What the response tells the caller about the work.
    pub told: Reply,
    /// `whole` for a complete answer, otherwise the kind of the failure.
    pub kind: String,
    /// Time from the start of the call to the first token, if any arrived.
    pub first: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Time from the start to the end of the call.
    pub total: Duration,
}

/// A call and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// Request that was sent.
    pub request: Request,
    /// Deadline of the pipeline.
    pub deadline: Duration,
    /// Whether the request was sent for the second time.
    pub is_resend: bool,
    /// Result of the call.
    pub outcome: Outcome,
}

impl Record {
    /// Returns whether the answer was complete and arrived within the deadline.
    #[must_use]
    pub fn is_attained(&self) -> bool {
        matches!(self.outcome.told, Reply::Whole { .. }) && self.outcome.total <= self.deadline
    }
}

/// Measures the arrival times of the tokens of a call.
#[derive(Debug)]
pub(super) struct Timer {
    started_at: Instant,
    last_token: Option<Instant>,
    first: Option<Duration>,
    gaps: Vec<Duration>,
}

impl Timer {
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            last_token: None,
            first: None,
            gaps: Vec::new(),
        }
    }

    pub(super) fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token.replace(now) {
            Some(last) => self.gaps.push(now - last),
            None => self.first = Some(now - self.started_at),
        }
    }

    pub(super) fn finish(self, told: Reply, kind: &str) -> Outcome {
        Outcome {
            told,
            kind: kind.to_owned(),
            first: self.first,
            gaps: self.gaps,
            total: self.started_at.elapsed(),
        }
    }
}

/// Sends a request and returns its outcome, at the latest [`TIMEOUT_MARGIN`]
/// after the deadline.
pub(super) async fn call(
    http: &Client,
    entry: SocketAddr,
    request: &Request,
    deadline: Duration,
) -> Outcome {
    let mut timer = Timer::new();
    let told = time::timeout(
        deadline + TIMEOUT_MARGIN,
        send_request(http, entry, request, &mut timer),
    )
    .await;
    let (told, kind) = told.unwrap_or_else(|_| (Reply::Nothing, "no answer".to_owned()));
    timer.finish(told, &kind)
}

async fn send_request(
    http: &Client,
    entry: SocketAddr,
    request: &Request,
    timer: &mut Timer,
) -> (Reply, String) {
    let url = format!("http://{entry}/v1/pipelines/{}", request.mix.pipeline);
    let answer = http
        .post(url)
        .header("x-team", request.mix.team)
        .header("idempotency-key", &request.mark)
        .header("accept", "text/event-stream")
        .body(request.body.clone())
        .send()
        .await;
    match answer {
        Ok(answer) if answer.status().is_success() => read_events(answer, timer).await,
        Ok(answer) => parse_failure(&answer.json().await.unwrap_or_default()),
        Err(_) => (Reply::Nothing, "connection failed".to_owned()),
    }
}

async fn read_events(answer: Response, timer: &mut Timer) -> (Reply, String) {
    let mut events = answer.bytes_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.event.as_str() {
            "chunk" => timer.record_token(),
            "end" => return (parse_answer(&data["answer"]), "whole".to_owned()),
            _ => return parse_failure(&data),
        }
    }
    (Reply::Nothing, "connection cut".to_owned())
}

fn parse_failure(data: &Value) -> (Reply, String) {
    let told = match data["error"]["effect"].as_str() {
        Some("not-run") => Reply::NotRun,
        Some("partial") => Reply::Partial,
        Some("unknown") => Reply::Unknown,
        _ => Reply::Nothing,
    };
    let kind = data["error"]["kind"].as_str().unwrap_or("no kind");
    (told, kind.to_owned())
}

/// Converts a complete answer into the form that the checker compares.
pub(super) fn parse_answer(answer: &Value) -> Reply {
    let results = answer["results"].as_array().map_or(&[][..], Vec::as_slice);
    let mark = |result: &Value| mark_of(result["for"].as_str().unwrap_or_default()).to_owned();
    Reply::Whole {
        text: answer["text"].as_str().unwrap_or_default().to_owned(),
        marks: results.iter().map(mark).collect(),
    }
}
