//! The entry: takes requests from callers and walks their pipelines.
//!
//! [`Service::run`] takes one request through its stages and retries attempts
//! where that is safe; [`http`] serves it to callers.

mod attempt;
pub mod http;
mod service;
mod walk;

pub use self::service::{Parts, Reply, Request, Service};
