//! The command line: one settings file, to be run or only checked.

mod check;
mod serve;

use bpaf::{OptionParser, Parser as _, construct, long, positional};
use miette::Result;
use std::path::PathBuf;

/// Arguments of the daemon.
#[derive(Clone, Debug)]
pub struct Arguments {
    check: bool,
    settings: PathBuf,
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
    if arguments.check {
        check::execute(&arguments.settings)
    } else {
        serve::execute(&arguments.settings)
    }
}

fn parser() -> OptionParser<Arguments> {
    let check = long("check").help("Check the settings and end").switch();
    let settings = positional("SETTINGS").help("File of settings: JSON with comments");
    construct!(Arguments { check, settings })
        .to_options()
        .descr("Runs one process of cicadacrank: an entry or a sidecar")
        .version(env!("CARGO_PKG_VERSION"))
        .footer("Example: cicadacrankd --check entry.jsonc")
}
