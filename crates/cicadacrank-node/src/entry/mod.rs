//! The entry: takes requests from callers and walks their pipelines.
//!
//! [`Service::run`] takes one request through its stages and retries attempts
//! where that is safe; [`http`] serves it to callers.

mod attempt;
mod execution;
pub mod http;
mod service;

pub use self::service::{Parts, Reply, Request, Service};
