//! Possible causes of crashes, when requests that are not alike crash endpoints.
//!
//! A request has several possible causes of a crash: itself, and each part that it
//! shares with others. A crash implicates the causes of all requests to which the
//! endpoint had not begun to respond. A cause is cleared of the crashes before a
//! response to one of its requests began, and quarantined when enough crashes in
//! a row remain.

use super::{Fingerprint, MAX_SUSPECTS, PART_CRASH_LIMIT, REQUEST_CRASH_LIMIT, RETENTION};
use std::{collections::HashMap, fmt, time::Duration};

/// Maximum number of crashes kept for one cause.
const MAX_CRASHES_KEPT: usize = 16;

/// Time for which the begin of a response clears its causes of crashes that become
/// known later. Reports arrive well within it.
const CLEARANCE_TIME: Duration = Duration::from_secs(5);

/// Allowance for the delay of reports, in which crashes at the same time seem to
/// follow each other.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Number of crashes, as a multiple of the limit of a cause, from which on another
/// cause with as many no longer explains them.
const TIE_LIMIT_FACTOR: usize = 4;

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

/// A cause with its crashes, as processes report it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The cause.
    pub cause: Cause,
    /// Crashes that implicate the cause.
    pub crashes: Vec<Crash>,
    /// Causes that all implicated requests have besides this one, sorted.
    pub companions: Vec<Cause>,
}

/// The begin or the end of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The cause.
    pub cause: Cause,
    /// Whether requests with it are refused from now on.
    pub quarantined: bool,
    /// Number of crashes that it is not cleared of.
    pub crashes: usize,
}

#[derive(Clone, Debug)]
struct Row {
    suspect: Suspect,
    changed: Duration,
    quarantined: bool,
}

impl Row {
    fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.suspect.crashes.iter().filter(|crash| !crash.cleared)
    }

    fn crashes_in_a_row(&self) -> usize {
        crashes_in_a_row(self.uncleared())
    }

    fn is_uncleared_of(&self, endpoint: u64) -> bool {
        self.uncleared().any(|crash| crash.endpoint == endpoint)
    }

    fn has_companion(&self, cause: Cause) -> bool {
        self.suspect.companions.binary_search(&cause).is_ok()
    }

    /// Adds a crash. Returns whether that changed anything.
    fn add(&mut self, crash: Crash) -> bool {
        let crashes = &mut self.suspect.crashes;
        match crashes
            .iter_mut()
            .find(|known| known.endpoint == crash.endpoint)
        {
            Some(known) => {
                let changed = crash.cleared != known.cleared;
                known.cleared |= crash.cleared;
                // A report that travels for a while makes both times look later, but
                // leaves the time between them as it is.
                let lead = known.lead().min(crash.lead());
                known.at = known.at.min(crash.at);
                known.sent = known.at.saturating_sub(lead);
                crashes.sort_by_key(|known| known.at);
                changed
            }
            None => {
                if crashes.len() >= MAX_CRASHES_KEPT {
                    let cleared = crashes.iter().position(|known| known.cleared);
                    if cleared.is_none() && crash.at <= crashes[0].at {
                        return false;
                    }
                    crashes.remove(cleared.unwrap_or(0));
                }
                let index = crashes.partition_point(|known| known.at <= crash.at);
                crashes.insert(index, crash);
                true
            }
        }
    }
}

/// Counts the crashes whose request was sent after the crash counted before.
/// Crashes at the same time, as when a machine fails, count once.
fn crashes_in_a_row<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut count = 0;
    let mut last = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.sent > last + REPORT_DELAY) {
            count += 1;
            last = Some(crash.at);
        }
    }
    count
}

/// The possible causes of crashes that one process knows, sorted by cause.
///
/// Merging is a union of crashes and an intersection of companions, and a
/// clearance wins, so the order and the number of reports do not matter.
#[derive(Clone, Debug, Default)]
pub struct List {
    rows: Vec<Row>,
    /// Causes of which a response began lately, with the time of the last. Each request
    /// adds some, so that a sorted vector would have to move many.
    responses: HashMap<Cause, Duration>,
}

impl List {
    /// Records a crash with a request in flight to which the endpoint had not
    /// begun to respond.
    pub fn record_crash(&mut self, causes: &[Cause], crash: Crash, now: Duration) {
        for cause in causes {
            let mut companions: Vec<Cause> = causes.to_vec();
            companions.retain(|companion| companion != cause);
            companions.sort_unstable();
            companions.dedup();
            let suspect = Suspect {
                cause: *cause,
                crashes: vec![crash],
                companions,
            };
            self.merge(&suspect, now);
        }
    }

    /// Merges an entry of another process, whose times were converted to those of
    /// this process.
    pub fn merge(&mut self, suspect: &Suspect, now: Duration) {
        let oldest = now.saturating_sub(RETENTION);
        let crashes = suspect.crashes.iter().filter(|crash| crash.at >= oldest);
        let crashes: Vec<Crash> = crashes.copied().collect();
        if crashes.is_empty() {
            return;
        }
        self.expire(oldest);
        let index = match self.find(suspect.cause) {
            Ok(index) => index,
            Err(index) => self.insert(index, suspect, now),
        };
        let began = self.responses.get(&suspect.cause).copied();
        let row = &mut self.rows[index];
        let mut changed = false;
        for mut crash in crashes {
            crash.cleared |= began.is_some_and(|began| crash.at < began);
            changed |= row.add(crash);
        }
        let before = row.suspect.companions.len();
        row.suspect
            .companions
            .retain(|one| suspect.companions.binary_search(one).is_ok());
        if changed || row.suspect.companions.len() != before {
            row.changed = now;
        }
    }

