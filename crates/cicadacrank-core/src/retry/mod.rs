//! Retries within a budget, so that a failing stage cannot start a storm.

mod budget;

pub use self::budget::{BURST, Budget, Budgets, RETRY_PERCENT};

use std::time::Duration;

/// Returns the pause after some failures in a row: `first`, doubled with each
/// failure before, and `longest` at most.
#[must_use]
pub fn backoff(min: Duration, max: Duration, failures: u32) -> Duration {
    (min * 2_u32.saturating_pow(failures.min(8))).min(max)
}
