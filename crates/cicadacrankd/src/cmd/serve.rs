//! Runs the role that the settings name.

use cicadacrank_node::{daemon, logging, settings::Settings};
use miette::{IntoDiagnostic as _, Result};
use std::path::Path;
use tokio::runtime::Runtime;

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Returns a report if the settings are not valid or an address cannot be
/// bound.
pub fn execute(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    logging::init(&settings.log)?;
    Runtime::new()
        .into_diagnostic()?
        .block_on(daemon::run(settings))
}
