//! Decodes the registrations of endpoints.

use super::Object;
use bytes::Bytes;
use cicadacrank_core::directory::{Endpoint, Incarnation, State};
use http::{HeaderMap, HeaderName, Request, header};
use http_body_util::Full;
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};

/// Id of the endpoint that answers.
const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");

/// Maximum length of the description of an invalid entry, in characters. It repeats
/// what the entry contains.
const MAX_DESCRIPTION_CHARACTERS: usize = 200;

/// Maximum time for which an endpoint may state that it is cold.
const MAX_COLD_TIME: Duration = Duration::from_secs(24 * 60 * 60);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEndpoint {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the endpoint's software, not of its model's weights.
    version: String,
    slots: u32,
    state: WireState,
    cold_remaining_ms: f64,
    sequence: u64,
    /// Start time of the endpoint, not of its registration.
    born: Option<u64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireState {
    Ready,
    Draining,
}

/// Decodes the registration of an endpoint.
///
/// # Errors
///
/// Returns a message that describes the invalid field. Such a registration
/// identifies no endpoint.
pub fn decode(object: &Object) -> Result<Endpoint, String> {
    if object.spec.is_null() {
        return Err("the content is empty or cannot be read".to_owned());
    }
    let wire = WireEndpoint::deserialize(&object.spec).map_err(|error| describe(&error))?;
    if wire.address.port() == 0 {
        return Err("the port of `address` is 0".to_owned());
    }
    let cold = Duration::try_from_secs_f64(wire.cold_remaining_ms / 1_000.0)
        .ok()
        .filter(|cold| *cold <= MAX_COLD_TIME)
        .ok_or_else(|| format!("`coldRemainingMs` is {}", wire.cold_remaining_ms))?;
    Ok(Endpoint {
        life: Incarnation {
            id: object.name.clone(),
            born: wire.born,
        },
        service: wire.service,
        address: wire.address,
        data_centre: wire.zone,
        version: wire.version,
        slots: wire.slots,
        state: match wire.state {
            WireState::Ready => State::Ready,
            WireState::Draining => State::Draining,
        },
        cold,
        sequence: wire.sequence,
    })
}

/// Builds the request for what the endpoint at an address says of itself.
///
/// # Errors
///
/// Returns an error if the request cannot be built.
pub fn encode_report(address: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .uri("/report")
        .header(header::HOST, address.to_string())
        .body(Full::default())
}

/// Builds the request for the id of the endpoint at an address.
///
/// # Errors
///
/// Returns an error if the request cannot be built.
pub fn encode_health(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::default())
}

/// Returns the id that an endpoint names when it is asked for its health, whatever that is.
#[must_use]
pub fn decode_health(headers: &HeaderMap) -> Option<&str> {
    headers.get(&INSTANCE)?.to_str().ok()
}

/// Returns the start time that an endpoint names in what it says of itself, or `None` if
/// it names none.
#[must_use]
pub fn decode_report(body: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct WireReport {
        born: u64,
    }
    let report = serde_json::from_slice::<WireReport>(body);
    report.ok().map(|report| report.born)
}

fn describe(error: &serde_json::Error) -> String {
    let description = error.to_string();
    description
        .chars()
        .take(MAX_DESCRIPTION_CHARACTERS)
        .collect()
}
