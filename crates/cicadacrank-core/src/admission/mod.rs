//! Admission at the sidecar: what an endpoint takes in, and for whom.
//!
//! The sidecar is the only door to its endpoints, so a limit is decided in one
//! place and needs no agreement among entries. [`Warmup`] says how much the
//! endpoint bears, [`Shares`] whose decision it is, and [`Gate`] puts both together
//! with the queue and the reservations.

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
