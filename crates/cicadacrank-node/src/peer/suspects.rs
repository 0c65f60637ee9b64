//! Suspected requests on their way to every process.

use cicadacrank_wire::wire::Suspect;
use std::time::Duration;

/// Times a suspect is sent on after it changed.
const SENDS: u32 = 16;

/// Suspects in one message.
const HOT: usize = 8;

/// Suspects that are carried at a time; the oldest give way.
const KEPT: usize = 1024;

struct Row {
    fingerprint: Vec<u8>,
    crashed: Vec<String>,
    acquitted: Vec<String>,
    ends: Duration,
    sends: u32,
}

/// Suspects that this process carries, without a look at what they mean.
#[derive(Default)]
pub(super) struct Suspects {
    rows: Vec<Row>,
}

impl Suspects {
    /// Takes up a suspect; returns the joined entry if it was news.
    pub(super) fn merge(&mut self, suspect: Suspect, now: Duration) -> Option<Suspect> {
        self.rows.retain(|row| now < row.ends);
        let ends = now + Duration::from_millis(suspect.remaining_ms);
        let known = self
            .rows
            .iter_mut()
            .find(|row| row.fingerprint == suspect.fingerprint);
        let Some(row) = known else {
            if self.rows.len() == KEPT {
                self.rows.remove(0);
            }
            self.rows.push(Row {
                fingerprint: suspect.fingerprint.clone(),
                crashed: suspect.crashed.clone(),
                acquitted: suspect.acquitted.clone(),
                ends,
                sends: 0,
            });
            return Some(suspect);
        };
        let crashed = join(&mut row.crashed, suspect.crashed);
        let acquitted = join(&mut row.acquitted, suspect.acquitted);
        if !crashed && !acquitted {
            return None;
        }
        row.ends = row.ends.max(ends);
        row.sends = 0;
        Some(row.suspect(now))
    }

    /// Takes the suspects for the next message.
    pub(super) fn take_hot(&mut self, now: Duration) -> Vec<Suspect> {
        let hot = self.rows.iter_mut();
        let hot = hot.filter(|row| row.sends < SENDS && now < row.ends);
        let take = |row: &mut Row| {
            row.sends += 1;
            row.suspect(now)
        };
        hot.take(HOT).map(take).collect()
    }
}

impl Row {
    fn suspect(&self, now: Duration) -> Suspect {
        let remaining = self.ends.saturating_sub(now).as_millis();
        Suspect {
            fingerprint: self.fingerprint.clone(),
            crashed: self.crashed.clone(),
            acquitted: self.acquitted.clone(),
            remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
        }
    }
}

/// Adds what is not there yet; returns whether anything was added.
fn join(known: &mut Vec<String>, others: Vec<String>) -> bool {
    let before = known.len();
    for other in others {
        if !known.contains(&other) {
            known.push(other);
        }
    }
    known.len() > before
}
