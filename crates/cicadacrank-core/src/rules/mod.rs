//! The rule file: what operators state, one rule a line.
//!
//! A line reads `word name key=value ... # Person Name: reason`. The comment
//! is part of the rule: it names who asked for it. Blank lines and lines that
//! start with `#` are free. Definitions may stand in any order, but for the
//! stages of a pipeline, which run in the order of the file.
//!
//! [`parse`] turns a text into a [`Definitions`], the file resolved into arenas, or
//! into [`Faults`], every fault of the file with its span and a help text.

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
