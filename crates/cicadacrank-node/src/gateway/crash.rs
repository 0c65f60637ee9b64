//! Detection of requests that crash endpoints.

use super::{
    lifetime::{self, Fate},
    state::State,
};
use cicadacrank_core::{
    directory::Endpoint,
    event::Event,
    quarantine::{
        Fingerprint,
        cause::{Cause, Crash},
    },
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Delay between a broken connection and the first check whether the endpoint crashed.
/// Most crashed endpoints have closed their ports by then.
pub const CRASH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Delays before each further check, if the one before did not tell. A process that has much
/// memory to release, or an instance that is busy, takes longer to close the port.
const RECHECK_DELAYS: [Duration; 2] = [Duration::from_millis(240), Duration::from_millis(900)];

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

/// Records a crash if the process of the endpoint of an interrupted request has ended.
pub async fn check(state: &Arc<State>, interruption: Interruption) {
    let endpoint = &interruption.endpoint;
    time::sleep(CRASH_CHECK_DELAY).await;
    let mut fate = lifetime::ask(state, endpoint).await;
    for delay in RECHECK_DELAYS {
        if fate == Fate::Unknown {
            time::sleep(delay).await;
            fate = lifetime::ask(state, endpoint).await;
        }
    }
    if fate != Fate::Ended {
        Event::CrashUnproven.log(format_args!(
            "id={} endpoint={} born={:?} fate={fate:?} age_ms={}",
            interruption.id,
            endpoint.life.id,
            endpoint.life.born,
            state
                .clock
                .now()
                .saturating_sub(interruption.at)
                .as_millis(),
        ));
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
    state.causes.record_crash(&interruption.causes, crash);
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
