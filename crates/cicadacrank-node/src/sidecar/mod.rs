//! The sidecar: the only door to its endpoints.
//!
//! [`Service::run`] takes one job through its steps: check, admit, claim, send,
//! stream, record. [`grpc`] serves it to entries.

mod accounts;
mod claims;
pub mod grpc;
pub mod heartbeat;
mod job;
mod limiter;
mod service;
mod updates;

pub use self::{
    accounts::Accounts,
    claims::{Acquisition, Claims, Handle},
    service::{Parts, Service},
};
