//! In-memory fakes of the external interfaces, for tests in one process with a
//! paused clock.
//!
//! [`Store`] replaces the platform, [`Port`] the endpoints, and [`Link`] the
//! connections from entries to sidecars. [`Process`] pauses or stops all calls
//! that one simulated process makes through these interfaces, and [`Sidecar`]
//! assembles a sidecar from them.

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
