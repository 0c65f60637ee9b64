//! Tracks the store's list of endpoints across outages of the store.

use super::{Endpoint, Snapshot, State};
use std::time::Duration;

/// Length of a store outage from which entries may have expired although their
/// endpoints are running. It is just below three times the shortest heartbeat
/// interval in use.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);

/// Time that an endpoint has to register again if its entry expired during an
/// outage.
const RECOVERY_GRACE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    missing: bool,
}

/// The endpoints as known to one process.
///
/// An entry that the store removes is dropped immediately, except for a short
/// time after an outage. Entries that expired while the store was unavailable
/// are kept until their endpoints have had time to register again. An older
/// registration of an endpoint never replaces a newer one.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    revision: u64,
    entries: Vec<Entry>,
    unavailable_since: Option<Duration>,
    grace_until: Option<Duration>,
}

impl Tracker {
    /// Records that the store did not respond.
    pub fn mark_unavailable(&mut self, now: Duration) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Records that the store responded. Starts the grace period if the outage
    /// was long enough for entries to expire.
    pub fn mark_available(&mut self, now: Duration) {
        let Some(since) = self.unavailable_since.take() else {
            return;
        };
        if now.saturating_sub(since) >= MIN_EXPIRY_OUTAGE {
            self.grace_until = Some(now + RECOVERY_GRACE);
        }
    }

    /// Applies a complete list. Ignores it if its revision is older than the
    /// current one.
    pub fn replace_all(&mut self, revision: u64, endpoints: Vec<Endpoint>, now: Duration) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let listed: Vec<String> = {
            let mut ids: Vec<_> = endpoints.iter().map(|one| one.life.id.clone()).collect();
            ids.sort();
            ids
        };
        let gone: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.endpoint.life.id.clone())
            .filter(|id| listed.binary_search(id).is_err())
            .collect();
        for id in gone {
            self.drop_entry(&id, now);
        }
        for endpoint in endpoints {
            self.store(endpoint);
        }
    }

    /// Applies the write of one entry.
    pub fn put(&mut self, revision: u64, endpoint: Endpoint) {
        self.revision = self.revision.max(revision);
        self.store(endpoint);
    }

    /// Applies the removal of one entry.
    pub fn remove(&mut self, revision: u64, id: &str, now: Duration) {
        self.revision = self.revision.max(revision);
        self.drop_entry(id, now);
    }

    /// Removes an endpoint whose entry exists but names no endpoint. Such an entry has
    /// not expired, so there is no grace period. Ignored if the revision is older than
    /// the current one.
    pub fn discard(&mut self, revision: u64, id: &str) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        if let Ok(index) = self.find(id) {
            self.entries.remove(index);
        }
    }

    /// Returns the store revision of the current list.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current endpoints and their revision for other processes, or
    /// `None` while entries that the store has removed are kept for the grace
    /// period. Another process could not tell them from current ones.
    #[must_use]
    pub fn shareable(&self) -> Option<Snapshot> {
        let complete = self.entries.iter().all(|entry| !entry.missing);
        complete.then(|| self.snapshot())
    }

    /// Replaces the list with the snapshot of another process if that is newer.
    /// Returns whether it was.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        let entry = |endpoint: &Endpoint| Entry {
            endpoint: endpoint.clone(),
            missing: false,
        };
        self.entries = snapshot.endpoints.iter().map(entry).collect();
        self.entries.sort_by(by_id);
        true
    }

    /// Drops the entries that are still missing at the end of the grace period.
    /// Returns whether any was dropped.
    pub fn expire(&mut self, now: Duration) -> bool {
        if self.grace_until.is_none_or(|until| now < until) {
            return false;
        }
        self.grace_until = None;
        let before = self.entries.len();
        self.entries.retain(|entry| !entry.missing);
        self.entries.len() < before
    }

    /// Returns the current endpoints and their revision.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let endpoints = self.entries.iter().map(|entry| entry.endpoint.clone());
        Snapshot::new(self.revision, endpoints.collect())
    }

    fn store(&mut self, endpoint: Endpoint) {
        match self.find(&endpoint.life.id) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.missing = false;
                if is_newer(&endpoint, &entry.endpoint) {
                    entry.endpoint = endpoint;
                }
            }
            Err(index) => self.entries.insert(
                index,
                Entry {
                    endpoint,
                    missing: false,
                },
            ),
        }
    }

    fn drop_entry(&mut self, id: &str, now: Duration) {
        let Ok(index) = self.find(id) else { return };
        let kept = self.grace_until.is_some_and(|until| now < until)
            && self.entries[index].endpoint.state == State::Ready;
        if kept {
            self.entries[index].missing = true;
        } else {
            self.entries.remove(index);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.endpoint.life.id.as_str().cmp(id))
    }
}

fn by_id(one: &Entry, other: &Entry) -> std::cmp::Ordering {
    one.endpoint.life.id.cmp(&other.endpoint.life.id)
}

/// Returns whether the registration `one` may replace `other`, which has the
/// same id.
fn is_newer(one: &Endpoint, other: &Endpoint) -> bool {
    match (one.life.born, other.life.born) {
        (Some(new), Some(old)) if new != old => new > old,
        (Some(_), Some(_)) => one.sequence >= other.sequence,
        _ => true,
    }
}
