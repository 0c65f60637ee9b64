//! Decodes the status and headers of endpoint responses.

use cicadacrank_core::{once::Declined, placement::Occupancy};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use std::time::Duration;

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The load of the endpoint, although the word denotes an instance of the system elsewhere.
const LOAD: HeaderName = HeaderName::from_static("x-instance-load");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");

/// Value of the stated pace at which work takes the usual time.
const USUAL_PACE: f64 = 100.0;

/// Status and decoded headers of an endpoint response.
#[derive(Clone, Debug, PartialEq)]
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
    /// Requests a second that the endpoint takes from all gateways together, while it
    /// states such a limit.
    pub limit: Option<f64>,
    /// Whether the endpoint states that it leaves.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this gateway, if it turned the
    /// request away and states one.
    pub pause: Option<Duration>,
    /// Load of the endpoint, if it states it.
    pub load: Option<Occupancy>,
}

impl Answer {
    /// Decodes the status and headers of a response.
    #[must_use]
    pub fn decode(status: StatusCode, headers: &HeaderMap) -> Self {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = headers.get(header::RETRY_AFTER).filter(|_| unavailable);
        let not_run = headers.contains_key(&NOT_RUN) || misdirected;
        Self {
            status,
            attempt: headers.get(&ATTEMPT).cloned(),
            signed: headers.contains_key(&SIGNATURE),
            declined: (not_run && !status.is_success()).then(Declined::stated),
            misdirected,
            limit: headers.get(&LIMIT).and_then(parse_limit),
            leaving: headers.get(&LEAVING).is_some_and(parse_leaving),
            pause: retry_after.and_then(parse_pause),
            load: headers.get(&LOAD).and_then(parse_load),
        }
    }
}

/// Returns whether the value says that the endpoint leaves. Any other value is logged
/// and says nothing.
fn parse_leaving(value: &HeaderValue) -> bool {
    let leaving = value.as_bytes().trim_ascii() == b"1";
    if !leaving {
        log::warn!("an endpoint states invalidly whether it leaves: {value:?}");
    }
    leaving
}

/// Returns the time, or `None` with a log line if it is not a number of seconds. Dates
/// are not used on this interface.
fn parse_pause(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().unwrap_or_default();
    let seconds = text.trim().parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    if seconds.is_none() {
        log::warn!("an endpoint wants no requests for an invalid time: {value:?}");
    }
    seconds.map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Returns the limit, or `None` with a log line if it is not a number of requests.
fn parse_limit(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().unwrap_or_default();
    let limit = text.trim().parse::<f64>().ok();
    let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
    if limit.is_none() {
        log::warn!("an endpoint states an invalid limit: {value:?}");
    }
    limit
}

/// Returns the load, or `None` with a log line if it is not a list of numbers: the requests
/// that run, those that wait, the slots and, at some endpoints, the pace.
fn parse_load(value: &HeaderValue) -> Option<Occupancy> {
    let text = value.to_str().unwrap_or_default();
    let load = decode_load(text);
    if load.is_none() {
        log::warn!("an endpoint states an invalid load: {value:?}");
    }
    load
}

fn decode_load(text: &str) -> Option<Occupancy> {
    let mut fields = text.split(',').map(str::trim);
    let mut count = || fields.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let pace = match fields.next() {
        Some(pace) => {
            let pace = pace.parse::<f64>().ok()? / USUAL_PACE;
            Some(pace).filter(|pace| pace.is_finite() && *pace > 0.0)
        }
        None => None,
    };
    Some(Occupancy {
        running,
        waiting,
        slots,
        pace,
    })
}
