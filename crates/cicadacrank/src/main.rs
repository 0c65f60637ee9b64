//! Command-line client for operators of cicadacrank.
//!
//! Each subcommand is a module of [`cmd`] that defines its arguments and an
//! `execute` method. Commands are read-only unless their help says that they write.

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

/// Line width of help texts, in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cmd::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(&failure),
    };
    if let Err(error) = init_logging() {
        eprintln!("error: setting up logging: {error}");
        return ExitCode::from(Kind::Internal.exit_code());
    }
    run(command)
}

/// Prints a help text, shell completions or an error in the arguments.
///
/// Returns the exit code.
fn print_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(Kind::BadRequest.exit_code()),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

/// Sends log records of level warning and above to the standard error stream.
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

/// Runs a command, prints its error if it fails, and returns the exit code.
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
