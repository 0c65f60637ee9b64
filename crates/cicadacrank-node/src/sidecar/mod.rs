//! The sidecar: the only door to its endpoints.
//!
//! [`Service::run`] takes one job through its steps: check, admit, claim, send,
//! stream, record. [`grpc`] serves it to entries.

mod claims;
mod door;
mod duty;
pub mod grpc;
mod service;

pub use self::{
    claims::{Acquired, Claims, Held},
    service::{Parts, Service},
};
