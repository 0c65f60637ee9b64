//! Decodes the status and headers of endpoint responses.

use cicadacrank_core::once::Declined;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");

/// Status and decoded headers of an endpoint response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Id of the attempt that the response belongs to.
    pub attempt: Option<HeaderValue>,
    /// Whether the endpoint signed the response.
    pub signed: bool,
    /// Proof that the endpoint did not run the request, if the response states
    /// it.
    pub declined: Option<Declined>,
    /// Whether the address belongs to another endpoint than the intended one.
    pub misdirected: bool,
}

impl Answer {
    /// Decodes the status and headers of a response.
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
