//! The subcommands of the client.

mod apply;
mod args;
mod bring_back;
mod check;
mod cost;
mod diff;
mod explain;
mod history;
mod send;
mod show;
mod status;
mod take_out;

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
    /// Puts a rule file in force (writes)
    #[bpaf(command, footer(apply::EXAMPLES))]
    Apply(#[bpaf(external(apply::apply))] apply::Apply),
    /// Brings a data centre or an endpoint back into service (writes)
    #[bpaf(command, footer(bring_back::EXAMPLES))]
    BringBack(#[bpaf(external(bring_back::bring_back))] bring_back::BringBack),
    /// Checks rule files
    #[bpaf(command, footer(check::EXAMPLES))]
    Check(#[bpaf(external(check::check))] check::Check),
    /// Prints busy and idle time by stage, owner and team, with prices
    #[bpaf(command, footer(cost::EXAMPLES))]
    Cost(#[bpaf(external(cost::cost))] cost::Cost),
    /// Compares a rule file with the rules in force
    #[bpaf(command, footer(diff::EXAMPLES))]
    Diff(#[bpaf(external(diff::diff))] diff::Diff),
    /// Says why a request of a team would go where
    #[bpaf(command, footer(explain::EXAMPLES))]
    Explain(#[bpaf(external(explain::explain))] explain::Explain),
    /// Prints who changed the rules, when and why
    #[bpaf(command, footer(history::EXAMPLES))]
    History(#[bpaf(external(history::history))] history::History),
    /// Sends a request to an entry and prints the answer
    #[bpaf(command, footer(send::EXAMPLES))]
    Send(#[bpaf(external(send::send))] send::Send),
    /// Prints the rules in force
    #[bpaf(command, footer(show::EXAMPLES))]
    Show(#[bpaf(external(show::show))] show::Show),
    /// Shows what each instance has in force
    #[bpaf(command, footer(status::EXAMPLES))]
    Status(#[bpaf(external(status::status))] status::Status),
    /// Takes a data centre or an endpoint out of service (writes)
    #[bpaf(command, footer(take_out::EXAMPLES))]
    TakeOut(#[bpaf(external(take_out::take_out))] take_out::TakeOut),
}

impl Command {
    /// Returns whether the result is for programs.
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

    /// Runs the command.
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
