//! Counts busy and idle time of slots, and who pays for it.
//!
//! A [`Meter`] belongs to one endpoint in one process. Its lines only grow, so
//! what a process wrote last stands for all it wrote before. A [`Statement`]
//! joins the lines of all processes that an instance has run, each known by its
//! incarnation, and counts each once however often it is written.

mod line;
mod meter;
mod statement;

pub use self::{
    line::{Line, Share},
    meter::{Charge, Meter, Rate},
    statement::{Part, Statement},
};
