//! Tests of what processes know of the versions that began streams.

use cicadacrank_core::{
    directory::{Endpoint, Incarnation, Snapshot, State},
    stream::origin::{Left, Origin, Origins, Record, Releases},
    version::Version,
};
use std::time::Duration;

const SERVICE: &str = "llm";

const RECENT: Duration = Duration::from_secs(10);

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn origin(attempt: &str, seconds: u64) -> Origin {
    Origin {
        attempt: attempt.to_owned(),
        service: SERVICE.to_owned(),
        version: "v1".to_owned(),
        at: at(seconds),
    }
}

fn snapshot(versions: &[&str]) -> Snapshot {
    let endpoints = versions
        .iter()
        .enumerate()
        .map(|(number, version)| Endpoint {
            life: Incarnation {
                id: format!("i-{number}"),
                born: Some(1),
            },
            service: SERVICE.to_owned(),
            address: "127.0.0.1:1".parse().expect("valid address"),
            data_centre: "one".to_owned(),
            version: (*version).to_owned(),
            slots: 4,
            state: State::Ready,
            cold: Duration::ZERO,
            sequence: 1,
        });
    Snapshot::new(Version::new(0, 1), endpoints.collect())
}

#[test]
fn origins_find_the_first_version_of_an_attempt_at_its_service() {
    let mut origins = Origins::default();
    origins.record(origin("a", 1), at(1));
    let later = Origin {
        version: "v2".to_owned(),
        ..origin("a", 2)
    };
    origins.record(later, at(2));
    assert_eq!(origins.find("a", SERVICE), Some("v1"));
    assert_eq!(origins.find("a", "other"), None);
    assert_eq!(origins.find("b", SERVICE), None);
}

#[test]
fn origins_forget_old_streams() {
    let mut origins = Origins::default();
    origins.record(origin("a", 1), at(1));
    origins.record(origin("b", 50), at(50));
    assert_eq!(origins.recent(SERVICE, at(62)).count(), 1);
    origins.drop_old(at(62));
    assert_eq!(origins.find("a", SERVICE), None);
    assert_eq!(origins.find("b", SERVICE), Some("v1"));
}

#[test]
fn origins_are_bounded_and_the_newest_are_kept() {
    let mut origins = Origins::default();
    for number in 0..30_000_u64 {
        let now = Duration::from_millis(number);
        let origin = Origin {
            at: now,
            ..origin(&format!("a{number}"), 0)
        };
        origins.record(origin, now);
    }
    let count = origins.recent(SERVICE, at(30)).count();
    assert!((8_000..=16_384).contains(&count), "{count}");
    assert!(origins.find("a29999", SERVICE).is_some());
    assert_eq!(origins.find("a0", SERVICE), None);
}

#[test]
fn releases_report_each_change_of_the_versions_once() {
    let mut releases = Releases::default();
    assert_eq!(releases.update(&snapshot(&["v1", "v1"]), at(1)).len(), 1);
    assert_eq!(releases.update(&snapshot(&["v1"]), at(2)).len(), 0);
    let changed = releases.update(&snapshot(&["v2", "v1"]), at(3));
    assert_eq!(changed[0].versions, ["v1", "v2"]);
    assert_eq!(releases.mixed().count(), 1);
    assert_eq!(releases.update(&snapshot(&["v2"]), at(4)).len(), 1);
    assert_eq!(releases.mixed().count(), 0);
}

#[test]
fn release_was_mixed_until_the_time_after_the_last_engine_of_the_old_version() {
    let mut releases = Releases::default();
    releases.update(&snapshot(&["v1"]), at(1));
    let was_mixed = |releases: &Releases, now| {
        let release = releases.find(SERVICE).expect("the service is known");
        release.was_mixed(RECENT, now)
    };
    assert!(!was_mixed(&releases, at(2)));
    releases.update(&snapshot(&["v1", "v2"]), at(3));
    assert!(was_mixed(&releases, at(100)));
    releases.update(&snapshot(&["v2"]), at(100));
    assert!(was_mixed(&releases, at(109)));
    assert!(!was_mixed(&releases, at(110)));
}

