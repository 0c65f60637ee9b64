//! Writes calls to endpoints that do stages, and reads their answers.

use bytes::Bytes;
use http::{HeaderName, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("x-expected-instance");

/// One piece as its endpoint gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the caller's attempt.
    pub request: String,
    /// Number of the stage in its route.
    pub stage: u32,
    /// Number of the piece in its stage.
    pub number: u32,
    /// Time until the result is of no use.
    pub remaining: Duration,
    /// What the piece is made of.
    pub source: Source,
}

/// What a piece is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// What the caller's key names.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<String>),
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The result, by its handle.
    Result(String),
    /// The piece expired before its turn.
    Late,
    /// A result that it needs is there no more.
    SourceGone,
    /// The endpoint has no room for the result.
    NoRoom,
    /// The endpoint failed at it.
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
    /// The number of one piece, though the word names their count elsewhere.
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
    /// Names a result of a stage here, not a cache.
    kv_handle: Option<String>,
    reason: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireFree<'a> {
    kv_handles: &'a [String],
}

/// Makes the request that has pieces made.
///
/// # Errors
///
/// Returns what cannot be written.
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

/// Makes the request that gives results up.
///
/// # Errors
///
/// Returns what cannot be written.
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

/// Reads the answer to a call of `pieces` pieces.
///
/// # Errors
///
/// Returns why nothing can be said of the pieces.
pub fn decode(status: StatusCode, body: &[u8], pieces: usize) -> Result<Vec<Completion>, String> {
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    let answer: WireAnswer = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if answer.items.len() != pieces {
        let found = answer.items.len();
        return Err(format!("{found} results for {pieces} pieces"));
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
