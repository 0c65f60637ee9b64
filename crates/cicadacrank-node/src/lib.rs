//! The two roles of the daemon and the edges between them and the world.
//!
//! A request takes these steps:
//!
//! 1. [`entry`] takes it from the caller over HTTP and runs its pipeline.
//! 2. [`link`] carries one attempt at one stage to a sidecar.
//! 3. [`sidecar`] admits the attempt, claims it if it may not be repeated, and
//!    drives its endpoint.
//! 4. [`endpoint`] speaks the protocol of engines and plain services.
//!
//! On a platform that registers endpoints itself, the [`gateway`] role takes the
//! place of both: it has each stage made and speaks to endpoints directly.
//!
//! [`platform`] is the object API that holds all that must last, and
//! [`configuration`] keeps the newest rules in force, which [`peer`] fetches from
//! other processes and, at a few of them, from the platform. [`daemon`] puts a process
//! together from its [`settings`].
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
pub mod link;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod outbound;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod settings;
pub mod sidecar;
