//! The roles of the daemon and their interfaces to other systems.
//!
//! A request is processed in these steps:
//!
//! 1. [`entry`] receives it from the caller over HTTP and runs its pipeline.
//! 2. [`link`] sends an attempt at one stage to a sidecar.
//! 3. [`sidecar`] admits the attempt, claims it if it must not run twice, and calls
//!    its endpoint.
//! 4. [`endpoint`] implements the protocols of engines and plain services.
//!
//! On a platform that registers endpoints itself, the [`gateway`] role replaces
//! both entry and sidecar: it runs the stages and calls endpoints directly.
//!
//! [`platform`] contains the client of the object API, which stores all persistent
//! state. [`configuration`] holds the newest rules in force. [`peer`] fetches them
//! from other processes and, in a few processes, from the platform. [`daemon`]
//! assembles a process from its [`settings`].
//!
//! ```no_run
//! # async fn run() -> miette::Result<()> {
//! use cicadacrank_node::{daemon, settings::Settings};
//!
//! let settings = Settings::load("entry.jsonc".as_ref())?;
//! daemon::run(settings).await
//! # }
//! ```

pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod endpoint;
pub mod entry;
pub mod gateway;
mod inbound;
pub mod link;
pub mod logging;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod operator;
pub mod outbound;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod settings;
pub mod sidecar;
mod step;
mod sync;
