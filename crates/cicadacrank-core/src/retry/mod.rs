//! Retry budgets, which keep a failing stage from causing a retry storm, and
//! the backoff between retries.

mod budget;

pub use self::budget::{BURST, Budget, Budgets, RETRY_PERCENT};

use std::time::Duration;

/// Returns the exponential backoff for a number of earlier consecutive
/// failures: `min`, doubled for each failure up to the eighth, but at most
/// `max`.
#[must_use]
pub fn backoff(min: Duration, max: Duration, failures: u32) -> Duration {
    (min * 2_u32.saturating_pow(failures.min(8))).min(max)
}
