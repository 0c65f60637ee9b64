//! Sets up the log.

use crate::{
    clock,
    settings::{Format, Log},
};
use miette::{IntoDiagnostic as _, Result};
use serde::Serialize;
use std::io;

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Sends the log to the standard error stream in the stated form.
///
/// # Errors
///
/// Returns a report if a log was set up before.
pub fn init(settings: &Log) -> Result<()> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(settings.level.min(log::LevelFilter::Info))
        .level_for("event", settings.level)
        .format(move |out, message, record| {
            let line = Line {
                unix_ms: clock::unix_ms(),
                level: record.level().as_str(),
                target: record.target(),
                message: message.to_string(),
            };
            match format {
                Format::Json => {
                    let text = serde_json::to_string(&line).unwrap_or_default();
                    out.finish(format_args!("{text}"));
                }
                Format::Text => {
                    let Line {
                        unix_ms,
                        level,
                        target,
                        message,
                    } = line;
                    out.finish(format_args!("{unix_ms} {level} {target} {message}"));
                }
            }
        })
        .chain(io::stderr())
        .apply()
        .into_diagnostic()
}
