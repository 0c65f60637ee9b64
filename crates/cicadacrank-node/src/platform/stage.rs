//! Encodes calls to endpoints that run stages, and decodes their responses.

use bytes::Bytes;
use http::{HeaderName, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("x-expected-instance");

/// One piece of a call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the caller's attempt.
    pub request: Arc<str>,
    /// Index of the stage in its route.
    pub stage: u32,
    /// Index of the piece in its stage.
    pub number: u32,
    /// Time left until the result is no longer needed.
    pub remaining: Duration,
    /// Input of the piece.
    pub source: Source,
}

/// Input of a piece, which all pieces of a stage share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Data that the caller's key identifies.
    Key(Arc<str>),
    /// Handles of the results of earlier stages.
    Results(Arc<[String]>),
}

impl Source {
    /// Returns the size of the input in a call, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Key(key) => key.len(),
            Self::Results(handles) => handles.iter().map(String::len).sum(),
        }
    }
}

/// How a piece ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The endpoint holds the result under this handle.
    Result(String),
    /// The piece expired before it was run.
    Late,
    /// An input result no longer exists.
    SourceGone,
    /// The endpoint has no memory for the result.
    NoRoom,
    /// The endpoint failed to run the piece.
    Failed,
}

#[derive(Serialize)]
struct WireCall<'a> {
    items: Vec<WirePiece<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WirePiece<'a> {
    id: &'a str,
    phase: u32,
    /// Index of the piece, although the word denotes a count elsewhere.
    segment: u32,
    remaining_ms: u128,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    inputs: Option<&'a [String]>,
}

#[derive(Deserialize)]
struct WireAnswer {
    items: Vec<WireMade>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireMade {
    /// Handle of a stage result here, not of a cache.
    kv_handle: Option<String>,
    reason: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireFree<'a> {
    kv_handles: &'a [String],
}

/// Builds the request that runs pieces at an endpoint.
///
/// # Errors
///
/// Returns a message if the request cannot be encoded.
pub fn encode(
    address: SocketAddr,
    endpoint: &str,
    pieces: &[Piece],
) -> Result<Request<Full<Bytes>>, String> {
    let items = pieces.iter().map(|piece| WirePiece {
        id: &piece.request,
        phase: piece.stage,
        segment: piece.number,
        remaining_ms: piece.remaining.as_millis(),
        key: match &piece.source {
            Source::Key(key) => Some(key),
            Source::Results(_) => None,
        },
        inputs: match &piece.source {
            Source::Key(_) => None,
            Source::Results(results) => Some(results),
        },
    });
    let call = WireCall {
        items: items.collect(),
    };
    request(address, endpoint, "/stage-run", &call)
}

/// Builds the request that releases results at an endpoint.
///
/// # Errors
///
/// Returns a message if the request cannot be encoded.
pub fn encode_release(
    address: SocketAddr,
    endpoint: &str,
    handles: &[String],
) -> Result<Request<Full<Bytes>>, String> {
    let release = WireFree {
        kv_handles: handles,
    };
    request(address, endpoint, "/stage-free", &release)
}

/// Decodes the response to a call with `pieces` pieces, in the order of the call.
///
/// # Errors
///
/// Returns a message if the call failed or the response is invalid, so that the
/// state of the pieces is unknown.
pub fn decode(status: StatusCode, body: &[u8], pieces: usize) -> Result<Vec<Completion>, String> {
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    let answer: WireAnswer = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if answer.items.len() != pieces {
        let found = answer.items.len();
        return Err(format!("expected {pieces} results, but got {found}"));
    }
    let completion = |wire: WireMade| match (wire.kv_handle, wire.reason.as_deref()) {
        (Some(handle), None) => Completion::Result(handle),
        (None, Some("late")) => Completion::Late,
        (None, Some("gone")) => Completion::SourceGone,
        (None, Some("room")) => Completion::NoRoom,
        _ => Completion::Failed,
    };
    Ok(answer.items.into_iter().map(completion).collect())
}

fn request(
    address: SocketAddr,
    endpoint: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, String> {
    let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(EXPECTED_ENDPOINT, endpoint)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())
}
