//! Routing at the entry: selects the endpoint of a pool for each attempt.
//!
//! A [`Table`] holds the state of the entry: its own attempts in flight, the
//! load that sidecars report in their frames, and which sidecars do not
//! respond.

mod row;
mod table;

pub use self::{
    row::{MAX_BACKOFF, MAX_UNANSWERED, MIN_BACKOFF, REPORT_TTL, Report, SILENCE_TIMEOUT},
    table::{Choice, Query, Table},
};
