//! Tokens that successes earn and retries spend.

use crate::admission::Tag;

/// Retries that a hundred successes earn.
pub const RETRIES_PER_CENT: u32 = 20;

/// Most retries that are saved up.
pub const BURST: u32 = 64;

/// Hundredths of a token in one retry.
const RETRY: u32 = 100;

/// The retries that one pool may still have.
///
/// Over any stretch, retries are at most [`BURST`] and
/// [`RETRIES_PER_CENT`] per cent of the successes in it: when all attempts
/// fail, only what was saved up is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    hundredths: u32,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            hundredths: BURST * RETRY,
        }
    }

    /// Notes an attempt that succeeded.
    pub fn succeed(&mut self) {
        self.hundredths = (self.hundredths + RETRIES_PER_CENT).min(BURST * RETRY);
    }

    /// Takes one retry; returns whether there was one left.
    pub const fn take(&mut self) -> bool {
        match self.hundredths.checked_sub(RETRY) {
            Some(rest) => {
                self.hundredths = rest;
                true
            }
            None => false,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// The budgets of all pools, sorted by key: a pool that fails spends no retry
/// of another.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    rows: Vec<(Tag, Budget)>,
}

impl Budgets {
    /// Returns the budget of a pool, full if the pool is new.
    pub fn of(&mut self, pool: Tag) -> &mut Budget {
        let found = self.rows.binary_search_by_key(&pool, |row| row.0);
        let index = found.unwrap_or_else(|index| {
            self.rows.insert(index, (pool, Budget::new()));
            index
        });
        &mut self.rows[index].1
    }
}
