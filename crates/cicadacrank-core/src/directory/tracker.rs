//! Tracks the store's list of endpoints across outages and returns of the store.

use super::{Changes, Endpoint, Snapshot, State, history::History};
use crate::version::Version;
use std::time::Duration;

/// Length of a store outage from which entries may have expired although their
/// endpoints are running. It is just below three times the shortest heartbeat
/// interval in use.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);

/// Time that endpoints have to register again if their entries expired during an
/// outage, or if the store came back from a copy that lacks them. Operators write
/// again within the same time.
pub(super) const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Time for which an endpoint that has left is remembered, beside outages of the
/// store. It covers the age of a copy and the time after which the store removes the
/// entry of an endpoint that does not renew it.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(60);

/// Maximum number of endpoints that have left and are remembered.
const MAX_DEPARTURES: usize = 1_024;

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    missing: bool,
}

/// The last registration of an endpoint that has left.
#[derive(Clone, Debug)]
struct Departure {
    endpoint: Endpoint,
    /// Era of the store in which the endpoint was removed last.
    era: u64,
    at: Duration,
    /// Registration in a later era that is not newer than the last one. It is either
    /// that of a copy or that of an endpoint whose count of registrations went on
    /// elsewhere; the store removes the former.
    withheld: Option<Endpoint>,
}

/// The endpoints as known to one process.
///
/// An entry that the store removes is dropped immediately, except for a short
/// time after an outage and after the store has come back from a copy. Entries that
/// are missing then are kept until their endpoints have had time to register again.
/// An older registration of an endpoint never replaces a newer one, and the entry of
/// a copy does not bring back an endpoint that had left.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    version: Version,
    /// Sorted by id.
    entries: Vec<Entry>,
    /// In the order in which the endpoints left.
    departures: Vec<Departure>,
    unavailable_since: Option<Duration>,
    grace_until: Option<Duration>,
    history: History,
}

impl Tracker {
    /// Records that the store did not respond.
    pub fn mark_unavailable(&mut self, now: Duration) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Records that the store responded. Starts the grace period if the outage
    /// was long enough for entries to expire.
    pub fn mark_available(&mut self, now: Duration) {
        let is_paused = self.is_grace_paused();
        let Some(since) = self.unavailable_since.take() else {
            return;
        };
        let outage = now.saturating_sub(since);
        // A copy is older than the outage.
        for departure in &mut self.departures {
            departure.at += now.saturating_sub(since.max(departure.at));
        }
        if outage >= MIN_EXPIRY_OUTAGE {
            self.grace_until = Some(now + RECOVERY_GRACE);
        } else if is_paused {
            self.grace_until = self.grace_until.map(|until| until + outage);
        }
    }

    /// Applies a complete list. Ignores it if its version is older than the
    /// current one. A list of a later era starts the grace period. Returns whether
    /// the list was applied.
    pub fn replace_all(
        &mut self,
        version: Version,
        endpoints: Vec<Endpoint>,
        now: Duration,
    ) -> bool {
        if version < self.version {
            return false;
        }
        let is_first = self.version == Version::default();
        if !is_first && version.era > self.version.era {
            self.grace_until = Some(now + RECOVERY_GRACE);
        }
        if is_first || version.era > self.version.era {
            self.history = History::new(version);
        }
        self.version = version;
        let listed: Vec<String> = {
            let mut ids: Vec<_> = endpoints.iter().map(|one| one.life.id.clone()).collect();
            ids.sort();
            ids
        };
        let is_gone = |id: &String| listed.binary_search(id).is_err();
        let ids = self.entries.iter().map(|entry| &entry.endpoint.life.id);
        let gone: Vec<String> = ids.filter(|id| is_gone(id)).cloned().collect();
        for id in gone {
            self.history.record(version, &id);
            self.drop_entry(&id, now);
        }
        for departure in &mut self.departures {
            if is_gone(&departure.endpoint.life.id) && departure.withheld.take().is_some() {
                self.history.record(version, &departure.endpoint.life.id);
            }
        }
        for endpoint in endpoints {
            let held = self
                .find(&endpoint.life.id)
                .map(|index| &self.entries[index]);
            if held.map(|entry| &entry.endpoint) != Ok(&endpoint) {
                self.history.record(version, &endpoint.life.id);
            }
            self.store(endpoint);
        }
        true
    }

