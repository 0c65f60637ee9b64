//! The settings of a daemon: JSON with comments.
//!
//! Every address is an IP number with a port; a name is refused, so that no
//! part of the system depends on a resolver.

use jsonc_parser::{ParseOptions, errors::ParseError, parse_to_serde_value};
use miette::{Context as _, Diagnostic, IntoDiagnostic as _, Result, SourceSpan};
use serde::{Deserialize, Serialize};
use std::{fs, net::SocketAddr, path::Path, time::Duration};

/// How messages about a key that the settings do not know begin.
const UNKNOWN_KEY: &str = "unknown field `";

/// A fault in settings, with its place.
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

/// Finds the key that a message calls unknown; the parser gives the place of
/// the object around it.
fn unknown_key(text: &str, message: &str) -> Option<usize> {
    let rest = message.strip_prefix(UNKNOWN_KEY)?;
    let key = rest.split('`').next()?;
    text.find(&format!("\"{key}\""))
}

/// What the process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Stands before endpoints.
    Sidecar,
}

/// One endpoint behind a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name in the rules.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What the process does.
    pub role: Role,
    /// Unique name of the instance.
    pub instance: String,
    /// Data centre the instance stands in.
    pub data_centre: String,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Where other processes of the system reach this one.
    pub listen: SocketAddr,
    /// Where callers reach an entry; required for that role.
    #[serde(default)]
    pub caller_listen: Option<SocketAddr>,
    /// Where operators read health, metrics and status.
    pub operator_listen: SocketAddr,
    /// Other processes to ask for the configuration and for members when the
    /// platform's list cannot be read.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Endpoints behind a sidecar; required for that role.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// Bounds in time.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// The log.
    #[serde(default)]
    pub log: Log,
}

/// Bounds in time, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// One call to the platform.
    pub platform_ms: u64,
    /// Making a connection.
    pub connect_ms: u64,
    /// No progress on a connection that should make some.
    pub progress_ms: u64,
    /// From the start of a shutdown until new work is refused.
    pub notice_ms: u64,
    /// From the start of a shutdown until the process ends whatever is open.
    pub drain_ms: u64,
    /// Mean time between two syncs with peers.
    pub refresh_ms: u64,
    /// Life of a claim after its last change.
    pub claim_ms: u64,
    /// Between two writes of the accounts of busy and idle time.
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
    /// Returns the bound of one call to the platform.
    #[must_use]
    pub const fn platform(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    /// Returns the bound for making a connection.
    #[must_use]
    pub const fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the bound for a connection without progress.
    #[must_use]
    pub const fn progress(&self) -> Duration {
        Duration::from_millis(self.progress_ms)
    }

    /// Returns the notice before new work is refused.
    #[must_use]
    pub const fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms)
    }

    /// Returns the bound of a shutdown.
    #[must_use]
    pub const fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the time between two writes of the accounts.
    #[must_use]
    pub const fn account(&self) -> Duration {
        Duration::from_millis(self.account_ms)
    }

    /// Returns the mean time between two syncs with peers.
    #[must_use]
    pub const fn refresh(&self) -> Duration {
        Duration::from_millis(self.refresh_ms)
    }
}

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How lines look.
    pub format: Format,
    /// Least level: `error`, `warn`, `info`, `debug` or `trace`.
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
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns a report with the file and the place of the fault.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("reading settings from {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("checking settings in {}", path.display()))
    }

    /// Reads and checks settings from text.
    ///
    /// # Errors
    ///
    /// Returns a report with the place of the fault.
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
