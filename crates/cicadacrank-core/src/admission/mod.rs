//! Admission at the sidecar: what an endpoint takes in, and for whom.
//!
//! The sidecar is the only door to its endpoints, so a limit is decided in one
//! place and needs no agreement among entries. [`Warmth`] says how much the
//! endpoint bears, [`Shares`] whose turn it is, and [`Gate`] puts both together
//! with the queue and the reservations.

mod gate;
mod queue;
mod share;
mod tag;
mod warmth;
mod watch;

pub use self::{
    gate::{Ask, Ended, Gate, Reserved, Terms, Turn},
    queue::{Demand, Ticket},
    share::Shares,
    tag::Tag,
    warmth::{Epoch, Limits, Phase, Sign, Warmth},
    watch::{Health, Watch},
};
