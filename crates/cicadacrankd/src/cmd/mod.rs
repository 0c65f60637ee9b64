//! Command-line interface of the daemon.

mod check;
mod gateway;
mod serve;

use bpaf::{OptionParser, Parser as _, construct, long, positional};
use miette::Result;
use std::path::PathBuf;

/// Parsed command line.
#[derive(Clone, Debug)]
pub enum Arguments {
    /// Run an entry or a sidecar from a settings file.
    Serve {
        /// Whether to only validate the settings.
        check: bool,
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Run a gateway with the settings file that the platform writes.
    Gateway(gateway::Arguments),
}

/// Parses the arguments of this process. Exits the process after `--help` or if the
/// arguments are invalid.
#[must_use]
pub fn arguments() -> Arguments {
    parser().run()
}

/// Runs the command that the arguments select.
///
/// # Errors
///
/// Returns a report if the command fails.
pub fn execute(arguments: Arguments) -> Result<()> {
    match arguments {
        Arguments::Serve {
            check: true,
            settings,
        } => check::execute(&settings),
        Arguments::Serve { settings, .. } => serve::execute(&settings),
        Arguments::Gateway(arguments) => gateway::execute(&arguments),
    }
}

fn parser() -> OptionParser<Arguments> {
    let check = long("check").help("Check the settings and exit").switch();
    let settings = positional("SETTINGS").help("Settings file in JSON with comments");
    let serve = construct!(Arguments::Serve { check, settings });
    let gateway = gateway::parser().map(Arguments::Gateway);
    construct!([gateway, serve])
        .to_options()
        .descr("Runs one process of cicadacrank: an entry, a sidecar or a gateway")
        .version(env!("CARGO_PKG_VERSION"))
        .footer("Examples: cicadacrankd --check entry.jsonc; cicadacrankd gateway")
}
