//! Admission control at the sidecar.
//!
//! All requests to an endpoint pass through its sidecar, so limits are enforced
//! in one place and entries need not coordinate. [`Warmup`] sets the
//! concurrency limit of the endpoint, [`Shares`] orders the teams, and [`Gate`]
//! combines both with the queue and the reservations.

mod gate;
mod monitor;
mod name_hash;
mod queue;
mod share;
mod warmup;

pub use self::{
    gate::{Admission, Completion, Decision, Gate, Policy, Reservation},
    monitor::{Health, Monitor},
    name_hash::NameHash,
    queue::{Demand, Ticket},
    share::Shares,
    warmup::{ColdReason, Epoch, Limits, Phase, Warmup},
};
