//! Tests of the quarantine.

use cicadacrank_core::{
    id,
    quarantine::{CRASH_LIMIT, Fingerprint, List, MAX_SUSPECTS, RETENTION, Status, Suspect},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::new("team", "pipeline", "stage", name.as_bytes())
}

fn attempt(number: u128) -> id::Attempt {
    id::Attempt::new(number)
}

#[test]
fn record_crash_quarantines_at_the_second_crash_for_a_time() {
    let mut list = List::default();
    let one = fingerprint("one");
    assert_eq!(list.status(one, START), Status::Clear);
    list.record_crash(one, attempt(1), START);
    list.record_crash(one, attempt(1), START);
    assert_eq!(list.status(one, START), Status::Suspect);
    list.record_crash(one, attempt(2), START);
    assert_eq!(list.status(one, START), Status::Quarantined);
    list.clear(one);
    assert_eq!(list.status(one, START), Status::Quarantined);
    assert_eq!(list.status(one, START + RETENTION), Status::Clear);
    assert_eq!(list.status(fingerprint("other"), START), Status::Clear);
}

#[test]
fn clear_outlives_stale_reports_of_peers() {
    let mut list = List::default();
    let one = fingerprint("one");
    list.record_crash(one, attempt(1), START);
    let sent: Vec<Suspect> = list.suspects(START).collect();
    list.clear(one);
    sent.iter().for_each(|suspect| list.merge(suspect, START));
    assert_eq!(list.status(one, START), Status::Clear);
    let mut peer = List::default();
    sent.iter().for_each(|suspect| peer.merge(suspect, START));
    let sent: Vec<Suspect> = list.suspects(START).collect();
    sent.iter().for_each(|suspect| peer.merge(suspect, START));
    assert_eq!(peer.status(one, START), Status::Clear);
    list.record_crash(one, attempt(2), START);
    assert_eq!(list.status(one, START), Status::Suspect);
}

#[test]
fn merge_is_a_union_and_never_prolongs() {
    let (mut here, mut there) = (List::default(), List::default());
    let one = fingerprint("one");
    here.record_crash(one, attempt(1), START);
    there.record_crash(one, attempt(2), START);
    let later = START + RETENTION / 2;
    for _ in 0..10 {
        let sent: Vec<Suspect> = here.suspects(later).collect();
        sent.iter().for_each(|suspect| there.merge(suspect, later));
        let sent: Vec<Suspect> = there.suspects(later).collect();
        sent.iter().for_each(|suspect| here.merge(suspect, later));
    }
    for list in [&here, &there] {
        assert_eq!(list.status(one, later), Status::Quarantined);
        assert_eq!(list.status(one, START + RETENTION), Status::Clear);
    }
}

#[test]
fn merge_keeps_the_list_bounded_and_quarantined_requests() {
    let mut list = List::default();
    for number in 0..2 {
        list.record_crash(fingerprint("quarantined"), attempt(number), START);
    }
    for number in 0..2 * MAX_SUSPECTS as u128 {
        list.record_crash(fingerprint(&number.to_string()), attempt(number), START);
    }
    assert_eq!(list.len(), MAX_SUSPECTS);
    assert_eq!(
        list.status(fingerprint("quarantined"), START),
        Status::Quarantined
    );
}

/// Runs a sequence of steps with one request that crashes its endpoint and
/// several harmless ones, and returns the number of crashes. Each request is
/// sent again until it succeeds or is refused.
///
/// A step either sends a request to an endpoint or ends a run there. Runs end
/// successfully unless the crashing request runs beside them.
fn crashes(steps: Vec<(u8, u8)>) -> Result<usize, TestCaseError> {
    const REQUESTS: usize = 8;
    const ENDPOINTS: usize = 3;
    let fingerprints: Vec<_> = (0..REQUESTS)
        .map(|request| fingerprint(&request.to_string()))
        .collect();
    let mut list = List::default();
    let mut running: [Vec<usize>; ENDPOINTS] = Default::default();
    let (mut crashes, mut next_attempt) = (0, 0u128);
    let is_suspect =
        |list: &List, request: usize| list.status(fingerprints[request], START) == Status::Suspect;
    for (choice, endpoint) in steps {
        let endpoint = usize::from(endpoint) % ENDPOINTS;
        let request = usize::from(choice) % REQUESTS;
        let is_running = running.iter().flatten().any(|other| *other == request);
        if choice >= 128 {
            // A run ends; if the crashing request runs here, the endpoint
            // crashes with all its runs.
            if running[endpoint].contains(&0) {
                crashes += 1;
                for request in running[endpoint].drain(..) {
                    next_attempt += 1;
                    list.record_crash(fingerprints[request], attempt(next_attempt), START);
                }
            } else if let Some(request) = running[endpoint].pop() {
                list.clear(fingerprints[request]);
            }
            continue;
        }
        let beside_suspect = running[endpoint]
            .iter()
            .any(|other| is_suspect(&list, *other));
        let admitted = match list.status(fingerprints[request], START) {
            Status::Clear => true,
            Status::Suspect => !beside_suspect,
            Status::Quarantined => false,
        };
        if admitted && !is_running {
            running[endpoint].push(request);
        }
    }
    for harmless in &fingerprints[1..] {
        prop_assert_ne!(list.status(*harmless, START), Status::Quarantined);
    }
    Ok(crashes)
}

#[test]
fn list_bounds_the_crashes_and_condemns_no_innocent() {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(any::<(u8, u8)>(), 1..400);
    TestRunner::new_with_rng(config, random)
        .run(&steps, |steps| {
            prop_assert!(crashes(steps)? <= CRASH_LIMIT);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}
