//! Memory of recent claims, for a store that comes back from a copy without them.

use super::{Entry, Name, Outcome, State};
use std::time::Duration;

/// Time for which a claim is remembered after its last change. A store comes back from
/// a copy that is some seconds old.
pub const RECENT_TIME: Duration = Duration::from_secs(60);

/// Size of the remembered claims of a shard from which on outputs are left out, in
/// bytes.
const MAX_BYTES: usize = 512 << 10;

/// Claims of one shard that a process has written lately.
///
/// The store may lose what it has acknowledged, and says so by a higher era. The claims
/// are then written again.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    /// Claims with the time of their last change, sorted by name.
    claims: Vec<(Entry, Duration)>,
    /// Estimated size of the claims, in bytes of JSON.
    bytes: usize,
    /// Era of the store in which all of them were written.
    era: u64,
}

impl Recent {
    /// Creates a memory without claims.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            claims: Vec::new(),
            bytes: 0,
            era: 0,
        }
    }

    /// Forgets claims that were last written too long before `now` to be lost.
    pub fn forget_old(&mut self, now: Duration) {
        self.claims
            .retain(|(_, written)| now.saturating_sub(*written) < RECENT_TIME);
        self.bytes = self.claims.iter().map(|(entry, _)| entry.bytes()).sum();
    }

    /// Records a claim as it was written at `now`.
    pub fn record(&mut self, mut entry: Entry, now: Duration) {
        if self.bytes + entry.bytes() > MAX_BYTES {
            entry.drop_output();
        }
        self.bytes += entry.bytes();
        match self.find(entry.name) {
            Ok(index) => {
                self.bytes -= self.claims[index].0.bytes();
                self.claims[index] = (entry, now);
            }
            Err(index) => self.claims.insert(index, (entry, now)),
        }
    }

    /// Records that all claims are in the store in this era.
    pub const fn confirm(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
        }
    }

    /// Returns the claims that a store of this era may have lost, sorted by name.
    pub fn lost(&self, era: u64) -> impl Iterator<Item = &Entry> {
        let is_lost = era > self.era;
        let claims = self.claims.iter().filter(move |_| is_lost);
        claims.map(|(entry, _)| entry)
    }

    fn find(&self, name: Name) -> Result<usize, usize> {
        self.claims
            .binary_search_by_key(&name, |(entry, _)| entry.name)
    }
}

impl Entry {
    /// Leaves the output out of a completed claim.
    pub(super) fn drop_output(&mut self) {
        if let State::Done { outcome } = &mut self.claim.state
            && matches!(outcome, Outcome::Answer { .. })
        {
            *outcome = Outcome::Oversized;
        }
    }
}

/// The time after the store came back from a copy, in which holders write lost claims
/// again and no new ones are made.
///
/// It counts from the last failed call, since holders may not reach the store either.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    era: u64,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    #[default]
    Ended,
    /// The store has not answered since it came back.
    Unanswered,
    /// The store has answered all calls since then.
    Answered(Duration),
}

impl Recovery {
    /// Length of a recovery. Holders learn of the new era within seconds.
    pub const TIME: Duration = Duration::from_secs(5);

    /// Creates the state before any answer of the store. A process that starts after
    /// the first era cannot tell when the store came back, and starts with a recovery.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            era: 0,
            phase: Phase::Ended,
        }
    }

    /// Records the era of the store. A newer one starts a recovery.
    pub const fn observe(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.phase = Phase::Unanswered;
        }
    }

    /// Records at `now` whether the store answered a call.
    pub fn record_call(&mut self, has_answered: bool, now: Duration) {
        if !self.is_active(now) {
            self.phase = Phase::Ended;
        } else if !has_answered {
            self.phase = Phase::Unanswered;
        } else if matches!(self.phase, Phase::Unanswered) {
            self.phase = Phase::Answered(now);
        }
    }

    /// Returns whether lost claims may not have been written again yet.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Ended => false,
            Phase::Unanswered => true,
            Phase::Answered(since) => now < since + Self::TIME,
        }
    }
}
