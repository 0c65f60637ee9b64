//! Retry budget: a token bucket that successes fill and retries drain.

use crate::admission::NameHash;

/// Number of retries earned by a hundred successes.
pub const RETRY_PERCENT: u32 = 20;

/// Maximum number of retries that a budget can hold.
pub const BURST: u32 = 64;

/// Cost of one retry in hundredths of a token.
const RETRY_COST: u32 = 100;

/// Retry budget of one pool.
///
/// In any period, the number of retries is at most [`BURST`] plus
/// [`RETRY_PERCENT`] per cent of the successes in that period. If all attempts
/// fail, only the saved retries remain.
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

    /// Records a successful attempt, which earns part of a retry.
    pub fn record_success(&mut self) {
        self.hundredths = (self.hundredths + RETRY_PERCENT).min(BURST * RETRY_COST);
    }

    /// Spends one retry; returns `false` if the budget does not cover it.
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

/// Retry budgets of all pools, sorted by pool.
///
/// Each pool has its own budget, so a failing pool cannot use up the retries of
/// another.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    rows: Vec<(NameHash, Budget)>,
}

impl Budgets {
    /// Returns the budget of a pool; a new pool starts with a full budget.
    pub fn for_pool(&mut self, pool: NameHash) -> &mut Budget {
        let found = self.rows.binary_search_by_key(&pool, |row| row.0);
        let index = found.unwrap_or_else(|index| {
            self.rows.insert(index, (pool, Budget::new()));
            index
        });
        &mut self.rows[index].1
    }
}
