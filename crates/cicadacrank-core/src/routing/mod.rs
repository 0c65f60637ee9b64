//! Routing at the entry: which endpoint of a pool gets an attempt.
//!
//! A [`Table`] holds what the entry knows: its own attempts in flight, the load
//! that sidecars report with each frame, and which of them stay silent.

mod row;
mod table;

pub use self::{
    row::{FIRST_SHUN, LONGEST_SHUN, QUIET, REPORT_LIFE, Report, UNHEARD},
    table::{Choice, Need, Table},
};
