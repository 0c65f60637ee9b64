//! Tests of the quarantine of possible causes of crashes.

use cicadacrank_core::quarantine::{
    Fingerprint, PART_CRASH_LIMIT, REQUEST_CRASH_LIMIT, RETENTION,
    cause::{Cause, Crash, List, Suspect},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{SeedableRng as _, rngs::StdRng};
use std::time::Duration;

/// Number of crashes after which a part must be recognised.
const KNOWN_CRASHES: usize = 5;

/// Time from that crash on in which all gateways must learn of it.
const STABILITY_MS: u64 = 3_000;

/// Number of requests with the part that may reach engines after that.
const MAX_LATE_SENDS: usize = 3;

/// Time for which a process reports a change.
const REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Maximum number of entries in a report.
const MAX_REPORTED: usize = 256;

const fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn part(name: &str) -> Cause {
    Cause::Part(Fingerprint::of_part("llm", name))
}

fn request(name: &str) -> Cause {
    Cause::Request(Fingerprint::new("team", "/chat", "", name.as_bytes()))
}

/// Returns a crash of the engine `endpoint` at `at` milliseconds, 100 ms after the
/// implicated request was sent.
const fn crash(endpoint: u64, at: u64) -> Crash {
    Crash {
        endpoint,
        sent: Duration::from_millis(at - 100),
        at: Duration::from_millis(at),
        cleared: false,
    }
}

/// Returns a list in which engines crashed under requests with the parts, one a
/// second.
fn list(crashes: u64, parts: &[&str]) -> List {
    let mut list = List::default();
    for number in 1..=crashes {
        let causes: Vec<Cause> = parts.iter().map(|name| part(name)).collect();
        list.record_crash(&causes, crash(number, number * 1_000), at(number * 1_000));
    }
    list
}

#[test]
fn find_quarantined_names_a_part_after_crashes_in_a_row() {
    for crashes in 0..PART_CRASH_LIMIT as u64 {
        let list = list(crashes, &["deadly"]);
        assert_eq!(list.find_quarantined(&[part("deadly")]), None, "{crashes}");
    }
    let list = list(PART_CRASH_LIMIT as u64, &["deadly"]);
    let causes = [request("new"), part("other"), part("deadly")];
    assert_eq!(list.find_quarantined(&causes), Some(part("deadly")));
    assert_eq!(list.find_quarantined(&[part("other")]), None);
}

/// Requests that were sent again with the same content.
#[test]
fn find_quarantined_names_a_request_that_crashed_twice() {
    let mut list = List::default();
    for number in 1..=REQUEST_CRASH_LIMIT as u64 {
        assert_eq!(list.find_quarantined(&[request("one")]), None);
        list.record_crash(&[request("one")], crash(number, number * 1_000), at(9_000));
    }
    assert_eq!(
        list.find_quarantined(&[request("one")]),
        Some(request("one"))
    );
}

/// A machine fails, and with it several engines that run requests of one kind.
#[test]
fn find_quarantined_counts_simultaneous_crashes_once() {
    let mut list = List::default();
    for endpoint in 0..20 {
        list.record_crash(
            &[request("lookup"), part("popular")],
            crash(endpoint, 1_000 + endpoint),
            at(2_000),
        );
    }
    let causes = [request("lookup"), part("popular")];
    assert_eq!(list.find_quarantined(&causes), None);
}

/// Several gateways and several requests see one crash.
#[test]
fn record_crash_counts_an_engine_once() {
    let mut list = List::default();
    for number in 0..10 {
        let crash = Crash {
            sent: at(1_000 + number * 100),
            ..crash(7, 2_000)
        };
        list.record_crash(&[request("lookup"), part("a")], crash, at(3_000));
    }
    assert_eq!(list.find_quarantined(&[request("lookup"), part("a")]), None);
}

#[test]
fn clear_covers_only_crashes_before_the_response() {
    let mut list = list(3, &["shared"]);
    list.clear(&[part("shared")], at(2_500), at(4_000));
    assert_eq!(list.find_quarantined(&[part("shared")]), None);
    for number in 4..=5 {
        list.record_crash(&[part("shared")], crash(number, number * 1_000), at(6_000));
    }
    assert_eq!(
        list.find_quarantined(&[part("shared")]),
        Some(part("shared"))
    );
}

/// Another gateway reports a crash later than a response shows that the part is sound.
#[test]
fn clear_covers_crashes_that_become_known_later() {
    let mut cleared = List::default();
    cleared.clear(&[part("popular")], at(3_500), at(3_500));
    for suspect in list(3, &["popular"]).report(at(3_600), REPORT_TIME, MAX_REPORTED) {
        cleared.merge(&suspect, at(3_600));
    }
    assert_eq!(cleared.find_quarantined(&[part("popular")]), None);
    cleared.report(at(20_000), REPORT_TIME, MAX_REPORTED);
    for number in 21..=23 {
        let crash = crash(number, number * 1_000);
        cleared.record_crash(&[part("popular")], crash, at(24_000));
    }
    assert!(cleared.find_quarantined(&[part("popular")]).is_some());
}

/// Parts that always came together: requests with one of them alone show which it is.
#[test]
fn find_quarantined_lets_companions_pass_alone_until_one_is_cleared() {
    let mut list = list(4, &["sound", "deadly"]);
    let both = [part("sound"), part("deadly")];
    assert!(list.find_quarantined(&both).is_some());
    assert_eq!(list.find_quarantined(&[part("sound")]), None);
    assert_eq!(list.find_quarantined(&[part("deadly")]), None);
    list.clear(&[part("sound")], at(4_500), at(5_000));
    assert_eq!(list.find_quarantined(&both), Some(part("deadly")));
    assert_eq!(list.find_quarantined(&[part("sound")]), None);
    assert_eq!(
        list.find_quarantined(&[part("deadly")]),
        Some(part("deadly"))
    );
}

/// A part of sound requests that ran beside the ones that crash.
#[test]
fn find_quarantined_ignores_crashes_that_another_part_explains() {
    let mut list = list(5, &["deadly"]);
    for number in 1..=4 {
        list.record_crash(&[part("beside")], crash(number, number * 1_000), at(6_000));
    }
    assert_eq!(list.find_quarantined(&[part("beside")]), None);
    assert_eq!(
        list.find_quarantined(&[part("deadly")]),
        Some(part("deadly"))
    );
}

#[test]
fn report_forgets_after_the_retention() {
    let mut list = list(3, &["deadly"]);
    list.take_changes();
    let later = at(3_000) + RETENTION;
    assert_eq!(
        list.report(later - at(2_500), REPORT_TIME, MAX_REPORTED)
            .len(),
        1
    );
    list.report(later + at(1), REPORT_TIME, MAX_REPORTED);
    assert_eq!(list.find_quarantined(&[part("deadly")]), None);
}

#[test]
fn take_changes_reports_the_begin_and_the_end_once() {
    let mut list = list(3, &["deadly"]);
    let changes = list.take_changes();
    assert_eq!(changes.len(), 1);
    assert!(changes[0].quarantined);
    assert_eq!(changes[0].cause, part("deadly"));
    assert_eq!(changes[0].crashes, 3);
    assert!(list.take_changes().is_empty());
    list.clear(&[part("deadly")], at(9_000), at(9_000));
    let changes = list.take_changes();
    assert!(!changes[0].quarantined);
}

/// A gateway that missed a clearance must not bring the quarantine back.
#[test]
fn merge_keeps_a_clearance_and_passes_it_on() {
    let mut stale = list(3, &["sound"]);
    let mut cleared = stale.clone();
    cleared.clear(&[part("sound")], at(4_000), at(4_000));
    for suspect in stale.report(at(4_000), REPORT_TIME, MAX_REPORTED) {
        cleared.merge(&suspect, at(4_000));
    }
    assert_eq!(cleared.find_quarantined(&[part("sound")]), None);
    for suspect in cleared.report(at(4_100), REPORT_TIME, MAX_REPORTED) {
        stale.merge(&suspect, at(4_100));
    }
    assert_eq!(stale.find_quarantined(&[part("sound")]), None);
}

/// Reports that travel for a while made the requests of simultaneous crashes look newer.
#[test]
fn merge_keeps_the_time_from_a_request_to_its_crash() {
    const DELAY: Duration = Duration::from_millis(30);
    let mut lists = [List::default(), List::default()];
    for endpoint in 0..6 {
        let crash = crash(endpoint, 1_000 + endpoint);
        lists[0].record_crash(&[part("popular")], crash, at(1_100));
    }
    for exchange in 0..40 {
        let (sender, receiver) = (exchange % 2, (exchange + 1) % 2);
        let now = at(1_100 + 250 * exchange as u64);
        for mut suspect in lists[sender].report(now, RETENTION, MAX_REPORTED) {
            for crash in &mut suspect.crashes {
                crash.at += DELAY;
                crash.sent += DELAY;
            }
            lists[receiver].merge(&suspect, now + DELAY);
        }
    }
    for list in &lists {
        assert_eq!(list.find_quarantined(&[part("popular")]), None);
    }
}

#[test]
fn merge_does_not_depend_on_order_or_repetition() {
    let suspect = |index: u64, cleared: bool, with: &str| Suspect {
        causes: vec![part("a")],
        crashes: vec![Crash {
            cleared,
            ..crash(index, index * 1_000)
        }],
        companions: vec![part(with)],
    };
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let reports = prop::collection::vec((1..6_u64, any::<bool>(), prop::bool::ANY), 1..12);
    let result = TestRunner::new_with_rng(config, rng).run(&(reports, any::<u64>()), |case| {
        let (reports, seed) = case;
        let reports: Vec<Suspect> = reports
            .into_iter()
            .map(|(index, cleared, other)| suspect(index, cleared, if other { "b" } else { "c" }))
            .collect();
        let mut forward = List::default();
        for report in &reports {
            forward.merge(report, at(9_000));
        }
        let mut shuffled = List::default();
        let mut rng = StdRng::seed_from_u64(seed);
        for _ in 0..reports.len() * 8 {
            shuffled.merge(&reports[rng.random_range(0..reports.len())], at(9_000));
        }
        for report in reports.iter().rev() {
            shuffled.merge(report, at(9_000));
        }
        prop_assert_eq!(
            forward.report(at(9_000), REPORT_TIME, MAX_REPORTED),
            shuffled.report(at(9_000), REPORT_TIME, MAX_REPORTED)
        );
        Ok(())
    });
    result.expect("the order of merges matters");
}

/// Causes that came in the same requests are kept together, and apart again when requests
/// show that they differ.
#[test]
fn merge_of_requests_that_overlap_does_not_depend_on_order() {
    const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let step = (0..4_u64, 1..64_usize, prop::bool::weighted(0.2));
    let result = TestRunner::new_with_rng(config, rng).run(
        &(prop::collection::vec(step, 1..16), any::<u64>()),
        |(steps, seed)| {
            let apply = |list: &mut List, (index, set, clears): (u64, usize, bool)| {
                let names = NAMES.iter().enumerate();
                let chosen = names.filter(|(number, _)| set >> number & 1 == 1);
                let causes: Vec<Cause> = chosen.map(|(_, name)| part(name)).collect();
                let time = (index + 1) * 1_000;
                if clears {
                    list.clear(&causes, at(time + 50), at(5_000));
                } else {
                    list.record_crash(&causes, crash(index, time), at(5_000));
                }
            };
            let (mut forward, mut shuffled) = (List::default(), List::default());
            steps.iter().for_each(|step| apply(&mut forward, *step));
            let mut rng = StdRng::seed_from_u64(seed);
            for _ in 0..steps.len() * 4 {
                apply(&mut shuffled, steps[rng.random_range(0..steps.len())]);
            }
            steps
                .iter()
                .rev()
                .for_each(|step| apply(&mut shuffled, *step));
            for set in 1..64_usize {
                let names = NAMES.iter().enumerate();
                let chosen = names.filter(|(number, _)| set >> number & 1 == 1);
                let causes: Vec<Cause> = chosen.map(|(_, name)| part(name)).collect();
                prop_assert_eq!(
                    forward.find_quarantined(&causes),
                    shuffled.find_quarantined(&causes)
                );
            }
            Ok(())
        },
    );
    result.expect("the order of crashes and responses matters");
}

/// One crash under requests with over a thousand parts each made a million entries, and all
/// requests of the process waited for seconds.
#[test]
fn report_of_prompts_with_many_parts_is_bounded_and_names_each_in_turn() {
    const REQUESTS: usize = 40;
    const PARTS: usize = 1_200;
    let causes = |request: usize| -> Vec<Cause> {
        let own = (0..PARTS).map(|number| part(&format!("{request} {number}")));
        own.chain([part("popular")]).collect()
    };
    let (mut list, mut other) = (List::default(), List::default());
    list.record_crash(&[part("short")], crash(1, 1_000), at(1_000));
    for request in 0..REQUESTS {
        list.record_crash(&causes(request), crash(1, 1_000), at(1_000));
    }
    for _ in 0..REQUESTS {
        let report = list.report(at(1_100), REPORT_TIME, MAX_REPORTED);
        let size = |suspect: &Suspect| suspect.causes.len() + suspect.companions.len();
        let total: usize = report.iter().map(size).sum();
        assert!(total <= 2_048 + MAX_REPORTED, "{total} causes");
        assert!(
            report
                .iter()
                .any(|suspect| suspect.causes == [part("short")]),
            "large groups crowd out the others"
        );
        for suspect in &report {
            other.merge(suspect, at(1_100));
        }
    }
    for number in 2..=PART_CRASH_LIMIT as u64 {
        other.record_crash(
            &causes(7),
            crash(number, number * 1_000),
            at(number * 1_000),
        );
    }
    assert!(other.find_quarantined(&causes(7)).is_some());
    assert_eq!(other.find_quarantined(&causes(8)), None);
    // More causes than are kept.
    for request in REQUESTS..2 * REQUESTS {
        list.record_crash(&causes(request), crash(1, 1_000), at(1_200));
    }
    let report = list.report(at(1_200), REPORT_TIME, MAX_REPORTED);
    assert_eq!(report[0].causes, [part("short")]);
}

/// One gateway of the simulation, with the reports that are on their way to it.
#[derive(Default)]
struct Gateway {
    list: List,
    inbox: Vec<(u64, Suspect)>,
}

/// Outcome of a simulated day.
struct Day {
    crashes: usize,
    /// Time of the crash after which the part must be recognised.
    known: Option<u64>,
    /// Requests with the part that were sent to engines too late.
    late_sends: usize,
    sound: usize,
    sound_refused: usize,
}

/// Simulates gateways before engines, with one request each 25 ms of simulated time,
/// of which a share has the deadly part. Requests respond after 200 ms. Reports of
/// gateways arrive 250 ms late.
fn simulate(seed: u64, engines: usize, deadly_share: f64) -> Day {
    const GATEWAYS: usize = 4;
    const STEP_MS: u64 = 25;
    const RESPONSE_MS: u64 = 200;
    const RESTART_MS: u64 = 3_000;
    const END_MS: u64 = 30_000;
    struct Job {
        gateway: usize,
        engine: usize,
        sent: u64,
        causes: Vec<Cause>,
        deadly: bool,
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::default()).collect();
    let mut down_until = vec![0; engines];
    let mut lives = vec![0_u64; engines];
    let mut jobs: Vec<Job> = Vec::new();
    let mut day = Day {
        crashes: 0,
        known: None,
        late_sends: 0,
        sound: 0,
        sound_refused: 0,
    };
    for now in (1_000..END_MS).step_by(STEP_MS as usize) {
        for gateway in &mut gateways {
            let (due, later) = gateway.inbox.drain(..).partition(|(at, _)| *at <= now);
            gateway.inbox = later;
            for (_, suspect) in due as Vec<(u64, Suspect)> {
                gateway.list.merge(&suspect, at(now));
            }
        }
        // A few first parts are frequent; the second ones are rare.
        let first = rng.random_range(0..3);
        let second = rng.random_range(0..40);
        let deadly = rng.random_bool(deadly_share);
        let mut causes = vec![
            request(&format!("{now}")),
            part(&format!("first {first}")),
            part(&format!("{first} then {}", if deadly { 1 } else { second })),
        ];
        if deadly {
            causes.push(part("deadly"));
        }
        let gateway = rng.random_range(0..GATEWAYS);
        let up: Vec<usize> = (0..engines).filter(|one| down_until[*one] <= now).collect();
        day.sound += usize::from(!deadly);
        if gateways[gateway].list.find_quarantined(&causes).is_some() {
            day.sound_refused += usize::from(!deadly);
        } else if !up.is_empty() {
            let late = day.known.is_some_and(|known| known + STABILITY_MS < now);
            day.late_sends += usize::from(deadly && late);
            jobs.push(Job {
                gateway,
                engine: up[rng.random_range(0..up.len())],
                sent: now,
                causes,
                deadly,
            });
        }
        let responding = |job: &Job| job.sent + RESPONSE_MS <= now;
        let crashing: Vec<usize> = jobs
            .iter()
            .filter(|job| job.deadly && responding(job))
            .map(|job| job.engine)
            .collect();
        for job in std::mem::take(&mut jobs) {
            let list = &mut gateways[job.gateway].list;
            if crashing.contains(&job.engine) {
                let crash = Crash {
                    endpoint: job.engine as u64 * 1_000 + lives[job.engine],
                    sent: at(job.sent),
                    at: at(now),
                    cleared: false,
                };
                list.record_crash(&job.causes, crash, at(now));
            } else if responding(&job) {
                list.clear(&job.causes, at(now), at(now));
            } else {
                jobs.push(job);
            }
        }
        for engine in 0..engines {
            if crashing.contains(&engine) {
                day.crashes += 1;
                if day.crashes == KNOWN_CRASHES {
                    day.known = Some(now);
                }
                lives[engine] += 1;
                down_until[engine] = now + RESTART_MS;
            }
        }
        if now % 250 == 0 {
            for sender in 0..GATEWAYS {
                gateways[sender].list.take_changes();
                let report = gateways[sender]
                    .list
                    .report(at(now), REPORT_TIME, MAX_REPORTED);
                for (receiver, gateway) in gateways.iter_mut().enumerate() {
                    if receiver != sender {
                        let report = report.iter().cloned();
                        gateway
                            .inbox
                            .extend(report.map(|suspect| (now + 250, suspect)));
                    }
                }
            }
        }
    }
    day
}

/// Requests with one part in common crashed engines one after the other.
#[test]
fn list_bounds_the_crashes_by_a_part_and_refuses_few_sound_requests() {
    for seed in 0..60 {
        for engines in [6, 12, 40] {
            let day = simulate(seed, engines, 0.05);
            assert!(day.crashes > 0, "seed {seed}");
            assert!(
                day.late_sends <= MAX_LATE_SENDS,
                "seed {seed}, {engines} engines: {} late sends, {} crashes",
                day.late_sends,
                day.crashes
            );
            assert!(
                day.sound_refused * 100 <= day.sound,
                "seed {seed}, {engines} engines: {} of {} refused",
                day.sound_refused,
                day.sound
            );
        }
    }
}
