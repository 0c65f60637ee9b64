//! Detection of requests that crash endpoints.

use crate::{
    outbound::{self, CONNECT_TIMEOUT},
    quarantine::Causes,
};
use cicadacrank_core::{
    directory::Endpoint,
    event::Event,
    quarantine::{
        Fingerprint,
        cause::{Cause, Crash},
    },
};
use std::time::Duration;
use tokio::time;

/// Delay between a broken connection and the check whether the endpoint crashed.
/// A crashed endpoint has closed its port by then.
pub const CRASH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Time from the first data of a response during which the request may still be the
/// one that crashes the endpoint.
pub const RESPONSE_START: Duration = Duration::from_millis(100);

/// Maximum number of shared parts that are logged for one request.
const MAX_PARTS_LOGGED: usize = 8;

/// A request whose connection to an endpoint broke when the endpoint had not begun
/// to respond, or had only just.
#[derive(Debug)]
pub struct Interruption {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Id of the caller's attempt.
    pub id: String,
    /// Possible causes of a crash.
    pub causes: Vec<Cause>,
    /// Ids of the shared parts of the prompt, for the log.
    pub shared_parts: Vec<String>,
    /// Time at which the request was sent, since the origin of the clock.
    pub sent: Duration,
    /// Time at which the connection broke, since the origin of the clock.
    pub at: Duration,
}

/// Records a crash if the endpoint of an interrupted request refuses connections.
/// Silence is no proof, since a path may be cut.
pub async fn check(known: &Causes, interruption: Interruption) {
    time::sleep(CRASH_CHECK_DELAY).await;
    let endpoint = &interruption.endpoint;
    if !outbound::is_refusing(endpoint.address, CONNECT_TIMEOUT).await {
        return;
    }
    Event::SuspectMarked.log(format_args!(
        "id={} endpoint={} born={:?} sent_ms_before={} parts={} first_parts={:?}",
        interruption.id,
        endpoint.life.id,
        endpoint.life.born,
        interruption
            .at
            .saturating_sub(interruption.sent)
            .as_millis(),
        interruption.shared_parts.len(),
        interruption
            .shared_parts
            .iter()
            .take(MAX_PARTS_LOGGED)
            .collect::<Vec<_>>(),
    ));
    let crash = Crash {
        endpoint: endpoint.life.digest(),
        sent: interruption.sent,
        at: interruption.at,
        cleared: false,
    };
    known.record_crash(&interruption.causes, crash);
}

/// Returns the possible causes of a crash that a request has.
#[must_use]
pub fn causes(request: Fingerprint, service: &str, shared_parts: &[String]) -> Vec<Cause> {
    let parts = shared_parts.iter();
    let parts = parts.map(|part| Cause::Part(Fingerprint::of_part(service, part)));
    std::iter::once(Cause::Request(request))
        .chain(parts)
        .collect()
}
