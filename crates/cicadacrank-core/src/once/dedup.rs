//! Attempts that have arrived before.

use crate::id;
use std::collections::VecDeque;

/// Attempts remembered.
pub const ATTEMPTS_LIMIT: usize = 4096;

/// Remembers the last attempts that arrived at a process.
///
/// A job that arrives a second time must not be answered "not run" while its
/// first copy runs, so the second is turned away before anything else is
/// decided about it.
#[derive(Clone, Debug, Default)]
pub struct Deduplicator {
    /// In order of arrival.
    by_arrival: VecDeque<id::Attempt>,
    /// Sorted.
    sorted: Vec<id::Attempt>,
}

impl Deduplicator {
    /// Creates an empty memory.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            by_arrival: VecDeque::new(),
            sorted: Vec::new(),
        }
    }

    /// Notes an attempt; returns whether it is new.
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
