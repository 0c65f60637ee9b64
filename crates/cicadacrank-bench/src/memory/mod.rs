//! Fakes of the edges, for tests in one process with a paused clock.
//!
//! [`Store`] is the platform without a socket, [`Port`] the endpoints, [`Link`]
//! the way from entries to sidecars. [`Process`] stops or pauses everything
//! that one process does at its edges, and [`Sidecar`] puts one together.

mod caller;
mod link;
mod port;
mod process;
mod sidecar;
mod store;

pub use self::{
    caller::{Answer, booking_job, send_job},
    link::{Disruption, Link},
    port::{Behaviour, Port, Run},
    process::Process,
    sidecar::Sidecar,
    store::Store,
};
