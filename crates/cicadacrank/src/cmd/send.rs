//! `send`: sends one request to an entry and prints the answer as it comes.

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

/// Examples for the help text.
pub const EXAMPLES: &str = "Runs the pipeline, so it writes what its stages write.
 Examples:
  cicadacrank send book-room --entry 10.0.1.7:7001 --team counter --key desk-7-0412 \\
      --body '{\"query\": \"20 guests on Saturday\"}'
  cicadacrank send draft-menu --entry 10.0.1.7:7001 --team hosts < request.json";

/// Largest body read from the standard input, in bytes.
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
    /// Team that asks
    #[bpaf(argument("NAME"))]
    team: String,
    /// Idempotency key, for pipelines with a stage that may not be repeated
    #[bpaf(argument("KEY"), optional)]
    key: Option<String>,
    /// Milliseconds until the answer is of no use
    #[bpaf(argument("MS"), optional)]
    deadline: Option<u64>,
    /// Body as JSON (the standard input if not stated)
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

    /// Prints chunks until the event that ends the answer, and returns it.
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
        Err(truncated("no end was stated"))
    }
}

/// Returns the text of a chunk without characters that steer a terminal.
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
    let context = format!("the answer is not whole: {reason}");
    Error::Failure(Failure::unknown(Kind::Truncated, context))
}

/// Reads the failure that an entry states; what it leaves out is not known.
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
