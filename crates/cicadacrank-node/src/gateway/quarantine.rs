//! Possible causes of crashes of endpoints that a gateway knows, and their exchange
//! with other gateways.

use super::state::lock;
use crate::{
    clock::Clock,
    outbound::{self, CONNECT_TIMEOUT},
};
use cicadacrank_core::{
    directory::Endpoint,
    event::Event,
    quarantine::{
        Fingerprint,
        cause::{Cause, Crash, List, Suspect},
    },
};
use cicadacrank_wire::wire;
use prometheus::IntGauge;
use std::{sync::Mutex, time::Duration};
use tokio::time;

/// Delay between a broken connection and the check whether the endpoint crashed.
/// A crashed endpoint has closed its port by then.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Time from the first data of a response during which the request may still be the
/// one that crashes the endpoint.
pub const RESPONSE_START: Duration = Duration::from_millis(100);

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

/// The possible causes of crashes, shared by the tasks of a gateway.
#[derive(Debug)]
pub struct Quarantine {
    clock: Clock,
    list: Mutex<List>,
    count: IntGauge,
}

impl Quarantine {
    /// Creates an empty list, whose number of quarantined causes `count` shows.
    #[must_use]
    pub fn new(clock: Clock, count: IntGauge) -> Self {
        Self {
            clock,
            list: Mutex::default(),
            count,
        }
    }

    /// Returns the cause for which a request is refused, if any.
    #[must_use]
    pub fn find(&self, causes: &[Cause]) -> Option<Cause> {
        lock(&self.list).find_quarantined(causes)
    }

    /// Records a crash if the endpoint of an interrupted request refuses
    /// connections. Silence is no proof, since a path may be cut.
    pub async fn check_crash(&self, interruption: Interruption) {
        time::sleep(CRASH_CHECK_DELAY).await;
        let endpoint = &interruption.endpoint;
        if !outbound::is_refusing(endpoint.address, CONNECT_TIMEOUT).await {
            return;
        }
        Event::SuspectMarked.log(format_args!(
            "id={} endpoint={} born={:?} sent_ms_before={} parts={:?}",
            interruption.id,
            endpoint.life.id,
            endpoint.life.born,
            interruption
                .at
                .saturating_sub(interruption.sent)
                .as_millis(),
            interruption.shared_parts,
        ));
        let crash = Crash {
            endpoint: endpoint.life.digest(),
            sent: interruption.sent,
            at: interruption.at,
            cleared: false,
        };
        let mut list = lock(&self.list);
        list.record_crash(&interruption.causes, crash, self.clock.now());
        self.log_changes(&mut list, "own");
    }

    /// Clears causes of all crashes before `began`, because a response to a request
    /// with these causes began then and went on.
    pub fn clear(&self, causes: &[Cause], began: Duration) {
        let mut list = lock(&self.list);
        list.clear(causes, began, self.clock.now());
        if list.is_empty() {
            return;
        }
        self.log_changes(&mut list, "own");
    }

    /// Merges the entries of another gateway.
    pub fn merge(&self, suspects: Vec<wire::CrashSuspect>, source: &str) {
        if suspects.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut list = lock(&self.list);
        for suspect in suspects {
            match decode(suspect, now) {
                Some(suspect) => list.merge(&suspect, now),
                None => log::warn!("invalid cause of crashes from {source}"),
            }
        }
        self.log_changes(&mut list, source);
    }

    /// Returns the entries to report to another gateway.
    #[must_use]
    pub fn report(&self) -> Vec<wire::CrashSuspect> {
        let now = self.clock.now();
        let mut list = lock(&self.list);
        let report = list.report(now);
        self.log_changes(&mut list, "time");
        report.iter().map(|suspect| encode(suspect, now)).collect()
    }

    fn log_changes(&self, list: &mut List, source: &str) {
        for change in list.take_changes() {
            Event::QuarantineChanged.log(format_args!(
                "cause={} quarantined={} crashes={} source={source}",
                change.cause, change.quarantined, change.crashes
            ));
        }
        let count = i64::try_from(list.quarantined_count()).unwrap_or(i64::MAX);
        self.count.set(count);
    }
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

fn encode(suspect: &Suspect, now: Duration) -> wire::CrashSuspect {
    let age = |at: Duration| super::peers::milliseconds(now.saturating_sub(at));
    let crashes = suspect.crashes.iter().map(|crash| wire::Crash {
        endpoint: crash.endpoint,
        sent_age_ms: age(crash.sent),
        age_ms: age(crash.at),
        cleared: crash.cleared,
    });
    wire::CrashSuspect {
        cause: Some(encode_cause(suspect.cause)),
        crashes: crashes.collect(),
        companions: suspect
            .companions
            .iter()
            .map(|one| encode_cause(*one))
            .collect(),
    }
}

fn encode_cause(cause: Cause) -> wire::CrashCause {
    let (fingerprint, is_part) = match cause {
        Cause::Request(fingerprint) => (fingerprint, false),
        Cause::Part(fingerprint) => (fingerprint, true),
    };
    wire::CrashCause {
        fingerprint: fingerprint.as_bytes().to_vec(),
        is_part,
    }
}

fn decode(suspect: wire::CrashSuspect, now: Duration) -> Option<Suspect> {
    let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
    let crashes = suspect.crashes.into_iter().map(|crash| Crash {
        endpoint: crash.endpoint,
        sent: at(crash.sent_age_ms),
        at: at(crash.age_ms),
        cleared: crash.cleared,
    });
    let companions = suspect.companions.iter().map(decode_cause);
    let mut companions = companions.collect::<Option<Vec<Cause>>>()?;
    companions.sort_unstable();
    Some(Suspect {
        cause: decode_cause(suspect.cause.as_ref()?)?,
        crashes: crashes.collect(),
        companions,
    })
}

fn decode_cause(cause: &wire::CrashCause) -> Option<Cause> {
    let fingerprint = Fingerprint::from_bytes(&cause.fingerprint)?;
    Some(if cause.is_part {
        Cause::Part(fingerprint)
    } else {
        Cause::Request(fingerprint)
    })
}
