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
        mpsc::{self, Receiver, SyncSender, TrySendError},
    },
    thread,
    time::{Duration, Instant},
};

/// Maximum number of lines queued for writing. Further lines are dropped and
/// counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum time for which a process that exits waits until its lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two attempts to queue something while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

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

/// What the thread that writes the lines receives.
enum Message {
    Line(String),
    /// Asks for an answer once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Queues lines for the thread that writes them.
struct Queue {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl log::Log for Queue {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!(
            "{} {} {}\n",
            clock::unix_ms(),
            record.level(),
            record.args()
        );
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Message::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for at most [`FLUSH_TIMEOUT`] until the queued lines are written.
    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (sender, receiver) = mpsc::sync_channel(1);
        let mut message = Message::Flush(sender);
        while let Err(TrySendError::Full(unsent)) = self.sender.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            thread::sleep(FLUSH_RETRY_INTERVAL);
            message = unsent;
        }
        // An error means that the reader takes no lines any more.
        let _ = receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Logs to standard output, one line per record, without ever blocking on its
/// reader, except for a moment when the logger is flushed.
///
/// # Errors
///
/// Returns a report if a logger is already set or the thread that writes the lines
/// cannot be started.
pub fn init_nonblocking() -> Result<()> {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        sender,
        dropped: Arc::clone(&dropped),
    };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &dropped))
        .into_diagnostic()?;
    let queue: Box<dyn log::Log> = Box::new(queue);
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("event", log::LevelFilter::Debug)
        .chain(queue)
        .apply()
        .into_diagnostic()
}

/// Writes queued lines until the process ends or writing fails. If the reader closes
/// its end, only logging stops.
fn write_lines(receiver: &Receiver<Message>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(message) = receiver.recv() {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(sender) => {
                // An error means that the process no longer waits.
                let _ = sender.send(());
                continue;
            }
        };
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