/// All entries lapsed while the store was away, and another version registered afterwards.
#[test]
fn release_was_mixed_when_one_version_replaces_another_at_once_or_after_a_lapse() {
    for between in [&[][..], &["v1"][..]] {
        let mut releases = Releases::default();
        releases.update(&snapshot(&["v1"]), at(1));
        releases.update(&snapshot(between), at(2));
        releases.update(&snapshot(&["v2"]), at(3));
        let release = releases.find(SERVICE).expect("the service is known");
        assert!(release.was_mixed(RECENT, at(4)));
    }
}

fn left(version: &str, seconds: u64) -> Left {
    Left {
        version: version.to_owned(),
        at: at(seconds),
    }
}

fn record(versions: &[&str], left: Vec<Left>) -> Record {
    Record {
        versions: versions.iter().map(|one| (*one).to_owned()).collect(),
        left,
    }
}

/// A process that starts lists only what serves now.
#[test]
fn releases_merge_shows_versions_that_served_before_the_start() {
    let was_mixed = |record: Record, now| {
        let mut releases = Releases::default();
        releases.merge(SERVICE, &record, at(100));
        releases.update(&snapshot(&["v2"]), at(101));
        let release = releases.find(SERVICE).expect("the service is known");
        release.was_mixed(RECENT, at(now))
    };
    assert!(!was_mixed(record(&["v2"], vec![]), 101));
    assert!(was_mixed(record(&["v1"], vec![]), 101));
    assert!(!was_mixed(record(&["v1"], vec![]), 111));
    assert!(was_mixed(record(&["v1", "v2"], vec![]), 101));
    assert!(was_mixed(record(&["v2"], vec![left("v1", 95)]), 101));
    assert!(!was_mixed(record(&["v2"], vec![left("v1", 90)]), 101));
}

/// The store may hold a record that is newer than the list of endpoints.
#[test]
fn releases_merge_keeps_the_listed_versions_and_the_latest_times() {
    let mut releases = Releases::default();
    releases.update(&snapshot(&["v1"]), at(1));
    releases.update(&snapshot(&["v2"]), at(50));
    releases.merge(SERVICE, &record(&["v2"], vec![left("v1", 20)]), at(60));
    releases.merge(SERVICE, &record(&["v3"], vec![left("v2", 60)]), at(61));
    let release = releases.find(SERVICE).expect("the service is known");
    assert_eq!(release.versions, ["v2"]);
    let expected = record(&["v2"], vec![left("v1", 50), left("v3", 61)]);
    assert_eq!(
        release.to_record(&Record::default(), Duration::ZERO),
        expected
    );
}

#[test]
fn release_is_covered_by_a_record_that_tells_as_much() {
    let tolerance = at(10);
    let mut releases = Releases::default();
    releases.update(&snapshot(&["v1"]), at(1));
    releases.update(&snapshot(&["v2"]), at(50));
    let release = releases.find(SERVICE).expect("the service is known");
    let is_covered = |record: Record, now| release.is_covered_by(&record, tolerance, at(now));
    assert!(!is_covered(Record::default(), 51));
    assert!(!is_covered(record(&["v2"], vec![]), 51));
    assert!(!is_covered(record(&["v1", "v2"], vec![]), 51));
    assert!(!is_covered(record(&["v2"], vec![left("v1", 39)]), 51));
    assert!(is_covered(record(&["v2"], vec![left("v1", 40)]), 51));
    // Too long ago for any stream.
    assert!(is_covered(record(&["v2"], vec![]), 650));
    let known = record(&["v1"], vec![left("v1", 45)]);
    let written = release.to_record(&known, tolerance);
    assert_eq!(written, record(&["v2"], vec![left("v1", 45)]));
    assert!(is_covered(written, 51));
}

#[test]
fn releases_bound_the_versions_that_have_left() {
    let mut releases = Releases::default();
    for number in 0..1_000_u64 {
        let now = Duration::from_millis(number);
        releases.update(&snapshot(&[&format!("v{number}")]), now);
    }
    let release = releases.find(SERVICE).expect("the service is known");
    let record = release.to_record(&Record::default(), Duration::ZERO);
    assert_eq!(record.left.len(), 64);
    assert!(record.left.iter().any(|left| left.version == "v998"));
    assert!(release.was_mixed(RECENT, at(2)));
}
