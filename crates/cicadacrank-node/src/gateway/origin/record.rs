//! Records in the store which versions of each service serve, for gateways that start later.
//!
//! A gateway that starts began none of the streams that callers take up, and what it lists
//! may differ from what served when they began: engines may have been replaced while no
//! gateway ran. The record holds the versions that gateways have seen, and when they left. It
//! is written when that changes, by one gateway; others take over if the change isn't recorded
//! in time. Only services with streams that may be taken up are recorded.

use super::{CHECK_INTERVAL, RECORD_MARGIN, unix_now};
use crate::{
    clock::milliseconds,
    gateway::state::{State, lock},
    platform::{Collection, Fault, Listing, Object, Store as _, Version},
};
use cicadacrank_core::{
    event::Event,
    stream::origin::{Left, Record, Release},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time that a gateway leaves to each of those that come before it to record a change.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Time between two tries of a gateway to record a change.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The records of the store, sorted by service.
#[derive(Debug)]
pub(super) struct Records {
    /// Version of the list.
    version: Version,
    records: Vec<Stored>,
}

/// A record as the store holds it.
#[derive(Debug)]
pub(super) struct Stored {
    service: String,
    record: Record,
    /// Version of the object.
    version: Version,
}

/// Content of an object of the store.
#[derive(Debug, Deserialize, Serialize)]
struct Content {
    versions: Vec<String>,
    left: Vec<LeftContent>,
}

#[derive(Debug, Deserialize, Serialize)]
struct LeftContent {
    version: String,
    /// Unix time in milliseconds.
    at: u64,
}

impl Records {
    pub(super) fn find(&self, service: &str) -> Option<&Stored> {
        let found = self
            .records
            .binary_search_by(|one| one.service.as_str().cmp(service));
        Some(&self.records[found.ok()?])
    }

    fn set(&mut self, stored: Stored) {
        let found = self
            .records
            .binary_search_by(|one| one.service.cmp(&stored.service));
        match found {
            Ok(index) => self.records[index] = stored,
            Err(index) => self.records.insert(index, stored),
        }
    }
}

/// Reads the records now, and adds them to what this gateway has seen.
///
/// # Errors
///
/// Returns the fault of the store.
pub(super) async fn refresh(state: &State) -> Result<(), Fault> {
    state.metrics.store_calls.inc();
    let listing = state.store.list(Collection::Releases).await?;
    let records = decode(&listing);
    let now = unix_now(state);
    let mut releases = lock(&state.streams.releases);
    for stored in &records.records {
        releases.merge(&stored.service, &stored.record, now);
    }
    drop(releases);
    *lock(&state.streams.records) = Some(records);
    Ok(())
}

/// A record that cannot be read counts as missing, so that nothing is concluded from it.
fn decode(listing: &Listing) -> Records {
    let mut records = Records {
        version: listing.version,
        records: Vec::new(),
    };
    for object in &listing.objects {
        match decode_record(object) {
            Ok(record) => records.set(Stored {
                service: object.name.clone(),
                record,
                version: object.version,
            }),
            Err(error) => Event::ConfigRejected.log(format_args!(
                "object={} revision={} error={error}",
                object.name, object.version.revision
            )),
        }
    }
    records
}

fn decode_record(object: &Object) -> serde_json::Result<Record> {
    let Content { mut versions, left } = Content::deserialize(&object.spec)?;
    versions.sort_unstable();
    versions.dedup();
    let left = left.into_iter().map(|left| Left {
        version: left.version,
        at: Duration::from_millis(left.at),
    });
    let mut left: Vec<Left> = left.collect();
    left.sort_unstable_by(|one, other| one.version.cmp(&other.version));
    left.dedup_by(|one, other| one.version == other.version);
    Ok(Record { versions, left })
}

fn encode(record: &Record) -> serde_json::Result<serde_json::Value> {
    let left = record.left.iter().map(|left| LeftContent {
        version: left.version.clone(),
        at: milliseconds(left.at),
    });
    serde_json::to_value(Content {
        versions: record.versions.clone(),
        left: left.collect(),
    })
}

/// Reads the records, and writes those that lack what this gateway has seen, for as long as
/// the process runs.
pub(super) async fn run(state: Arc<State>) {
    while let Err(fault) = refresh(&state).await {
        log::debug!("failed to read which versions served: {fault}");
        time::sleep(CHECK_INTERVAL).await;
    }
    let mut due: Vec<(String, Duration)> = Vec::new();
    loop {
        let changed = state.streams.changed.notified();
        // It ends in time for the next service that becomes due.
        drop(time::timeout(CHECK_INTERVAL, changed).await);
        let now = state.clock.now();
        due = follow_due(&state, due, now);
        let ready: Vec<String> = due
            .iter()
            .filter(|(_, at)| *at <= now)
            .map(|(service, _)| service.clone())
            .collect();
        if ready.is_empty() {
            continue;
        }
        match write_all(&state, &ready).await {
            // A further change is due at once.
            Ok(()) => due.retain(|(service, _)| !ready.contains(service)),
            Err(fault) => {
                match fault {
                    Fault::Exists | Fault::Conflict => {
                        log::debug!("another gateway records the versions of {ready:?}");
                    }
                    _ => log::warn!("failed to record the versions of {ready:?}: {fault}"),
                }
                let retry_at = state.clock.now() + RETRY_INTERVAL;
                let tried = due.iter_mut().filter(|(_, at)| *at <= now);
                tried.for_each(|(_, at)| *at = retry_at);
            }
        }
    }
}

/// Returns the services whose versions are not recorded, each with the time at which this
/// gateway records them. Those in `due` keep their times.
fn follow_due(
    state: &State,
    mut due: Vec<(String, Duration)>,
    now: Duration,
) -> Vec<(String, Duration)> {
    let unrecorded = unrecorded(state);
    due.retain(|(service, _)| unrecorded.contains(service));
    let roster = lock(&state.roster);
    for service in unrecorded {
        let is_known = due.iter().any(|(known, _)| *known == service);
        if !is_known && let Some(rank) = roster.rank(&service, now) {
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            due.push((service, now + TAKEOVER_DELAY.saturating_mul(rank)));
        }
    }
    due
}

/// Returns the services with streams that may be taken up, and whose record lacks what this
/// gateway has seen or is of an era of the store that has ended.
fn unrecorded(state: &State) -> Vec<String> {
    let Some(config) = state.config() else {
        return Vec::new();
    };
    let now = unix_now(state);
    let records = lock(&state.streams.records);
    let is_current = records
        .as_ref()
        .is_some_and(|records| records.version.era == state.store.era());
    let is_recorded = |release: &Release| {
        let stored = records.as_ref().and_then(|one| one.find(&release.service));
        stored.is_some_and(|one| release.is_covered_by(&one.record, RECORD_MARGIN, now))
    };
    let releases = lock(&state.streams.releases);
    let mut services = config.resumable_services();
    services.retain(|service| {
        // Nothing is known of a service that never had an endpoint.
        let release = releases.find(service);
        let release = release.filter(|release| !release.versions.is_empty());
        release.is_some_and(|release| !is_current || !is_recorded(release))
    });
    services
}

/// Reads the records, and writes those of `services` that still lack what this gateway has
/// seen.
async fn write_all(state: &State, services: &[String]) -> Result<(), Fault> {
    refresh(state).await?;
    for service in unrecorded(state) {
        if services.contains(&service) {
            write(state, &service).await?;
        }
    }
    Ok(())
}

async fn write(state: &State, service: &str) -> Result<(), Fault> {
    let (record, version) = {
        let records = lock(&state.streams.records);
        let stored = records.as_ref().and_then(|records| records.find(service));
        let known = stored.map(|stored| stored.record.clone());
        let releases = lock(&state.streams.releases);
        let Some(release) = releases.find(service) else {
            return Ok(());
        };
        let record = release.to_record(&known.unwrap_or_default(), RECORD_MARGIN);
        (record, stored.map(|stored| stored.version))
    };
    let content = encode(&record).map_err(|error| Fault::Invalid(error.to_string()))?;
    state.metrics.store_calls.inc();
    let store = &state.store;
    let version = match &version {
        Some(version) => {
            let update = store.update(Collection::Releases, service, version, content);
            update.await?
        }
        None => store.create(Collection::Releases, service, content).await?,
    };
    Event::VersionsRecorded.log(format_args!(
        "service={service} versions={:?} left={:?} era={} revision={}",
        record.versions, record.left, version.era, version.revision
    ));
    let mut records = lock(&state.streams.records);
    if let Some(records) = &mut *records {
        records.set(Stored {
            service: service.to_owned(),
            record,
            version,
        });
    }
    Ok(())
}
