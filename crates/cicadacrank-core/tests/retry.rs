//! Tests of the retry budget.

use cicadacrank_core::{
    admission::Tag,
    retry::{BURST, Budget, Budgets, RETRIES_PER_CENT},
};

/// Sends requests of up to four attempts each; every `success`th attempt ends
/// well, none if it is zero. Returns attempts.
fn attempts(requests: u32, success: u32) -> u32 {
    let mut budget = Budget::new();
    let mut attempts = 0;
    for _ in 0..requests {
        for _ in 0..4 {
            attempts += 1;
            if success > 0 && attempts % success == 0 {
                budget.succeed();
                break;
            }
            if !budget.take() {
                break;
            }
        }
    }
    attempts
}

#[test]
fn take_bounds_the_attempts() {
    for success in [0, 1, 2, 3, 10] {
        for requests in [10, 1_000, 10_000] {
            let bound = requests * (100 + RETRIES_PER_CENT) / 100 + BURST;
            let attempts = attempts(requests, success);
            assert!(attempts <= bound, "{attempts} attempts, bound {bound}");
        }
    }
}

#[test]
fn budgets_are_apart() {
    let mut budgets = Budgets::default();
    while budgets.of(Tag::new("failing")).take() {}
    assert!(budgets.of(Tag::new("other")).take());
    assert!(!budgets.of(Tag::new("failing")).take());
}
