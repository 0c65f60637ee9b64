//! Validates settings without running the daemon.

use cicadacrank_node::settings::Settings;
use miette::Result;
use std::path::Path;

/// Validates the settings in a file and prints a confirmation.
///
/// # Errors
///
/// Returns a report if the settings are invalid.
pub fn execute(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    println!(
        "{}: valid settings of {}",
        path.display(),
        settings.instance
    );
    Ok(())
}
