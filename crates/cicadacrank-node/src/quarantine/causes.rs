//! Possible causes of crashes that a process knows, and their exchange with other
//! processes.

use crate::{
    clock::{Clock, milliseconds},
    step::Step,
    sync::lock,
};
use cicadacrank_core::{
    event::Event,
    quarantine::{
        Fingerprint, RETENTION,
        cause::{Cause, Crash, List, Suspect},
    },
};
use cicadacrank_wire::wire;
use std::{sync::Mutex, time::Duration};

/// The possible causes of crashes, shared by the tasks of a process.
///
/// Other processes report crashes from before the start of this one. The times in the list
/// therefore count from [`RETENTION`] before the origin of the clock; no crash that is kept is
/// older.
#[derive(Debug)]
pub struct Causes {
    clock: Clock,
    list: Mutex<List>,
}

/// Converts a time since the origin of the clock to one in the list.
fn in_list(time: Duration) -> Duration {
    time + RETENTION
}

impl Causes {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            list: Mutex::default(),
        }
    }

    /// Returns the cause for which a request is refused, if any.
    #[must_use]
    pub fn find(&self, causes: &[Cause]) -> Option<Cause> {
        lock(&self.list).find_quarantined(causes)
    }

    /// Returns the number of causes that are quarantined.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        lock(&self.list).quarantined_count()
    }

    /// Records a crash under a request with these causes.
    pub fn record_crash(&self, causes: &[Cause], crash: Crash) {
        let crash = Crash {
            sent: in_list(crash.sent),
            at: in_list(crash.at),
            ..crash
        };
        let _step = Step::new("record_crash", causes.len());
        let mut list = lock(&self.list);
        list.record_crash(causes, crash, self.now());
        log_changes(&mut list, "own");
    }

    /// Clears causes of all crashes before `began`, because a response to a request
    /// with these causes began then and went on.
    pub fn clear(&self, causes: &[Cause], began: Duration) {
        let mut list = lock(&self.list);
        if list.clear(causes, in_list(began), self.now()) {
            log_changes(&mut list, "own");
        }
    }

    /// Merges the entries of another process.
    pub fn merge(&self, suspects: Vec<wire::CrashSuspect>, source: &str) {
        if suspects.is_empty() {
            return;
        }
        let now = self.now();
        let _step = Step::new("merge_causes", suspects.len());
        let mut list = lock(&self.list);
        for suspect in suspects {
            match decode(suspect, now) {
                Some(suspect) => list.merge(&suspect, now),
                None => log::warn!("invalid cause of crashes from {source}"),
            }
        }
        log_changes(&mut list, source);
    }

    /// Returns the entries to report to another process: those that are quarantined
    /// and those that changed within `recent`, at most `most`.
    #[must_use]
    pub fn report(&self, recent: Duration, most: usize) -> Vec<wire::CrashSuspect> {
        let now = self.now();
        let mut list = lock(&self.list);
        let report = list.report(now, recent, most);
        log_changes(&mut list, "time");
        report.iter().map(|suspect| encode(suspect, now)).collect()
    }

    fn now(&self) -> Duration {
        in_list(self.clock.now())
    }
}

fn log_changes(list: &mut List, source: &str) {
    for change in list.take_changes() {
        Event::QuarantineChanged.log(format_args!(
            "cause={} causes={} quarantined={} crashes={} source={source}",
            change.cause, change.count, change.quarantined, change.crashes
        ));
    }
}

fn encode(suspect: &Suspect, now: Duration) -> wire::CrashSuspect {
    let age = |at: Duration| milliseconds(now.saturating_sub(at));
    let crashes = suspect.crashes.iter().map(|crash| wire::Crash {
        endpoint: crash.endpoint,
        sent_age_ms: age(crash.sent),
        age_ms: age(crash.at),
        cleared: crash.cleared,
    });
    wire::CrashSuspect {
        causes: Some(encode_causes(&suspect.causes)),
        crashes: crashes.collect(),
        companions: Some(encode_causes(&suspect.companions)),
    }
}

fn encode_causes(causes: &[Cause]) -> wire::CrashCauses {
    let mut encoded = wire::CrashCauses::default();
    for cause in causes {
        match cause {
            Cause::Request(fingerprint) => encoded.requests.extend(fingerprint.as_bytes()),
            Cause::Part(fingerprint) => encoded.parts.extend(fingerprint.as_bytes()),
        }
    }
    encoded
}

fn decode(suspect: wire::CrashSuspect, now: Duration) -> Option<Suspect> {
    let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
    let crashes = suspect.crashes.into_iter().map(|crash| Crash {
        endpoint: crash.endpoint,
        sent: at(crash.sent_age_ms),
        at: at(crash.age_ms),
        cleared: crash.cleared,
    });
    Some(Suspect {
        causes: decode_causes(suspect.causes?)?,
        crashes: crashes.collect(),
        companions: decode_causes(suspect.companions?)?,
    })
}

/// Decodes causes, sorted. Returns `None` if a fingerprint is incomplete.
fn decode_causes(causes: wire::CrashCauses) -> Option<Vec<Cause>> {
    let decode = |bytes: &[u8], cause: fn(Fingerprint) -> Cause| {
        let fingerprints = bytes
            .chunks(Fingerprint::BYTES)
            .map(Fingerprint::from_bytes);
        let causes = fingerprints.map(|one| one.map(cause));
        causes.collect::<Option<Vec<Cause>>>()
    };
    let mut decoded = decode(&causes.requests, Cause::Request)?;
    decoded.append(&mut decode(&causes.parts, Cause::Part)?);
    decoded.sort_unstable();
    Some(decoded)
}
