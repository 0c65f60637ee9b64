//! Reads the heads of endpoints' answers.

use cicadacrank_core::once::Declined;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");

/// What the head of an answer states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Id of the attempt that it belongs to.
    pub attempt: Option<HeaderValue>,
    /// Whether the endpoint signed it.
    pub signed: bool,
    /// Present if the endpoint did not run the request.
    pub declined: Option<Declined>,
    /// Whether another endpoint has the address of the one that was meant.
    pub misdirected: bool,
}

impl Answer {
    /// Reads the head of an answer.
    #[must_use]
    pub fn decode(status: StatusCode, headers: &HeaderMap) -> Self {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let not_run = headers.contains_key(&NOT_RUN) || misdirected;
        Self {
            status,
            attempt: headers.get(&ATTEMPT).cloned(),
            signed: headers.contains_key(&SIGNATURE),
            declined: (not_run && !status.is_success()).then(Declined::stated),
            misdirected,
        }
    }
}
