//! Which connections from callers are closed when memory or descriptors are short.
//!
//! Callers may keep connections open without sending what they began, or without taking
//! what they are sent. None of that matters while there is room. When there is none, the
//! connection that has been behind for the longest time is closed. A request that is at
//! work is never given up for room.

use std::time::Duration;

/// Time without progress after which a connection may be closed for room. It allows for a
/// lost packet and a process that is short of processor time.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// Time after which a connection may be closed for room whose caller takes nothing of an
/// answer. Nobody else can deliver the answer in its place.
pub const BLOCKED_TIME: Duration = Duration::from_secs(5);

/// Time that a body may take besides the time that its bytes earn it.
const BODY_TIME: Duration = Duration::from_secs(1);

/// Number of bytes of a body that earn it a second.
const BODY_RATE: u32 = 16 << 10;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// The head of a request has arrived, and a part of its body.
    Body {
        /// Time at which its body was first waited for.
        begun: Duration,
        /// Number of bytes of the body that have arrived.
        bytes: usize,
    },
    /// A request has arrived and is processed, or its answer is sent as it arrives.
    Working,
    /// The answer waits for the caller to take it.
    Blocked,
    /// A request was refused, and what still arrives of it is discarded.
    Discarding,
}

impl Phase {
    /// Returns the name of the phase, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body { .. } => "body",
            Self::Working => "working",
            Self::Blocked => "blocked",
            Self::Discarding => "discarding",
        }
    }
}

/// Use of a connection from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    /// What it is used for.
    pub phase: Phase,
    /// Time of the last progress: a change of the phase, or a part of a body.
    pub since: Duration,
    /// Whether it has carried a request of a known team.
    pub is_known: bool,
    /// Memory that the body of its request takes from what all share, in bytes.
    pub held_bytes: usize,
}

/// What is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Room for a further connection.
    Connection,
    /// Memory that bodies share.
    Body,
}

impl Connection {
    /// Creates the use of a connection that was just accepted.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            phase: Phase::Idle,
            since: now,
            is_known: false,
            held_bytes: 0,
        }
    }

    /// Changes what the connection is used for.
    pub const fn enter(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.since = now;
    }

    /// Records that a part of the body has arrived.
    pub fn record_body(&mut self, arrived: usize, now: Duration) {
        if let Phase::Body { bytes, .. } = &mut self.phase {
            *bytes += arrived;
            self.since = now;
        }
    }

    /// Returns for how long the connection has been behind, or `None` if it may not be
    /// closed for room.
    #[must_use]
    pub fn lag(&self, now: Duration) -> Option<Duration> {
        let waited = now.saturating_sub(self.since);
        let stalled = waited.checked_sub(STALL_TIME);
        match self.phase {
            Phase::Working => None,
            Phase::Idle | Phase::Head | Phase::Discarding => stalled,
            Phase::Blocked => waited.checked_sub(BLOCKED_TIME),
            Phase::Body { begun, bytes } => {
                let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
                let earned =
                    Duration::from_secs(1).mul_f64(f64::from(bytes) / f64::from(BODY_RATE));
                let late = now.saturating_sub(begun).checked_sub(BODY_TIME + earned);
                stalled.max(late)
            }
        }
    }
}

/// Returns the connection to close for what is short, or `None` if none may be closed.
///
/// Those that have carried no request of a known team go first, and among these the one
/// that has been behind for the longest time.
pub fn victim<K>(
    connections: impl IntoIterator<Item = (K, Connection)>,
    need: Need,
    now: Duration,
) -> Option<K> {
    let behind = connections.into_iter().filter_map(|(key, connection)| {
        let is_use = match need {
            Need::Connection => true,
            Need::Body => connection.held_bytes > 0,
        };
        let lag = connection.lag(now).filter(|_| is_use)?;
        Some((key, (!connection.is_known, lag)))
    });
    behind.max_by_key(|(_, rank)| *rank).map(|(key, _)| key)
}
