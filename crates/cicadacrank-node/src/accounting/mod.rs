//! Counts what the slots behind a sidecar cost, and keeps it in the platform.
//!
//! [`Accounts`] holds one meter for each endpoint. [`follow`] keeps their rates
//! at the rules in force. [`Writer`] writes one object for each sidecar, with
//! one call each time unless another process of the instance wrote in between.

mod accounts;
mod writer;

pub use self::{
    accounts::{Accounts, Entry, follow},
    writer::Writer,
};