    /// Clears causes of the crashes before `began`, because the response to a
    /// request with these causes began then and went on. Returns whether there were
    /// such crashes.
    pub fn clear(&mut self, causes: &[Cause], began: Duration, now: Duration) -> bool {
        let mut changed = false;
        for cause in causes {
            let last = self.responses.entry(*cause).or_insert(began);
            *last = began.max(*last);
            let Ok(index) = self.find(*cause) else {
                continue;
            };
            let row = &mut self.rows[index];
            let crashes = row.suspect.crashes.iter_mut();
            for crash in crashes.filter(|crash| !crash.cleared && crash.at < began) {
                crash.cleared = true;
                row.changed = now;
                changed = true;
            }
        }
        changed
    }

    /// Returns the cause for which a request with these causes is refused.
    #[must_use]
    pub fn find_quarantined(&self, causes: &[Cause]) -> Option<Cause> {
        let causes = causes.iter().copied();
        let mut implicated = causes.clone().filter_map(|cause| self.row(cause));
        implicated
            .find(|row| self.is_quarantined(row) && !self.needs_companion(row, causes.clone()))
            .map(|row| row.suspect.cause)
    }

    /// Returns the causes whose quarantine began or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let quarantined: Vec<bool> = self
            .rows
            .iter()
            .map(|row| self.is_quarantined(row))
            .collect();
        let rows = self.rows.iter_mut().zip(quarantined);
        rows.filter(|(row, quarantined)| row.quarantined != *quarantined)
            .map(|(row, quarantined)| {
                row.quarantined = quarantined;
                Change {
                    cause: row.suspect.cause,
                    quarantined,
                    crashes: row.uncleared().count(),
                }
            })
            .collect()
    }

    /// Returns the entries to report to another process: those that are quarantined
    /// and those that changed within `recent`, at most `most`. Drops expired entries.
    pub fn report(&mut self, now: Duration, recent: Duration, most: usize) -> Vec<Suspect> {
        self.responses
            .retain(|_, began| *began + CLEARANCE_TIME > now);
        self.expire(now.saturating_sub(RETENTION));
        let mut rows: Vec<&Row> = self.rows.iter().collect();
        rows.retain(|row| row.quarantined || row.changed + recent > now);
        rows.sort_by_key(|row| (!row.quarantined, std::cmp::Reverse(row.changed)));
        rows.truncate(most);
        rows.into_iter().map(|row| row.suspect.clone()).collect()
    }

    /// Returns the number of causes that are quarantined.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        self.rows.iter().filter(|row| row.quarantined).count()
    }

    /// Returns whether the crashes that no other cause explains as well reach the
    /// limit of a cause. A cause with more crashes is the better explanation. One with
    /// as many leaves it open, unless it is a companion, which always comes with it.
    fn is_quarantined(&self, row: &Row) -> bool {
        let limit = row.suspect.cause.crash_limit();
        if row.crashes_in_a_row() < limit {
            return false;
        }
        let count = row.uncleared().count();
        let explains = |other: &&Row| {
            let others = other.uncleared().count();
            let is_tie = others == count
                && count < limit * TIE_LIMIT_FACTOR
                && other.suspect.cause != row.suspect.cause
                && !row.has_companion(other.suspect.cause);
            others > count || is_tie
        };
        let others: Vec<&Row> = self.rows.iter().filter(explains).collect();
        let unexplained = row.uncleared().filter(|crash| {
            !others
                .iter()
                .any(|other| other.is_uncleared_of(crash.endpoint))
        });
        crashes_in_a_row(unexplained) >= limit
    }

    /// Returns whether another cause, which `causes` lacks, came with this one in
    /// each crash and is as likely. A request with only one of them shows which it
    /// is.
    fn needs_companion(&self, row: &Row, causes: impl Iterator<Item = Cause> + Clone) -> bool {
        let count = row.uncleared().count();
        row.suspect.companions.iter().any(|companion| {
            let as_likely = |other: &Row| other.uncleared().count() >= count;
            !causes.clone().any(|cause| cause == *companion)
                && self.row(*companion).is_some_and(as_likely)
        })
    }

    /// Inserts an empty row for a cause and returns its index. If the list is full,
    /// first evicts the row that changed least recently, and quarantined rows last.
    fn insert(&mut self, index: usize, suspect: &Suspect, now: Duration) -> usize {
        let mut index = index;
        if self.rows.len() >= MAX_SUSPECTS {
            let rows = self.rows.iter().enumerate();
            let least = rows.min_by_key(|(_, row)| (row.quarantined, row.changed));
            if let Some(least) = least.map(|(least, _)| least) {
                self.rows.remove(least);
                index -= usize::from(least < index);
            }
        }
        let row = Row {
            suspect: Suspect {
                crashes: Vec::new(),
                ..suspect.clone()
            },
            changed: now,
            quarantined: false,
        };
        self.rows.insert(index, row);
        index
    }

    fn expire(&mut self, oldest: Duration) {
        for row in &mut self.rows {
            row.suspect.crashes.retain(|crash| crash.at >= oldest);
        }
        self.rows.retain(|row| !row.suspect.crashes.is_empty());
    }

    fn row(&self, cause: Cause) -> Option<&Row> {
        self.find(cause).ok().map(|index| &self.rows[index])
    }

    fn find(&self, cause: Cause) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&cause, |row| row.suspect.cause)
    }
}
