//! The list of suspect requests that one process keeps.

use super::{CRASH_LIMIT, Fingerprint, MAX_SUSPECTS, RETENTION};
use crate::id;
use std::time::Duration;

/// Maximum number of crashes kept for one request.
const MAX_CRASHES_KEPT: usize = 8;

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// No uncleared crash is recorded for the request.
    Clear,
    /// The request runs only where no other suspect runs.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// A suspect request, as processes report it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Attempts that were in flight when an endpoint crashed.
    pub crashed: Vec<id::Attempt>,
    /// Attempts that were in flight at a crash and were cleared since.
    pub cleared: Vec<id::Attempt>,
    /// Time until the entry expires.
    pub remaining: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    attempt: id::Attempt,
    cleared: bool,
}

#[derive(Clone, Debug)]
struct Row {
    fingerprint: Fingerprint,
    crashes: Vec<Crash>,
    expires_at: Duration,
}

impl Row {
    /// Records a crash. If the same crash is reported both cleared and
    /// uncleared, cleared wins.
    fn record(&mut self, attempt: id::Attempt, cleared: bool, expires_at: Duration) {
        if let Some(known) = self.crashes.iter_mut().find(|one| one.attempt == attempt) {
            known.cleared |= cleared;
            return;
        }
        if self.crashes.len() >= MAX_CRASHES_KEPT {
            let oldest = self.crashes.iter().position(|one| one.cleared);
            let Some(oldest) = oldest else { return };
            self.crashes.remove(oldest);
        }
        self.crashes.push(Crash { attempt, cleared });
        self.expires_at = self.expires_at.max(expires_at);
    }

    fn attempts(&self, cleared: bool) -> Vec<id::Attempt> {
        let crashes = self.crashes.iter();
        crashes
            .filter(|one| one.cleared == cleared)
            .map(|one| one.attempt)
            .collect()
    }

    fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|one| !one.cleared)
    }

    fn status(&self) -> Status {
        match self.uncleared().count() {
            0 => Status::Clear,
            count if count < CRASH_LIMIT => Status::Suspect,
            _ => Status::Quarantined,
        }
    }
}

/// Suspect requests, sorted by fingerprint.
///
/// Merging is a union of crashes by attempt, so the order and the number of
/// reports from other processes do not matter.
#[derive(Clone, Debug, Default)]
pub struct List {
    rows: Vec<Row>,
}

impl List {
    /// Records that an endpoint crashed with this attempt in flight.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, attempt: id::Attempt, now: Duration) {
        self.merge(
            &Suspect {
                fingerprint,
                crashed: vec![attempt],
                cleared: Vec::new(),
                remaining: RETENTION,
            },
            now,
        );
    }

    /// Clears a suspect that finished successfully while no other suspect ran
    /// beside it.
    ///
    /// A quarantined request stays quarantined: it never runs, so a late answer
    /// from an earlier attempt proves nothing.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Ok(index) = self.find(fingerprint) {
            let row = &mut self.rows[index];
            if row.status() == Status::Suspect {
                row.crashes.iter_mut().for_each(|one| one.cleared = true);
            }
        }
    }

    /// Merges a suspect reported by another process.
    pub fn merge(&mut self, suspect: &Suspect, now: Duration) {
        self.expire(now);
        let expires_at = now + suspect.remaining.min(RETENTION);
        if expires_at <= now || suspect.crashed.len() + suspect.cleared.len() == 0 {
            return;
        }
        let index = match self.find(suspect.fingerprint) {
            Ok(index) => index,
            Err(_) => self.insert(suspect.fingerprint, expires_at),
        };
        let row = &mut self.rows[index];
        for attempt in &suspect.cleared {
            row.record(*attempt, true, expires_at);
        }
        for attempt in &suspect.crashed {
            row.record(*attempt, false, expires_at);
        }
    }

    /// Returns the status of the request.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        let Ok(index) = self.find(fingerprint) else {
            return Status::Clear;
        };
        let row = &self.rows[index];
        if row.expires_at <= now {
            return Status::Clear;
        }
        row.status()
    }

    /// Returns whether an uncleared crash of this attempt is recorded for the
    /// request.
    #[must_use]
    pub fn has_crash(&self, fingerprint: Fingerprint, attempt: id::Attempt) -> bool {
        self.find(fingerprint).is_ok_and(|index| {
            self.rows[index]
                .uncleared()
                .any(|one| one.attempt == attempt)
        })
    }

    /// Returns the unexpired suspects, to report to other processes.
    pub fn suspects(&self, now: Duration) -> impl Iterator<Item = Suspect> + '_ {
        let current = self.rows.iter().filter(move |row| row.expires_at > now);
        current.map(move |row| Suspect {
            fingerprint: row.fingerprint,
            crashed: row.attempts(false),
            cleared: row.attempts(true),
            remaining: row.expires_at - now,
        })
    }

    /// Returns the number of requests in the list.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.rows.retain(|row| row.expires_at > now);
    }

    /// Inserts an empty row and returns its index. If the list is full, it
    /// first evicts the row with the lowest status and, among those, the one
    /// that expires first.
    fn insert(&mut self, fingerprint: Fingerprint, expires_at: Duration) -> usize {
        if self.rows.len() >= MAX_SUSPECTS {
            let least = (0..self.rows.len())
                .min_by_key(|index| (self.rows[*index].status(), self.rows[*index].expires_at));
            if let Some(index) = least {
                self.rows.remove(index);
            }
        }
        let index = self
            .rows
            .partition_point(|row| row.fingerprint < fingerprint);
        let row = Row {
            fingerprint,
            crashes: Vec::new(),
            expires_at,
        };
        self.rows.insert(index, row);
        index
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&fingerprint, |row| row.fingerprint)
    }
}
