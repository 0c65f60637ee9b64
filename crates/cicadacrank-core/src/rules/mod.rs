//! Parses, checks, prints and edits rule files, which hold one rule per line.
//!
//! The form of a line is `keyword name key=value ... # Person Name: reason`. The
//! comment is a required part of the rule: it says who asked for the rule and
//! why. Blank lines and lines that start with `#` are ignored. Rules may be in
//! any order, except for the stages of a pipeline, which run in file order.
//!
//! [`parse`] resolves a text into arenas, as [`Definitions`], or returns [`Faults`]
//! with every fault of the file, its position and a help text.

mod check;
pub mod edit;
mod fault;
mod keyword;
mod model;
mod parse;
mod print;
mod read;
mod relations;
mod scan;
mod suggestion;
mod value;

pub use self::{
    fault::{Cause, Fault, Faults},
    keyword::Keyword,
    model::{
        DataCentre, DataCentreKey, Definitions, Endpoint, EndpointKey, Grant, Owner, OwnerKey,
        Pipeline, PipelineKey, Pool, PoolKey, Reservation, Service, Stage, Team, TeamKey, Window,
    },
    parse::{TEXT_LIMIT_BYTES, parse, parse_bytes},
    print::print,
    value::ValueError,
};
