//! Versions of the software of engines that began streams.
//!
//! A caller may take up a stream that broke off, at any process. The stream may go on only
//! at an engine of the version that began it. Processes remember the versions of their
//! streams, and which versions serve side by side: while a service has a single one, nothing
//! has to be remembered.

use crate::directory::Snapshot;
use std::time::Duration;

/// Time for which the origin of a stream is remembered. Streams are shorter.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of streams whose origins are remembered.
const MAX_STREAMS: usize = 16_384;

/// Time for which a version that no longer serves is remembered. No stream is taken up as
/// late.
const VERSION_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of versions of one service that are remembered after they have left. If
/// there are more, several served lately in any case.
const MAX_LEFT: usize = 64;

/// The beginning of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Id of the caller's attempt that brought the first event.
    pub attempt: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Version of the engine's software.
    pub version: String,
    /// Time of the first event.
    pub at: Duration,
}

/// The beginnings of recent streams, sorted by attempt.
#[derive(Clone, Debug, Default)]
pub struct Origins(Vec<Origin>);

impl Origins {
    /// Remembers the beginning of a stream. What is known of the same attempt stays.
    pub fn record(&mut self, origin: Origin, now: Duration) {
        if let Err(index) = self.find_index(&origin.attempt) {
            self.0.insert(index, origin);
            if self.0.len() > MAX_STREAMS {
                self.drop_old(now);
            }
        }
    }

    /// Returns the version that began a stream of a service, or `None` if it is unknown.
    #[must_use]
    pub fn find(&self, attempt: &str, service: &str) -> Option<&str> {
        let origin = &self.0[self.find_index(attempt).ok()?];
        (origin.service == service).then_some(origin.version.as_str())
    }

    /// Returns the recent streams of a service.
    pub fn recent<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a Origin> {
        let of_service = self.0.iter().filter(move |one| one.service == service);
        of_service.filter(move |one| now < one.at + RETENTION)
    }

    /// Forgets the streams that have ended by now, and the older half if there are too
    /// many.
    pub fn drop_old(&mut self, now: Duration) {
        self.0.retain(|one| now < one.at + RETENTION);
        if self.0.len() > MAX_STREAMS {
            let mut times: Vec<Duration> = self.0.iter().map(|one| one.at).collect();
            let half = times.len() / 2;
            let oldest_kept = *times.select_nth_unstable(half).1;
            self.0.retain(|one| one.at >= oldest_kept);
        }
    }

    fn find_index(&self, attempt: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|one| one.attempt.as_str().cmp(attempt))
    }
}

/// The versions that serve, by service.
#[derive(Clone, Debug, Default)]
pub struct Releases(Vec<Release>);

/// A version that no engine of its service has any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Left {
    /// The version.
    pub version: String,
    /// Time at which it was no longer listed.
    pub at: Duration,
}

/// The versions of one service as they are recorded for processes that start later, which
/// have to know which versions may have begun a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Versions that are listed, sorted.
    pub versions: Vec<String>,
    /// Versions that were listed before, sorted.
    pub left: Vec<Left>,
}

/// The versions of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Name of the service.
    pub service: String,
    /// Versions that are listed, sorted.
    pub versions: Vec<String>,
    /// Versions that were listed before, sorted.
    left: Vec<Left>,
}

impl Release {
    const fn new(service: String, versions: Vec<String>) -> Self {
        Self {
            service,
            versions,
            left: Vec::new(),
        }
    }

