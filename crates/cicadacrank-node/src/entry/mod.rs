//! The entry accepts requests from callers and runs their pipelines.
//!
//! [`Service::run`] runs the stages of one request and retries failed attempts
//! where that is safe. [`http`] exposes it to callers.

mod attempt;
mod execution;
pub mod http;
mod service;

pub use self::service::{Parts, Reply, Request, Service};
