//! HTTP API of the entry.
//!
//! `POST /v1/pipelines/{name}` takes a JSON body and the headers `x-team`,
//! `idempotency-key` and `x-deadline-ms`. The response is JSON, or server-sent
//! events if the caller accepts them. The event `end` marks a complete response,
//! and the event `error` an incomplete one.

use super::service::{Reply, Request, Service};
use crate::{
    inbound,
    memory::{Fault, Memory},
};
use bytes::Bytes;
use cicadacrank_core::{
    error::{Failure, Kind},
    id,
};
use futures_util::{Stream, StreamExt as _, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Response, Router, async_trait,
    http::{HeaderMap, StatusCode},
    writing::Json,
};
use serde_json::{Value, json};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Memory for the bodies of all requests, in bytes.
const BODY_MEMORY_BYTES: u64 = 64 << 20;

/// Response header with the id of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response header with the effect of a failed request.
const EFFECT_HEADER: &str = "x-effect";

struct Pipelines {
    service: Arc<Service>,
    /// Memory for bodies of requests.
    bodies: Memory,
}

/// Discards bodies of requests that were answered before they were read.
struct Discard;

/// Returns the HTTP API for callers.
#[must_use]
pub fn api(service: Arc<Service>) -> salvo::Service {
    let bodies = Memory::new(BODY_MEMORY_BYTES);
    let router = Router::with_path("v1/pipelines/{name}").post(Pipelines { service, bodies });
    salvo::Service::new(router).hoop(Discard)
}

#[async_trait]
impl Handler for Discard {
    async fn handle(
        &self,
        request: &mut salvo::Request,
        depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        control.call_next(request, depot, response).await;
        let mut body = request.take_body();
        if let Some(rest) = inbound::unread(&mut body) {
            let awaits_consent = inbound::awaits_consent(request.headers());
            inbound::discard(body, &rest, awaits_consent, response.headers_mut());
        }
    }
}

#[async_trait]
impl Handler for Pipelines {
    async fn handle(
        &self,
        request: &mut salvo::Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let id = id::Request::new(rand::random());
        // An id consists of hexadecimal digits, so it is a valid header value.
        drop(response.add_header(REQUEST_ID_HEADER, id.to_string(), true));
        let events = accepts_events(request.headers());
        let request = match parse_request(id, request, &self.bodies).await {
            Ok(request) => request,
            Err(failure) => return write_failure(response, id, &failure),
        };
        let replies = self.service.run(request);
        if events {
            write_events(response, id, replies).await;
        } else {
            write_json(response, id, replies).await;
        }
    }
}

fn accepts_events(headers: &HeaderMap) -> bool {
    header_text(headers, "accept").is_ok_and(|accept| accept.contains("text/event-stream"))
}

async fn parse_request(
    id: id::Request,
    request: &mut salvo::Request,
    bodies: &Memory,
) -> Result<Request, Failure> {
    let headers = request.headers();
    let team = header_text(headers, "x-team")?;
    let key = header_text(headers, "idempotency-key")?;
    let deadline = match header_text(headers, "x-deadline-ms")?.as_str() {
        "" => None,
        digits => Some(Duration::from_millis(digits.parse().map_err(|_| {
            Failure::not_run(Kind::BadRequest, "reading the header x-deadline-ms")
        })?)),
    };
    let pipeline = request.param::<String>("name").unwrap_or_default();
    let body = bodies.buffer().read(request.body_mut(), MAX_BODY_BYTES);
    let body = body.await.map_err(|fault| {
        let (kind, error) = match fault {
            Fault::TooLarge(_) => (Kind::TooLarge, "payload too large".to_owned()),
            Fault::Broken(error) => (Kind::TooLarge, error),
            Fault::Shortage(shortage) => (Kind::Overloaded, shortage.to_string()),
        };
        Failure::not_run(kind, format!("reading the body: {error}"))
    })?;
    Ok(Request {
        id,
        team,
        pipeline,
        key,
        deadline,
        body,
    })
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<String, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(String::new());
    };
    let value = value
        .to_str()
        .map_err(|_| Failure::not_run(Kind::BadRequest, format!("reading the header {name}")))?;
    Ok(value.to_owned())
}

fn write_failure(response: &mut Response, id: id::Request, failure: &Failure) {
    let status = StatusCode::from_u16(failure.kind.http_status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    drop(response.add_header(EFFECT_HEADER, failure.effect.as_str(), true));
    response.render(Json(error_body(id, failure)));
}

fn error_body(id: id::Request, failure: &Failure) -> Value {
    json!({ "error": {
        "kind": failure.kind.as_str(),
        "effect": failure.effect.as_str(),
        "message": failure.kind.row().text,
        "context": failure.context,
        "request_id": id.to_string(),
    }})
}

async fn write_json(response: &mut Response, id: id::Request, mut replies: mpsc::Receiver<Reply>) {
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Chunk(_) => {}
            Reply::End { answer, .. } => return response.render(Json(answer)),
            Reply::Failure(failure) => return write_failure(response, id, &failure),
        }
    }
    write_failure(
        response,
        id,
        &Failure::unknown(Kind::Internal, "the request ended without a result"),
    );
}

/// Writes the replies as server-sent events.
///
/// The status is chosen after the first reply, so that a request that fails
/// before any output gets the status of its failure.
async fn write_events(
    response: &mut Response,
    id: id::Request,
    mut replies: mpsc::Receiver<Reply>,
) {
    let first = match replies.recv().await {
        Some(Reply::Failure(failure)) => return write_failure(response, id, &failure),
        Some(first) => first,
        None => {
            let failure = Failure::unknown(Kind::Internal, "the request ended without a result");
            return write_failure(response, id, &failure);
        }
    };
    drop(response.add_header("content-type", "text/event-stream", true));
    let rest = stream::iter([first]).chain(ReceiverStream::new(replies));
    response.stream(encode_events(id, rest));
}

fn encode_events(
    id: id::Request,
    replies: impl Stream<Item = Reply>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    replies.map(move |reply| {
        let text = match reply {
            Reply::Chunk(data) => {
                encode_event("chunk", &json!({ "text": String::from_utf8_lossy(&data) }))
            }
            Reply::End { answer, chunks } => encode_event(
                "end",
                &json!({ "chunks": chunks, "answer": answer, "request_id": id.to_string() }),
            ),
            Reply::Failure(failure) => encode_event("error", &error_body(id, &failure)),
        };
        Ok(Bytes::from(text))
    })
}

fn encode_event(name: &str, data: &Value) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}
