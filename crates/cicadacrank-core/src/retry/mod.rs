//! Retries within a budget, so that a failing stage cannot start a storm.

mod budget;

pub use self::budget::{BURST, Budget, Budgets, RETRIES_PER_CENT};
