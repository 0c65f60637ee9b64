//! The sidecar: the only door to its endpoints.
//!
//! [`Service::run`] takes one job through its steps: check, admit, claim, send,
//! stream, record. [`grpc`] serves it to entries.

mod accounts;
mod claims;
mod door;
mod duty;
pub mod grpc;
pub mod pulse;
mod service;
mod watch;

pub use self::{
    accounts::Accounts,
    claims::{Acquired, Claims, Held},
    service::{Parts, Service},
};
