//! Pipelines: how the output of one stage becomes the input of the next.
//!
//! A [`Context`] holds what the stages so far have made. Each stage reads what
//! its service needs from it and adds what the service answers, so a pipeline
//! may skip or repeat kinds of service freely.

mod context;

pub use self::context::Context;
