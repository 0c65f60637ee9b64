//! Settings of a daemon, in JSON with comments.
//!
//! Every address is an IP address with a port. Host names are rejected, so that no
//! part of the system depends on a resolver.

use jsonc_parser::{ParseOptions, errors::ParseError, parse_to_serde_value};
use miette::{Context as _, Diagnostic, IntoDiagnostic as _, Result, SourceSpan};
use serde::{Deserialize, Serialize};
use std::{fs, net::SocketAddr, path::Path, time::Duration};

/// Prefix of the parser's message about an unknown key.
const UNKNOWN_KEY: &str = "unknown field `";

/// An error in the settings, with its position.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message} (line {line}, column {column})")]
#[diagnostic(help("`docs/guide/settings.md` lists every key with its type and default"))]
struct Fault {
    message: String,
    line: usize,
    column: usize,
    #[source_code]
    text: String,
    #[label("here")]
    span: SourceSpan,
}

impl Fault {
    fn new(text: &str, error: &ParseError) -> Self {
        let message = error.kind().to_string();
        let start = unknown_key(text, &message).unwrap_or_else(|| error.range().start);
        let before = text.get(..start).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            message,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            text: text.to_owned(),
            span: SourceSpan::from(start..start),
        }
    }
}

/// Returns the position of the key that a message reports as unknown. The parser
/// reports only the position of the enclosing object.
fn unknown_key(text: &str, message: &str) -> Option<usize> {
    let rest = message.strip_prefix(UNKNOWN_KEY)?;
    let key = rest.split('`').next()?;
    text.find(&format!("\"{key}\""))
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Receives requests from callers.
    Entry,
    /// Admits work to endpoints and calls them.
    Sidecar,
}

/// One endpoint behind a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint in the rules.
    pub name: String,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
}

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Unique name of the instance.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Address for other processes of the system.
    pub listen: SocketAddr,
    /// Address for callers; required for an entry.
    #[serde(default)]
    pub caller_listen: Option<SocketAddr>,
    /// Address on which operators read health, metrics and status.
    pub operator_listen: SocketAddr,
    /// Other processes that are asked for the configuration and the members when
    /// the platform's list cannot be read.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Endpoints behind a sidecar; at least one is required for a sidecar.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Settings of the log.
    #[serde(default)]
    pub log: Log,
}

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// Timeout of a call to the platform.
    pub platform_ms: u64,
    /// Timeout of opening a connection.
    pub connect_ms: u64,
    /// Timeout of a connection that is expected to make progress.
    pub progress_ms: u64,
    /// Delay between the start of a shutdown and its next step: an entry then
    /// refuses new work, and a sidecar then waits for its jobs to end.
    pub notice_ms: u64,
    /// Time from the start of a shutdown until the process ends, even with work
    /// in flight.
    pub drain_ms: u64,
    /// Mean interval between syncs with peers.
    pub refresh_ms: u64,
    /// Lifetime of a claim after its last change.
    pub claim_ms: u64,
    /// Interval between writes of the accounts of busy and idle time.
    pub account_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            platform_ms: 1_000,
            connect_ms: 500,
            progress_ms: 10_000,
            notice_ms: 2_000,
            drain_ms: 30_000,
            refresh_ms: 1_000,
            claim_ms: 24 * 60 * 60 * 1_000,
            account_ms: 60_000,
        }
    }
}

impl Timeouts {
    /// Returns the timeout of a call to the platform.
    #[must_use]
    pub const fn platform(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    /// Returns the timeout of opening a connection.
    #[must_use]
    pub const fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the timeout of a connection without progress.
    #[must_use]
    pub const fn progress(&self) -> Duration {
        Duration::from_millis(self.progress_ms)
    }

    /// Returns the delay after the start of a shutdown.
    #[must_use]
    pub const fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms)
    }

    /// Returns the time limit of a shutdown.
    #[must_use]
    pub const fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the interval between writes of the accounts.
    #[must_use]
    pub const fn account(&self) -> Duration {
        Duration::from_millis(self.account_ms)
    }

    /// Returns the mean interval between syncs with peers.
    #[must_use]
    pub const fn refresh(&self) -> Duration {
        Duration::from_millis(self.refresh_ms)
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Minimum level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::Text,
            level: log::LevelFilter::Info,
        }
    }
}

impl Settings {
    /// Loads and validates the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns a report with the path of the file and the error.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("reading settings from {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("checking settings in {}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns a report that describes the error, with its position if it is a
    /// syntax or type error.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| Fault::new(text, &error))?;
        settings.check()
    }

    fn check(self) -> Result<Self> {
        match self.role {
            Role::Entry if self.caller_listen.is_none() => {
                Err(miette::miette!("an entry needs `caller_listen`"))
            }
            Role::Sidecar if self.endpoints.is_empty() => Err(miette::miette!(
                "a sidecar needs at least one of `endpoints`"
            )),
            Role::Entry | Role::Sidecar => Ok(self),
        }
    }
}
