//! Stand-ins for model engines and plain services.
//!
//! A [`Server`] answers the protocols that endpoints speak and keeps a
//! [`Run`] for each piece of work, so that a checker apart from the code under
//! test can compare what ran with what callers were told. It batches
//! continuously, starts cold, caches prompt prefixes and reports its load with
//! a lag, as its [`Capacity`] says, and has each [`Fault`] it is told to have.

mod answer;
mod capacity;
mod model;
mod profile;
mod server;

pub use self::{
    answer::{mark_of, token},
    capacity::{Capacity, Fault},
    model::Load,
    profile::Profile,
    server::{Run, Server},
};
