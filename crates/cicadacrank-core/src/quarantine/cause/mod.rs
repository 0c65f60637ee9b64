//! Possible causes of crashes, when requests that are not alike crash endpoints.
//!
//! A request has several possible causes of a crash: itself, and each part that it
//! shares with others. A crash implicates the causes of all requests to which the
//! endpoint had not begun to respond. A cause is cleared of the crashes before a
//! response to one of its requests began, and quarantined when enough crashes in
//! a row remain.
//!
//! Causes that came in the same requests are implicated in the same crashes. [`List`]
//! keeps them as one group, which is split when they differ, so that the cost of a
//! request grows with the number of its parts and not with its square.

mod group;
mod list;
mod responses;

pub use self::list::List;

use super::{Fingerprint, PART_CRASH_LIMIT, REQUEST_CRASH_LIMIT};
use std::{fmt, time::Duration};

/// A possible cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A whole request, which may be sent again.
    Request(Fingerprint),
    /// A part that requests share.
    Part(Fingerprint),
}

impl Cause {
    /// Number of crashes in a row after which the cause is quarantined.
    const fn crash_limit(self) -> usize {
        match self {
            Self::Request(_) => REQUEST_CRASH_LIMIT,
            Self::Part(_) => PART_CRASH_LIMIT,
        }
    }

    const fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(formatter, "request:{fingerprint}"),
            Self::Part(fingerprint) => write!(formatter, "part:{fingerprint}"),
        }
    }
}

/// A crash of an endpoint that implicates a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identifies the incarnation of the endpoint, so that reports of several
    /// processes count as one crash.
    pub endpoint: u64,
    /// Time at which the newest request with the cause was sent to it.
    pub sent: Duration,
    /// Time of the crash.
    pub at: Duration,
    /// Whether the cause was cleared of the crash.
    pub cleared: bool,
}

impl Crash {
    /// Returns the time from the request to the crash.
    const fn lead(&self) -> Duration {
        self.at.saturating_sub(self.sent)
    }
}

/// Causes that are implicated in the same crashes, as processes report them to each
/// other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The causes, sorted. They are all requests or all parts.
    pub causes: Vec<Cause>,
    /// Crashes that implicate each of them.
    pub crashes: Vec<Crash>,
    /// Causes that all implicated requests have besides these, sorted.
    pub companions: Vec<Cause>,
}

/// The begin or the end of the quarantine of causes that are implicated in the same
/// crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The first of the causes.
    pub cause: Cause,
    /// Number of causes.
    pub count: usize,
    /// Whether requests with them are refused from now on.
    pub quarantined: bool,
    /// Number of crashes that they are not cleared of.
    pub crashes: usize,
}
