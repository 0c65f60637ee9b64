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

/// The versions of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Name of the service.
    pub service: String,
    /// Versions that are listed, sorted.
    pub versions: Vec<String>,
    /// Time at which more than one version was listed last, while there is only one.
    mixed_until: Option<Duration>,
}

impl Release {
    /// Returns whether more than one version serves.
    #[must_use]
    pub const fn is_mixed(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns whether more than one version served within the time `recent`.
    #[must_use]
    pub fn was_mixed(&self, recent: Duration, now: Duration) -> bool {
        self.is_mixed() || self.mixed_until.is_some_and(|until| now < until + recent)
    }
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
            Ok(index) => {
                let release = &mut self.0[index];
                let changed = release.versions != versions;
                if changed || release.is_mixed() {
                    release.mixed_until = Some(now);
                }
                release.versions = versions;
                changed
            }
            Err(index) => {
                let release = Release {
                    service: service.to_owned(),
                    versions,
                    mixed_until: None,
                };
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
