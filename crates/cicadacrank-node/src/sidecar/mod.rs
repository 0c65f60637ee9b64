//! The sidecar, through which all requests to its endpoints pass.
//!
//! [`Service::run`] processes one job: it checks, admits and claims the job,
//! sends it to the endpoint, streams the answer and records the outcome.
//! [`grpc`] exposes the service to entries.

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
