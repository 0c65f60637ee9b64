//! The command line: settings to be run or only checked.

mod check;
mod gateway;
mod serve;

use bpaf::{OptionParser, Parser as _, construct, long, positional};
use miette::Result;
use std::path::PathBuf;

/// What the daemon is to do.
#[derive(Clone, Debug)]
pub enum Arguments {
    /// Run an entry or a sidecar from a settings file.
    Serve {
        /// Only check the settings.
        check: bool,
        /// The settings file.
        settings: PathBuf,
    },
    /// Run a gateway from the settings that the platform wrote.
    Gateway(gateway::Arguments),
}

/// Reads the arguments of this process; ends it after `--help` or a fault.
#[must_use]
pub fn arguments() -> Arguments {
    parser().run()
}

/// Does what the arguments say.
///
/// # Errors
///
/// Returns a report of what failed.
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
    let check = long("check").help("Check the settings and end").switch();
    let settings = positional("SETTINGS").help("File of settings: JSON with comments");
    let serve = construct!(Arguments::Serve { check, settings });
    let gateway = gateway::parser().map(Arguments::Gateway);
    construct!([gateway, serve])
        .to_options()
        .descr("Runs one process of cicadacrank: an entry, a sidecar or a gateway")
        .version(env!("CARGO_PKG_VERSION"))
        .footer("Examples: cicadacrankd --check entry.jsonc; cicadacrankd gateway")
}