    /// Returns whether more than one version serves.
    #[must_use]
    pub const fn is_mixed(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns whether more than one version served within the time `recent`.
    #[must_use]
    pub fn was_mixed(&self, recent: Duration, now: Duration) -> bool {
        self.is_mixed() || self.left.iter().any(|left| now < left.at + recent)
    }

    /// Returns whether a record tells another process what this one knows. A version may
    /// have left up to `tolerance` earlier than this process knows.
    #[must_use]
    pub fn is_covered_by(&self, record: &Record, tolerance: Duration, now: Duration) -> bool {
        let is_told = |left: &Left| {
            let found = find_left(&record.left, &left.version);
            found.is_ok_and(|index| record.left[index].at + tolerance >= left.at)
                || now >= left.at + VERSION_RETENTION
        };
        record.versions == self.versions && self.left.iter().all(is_told)
    }

    /// Returns the record that tells other processes what this one knows. It keeps what
    /// `known`, which was recorded before, says of versions that left up to `tolerance`
    /// earlier than this process knows.
    #[must_use]
    pub fn to_record(&self, known: &Record, tolerance: Duration) -> Record {
        let left = self.left.iter().map(|left| {
            let found = find_left(&known.left, &left.version).ok();
            let known = found.map(|index| &known.left[index]);
            known
                .filter(|known| known.at + tolerance >= left.at)
                .unwrap_or(left)
                .clone()
        });
        Record {
            versions: self.versions.clone(),
            left: left.collect(),
        }
    }

    /// Replaces the listed versions. Returns whether they changed.
    fn set_versions(&mut self, versions: Vec<String>, now: Duration) -> bool {
        if self.versions == versions {
            return false;
        }
        let before = std::mem::replace(&mut self.versions, versions);
        self.left
            .retain(|left| self.versions.binary_search(&left.version).is_err());
        for version in before {
            self.record_left(Left { version, at: now });
        }
        self.drop_old(now);
        true
    }

    /// Adds what another process recorded.
    fn merge(&mut self, record: &Record, now: Duration) {
        for version in &record.versions {
            let version = version.clone();
            self.record_left(Left { version, at: now });
        }
        for left in &record.left {
            self.record_left(left.clone());
        }
        self.drop_old(now);
    }

    /// Records that a version was listed until some time, unless it still is.
    fn record_left(&mut self, left: Left) {
        if self.versions.binary_search(&left.version).is_ok() {
            return;
        }
        match find_left(&self.left, &left.version) {
            Ok(index) => {
                let known = &mut self.left[index];
                known.at = known.at.max(left.at);
            }
            Err(index) => self.left.insert(index, left),
        }
    }

    fn drop_old(&mut self, now: Duration) {
        self.left.retain(|left| now < left.at + VERSION_RETENTION);
        while self.left.len() > MAX_LEFT {
            let oldest = (0..self.left.len()).min_by_key(|index| self.left[*index].at);
            self.left.remove(oldest.unwrap_or_default());
        }
    }
}

fn find_left(left: &[Left], version: &str) -> Result<usize, usize> {
    left.binary_search_by(|one| one.version.as_str().cmp(version))
}

impl Releases {
    /// Applies a list of endpoints. Returns the services whose versions changed.
    ///
    /// A service without endpoints keeps its versions, since its entries may have lapsed.
    pub fn update(&mut self, snapshot: &Snapshot, now: Duration) -> Vec<&Release> {
        let endpoints = snapshot.endpoints.iter();
        let mut listed: Vec<(&str, &str)> = endpoints
            .map(|one| (one.service.as_str(), one.version.as_str()))
            .collect();
        listed.sort_unstable();
        listed.dedup();
        let mut changed = Vec::new();
        for listed in listed.chunk_by(|one, other| one.0 == other.0) {
            let service = listed[0].0;
            let versions = listed.iter().map(|one| one.1.to_owned()).collect();
            if self.set_versions(service, versions, now) {
                changed.push(service);
            }
        }
        let releases = self.0.iter();
        releases
            .filter(|one| changed.binary_search(&one.service.as_str()).is_ok())
            .collect()
    }

    /// Adds what another process recorded of a service. Its versions that are not listed now
    /// served until now.
    pub fn merge(&mut self, service: &str, record: &Record, now: Duration) {
        match self.find_index(service) {
            Ok(index) => self.0[index].merge(record, now),
            Err(index) => {
                let mut release = Release::new(service.to_owned(), Vec::new());
                release.merge(record, now);
                self.0.insert(index, release);
            }
        }
    }

    /// Returns the versions of a service, or `None` if it never had an endpoint.
    #[must_use]
    pub fn find(&self, service: &str) -> Option<&Release> {
        let index = self.find_index(service).ok()?;
        Some(&self.0[index])
    }

    /// Returns the services of which more than one version serves.
    pub fn mixed(&self) -> impl Iterator<Item = &Release> {
        self.0.iter().filter(|one| one.is_mixed())
    }

    /// Sets the listed versions of a service. Returns whether they changed.
    fn set_versions(&mut self, service: &str, versions: Vec<String>, now: Duration) -> bool {
        match self.find_index(service) {
            Ok(index) => self.0[index].set_versions(versions, now),
            Err(index) => {
                let release = Release::new(service.to_owned(), versions);
                self.0.insert(index, release);
                true
            }
        }
    }

    fn find_index(&self, service: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|one| one.service.as_str().cmp(service))
    }
}
