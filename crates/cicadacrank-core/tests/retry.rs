//! Tests of the retry budgets.

use cicadacrank_core::{
    admission::NameHash,
    retry::{BURST, Budget, Budgets, RETRY_PERCENT},
};

/// Sends requests of up to four attempts each and returns the total number of
/// attempts. Every `success`th attempt succeeds; none does if `success` is
/// zero.
fn attempts(requests: u32, success: u32) -> u32 {
    let mut budget = Budget::new();
    let mut attempts = 0;
    for _ in 0..requests {
        for _ in 0..4 {
            attempts += 1;
            if success > 0 && attempts % success == 0 {
                budget.record_success();
                break;
            }
            if !budget.try_spend() {
                break;
            }
        }
    }
    attempts
}

#[test]
fn try_spend_bounds_the_attempts() {
    for success in [0, 1, 2, 3, 10] {
        for requests in [10, 1_000, 10_000] {
            let bound = requests * (100 + RETRY_PERCENT) / 100 + BURST;
            let attempts = attempts(requests, success);
            assert!(attempts <= bound, "{attempts} attempts, bound {bound}");
        }
    }
}

#[test]
fn budgets_are_separate_per_pool() {
    let mut budgets = Budgets::default();
    while budgets.for_pool(NameHash::new("failing")).try_spend() {}
    assert!(budgets.for_pool(NameHash::new("other")).try_spend());
    assert!(!budgets.for_pool(NameHash::new("failing")).try_spend());
}
