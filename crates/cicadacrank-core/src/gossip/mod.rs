//! Dissemination of configuration to every process.
//!
//! [`Node`] is the state machine of one process: it selects peers to sync with,
//! decides when to read the platform, and merges what it receives. [`History`]
//! keeps the newest text and the line differences that led to it, so that a
//! peer a few generations behind receives only those instead of the full text.

mod delta;
mod history;
mod node;

pub use self::{
    delta::{Edit, Mismatch, apply, difference},
    history::{Document, History, Step},
    node::{Action, Connectivity, Digest, Node, Payload, Update},
};
