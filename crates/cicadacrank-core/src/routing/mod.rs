//! Routing at the entry: which endpoint of a pool gets an attempt.
//!
//! A [`Table`] holds what the entry knows: its own attempts in flight, the load
//! that sidecars report with each frame, and which of them stay silent.

mod row;
mod table;

pub use self::{
    row::{MAX_BACKOFF, MAX_UNANSWERED, MIN_BACKOFF, REPORT_TTL, Report, SILENCE_TIMEOUT},
    table::{Choice, Query, Table},
};
