//! The suspects that one process knows of.

use super::{CRASHES, Fingerprint, LIFE, SUSPECTS};
use crate::id;
use std::time::Duration;

/// Most crashes that are remembered of one request.
const CRASHES_KEPT: usize = 8;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// It runs only where no other suspect runs.
    Suspect,
    /// It is refused.
    Condemned,
}

/// A suspect as one process tells another of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Attempts at it under which an endpoint crashed.
    pub crashed: Vec<id::Attempt>,
    /// Those of which it was acquitted.
    pub acquitted: Vec<id::Attempt>,
    /// Time until the entry ends.
    pub remaining: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    attempt: id::Attempt,
    acquitted: bool,
}

#[derive(Clone, Debug)]
struct Row {
    fingerprint: Fingerprint,
    crashes: Vec<Crash>,
    ends: Duration,
}

impl Row {
    /// Takes up a crash; an acquittal of it wins over the charge.
    fn note(&mut self, attempt: id::Attempt, acquitted: bool, ends: Duration) {
        if let Some(known) = self.crashes.iter_mut().find(|one| one.attempt == attempt) {
            known.acquitted |= acquitted;
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            let oldest = self.crashes.iter().position(|one| one.acquitted);
            let Some(oldest) = oldest else { return };
            self.crashes.remove(oldest);
        }
        self.crashes.push(Crash { attempt, acquitted });
        self.ends = self.ends.max(ends);
    }

    fn attempts(&self, acquitted: bool) -> Vec<id::Attempt> {
        let crashes = self.crashes.iter();
        crashes
            .filter(|one| one.acquitted == acquitted)
            .map(|one| one.attempt)
            .collect()
    }

    fn held(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|one| !one.acquitted)
    }

    fn standing(&self) -> Standing {
        match self.held().count() {
            0 => Standing::Clear,
            count if count < CRASHES => Standing::Suspect,
            _ => Standing::Condemned,
        }
    }
}

/// Suspects, sorted by fingerprint.
///
/// Merging is a union of crashes by attempt, so that it does not matter in
/// which order or how often processes tell each other.
#[derive(Clone, Debug, Default)]
pub struct List {
    rows: Vec<Row>,
}

impl List {
    /// Notes that an endpoint crashed with this attempt in flight.
    pub fn mark(&mut self, fingerprint: Fingerprint, attempt: id::Attempt, now: Duration) {
        self.merge(
            &Suspect {
                fingerprint,
                crashed: vec![attempt],
                acquitted: Vec::new(),
                remaining: LIFE,
            },
            now,
        );
    }

    /// Notes that the request ended well while it ran without other suspects.
    ///
    /// A condemned request stays so: it never runs, and a late answer from
    /// before says nothing new.
    pub fn acquit(&mut self, fingerprint: Fingerprint) {
        if let Ok(index) = self.find(fingerprint) {
            let row = &mut self.rows[index];
            if row.standing() == Standing::Suspect {
                row.crashes.iter_mut().for_each(|one| one.acquitted = true);
            }
        }
    }

    /// Takes up what another process knows.
    pub fn merge(&mut self, suspect: &Suspect, now: Duration) {
        self.expire(now);
        let ends = now + suspect.remaining.min(LIFE);
        if ends <= now || suspect.crashed.len() + suspect.acquitted.len() == 0 {
            return;
        }
        let index = match self.find(suspect.fingerprint) {
            Ok(index) => index,
            Err(_) => self.insert(suspect.fingerprint, ends),
        };
        let row = &mut self.rows[index];
        for attempt in &suspect.acquitted {
            row.note(*attempt, true, ends);
        }
        for attempt in &suspect.crashed {
            row.note(*attempt, false, ends);
        }
    }

    /// Returns how the request stands.
    #[must_use]
    pub fn standing(&self, fingerprint: Fingerprint, now: Duration) -> Standing {
        let Ok(index) = self.find(fingerprint) else {
            return Standing::Clear;
        };
        let row = &self.rows[index];
        if row.ends <= now {
            return Standing::Clear;
        }
        row.standing()
    }

    /// Returns whether this attempt is held against the request.
    #[must_use]
    pub fn knows(&self, fingerprint: Fingerprint, attempt: id::Attempt) -> bool {
        self.find(fingerprint)
            .is_ok_and(|index| self.rows[index].held().any(|one| one.attempt == attempt))
    }

    /// Returns what other processes should know.
    pub fn suspects(&self, now: Duration) -> impl Iterator<Item = Suspect> + '_ {
        let held = self.rows.iter().filter(move |row| row.ends > now);
        held.map(move |row| Suspect {
            fingerprint: row.fingerprint,
            crashed: row.attempts(false),
            acquitted: row.attempts(true),
            remaining: row.ends - now,
        })
    }

    /// Returns the number of requests that are remembered.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.rows.retain(|row| row.ends > now);
    }

    /// Adds a row; a full list forgets the least held against first, then what
    /// would end first.
    fn insert(&mut self, fingerprint: Fingerprint, ends: Duration) -> usize {
        if self.rows.len() >= SUSPECTS {
            let least = (0..self.rows.len())
                .min_by_key(|index| (self.rows[*index].standing(), self.rows[*index].ends));
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
            ends,
        };
        self.rows.insert(index, row);
        index
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&fingerprint, |row| row.fingerprint)
    }
}
