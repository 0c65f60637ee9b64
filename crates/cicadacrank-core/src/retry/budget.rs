//! Tokens that successes earn and retries spend.

use crate::admission::NameHash;

/// Retries that a hundred successes earn.
pub const RETRY_PERCENT: u32 = 20;

/// Most retries that are saved up.
pub const BURST: u32 = 64;

/// Hundredths of a token in one retry.
const RETRY_COST: u32 = 100;

/// The retries that one pool may still have.
///
/// Over any stretch, retries are at most [`BURST`] and
/// [`RETRY_PERCENT`] per cent of the successes in it: when all attempts
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
            hundredths: BURST * RETRY_COST,
        }
    }

    /// Notes an attempt that succeeded.
    pub fn record_success(&mut self) {
        self.hundredths = (self.hundredths + RETRY_PERCENT).min(BURST * RETRY_COST);
    }

    /// Takes one retry; returns whether there was one left.
    pub const fn try_spend(&mut self) -> bool {
        match self.hundredths.checked_sub(RETRY_COST) {
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
    rows: Vec<(NameHash, Budget)>,
}

impl Budgets {
    /// Returns the budget of a pool, full if the pool is new.
    pub fn for_pool(&mut self, pool: NameHash) -> &mut Budget {
        let found = self.rows.binary_search_by_key(&pool, |row| row.0);
        let index = found.unwrap_or_else(|index| {
            self.rows.insert(index, (pool, Budget::new()));
            index
        });
        &mut self.rows[index].1
    }
}
