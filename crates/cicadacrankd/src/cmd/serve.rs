//! Runs the entry or sidecar that the settings describe.

use cicadacrank_node::{
    daemon, logging,
    settings::{Role, Settings},
};
use miette::{IntoDiagnostic as _, Result};
use std::path::Path;
use tokio::runtime::Builder;

/// Number of worker threads of a sidecar, which shares its instance with its
/// endpoints.
const SIDECAR_THREADS: usize = 2;

/// Runs the daemon until it is signalled to stop.
///
/// # Errors
///
/// Returns a report if the settings are invalid or an address cannot be bound.
pub fn execute(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    logging::init(&settings.log)?;
    let mut builder = Builder::new_multi_thread();
    builder.enable_all();
    if settings.role == Role::Sidecar {
        builder.worker_threads(SIDECAR_THREADS);
    }
    let runtime = builder.build().into_diagnostic()?;
    runtime.block_on(daemon::run(settings))
}
