//! The subcommands of the client.

mod apply;
mod args;
mod bring_back;
mod check;
mod cost;
mod diff;
mod explain;
mod history;
mod platform_config;
mod send;
mod show;
mod status;
mod take_out;

use crate::{error::Error, output::Output};
use bpaf::Bpaf;

/// Footer of the help text that lists the exit codes.
const EXIT_CODES: &str = "Exit codes: 0 success, 1 internal error, 2 invalid arguments, \
    3 invalid rules, 4 forbidden, 5 refused for now, 6 platform or endpoint failure, \
    7 deadline exceeded, 8 outcome unknown, 10 conflict with another operator's change.";

/// Client for operators of cicadacrank: checks and applies rules, and shows the
/// state of the system.
///
/// Commands are read-only unless their help says that they write. Results are
/// printed as text; use --json for machine-readable output.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage, footer(EXIT_CODES))]
pub enum Command {
    /// Puts a rule file in force (writes)
    #[bpaf(command, footer(apply::EXAMPLES))]
    Apply(#[bpaf(external(apply::apply))] apply::Apply),
    /// Brings a data centre or an endpoint back into service (writes)
    #[bpaf(command, footer(bring_back::EXAMPLES))]
    BringBack(#[bpaf(external(bring_back::bring_back))] bring_back::BringBack),
    /// Checks rule files, or a configuration of the platform
    #[bpaf(command, footer(check::EXAMPLES))]
    Check(#[bpaf(external(check::check))] check::Check),
    /// Prints busy and idle slot time by stage, owner and team, with its cost
    #[bpaf(command, footer(cost::EXAMPLES))]
    Cost(#[bpaf(external(cost::cost))] cost::Cost),
    /// Compares a rule file with the rules in force
    #[bpaf(command, footer(diff::EXAMPLES))]
    Diff(#[bpaf(external(diff::diff))] diff::Diff),
    /// Explains which endpoints may serve a team's request, and why
    #[bpaf(command, footer(explain::EXAMPLES))]
    Explain(#[bpaf(external(explain::explain))] explain::Explain),
    /// Prints who changed the rules, when and why
    #[bpaf(command, footer(history::EXAMPLES))]
    History(#[bpaf(external(history::history))] history::History),
    /// Sends a request to an entry and prints the response
    #[bpaf(command, footer(send::EXAMPLES))]
    Send(#[bpaf(external(send::send))] send::Send),
    /// Prints the rules in force
    #[bpaf(command, footer(show::EXAMPLES))]
    Show(#[bpaf(external(show::show))] show::Show),
    /// Shows the state and the rules generation of each instance
    #[bpaf(command, footer(status::EXAMPLES))]
    Status(#[bpaf(external(status::status))] status::Status),
    /// Takes a data centre or an endpoint out of service (writes)
    #[bpaf(command, footer(take_out::EXAMPLES))]
    TakeOut(#[bpaf(external(take_out::take_out))] take_out::TakeOut),
}

impl Command {
    /// Returns whether the result is printed as JSON.
    pub const fn is_json(&self) -> bool {
        match self {
            Self::Apply(command) => command.json,
            Self::BringBack(command) => command.json,
            Self::Check(command) => command.json,
            Self::Cost(command) => command.json,
            Self::Diff(command) => command.json,
            Self::Explain(command) => command.json,
            Self::History(command) => command.json,
            Self::Send(command) => command.json,
            Self::Show(command) => command.json,
            Self::Status(command) => command.json,
            Self::TakeOut(command) => command.json,
        }
    }

    /// Runs the command and prints its result to `output`.
    pub fn execute(self, output: Output) -> Result<(), Error> {
        match self {
            Self::Apply(command) => command.execute(output),
            Self::BringBack(command) => command.execute(output),
            Self::Check(command) => command.execute(output),
            Self::Cost(command) => command.execute(output),
            Self::Diff(command) => command.execute(output),
            Self::Explain(command) => command.execute(output),
            Self::History(command) => command.execute(output),
            Self::Send(command) => command.execute(output),
            Self::Show(command) => command.execute(output),
            Self::Status(command) => command.execute(output),
            Self::TakeOut(command) => command.execute(output),
        }
    }
}
