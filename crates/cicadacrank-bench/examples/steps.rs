//! Measures the processor time of the longest steps that a gateway does for crashes of endpoints, by the number of
//! parts of the prompts: 1, 10 and 100 times the usual number.
//!
//! ```sh
//! cargo run --release -p cicadacrank-bench --example steps
//! ```

use cicadacrank_core::quarantine::{
    Fingerprint,
    cause::{Cause, Crash, List},
};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Numbers of parts of a prompt.
const PARTS: [usize; 3] = [12, 120, 1_200];

/// Number of requests in flight at an endpoint that crashes.
const IN_FLIGHT: usize = 64;

/// Number of endpoints that crash one after the other.
const CRASHES: u64 = 4;

/// Number of the parts that all prompts share, of four.
const SHARED_QUARTERS: usize = 1;

/// Maximum number of causes in a report.
const MAX_REPORTED: usize = 256;

/// Time for which a change is reported.
const REPORT_TIME: Duration = Duration::from_millis(1_500);

fn main() {
    println!("Longest step of {CRASHES} crashes with {IN_FLIGHT} requests each, in us:");
    println!("| parts | record a crash | merge a report | form a report | clear | find |");
    println!("|---|---|---|---|---|---|");
    for parts in PARTS {
        let longest = measure(parts);
        let cells = longest.map(|time| format!("{:.0}", time.as_secs_f64() * 1e6));
        println!("| {parts} | {} |", cells.join(" | "));
    }
}

/// Returns the longest step of each kind.
fn measure(parts: usize) -> [Duration; 5] {
    let (mut list, mut other) = (List::default(), List::default());
    let mut longest = [Duration::ZERO; 5];
    for crash in 1..=CRASHES {
        let now = Duration::from_secs(crash);
        for request in 0..IN_FLIGHT {
            let causes = causes(parts, crash, request);
            let crash = Crash {
                endpoint: crash,
                sent: now,
                at: now,
                cleared: false,
            };
            record(&mut longest[0], || list.record_crash(&causes, crash, now));
            record(&mut longest[4], || list.find_quarantined(&causes));
        }
        let report = record(&mut longest[2], || {
            list.report(now, REPORT_TIME, MAX_REPORTED)
        });
        record(&mut longest[1], || {
            for suspect in &report {
                other.merge(suspect, now);
            }
            other.take_changes()
        });
    }
    for request in 0..IN_FLIGHT {
        let now = Duration::from_secs(CRASHES + 1);
        let causes = causes(parts, 1, request);
        record(&mut longest[3], || list.clear(&causes, now, now));
    }
    longest
}

/// Returns the causes of a request: itself, parts that all requests share and parts of its
/// own.
fn causes(parts: usize, crash: u64, request: usize) -> Vec<Cause> {
    let shared = parts * SHARED_QUARTERS / 4;
    let part = |number: usize| {
        let name = if number < shared {
            format!("shared {number}")
        } else {
            format!("{crash} {request} {number}")
        };
        Cause::Part(Fingerprint::of_part("llm", &name))
    };
    let digest = format!("{crash} {request}");
    let request = Cause::Request(Fingerprint::new("team", "/", "", digest.as_bytes()));
    [request].into_iter().chain((0..parts).map(part)).collect()
}

/// Runs a step, and records its duration if it is the longest.
fn record<T>(longest: &mut Duration, step: impl FnOnce() -> T) -> T {
    let began = processor_time();
    let result = step();
    *longest = (processor_time() - began).max(*longest);
    result
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}
