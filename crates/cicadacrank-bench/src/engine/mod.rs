//! Simulated model engines and plain services.
//!
//! A [`Server`] implements the protocols of endpoints and keeps a [`Run`] for
//! each request, so that a checker independent of the code under test can
//! compare what ran with what callers were told. Its [`Capacity`] controls how it
//! simulates continuous batching, cold starts, a cache of prompt prefixes and
//! delayed load reports. Each [`Fault`] can be injected.

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
