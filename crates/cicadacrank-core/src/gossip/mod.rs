//! How a configuration reaches every process.
//!
//! [`Node`] is the part of one process in it: it picks peers to sync with, says
//! when to read the platform, and joins what it hears. [`History`] keeps the
//! newest text and the line differences that led to it, so that a peer a few
//! generations behind gets those instead of the whole.

mod delta;
mod history;
mod node;

pub use self::{
    delta::{Edit, Mismatch, apply, difference},
    history::{Document, History, Step},
    node::{Action, Connectivity, Digest, Node, Payload, Update},
};
