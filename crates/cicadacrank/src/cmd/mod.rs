//! The subcommands of the client.

mod args;
mod check;

use crate::{error::Error, output::Output};
use bpaf::Bpaf;

/// Exit codes for the help text.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 internal error, 2 bad arguments, \
    3 rules not valid, 4 forbidden, 5 refused for now, 6 platform or endpoint failed, \
    7 deadline passed, 8 outcome not known, 10 another operator came first.";

/// Operates cicadacrank: checks and applies rules, and shows what it does.
///
/// Commands only read, unless their help says that they write. Tables are for
/// people; add --json for programs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage, footer(EXIT_CODES))]
pub enum Command {
    /// Checks rule files
    #[bpaf(command, footer(check::EXAMPLES))]
    Check(#[bpaf(external(check::check))] check::Check),
}

impl Command {
    /// Returns whether the result is for programs.
    pub const fn is_json(&self) -> bool {
        match self {
            Self::Check(check) => check.json,
        }
    }

    /// Runs the command.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        match self {
            Self::Check(check) => check.execute(output),
        }
    }
}
