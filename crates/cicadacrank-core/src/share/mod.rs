//! One process's share of limits that hold for all processes together.
//!
//! No process counts for the others. Each is granted an equal part by a number
//! of processes that is never below the number that run; what they do together
//! thus stays within the limit, also while they cannot hear of each other. A
//! process that has just started has used up its share already, since it cannot
//! know what it did before it ended.

mod budget;
mod throttle;

pub use self::{budget::Budget, throttle::Throttle};
