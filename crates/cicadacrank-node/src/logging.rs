//! Configures logging.

use crate::{
    clock,
    settings::{Format, Log},
};
use cicadacrank_core::event::Event;
use miette::{IntoDiagnostic as _, Result};
use serde::Serialize;
use std::{
    io::{self, Write as _},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, TrySendError},
    },
    thread,
};

/// Maximum number of lines queued for writing. Further lines are dropped and
/// counted.
const MAX_QUEUED_LINES: usize = 4_096;

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Logs to standard error in the configured format.
///
/// # Errors
///
/// Returns a report if a logger is already set.
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

/// Logs to standard output, one line per record, without ever blocking on its
/// reader.
///
/// # Errors
///
/// Returns a report if a logger is already set or the thread that writes the lines
/// cannot be started.
pub fn init_nonblocking() -> Result<()> {
    let (sender, receiver) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_by_sender = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &dropped_by_sender))
        .into_diagnostic()?;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("event", log::LevelFilter::Debug)
        .chain(fern::Output::call(move |record| {
            let line = format!(
                "{} {} {}\n",
                clock::unix_ms(),
                record.level(),
                record.args()
            );
            if let Err(TrySendError::Full(_)) = sender.try_send(line) {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()
        .into_diagnostic()
}

/// Writes queued lines until the process ends or writing fails. If the reader closes
/// its end, only logging stops.
fn write_lines(receiver: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = receiver.recv() {
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let event = Event::LinesDropped;
            let number = event.number();
            drop(writeln!(
                output,
                "{} WARN {number} {event:?}: lines={dropped_lines}",
                clock::unix_ms()
            ));
        }
        if output.write_all(line.as_bytes()).is_err() {
            return;
        }
    }
}
