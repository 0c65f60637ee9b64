//! Attempts that have arrived before.

use crate::id;
use std::collections::VecDeque;

/// Attempts remembered.
pub const ATTEMPTS: usize = 4096;

/// Remembers the last attempts that arrived at a process.
///
/// A job that arrives a second time must not be answered "not run" while its
/// first copy runs, so the second is turned away before anything else is
/// decided about it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// In order of arrival.
    arrived: VecDeque<id::Attempt>,
    /// Sorted.
    known: Vec<id::Attempt>,
}

impl Seen {
    /// Creates an empty memory.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            arrived: VecDeque::new(),
            known: Vec::new(),
        }
    }

    /// Notes an attempt; returns whether it is new.
    pub fn insert(&mut self, attempt: id::Attempt) -> bool {
        let Err(index) = self.known.binary_search(&attempt) else {
            return false;
        };
        self.known.insert(index, attempt);
        self.arrived.push_back(attempt);
        if self.arrived.len() > ATTEMPTS
            && let Some(oldest) = self.arrived.pop_front()
            && let Ok(index) = self.known.binary_search(&oldest)
        {
            self.known.remove(index);
        }
        true
    }
}
