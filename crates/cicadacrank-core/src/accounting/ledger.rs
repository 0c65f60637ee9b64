//! Slot time of one endpoint in one incarnation of its sidecar.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of lines in an account above which new keys share one line for each
/// stage, under [`OTHER_TEAM`].
pub const LINES_LIMIT: usize = 2048;
/// Team name of the lines that further teams share.
pub const OTHER_TEAM: &str = "(other)";

/// Pipeline, stage and team that the slot time of a request is charged to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Pipeline of the request.
    pub pipeline: String,
    /// Stage that the request is at.
    pub stage: String,
    /// Team that sent the request.
    pub team: String,
}

/// Busy time of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Key that the time is charged to.
    #[serde(flatten)]
    pub key: Key,
    /// Slot time in use, in microseconds.
    pub busy_us: u64,
}

/// Slot time of one endpoint in one incarnation of its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Time the account covers, in microseconds.
    pub observed_us: u64,
    /// Slot time not in use, in microseconds.
    pub idle_us: u64,
    /// Slot time in use, sorted by key.
    pub busy: Vec<Line>,
}

impl Account {
    /// Returns the name of the object that holds the account; other incarnations
    /// use other names.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}-{}", self.endpoint, self.since_ms)
    }
}

#[derive(Clone, Debug)]
struct RunningLine {
    key: Key,
    in_flight: u32,
    busy: Duration,
    counted_until: Duration,
}

impl RunningLine {
    fn count(&mut self, now: Duration) {
        self.busy += now.saturating_sub(self.counted_until) * self.in_flight;
        self.counted_until = now;
    }
}

/// Sums up slot time as requests begin and end.
///
/// The number of slots changes while an endpoint warms up. Between two calls the
/// number given by the earlier one applies, so the idle time is off by at most
/// the change in slots times the time between the calls.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    lines: Vec<RunningLine>,
    in_flight: u32,
    slots: u32,
    idle: Duration,
    counted_until: Duration,
    started_at: Option<Duration>,
}

impl Ledger {
    /// Creates a ledger without any time.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request occupies a slot, and the number of slots.
    pub fn begin(&mut self, key: &Key, slots: u32, now: Duration) {
        let now = self.advance(slots, now);
        let index = self.line(key, now);
        self.lines[index].count(now);
        self.lines[index].in_flight += 1;
        self.in_flight += 1;
    }

    /// Records that a request released its slot, and the number of slots.
    pub fn end(&mut self, key: &Key, slots: u32, now: Duration) {
        let now = self.advance(slots, now);
        let index = self.line(key, now);
        let line = &mut self.lines[index];
        line.count(now);
        if line.in_flight > 0 {
            line.in_flight -= 1;
            self.in_flight -= 1;
        }
    }

    /// Records the number of slots.
    pub fn tick(&mut self, slots: u32, now: Duration) {
        self.advance(slots, now);
    }

    /// Counts the time up to `now`, and returns the latest time seen so far, as
    /// calls may arrive in another order than their clock reads.
    fn advance(&mut self, slots: u32, now: Duration) -> Duration {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.counted_until = now;
        }
        let idle = self.slots.saturating_sub(self.in_flight);
        self.idle += now.saturating_sub(self.counted_until) * idle;
        self.counted_until = self.counted_until.max(now);
        self.slots = slots;
        self.counted_until
    }

    /// Returns the account up to `now`.
    pub fn account(&mut self, endpoint: &str, since_ms: u64, now: Duration) -> Account {
        let now = self.advance(self.slots, now);
        let line = |line: &mut RunningLine| {
            line.count(now);
            Line {
                key: line.key.clone(),
                busy_us: micros(line.busy),
            }
        };
        let started_at = self.started_at.unwrap_or(now);
        Account {
            endpoint: endpoint.to_owned(),
            since_ms,
            observed_us: micros(now.saturating_sub(started_at)),
            idle_us: micros(self.idle),
            busy: self.lines.iter_mut().map(line).collect(),
        }
    }

    /// Returns the index of the key's line, which is added if needed. When there
    /// are too many lines, returns that of [`OTHER_TEAM`] for the key's stage.
    fn line(&mut self, key: &Key, now: Duration) -> usize {
        match self.find(key) {
            Ok(index) => index,
            Err(index) if self.lines.len() < LINES_LIMIT || key.team == OTHER_TEAM => {
                let line = RunningLine {
                    key: key.clone(),
                    in_flight: 0,
                    busy: Duration::ZERO,
                    counted_until: now,
                };
                self.lines.insert(index, line);
                index
            }
            Err(_) => {
                let other = Key {
                    team: OTHER_TEAM.to_owned(),
                    ..key.clone()
                };
                self.line(&other, now)
            }
        }
    }

    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.lines.binary_search_by(|line| line.key.cmp(key))
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
