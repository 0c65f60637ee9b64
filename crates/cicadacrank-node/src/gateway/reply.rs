//! Responses that the gateway itself creates.

use bytes::Bytes;
use cicadacrank_core::{
    error::{Effect, Kind},
    once::ExecutionError,
};
use futures_util::stream::BoxStream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use std::{io, time::Duration};

/// Frames of a response body that is forwarded as it arrives.
pub type Frames = BoxStream<'static, io::Result<Frame<Bytes>>>;

/// The body of a response: complete or streamed.
pub type Body = Either<Full<Bytes>, StreamBody<Frames>>;

/// Returns the response to a request that was not served.
///
/// A status that implies that the request did not run is used only if that is
/// proven. Otherwise it is replaced by 502.
pub fn failure(error: &ExecutionError, retry_after: Option<Duration>) -> Response<Body> {
    let status = StatusCode::from_u16(error.kind().http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let status = match error.effect() {
        Effect::NotRun => status,
        Effect::Partial | Effect::Unknown if implies_not_run(status) => StatusCode::BAD_GATEWAY,
        Effect::Partial | Effect::Unknown => status,
    };
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text(error)))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(after)) = (status, retry_after) {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns whether a status promises callers that their request did not run.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns a random delay of 0.75 to 1.5 times `delay`, so that callers that were
/// refused together do not retry together.
pub fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.75..1.5))
}

/// Returns a response with a status and an empty body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
    *response.status_mut() = status;
    response
}

fn text(error: &ExecutionError) -> String {
    let kind: Kind = error.kind();
    format!(
        "{kind} ({}): {}\n",
        error.effect().as_str(),
        kind.row().text
    )
}
