//! The suspects that this process knows of, and what it tells its peers.

use crate::{clock::Clock, peer};
use cicadacrank_core::{
    event::Event,
    id,
    quarantine::{Fingerprint, List, Standing, Suspect},
};
use cicadacrank_wire::wire;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{Notify, broadcast::error::RecvError};

/// Requests that are suspected of crashing endpoints.
#[derive(Debug)]
pub struct Suspects {
    clock: Clock,
    list: Mutex<List>,
    changed: Notify,
}

impl Suspects {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            list: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns how a request stands.
    #[must_use]
    pub fn standing(&self, fingerprint: Fingerprint) -> Standing {
        self.lock().standing(fingerprint, self.clock.now())
    }

    /// Notes that an endpoint crashed with this attempt in flight.
    pub fn mark(&self, fingerprint: Fingerprint, attempt: id::Attempt) {
        self.lock().mark(fingerprint, attempt, self.clock.now());
        self.changed.notify_one();
        Event::SuspectMarked.log(format_args!("request {fingerprint} attempt {attempt}"));
    }

    /// Returns whether this attempt is held against the request.
    #[must_use]
    pub fn knows(&self, fingerprint: Fingerprint, attempt: id::Attempt) -> bool {
        self.lock().knows(fingerprint, attempt)
    }

    /// Notes that a suspect ended well while no other ran beside it.
    pub fn acquit(&self, fingerprint: Fingerprint) {
        self.lock().acquit(fingerprint);
        self.changed.notify_one();
    }

    /// Takes up what a peer knows; what cannot be read is left out.
    pub fn merge(&self, suspects: &[wire::Suspect]) {
        let now = self.clock.now();
        let mut list = self.lock();
        for suspect in suspects.iter().filter_map(read) {
            list.merge(&suspect, now);
        }
    }

    /// Returns what peers should know.
    #[must_use]
    pub fn all(&self) -> Vec<wire::Suspect> {
        let now = self.clock.now();
        self.lock().suspects(now).map(|one| write(&one)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells peers of the suspects here and takes up theirs, for as long as the
/// process lives.
pub async fn spread(suspects: Arc<Suspects>, peer: Arc<peer::Service>) {
    let mut heard = peer.suspects();
    loop {
        tokio::select! {
            () = suspects.changed.notified() => {
                suspects.all().into_iter().for_each(|suspect| peer.publish(suspect));
            }
            suspect = heard.recv() => match suspect {
                Ok(suspect) => suspects.merge(&[suspect]),
                // A request that was missed is marked again by its next crash.
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
        }
    }
}

fn read(suspect: &wire::Suspect) -> Option<Suspect> {
    let attempts = |texts: &[String]| {
        let attempts = texts.iter().map(|text| id::Attempt::parse(text));
        attempts.collect::<Option<Vec<_>>>()
    };
    Some(Suspect {
        fingerprint: Fingerprint::from_bytes(&suspect.fingerprint)?,
        crashed: attempts(&suspect.crashed)?,
        acquitted: attempts(&suspect.acquitted)?,
        remaining: Duration::from_millis(suspect.remaining_ms),
    })
}

fn write(suspect: &Suspect) -> wire::Suspect {
    let texts = |attempts: &[id::Attempt]| attempts.iter().map(id::Attempt::to_string).collect();
    wire::Suspect {
        fingerprint: suspect.fingerprint.as_bytes().to_vec(),
        crashed: texts(&suspect.crashed),
        acquitted: texts(&suspect.acquitted),
        remaining_ms: u64::try_from(suspect.remaining.as_millis()).unwrap_or(u64::MAX),
    }
}
