//! Bodies of requests that are answered before they are read.
//!
//! The HTTP library ends a connection after an answer, without having announced it, if the
//! body of the request is still unread. What arrives of it then resets the connection.

use bytes::Bytes;
use futures_util::FutureExt as _;
use http::{HeaderMap, HeaderValue, header};
use http_body_util::BodyExt as _;
use hyper::body::{Body, SizeHint};
use std::time::Duration;
use tokio::{sync::Semaphore, time};

/// Maximum time for which the rest of a body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the rest of a body that is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: u64 = 8 << 20;

/// Maximum number of bodies of which the rest is discarded at the same time. The connections
/// of further ones are closed.
const MAX_DISCARDS: usize = 256;

static DISCARDS: Semaphore = Semaphore::const_new(MAX_DISCARDS);

/// Returns the size of the rest of a body, or `None` if it was read to its end. Only the
/// next frame tells the end of a body in chunks.
pub fn unread<B: Body + Unpin>(body: &mut B) -> Option<SizeHint> {
    let is_read = body.is_end_stream() || matches!(body.frame().now_or_never(), Some(None));
    (!is_read).then(|| body.size_hint())
}

/// Returns whether a caller waits to be asked for the body of its request.
#[must_use]
pub fn awaits_consent(request: &HeaderMap) -> bool {
    request.contains_key(header::EXPECT)
}

/// Reads and discards the rest of a body in the background, so that its connection stays
/// usable. If that is not certain, the headers of the response announce its end.
pub fn discard<B>(body: B, rest: &SizeHint, awaits_consent: bool, response: &mut HeaderMap)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    // The connection of a larger body ends inside it, and a caller that waits to be asked
    // for its body may leave it out.
    let is_large = rest.upper().is_none_or(|bytes| bytes > MAX_DISCARDED_BYTES);
    let permit = DISCARDS.try_acquire().ok();
    if is_large || awaits_consent || permit.is_none() {
        response.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let Some(permit) = permit else {
        return;
    };
    tokio::spawn(async move {
        // What is left after the timeout ends with its connection.
        drop(time::timeout(DISCARD_TIMEOUT, read(body)).await);
        drop(permit);
    });
}

/// Reads a body up to its end or [`MAX_DISCARDED_BYTES`].
async fn read<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let mut bytes = 0;
    while bytes <= MAX_DISCARDED_BYTES
        && let Some(Ok(frame)) = body.frame().await
    {
        bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
}
