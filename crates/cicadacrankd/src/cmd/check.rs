//! Checks the settings.

use cicadacrank_node::settings::Settings;
use miette::Result;
use std::path::Path;

/// Checks the settings in a file and says so.
///
/// # Errors
///
/// Returns a report with the place of the fault.
pub fn execute(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    println!(
        "{}: valid settings of {}",
        path.display(),
        settings.instance
    );
    Ok(())
}
