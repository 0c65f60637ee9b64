//! Detection of attempts that arrive more than once.

use crate::id;
use std::collections::VecDeque;

/// Number of attempts that a [`Deduplicator`] remembers.
pub const ATTEMPTS_LIMIT: usize = 4096;

/// Remembers the most recent attempts that arrived at a process.
///
/// A second copy of a job must not be answered "not run" while the first copy
/// runs, so duplicates are rejected before any other check.
#[derive(Clone, Debug, Default)]
pub struct Deduplicator {
    /// Attempts in order of arrival.
    by_arrival: VecDeque<id::Attempt>,
    /// The same attempts in sorted order.
    sorted: Vec<id::Attempt>,
}

impl Deduplicator {
    /// Creates a deduplicator that remembers no attempt.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            by_arrival: VecDeque::new(),
            sorted: Vec::new(),
        }
    }

    /// Records an attempt, and returns whether it is new.
    pub fn insert(&mut self, attempt: id::Attempt) -> bool {
        let Err(index) = self.sorted.binary_search(&attempt) else {
            return false;
        };
        self.sorted.insert(index, attempt);
        self.by_arrival.push_back(attempt);
        if self.by_arrival.len() > ATTEMPTS_LIMIT
            && let Some(oldest) = self.by_arrival.pop_front()
            && let Ok(index) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(index);
        }
        true
    }
}
