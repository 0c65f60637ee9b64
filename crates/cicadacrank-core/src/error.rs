//! The closed list of error kinds, with the status codes of each.
//!
//! Every refusal and failure of the system has one of these kinds. The table is
//! documented in `docs/reference/errors.md`, and a test checks that the page
//! matches it.

use std::fmt;

/// What is known about the execution of the work that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// No byte of the request reached any endpoint.
    NotRun,
    /// Some stage ran, and any non-idempotent work did not run or is known to
    /// have ended.
    Partial,
    /// An endpoint may or may not have run the work.
    Unknown,
}

impl Effect {
    /// All effects, in the order of the documented table.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::Partial, Self::Unknown];

    /// Returns the name used in headers, bodies and messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Partial => "partial",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the effect with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|effect| effect.as_str() == name)
    }
}

/// Whether another attempt may succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The same request would fail in the same way.
    Never,
    /// Another endpoint may accept the work immediately.
    Elsewhere,
    /// The same request may succeed later.
    Later,
}

/// Properties of one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name on the wire, in logs and in responses.
    pub name: &'static str,
    /// Status code of an HTTP response.
    pub http: u16,
    /// gRPC status code.
    pub grpc: u8,
    /// Exit code of the command-line client for operators.
    pub exit: u8,
    /// Whether another attempt may succeed.
    pub retry: Retry,
    /// Description for the reader of a response, one sentence.
    pub text: &'static str,
}

macro_rules! kinds {
    ($($kind:ident = $name:literal, $http:literal, $grpc:literal, $exit:literal, $retry:ident, $text:literal;)*) => {
        /// The closed list of error kinds.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind {
            $(#[doc = $text] $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the documented table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the properties of this kind.
            #[must_use]
            pub const fn row(self) -> Row {
                match self {
                    $(Self::$kind => Row {
                        name: $name, http: $http, grpc: $grpc, exit: $exit,
                        retry: Retry::$retry, text: $text,
                    },)*
                }
            }
        }
    };
}

kinds! {
    BadRequest = "bad-request", 400, 3, 2, Never, "The request is not valid JSON, lacks a field, or has one that is out of bounds.";
    TooLarge = "too-large", 413, 8, 2, Never, "The body is over the stated limit.";
    UnknownPipeline = "unknown-pipeline", 404, 5, 2, Never, "No pipeline has this name.";
    Forbidden = "forbidden", 403, 7, 4, Never, "The team has no right to the pipeline or to one of its pools now.";
    KeyMissing = "key-missing", 400, 3, 2, Never, "The pipeline needs an idempotency key and the request has none.";
    KeyReused = "key-reused", 422, 6, 2, Never, "The idempotency key was used with another body.";
    Quarantined = "quarantined", 422, 9, 5, Later, "The request crashed endpoints and is refused for a time.";
    Overloaded = "overloaded", 503, 8, 5, Elsewhere, "The endpoint bears no more work now.";
    TeamLimit = "team-limit", 429, 8, 5, Later, "The team is at its limit.";
    NoEndpoint = "no-endpoint", 503, 14, 5, Later, "No endpoint of the pool can take the work.";
    TakenOut = "taken-out", 503, 14, 5, Elsewhere, "The endpoint or its data centre was taken out.";
    Leaving = "leaving", 503, 14, 5, Elsewhere, "The endpoint or this process is leaving.";
    Stale = "stale", 503, 9, 5, Elsewhere, "The process holds an older configuration than its peer.";
    NotReady = "not-ready", 503, 14, 5, Elsewhere, "The process has no configuration in force.";
    PlatformDown = "platform-down", 503, 14, 6, Later, "The platform did not answer in time.";
    Deadline = "deadline", 504, 4, 7, Never, "The deadline has passed.";
    Unreachable = "unreachable", 502, 14, 6, Elsewhere, "No connection to the peer could be made.";
    EndpointFailed = "endpoint-failed", 502, 13, 6, Elsewhere, "The endpoint failed while it ran the work.";
    EndpointRefused = "endpoint-refused", 502, 9, 6, Never, "The endpoint refused the work as invalid.";
    EndpointProtocol = "endpoint-protocol", 502, 15, 6, Elsewhere, "The endpoint's answer breaks its protocol.";
    Truncated = "truncated", 502, 15, 6, Elsewhere, "The answer ended before its end was stated.";
    Silent = "silent", 504, 14, 6, Elsewhere, "The connection made no progress within the bound.";
    OutcomeUnknown = "outcome-unknown", 409, 2, 8, Never, "An earlier attempt holds the claim and its outcome is not known.";
    UnknownRoute = "unknown-route", 404, 5, 2, Never, "No route has this host and path.";
    UnknownKey = "unknown-key", 401, 16, 4, Never, "No team holds the key of the request.";
    TimeUp = "time-up", 503, 14, 5, Later, "The work cannot be done in the time that is left.";
    StageFailed = "stage-failed", 503, 14, 5, Later, "A stage of the request could not be made.";
    Crashing = "crashing", 503, 9, 5, Later, "The request crashed endpoints and is kept away from more of them.";
    EndpointCold = "endpoint-cold", 503, 8, 5, Later, "Cold endpoints bear no further request now.";
    Cancelled = "cancelled", 499, 1, 9, Never, "The caller went away.";
    Settings = "settings", 500, 3, 3, Never, "The settings are not valid.";
    Rules = "rules", 422, 3, 3, Never, "The rules are not valid.";
    Conflict = "conflict", 409, 10, 10, Never, "Another operator's change came first.";
    Internal = "internal", 500, 13, 1, Never, "An internal invariant does not hold.";
}

impl Kind {
    /// Returns the kind's name on the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        self.row().name
    }

    /// Returns the status code of an HTTP response.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        self.row().http
    }

    /// Returns the exit code of the command-line client for operators.
    #[must_use]
    pub const fn exit_code(self) -> u8 {
        self.row().exit
    }

    /// Returns whether another attempt may succeed.
    #[must_use]
    pub const fn retry(self) -> Retry {
        self.row().retry
    }

    /// Returns the kind with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == name)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A failure with its kind, its effect and its context.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} ({}): {context}", .effect.as_str())]
pub struct Failure {
    /// Kind of the failure.
    pub kind: Kind,
    /// What is known about the execution of the work.
    pub effect: Effect,
    /// Operation that failed, and what it acted on.
    pub context: String,
}

impl Failure {
    /// Creates a failure of work that did not run.
    ///
    /// Only code that runs before the first byte is sent to an endpoint may
    /// call this.
    #[must_use]
    pub fn not_run(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            effect: Effect::NotRun,
            context: context.into(),
        }
    }

    /// Creates a failure of work that ran in part.
    #[must_use]
    pub fn partial(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            effect: Effect::Partial,
            context: context.into(),
        }
    }

    /// Creates a failure of work that may or may not have run.
    #[must_use]
    pub fn unknown(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            effect: Effect::Unknown,
            context: context.into(),
        }
    }

    /// Returns the failure with its effect raised to at least `floor`, in the
    /// order of [`Effect::ALL`].
    #[must_use]
    pub fn with_floor(mut self, floor: Effect) -> Self {
        self.effect = self.effect.max(floor);
        self
    }
}
