//! Routing at the entry: which endpoint of a pool gets an attempt.

mod table;

pub use self::table::{Report, Table};
