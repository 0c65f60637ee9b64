//! `send`: sends a request to an entry and prints the response as it arrives.

use super::args;
use crate::{
    error::Error,
    http,
    output::{self, Output},
};
use bpaf::Bpaf;
use cicadacrank_core::error::{Effect, Failure, Kind};
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use reqwest::Response;
use serde_json::Value;
use std::{
    io::{self, Read as _},
    net::SocketAddr,
};

/// Footer of the help text, with examples.
pub const EXAMPLES: &str = "Runs the pipeline, with all side effects of its stages.
 Examples:
  cicadacrank send book-room --entry 10.0.1.7:7001 --team counter --key desk-7-0412 \\
      --body '{\"query\": \"20 guests on Saturday\"}'
  cicadacrank send draft-menu --entry 10.0.1.7:7001 --team hosts < request.json";

/// Number of bytes after which a body from the standard input is cut off.
const BODY_LIMIT_BYTES: u64 = 1 << 20;

/// Arguments of `send`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Send {
    #[bpaf(external(args::json))]
    pub json: bool,
    /// Address where an entry listens for callers
    #[bpaf(env("CICADACRANK_ENTRY"), argument("IP:PORT"))]
    entry: SocketAddr,
    /// Team that sends the request
    #[bpaf(argument("NAME"))]
    team: String,
    /// Idempotency key, required by pipelines with a stage that is not repeatable
    #[bpaf(argument("KEY"), optional)]
    key: Option<String>,
    /// Deadline of the request, in milliseconds from now
    #[bpaf(argument("MS"), optional)]
    deadline: Option<u64>,
    /// Request body as JSON (default: standard input)
    #[bpaf(argument("JSON"), optional)]
    body: Option<String>,
    /// Pipeline to run
    #[bpaf(positional("PIPELINE"))]
    pipeline: String,
}

impl Send {
    /// Sends the request and prints the response.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        let body = self.read_body()?;
        let end = args::block_on(async {
            let response = self.post(body).await?;
            self.read_events(response).await
        })?;
        output.result(&end, || format!("\n{}\n", summary(&end)));
        Ok(())
    }

    /// Returns the request body from the arguments or the standard input.
    fn read_body(&self) -> Result<String, Error> {
        if let Some(body) = &self.body {
            return Ok(body.clone());
        }
        let mut body = String::new();
        let stdin = io::stdin().lock();
        let result = stdin.take(BODY_LIMIT_BYTES).read_to_string(&mut body);
        result.map_err(|error| {
            Error::not_run(Kind::BadRequest, format!("reading the body: {error}"))
        })?;
        Ok(body)
    }

    /// Sends the request and returns a successful response.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives, or with the error that the entry returned.
    async fn post(&self, body: String) -> Result<Response, Error> {
        let url = format!("http://{}/v1/pipelines/{}", self.entry, self.pipeline);
        let mut request = http::client()?
            .post(url)
            .header("accept", "text/event-stream")
            .header("content-type", "application/json")
            .header("x-team", &self.team)
            .body(body);
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(deadline) = self.deadline {
            request = request.header("x-deadline-ms", deadline);
        }
        let response = request.send().await;
        let response = response.map_err(|error| http::transport_error(self.entry, &error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let value: Value = response.json().await.unwrap_or_default();
        Err(decode_failure(&value, &format!("status {status}")))
    }

    /// Prints chunks as they arrive, unless the output is JSON, and returns the data
    /// of the end event.
    ///
    /// # Errors
    ///
    /// Fails on an error event, if the stream breaks or ends without an end event,
    /// or if the end event states another number of chunks.
    async fn read_events(&self, response: Response) -> Result<Value, Error> {
        let mut events = response.bytes_stream().eventsource();
        let mut chunks: u64 = 0;
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| truncated(&error.to_string()))?;
            let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
            match event.event.as_str() {
                "chunk" => {
                    chunks += 1;
                    if !self.json {
                        output::print(&printable(&value["text"]));
                    }
                }
                "end" if value["chunks"].as_u64() == Some(chunks) => return Ok(value),
                "end" => return Err(truncated("chunks are missing")),
                "error" => return Err(decode_failure(&value, "the request failed")),
                _ => {}
            }
        }
        Err(truncated("the stream ended without an end event"))
    }
}

/// Returns the text of a chunk with control characters replaced, except newlines
/// and tabs, so that the text cannot control the terminal.
fn printable(text: &Value) -> String {
    let replace = |character: char| match character {
        '\n' | '\t' => character,
        control if control.is_control() => char::REPLACEMENT_CHARACTER,
        other => other,
    };
    let text = text.as_str().unwrap_or_default();
    text.chars().map(replace).collect()
}

fn truncated(reason: &str) -> Error {
    let context = format!("incomplete response: {reason}");
    Error::Failure(Failure::unknown(Kind::Truncated, context))
}

/// Decodes the error that an entry returned.
///
/// A missing effect is decoded as unknown, a missing kind as a protocol error and
/// a missing context as `fallback`.
fn decode_failure(value: &Value, fallback: &str) -> Error {
    let error = &value["error"];
    let text = |key: &str| error[key].as_str().unwrap_or_default();
    let context = match (text("context"), text("request_id")) {
        ("", _) => fallback.to_owned(),
        (context, id) => format!("{context} (request {id})"),
    };
    Error::Failure(Failure {
        kind: Kind::from_name(text("kind")).unwrap_or(Kind::EndpointProtocol),
        effect: Effect::from_name(text("effect")).unwrap_or(Effect::Unknown),
        context,
    })
}

fn summary(end: &Value) -> String {
    let id = end["request_id"].as_str().unwrap_or("-");
    format!("whole answer (request {id}):\n{}", end["answer"])
}
