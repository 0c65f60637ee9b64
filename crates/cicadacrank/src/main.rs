//! The operators' client of cicadacrank.
//!
//! Each subcommand is a module of [`cmd`] with its arguments and one `execute`.
//! Commands only read, unless their help says that they write.

mod cmd;
mod error;
mod http;
mod output;
mod ruleset;
mod time;
mod trail;

use crate::{cmd::Command, output::Output};
use bpaf::{Args, ParseFailure};
use cicadacrank_core::error::Kind;
use std::{io, process::ExitCode};

/// Width of help texts, in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cmd::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(&failure),
    };
    if let Err(error) = init_logging() {
        eprintln!("error: setting up the log: {error}");
        return ExitCode::from(Kind::Internal.exit_code());
    }
    run(command)
}

/// Prints a help text, a completion or what is wrong with the arguments.
fn print_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(Kind::BadRequest.exit_code()),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

fn init_logging() -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .format(|out, message, record| {
            let level = record.level().as_str().to_lowercase();
            out.finish(format_args!("{level}: {message}"));
        })
        .chain(io::stderr())
        .apply()
}

fn run(command: Command) -> ExitCode {
    let output = Output::new(command.is_json());
    match command.execute(output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.error(&error);
            ExitCode::from(error.kind().exit_code())
        }
    }
}
