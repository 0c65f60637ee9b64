//! Tests of what processes tell each other of the causes of crashes.

use cicadacrank_core::quarantine::{
    Fingerprint, PART_CRASH_LIMIT,
    cause::{Cause, Crash},
};
use cicadacrank_node::{clock::Clock, quarantine::Causes};
use std::time::Duration;
use tokio::time;

/// Time for which processes report what has changed.
const RECENT: Duration = Duration::from_secs(2);

const MAX_REPORTED: usize = 16;

/// Returns a process that has quarantined a part of prompts after crashes in a row.
async fn process_with_quarantine(part: Cause) -> Causes {
    let clock = Clock::new();
    let causes = Causes::new(clock);
    for number in 0..PART_CRASH_LIMIT {
        time::advance(Duration::from_secs(3)).await;
        let sent = clock.now();
        time::advance(Duration::from_millis(40)).await;
        let request = Fingerprint::of_part("llm", &format!("request {number}"));
        let crash = Crash {
            endpoint: number as u64,
            sent,
            at: clock.now(),
            cleared: false,
        };
        causes.record_crash(&[part, Cause::Request(request)], crash);
    }
    assert_eq!(causes.find(&[part]), Some(part));
    causes
}

/// A process that started after the crashes took them all for one at its start, and sent the
/// part to endpoints until it had seen enough crashes itself.
#[tokio::test(start_paused = true)]
async fn merge_quarantines_a_cause_of_crashes_before_the_start() {
    let part = Cause::Part(Fingerprint::of_part("llm", "dead"));
    let known = process_with_quarantine(part).await;
    for pause in [0, 1, 60, 500] {
        time::advance(Duration::from_secs(pause)).await;
        let started = Causes::new(Clock::new());
        started.merge(known.report(RECENT, MAX_REPORTED), "other");
        assert_eq!(started.find(&[part]), Some(part), "{pause} s later");
        // What it reports in turn is the same.
        let third = Causes::new(Clock::new());
        third.merge(started.report(RECENT, MAX_REPORTED), "started");
        assert_eq!(
            third.find(&[part]),
            Some(part),
            "{pause} s later, passed on"
        );
    }
}

/// Crashes at the same time count once, also when they were before the start.
#[tokio::test(start_paused = true)]
async fn merge_counts_crashes_at_the_same_time_before_the_start_once() {
    let part = Cause::Part(Fingerprint::of_part("llm", "sound"));
    let clock = Clock::new();
    let known = Causes::new(clock);
    time::advance(Duration::from_secs(3)).await;
    for endpoint in 0..8 {
        let crash = Crash {
            endpoint,
            sent: clock.now(),
            at: clock.now() + Duration::from_millis(1),
            cleared: false,
        };
        known.record_crash(&[part], crash);
    }
    time::advance(Duration::from_secs(1)).await;
    let started = Causes::new(Clock::new());
    started.merge(known.report(RECENT, MAX_REPORTED), "other");
    assert_eq!(started.find(&[part]), None);
}
