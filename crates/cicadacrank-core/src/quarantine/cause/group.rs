//! Causes that are implicated in the same crashes.

use super::{Cause, Crash, Suspect};
use std::{sync::Arc, time::Duration};

/// Maximum number of crashes kept for one group.
pub(super) const MAX_CRASHES_KEPT: usize = 16;

/// Allowance for the delay of reports, in which crashes at the same time seem to
/// follow each other.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Causes with the crashes that implicate each of them.
#[derive(Clone, Debug)]
pub(super) struct Group {
    /// The causes, sorted. They are all requests or all parts.
    pub(super) causes: Vec<Cause>,
    /// Causes that all implicated requests have, these included, sorted. Groups that were
    /// split share it.
    pub(super) together: Arc<[Cause]>,
    pub(super) crashes: Vec<Crash>,
    pub(super) changed: Duration,
    pub(super) quarantined: bool,
}

impl Group {
    /// Returns the number of crashes in a row after which the causes are quarantined.
    pub(super) fn crash_limit(&self) -> usize {
        self.causes
            .first()
            .map_or(usize::MAX, |cause| cause.crash_limit())
    }

    pub(super) fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.cleared)
    }

    pub(super) fn is_uncleared_of(&self, endpoint: u64) -> bool {
        self.uncleared().any(|crash| crash.endpoint == endpoint)
    }

    /// Returns whether all causes of another group came in each of the implicated requests.
    pub(super) fn is_accompanied_by(&self, other: &Self) -> bool {
        let is_companion = |cause| self.together.binary_search(cause).is_ok();
        other.causes.iter().all(is_companion)
    }

    /// Returns the causes that all implicated requests have besides those of the group.
    pub(super) fn companions(&self) -> impl Iterator<Item = Cause> + '_ {
        let is_other = |cause: &Cause| self.causes.binary_search(cause).is_err();
        self.together.iter().copied().filter(is_other)
    }

    /// Removes causes, which are sorted, and returns a group of them with the same crashes.
    pub(super) fn split_off(&mut self, causes: Vec<Cause>) -> Self {
        self.causes
            .retain(|cause| causes.binary_search(cause).is_err());
        Self {
            causes,
            ..self.clone_without_causes()
        }
    }

    fn clone_without_causes(&self) -> Self {
        Self {
            causes: Vec::new(),
            together: Arc::clone(&self.together),
            crashes: self.crashes.clone(),
            changed: self.changed,
            quarantined: self.quarantined,
        }
    }

    /// Adds a crash. Returns whether that changed anything.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let crashes = &mut self.crashes;
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

    /// Returns the group as it is reported to other processes.
    pub(super) fn to_suspect(&self) -> Suspect {
        Suspect {
            causes: self.causes.clone(),
            crashes: self.crashes.clone(),
            companions: self.companions().collect(),
        }
    }
}

/// Counts the crashes whose request was sent after the crash counted before.
/// Crashes at the same time, as when a machine fails, count once.
pub(super) fn crashes_in_a_row<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
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
