//! Suspect requests known to this process, and their exchange with its peers.

mod causes;

pub use self::causes::Causes;

use crate::{clock::Clock, sync::lock};
use cicadacrank_core::{
    event::Event,
    id,
    quarantine::{Fingerprint, List, Status, Suspect, cause::Cause},
};
use cicadacrank_wire::wire;
use serde_json::Value;
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::watch;

/// Maximum number of fields of a request that are possible causes of a crash.
const MAX_FIELDS: usize = 32;

/// Requests suspected of crashing endpoints, shared by the tasks of a process.
#[derive(Debug)]
pub struct Suspects {
    clock: Clock,
    list: Mutex<List>,
    causes: Causes,
    /// Number of crashes recorded by this process.
    crash_count: watch::Sender<u64>,
    /// Number of these crashes that peers have been informed of.
    announced: watch::Sender<u64>,
}

impl Suspects {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            list: Mutex::default(),
            causes: Causes::new(clock),
            crash_count: watch::Sender::new(0),
            announced: watch::Sender::new(0),
        }
    }

    /// Returns the possible causes of crashes that requests share.
    #[must_use]
    pub const fn causes(&self) -> &Causes {
        &self.causes
    }

    /// Returns the quarantine status of a request.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        self.lock().status(fingerprint, self.clock.now())
    }

    /// Records that an endpoint crashed with this attempt in flight.
    pub fn record_crash(&self, fingerprint: Fingerprint, attempt: id::Attempt) {
        self.add_crash(fingerprint, attempt);
        Event::SuspectMarked.log(format_args!("request {fingerprint} attempt {attempt}"));
    }

    /// Returns a receiver for the number of crashes recorded by this process.
    #[must_use]
    pub fn crash_count(&self) -> watch::Receiver<u64> {
        self.crash_count.subscribe()
    }

    /// Records that peers have been informed of the first `count` crashes.
    pub fn record_announced(&self, count: u64) {
        self.announced.send_if_modified(|announced| {
            let newer = count > *announced;
            *announced = count.max(*announced);
            newer
        });
    }

    /// Waits until peers have been informed of all crashes recorded so far.
    pub async fn wait_until_announced(&self) {
        let count = *self.crash_count.borrow();
        // The wait only fails when the process ends.
        drop(
            self.announced
                .subscribe()
                .wait_for(|announced| *announced >= count)
                .await,
        );
    }

    /// Returns whether an uncleared crash of this attempt is recorded for the
    /// request.
    #[must_use]
    pub fn has_crash(&self, fingerprint: Fingerprint, attempt: id::Attempt) -> bool {
        self.lock().has_crash(fingerprint, attempt)
    }

    /// Clears a suspect that finished successfully while no other suspect ran
    /// beside it.
    pub fn clear(&self, fingerprint: Fingerprint) {
        self.lock().clear(fingerprint);
    }

    /// Merges the suspects reported by a peer; malformed entries are ignored.
    pub fn merge(&self, suspects: &[wire::Suspect]) {
        let now = self.clock.now();
        let mut list = self.lock();
        for suspect in suspects.iter().filter_map(decode) {
            list.merge(&suspect, now);
        }
    }

    /// Returns the unexpired suspects, to report to peers.
    #[must_use]
    pub fn all(&self) -> Vec<wire::Suspect> {
        let now = self.clock.now();
        self.lock().suspects(now).map(|one| encode(&one)).collect()
    }

    fn add_crash(&self, fingerprint: Fingerprint, attempt: id::Attempt) {
        self.lock()
            .record_crash(fingerprint, attempt, self.clock.now());
        self.crash_count.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        lock(&self.list)
    }
}

fn decode(suspect: &wire::Suspect) -> Option<Suspect> {
    let attempts = |texts: &[String]| {
        let attempts = texts.iter().map(|text| id::Attempt::parse(text));
        attempts.collect::<Option<Vec<_>>>()
    };
    Some(Suspect {
        fingerprint: Fingerprint::from_bytes(&suspect.fingerprint)?,
        crashed: attempts(&suspect.crashed)?,
        cleared: attempts(&suspect.acquitted)?,
        remaining: Duration::from_millis(suspect.remaining_ms),
    })
}

fn encode(suspect: &Suspect) -> wire::Suspect {
    let texts = |attempts: &[id::Attempt]| attempts.iter().map(id::Attempt::to_string).collect();
    wire::Suspect {
        fingerprint: suspect.fingerprint.as_bytes().to_vec(),
        crashed: texts(&suspect.crashed),
        acquitted: texts(&suspect.cleared),
        remaining_ms: u64::try_from(suspect.remaining.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the fields of a request's body, which other requests may share, each with
/// its name.
#[must_use]
pub fn fields(body: &[u8]) -> Vec<String> {
    // A body that is no object is refused elsewhere.
    let Ok(fields) = serde_json::from_slice::<serde_json::Map<String, Value>>(body) else {
        return Vec::new();
    };
    let fields = fields.iter().take(MAX_FIELDS);
    fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect()
}

/// Returns the fingerprints of the fields of a request, as a job carries them.
pub fn job_parts(causes: &[Cause]) -> Vec<Vec<u8>> {
    let parts = causes.iter().filter_map(|cause| match cause {
        Cause::Part(fingerprint) => Some(fingerprint.as_bytes().to_vec()),
        Cause::Request(_) => None,
    });
    parts.collect()
}

/// Returns the fields of a job as possible causes of a crash. Ignores fingerprints of
/// another length.
pub fn job_causes(job: &wire::Job) -> Vec<Cause> {
    let parts = job.parts.iter();
    let parts = parts.filter_map(|part| Fingerprint::from_bytes(part));
    parts.map(Cause::Part).collect()
}
