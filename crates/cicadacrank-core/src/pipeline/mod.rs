//! Pipelines: how the output of one stage becomes the input of the next.
//!
//! A [`Context`] accumulates the outputs of the stages. Each stage reads what
//! its service needs and adds its output, so a pipeline may skip or repeat
//! kinds of service freely.

mod context;

pub use self::context::Context;
