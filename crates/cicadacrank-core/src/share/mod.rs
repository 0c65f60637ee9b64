//! Shares of one process in limits that apply to all processes together.
//!
//! The processes don't coordinate their counts. Each gets an equal share,
//! computed from a process count that is never below the number of running
//! processes. The total therefore stays within the limit even while the
//! processes cannot communicate. A process that has just started treats its
//! share as used up, since it doesn't know what its previous run sent.

mod budget;
mod throttle;

pub use self::{
    budget::Budget,
    throttle::{Throttle, Window},
};