    /// Applies the write of one entry.
    pub fn put(&mut self, version: Version, endpoint: Endpoint) {
        self.version = self.version.max(version);
        self.history.record(version, &endpoint.life.id);
        self.store(endpoint);
    }

    /// Applies the removal of one entry.
    pub fn remove(&mut self, version: Version, id: &str, now: Duration) {
        self.version = self.version.max(version);
        self.history.record(version, id);
        self.drop_entry(id, now);
    }

    /// Removes an endpoint whose entry exists but names no endpoint. Such an entry has
    /// not expired, so there is no grace period. Ignored if the version is older than
    /// the current one.
    pub fn discard(&mut self, version: Version, id: &str) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.history.record(version, id);
        if let Ok(index) = self.find(id) {
            self.entries.remove(index);
        } else {
            self.drop_withheld(id);
        }
    }

    /// Returns the store version of the current list.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the endpoints of the store and their version for other processes, or
    /// `None` while entries that the store does not have are kept for the grace
    /// period. Another process could not tell them from current ones.
    #[must_use]
    pub fn shareable(&self) -> Option<Snapshot> {
        if self.entries.iter().any(|entry| entry.missing) {
            return None;
        }
        let current = self.entries.iter().map(|entry| &entry.endpoint);
        // Other processes withhold them themselves if they know that the endpoints left.
        let withheld = self
            .departures
            .iter()
            .filter_map(|one| one.withheld.as_ref());
        let listed = current.chain(withheld).cloned().collect();
        Some(Snapshot::new(self.version, listed))
    }

    /// Applies the snapshot of another process if that is newer, like a list of the
    /// store. Returns whether it was.
    pub fn adopt(&mut self, snapshot: Snapshot, now: Duration) -> bool {
        if snapshot.version <= self.version {
            return false;
        }
        if self.is_grace_paused() {
            // The other process knows which endpoints have registered again.
            self.grace_until = Some(now + RECOVERY_GRACE);
        }
        self.replace_all(snapshot.version, snapshot.endpoints, now)
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        self.unavailable_since.is_some()
    }

    /// Returns what has changed since a version, for a process that holds it, or `None` if
    /// that is not known or may not be passed on.
    #[must_use]
    pub fn changes_since(&self, version: Version) -> Option<Changes> {
        if self.entries.iter().any(|entry| entry.missing) {
            return None;
        }
        let (mut put, mut removed) = (Vec::new(), Vec::new());
        for id in self.history.since(version)? {
            let entry = self.find(id).map(|index| &self.entries[index].endpoint);
            match entry.ok().or_else(|| self.withheld(id)) {
                Some(endpoint) => put.push(endpoint.clone()),
                None => removed.push(id.to_owned()),
            }
        }
        Some(Changes {
            after: version,
            version: self.version,
            put,
            removed,
        })
    }

    /// Applies the changes that another process knows of, like changes of the store.
    /// Ignores them if they are not newer or begin after the current version. Returns
    /// whether they were applied.
    pub fn apply(&mut self, changes: Changes, now: Duration) -> bool {
        let Changes {
            after,
            version,
            put,
            removed,
        } = changes;
        let is_next = after.era == self.version.era && after <= self.version;
        if !is_next || version.era != after.era || version <= self.version {
            return false;
        }
        if self.is_grace_paused() {
            self.grace_until = Some(now + RECOVERY_GRACE);
        }
        for id in removed {
            self.remove(version, &id, now);
        }
        for endpoint in put {
            self.put(version, endpoint);
        }
        self.version = version;
        true
    }

    /// Drops the entries that are still missing at the end of the grace period, and
    /// takes the entries of endpoints that left too long ago to be remembered.
    /// Returns whether the list changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        if self.grace_until.is_some_and(|until| now >= until) && !self.is_grace_paused() {
            self.grace_until = None;
            let missing: Vec<String> = self
                .entries
                .iter()
                .filter(|entry| entry.missing)
                .map(|entry| entry.endpoint.life.id.clone())
                .collect();
            for id in missing {
                self.drop_entry(&id, now);
            }
        }
        let dropped = self.entries.len() < before;
        let is_available = self.unavailable_since.is_none();
        let is_forgotten = |one: &mut Departure| {
            let is_old = now.saturating_sub(one.at) >= DEPARTURE_MEMORY;
            is_old && (is_available || one.withheld.is_some())
        };
        let forgotten = self.departures.extract_if(.., is_forgotten);
        let forgotten: Vec<Departure> = forgotten.collect();
        let before = self.entries.len();
        for endpoint in forgotten.into_iter().filter_map(|one| one.withheld) {
            self.store(endpoint);
        }
        dropped || self.entries.len() > before
    }

    /// Returns the current endpoints and their version.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let endpoints = self.entries.iter().map(|entry| entry.endpoint.clone());
        Snapshot::new(self.version, endpoints.collect())
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
            Err(index) => {
                let mut departures = self.departures.iter_mut();
                let departure = departures.find(|one| one.endpoint.life.id == endpoint.life.id);
                if let Some(departure) = departure
                    && departure.era < self.version.era
                    && !is_later(&endpoint, &departure.endpoint)
                {
                    departure.withheld = Some(endpoint);
                    return;
                }
                let entry = Entry {
                    endpoint,
                    missing: false,
                };
                let id = entry.endpoint.life.id.clone();
                self.departures.retain(|one| one.endpoint.life.id != id);
                self.entries.insert(index, entry);
            }
        }
    }

    fn drop_entry(&mut self, id: &str, now: Duration) {
        let Ok(index) = self.find(id) else {
            self.drop_withheld(id);
            return;
        };
        let is_grace = self.grace_until.is_some_and(|until| now < until);
        let kept = (is_grace || self.is_grace_paused())
            && self.entries[index].endpoint.state == State::Ready;
        if kept {
            self.entries[index].missing = true;
            return;
        }
        let endpoint = self.entries.remove(index).endpoint;
        self.departures.push(Departure {
            endpoint,
            era: self.version.era,
            at: now,
            withheld: None,
        });
        if self.departures.len() > MAX_DEPARTURES
            && let Some(endpoint) = self.departures.remove(0).withheld
        {
            self.store(endpoint);
        }
    }

    /// Returns whether the store has been away since a grace period began. Endpoints
    /// cannot register again meanwhile.
    fn is_grace_paused(&self) -> bool {
        let Some((since, until)) = self.unavailable_since.zip(self.grace_until) else {
            return false;
        };
        until <= since + RECOVERY_GRACE
    }

    /// Drops the withheld entry of an endpoint that has left. What is written from now on
    /// in this era is newer.
    fn drop_withheld(&mut self, id: &str) {
        let mut departures = self.departures.iter_mut();
        if let Some(departure) = departures.find(|one| one.endpoint.life.id == id) {
            departure.era = self.version.era;
            departure.withheld = None;
        }
    }

    fn withheld(&self, id: &str) -> Option<&Endpoint> {
        let mut departures = self.departures.iter();
        let departure = departures.find(|one| one.endpoint.life.id == id)?;
        departure.withheld.as_ref()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.endpoint.life.id.as_str().cmp(id))
    }
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

/// Returns whether the registration `one` was made after `other`, which has the same
/// id.
fn is_later(one: &Endpoint, other: &Endpoint) -> bool {
    let key = |endpoint: &Endpoint| (endpoint.life.born, endpoint.sequence);
    key(one) > key(other)
}
