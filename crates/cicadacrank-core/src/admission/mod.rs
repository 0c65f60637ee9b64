//! Admission at the sidecar: what an endpoint takes in, and for whom.
//!
//! The sidecar is the only door to its endpoints, so a limit is decided in one
//! place and needs no agreement among entries.

mod gate;

pub use self::gate::{Gate, Limits, Phase};
