//! The suspects that this process knows of, and what it tells its peers.

use crate::clock::Clock;
use cicadacrank_core::{
    directory::Incarnation,
    event::Event,
    id,
    quarantine::{Fingerprint, List, Status, Suspect},
};
use cicadacrank_wire::wire;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::watch;

/// Requests that are suspected of crashing endpoints.
#[derive(Debug)]
pub struct Suspects {
    clock: Clock,
    list: Mutex<List>,
    /// Crashes noted by this process.
    crash_count: watch::Sender<u64>,
    /// Those of them that peers have been told of.
    announced: watch::Sender<u64>,
}

impl Suspects {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            list: Mutex::default(),
            crash_count: watch::Sender::new(0),
            announced: watch::Sender::new(0),
        }
    }

    /// Returns how a request stands.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        self.lock().status(fingerprint, self.clock.now())
    }

    /// Notes that an endpoint crashed with this attempt in flight.
    pub fn record_crash(&self, fingerprint: Fingerprint, attempt: id::Attempt) {
        self.add_crash(fingerprint, attempt);
        Event::SuspectMarked.log(format_args!("request {fingerprint} attempt {attempt}"));
    }

    /// Notes that this endpoint crashed with the request in flight.
    pub fn record_endpoint_crash(&self, fingerprint: Fingerprint, endpoint: &Incarnation) {
        self.add_crash(fingerprint, id::Attempt::new(rand::random()));
        Event::SuspectMarked.log(format_args!(
            "fingerprint={fingerprint} endpoint={} born={:?}",
            endpoint.id, endpoint.born
        ));
    }

    /// Returns a view of how many crashes this process has noted.
    #[must_use]
    pub fn crash_count(&self) -> watch::Receiver<u64> {
        self.crash_count.subscribe()
    }

    /// Notes that peers have been told of the first `marks` crashes.
    pub fn record_announced(&self, count: u64) {
        self.announced.send_if_modified(|announced| {
            let newer = count > *announced;
            *announced = count.max(*announced);
            newer
        });
    }

    /// Waits until peers have been told of all crashes noted so far.
    pub async fn wait_until_announced(&self) {
        let count = *self.crash_count.borrow();
        // An error says that the process ends.
        drop(
            self.announced
                .subscribe()
                .wait_for(|announced| *announced >= count)
                .await,
        );
    }

    /// Returns whether this attempt is held against the request.
    #[must_use]
    pub fn has_crash(&self, fingerprint: Fingerprint, attempt: id::Attempt) -> bool {
        self.lock().has_crash(fingerprint, attempt)
    }

    /// Notes that a suspect ended well while no other ran beside it.
    pub fn clear(&self, fingerprint: Fingerprint) {
        self.lock().clear(fingerprint);
    }

    /// Takes up what a peer knows; what cannot be read is left out.
    pub fn merge(&self, suspects: &[wire::Suspect]) {
        let now = self.clock.now();
        let mut list = self.lock();
        for suspect in suspects.iter().filter_map(decode) {
            list.merge(&suspect, now);
        }
    }

    /// Returns what peers should know.
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
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
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
