//! Tests of the limits that endpoints state, under the load that breaks them.

use cicadacrank_core::{
    directory::{Endpoint, Incarnation, Snapshot, State},
    placement::{Fleet, Key, Limit, Locality},
    version::Version,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const SERVICE: &str = "engine";

/// Window in which a stated limit is broken above 1.5 times the limit and 5 requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the first statement from which on the limit holds.
const STABILITY: Duration = Duration::from_secs(3);

/// Time between two heartbeats of a gateway, and until they arrive.
const HEARTBEAT: Duration = Duration::from_millis(250);

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        life: incarnation(number),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        data_centre: "one".to_owned(),
        version: "v1".to_owned(),
        slots: 16,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation {
        id: format!("i-{number:02}"),
        born: Some(1),
    }
}

fn fleet(endpoints: usize, processes: usize, position: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let snapshot = Snapshot {
        version: Version::new(0, 1),
        endpoints: (0..endpoints).map(endpoint).collect(),
    };
    fleet.update(&snapshot, Duration::ZERO);
    fleet.set_processes(processes, position);
    fleet
}

const fn limit(per_second: Option<f64>, at: Duration) -> Limit {
    Limit { per_second, at }
}

fn choose(fleet: &Fleet, now: Duration) -> Option<Key> {
    fleet.choose_plain(SERVICE, &Locality::default(), now)
}

#[test]
fn record_limit_follows_the_newest_statement() {
    let at = Duration::from_secs;
    let mut fleet = fleet(1, 1, 0);
    let life = incarnation(0);
    assert!(fleet.record_limit(&life, limit(Some(2.0), at(10))));
    assert!(!fleet.record_limit(&life, limit(Some(2.0), at(11))));
    assert!(!fleet.record_limit(&life, limit(None, at(9))), "older");
    assert!(fleet.record_limit(&life, limit(None, at(12))));
    assert!(!fleet.record_limit(&life, limit(None, at(13))), "no change");
    assert_eq!(fleet.stated_limits(at(13), at(2)).count(), 1);
    assert_eq!(fleet.stated_limits(at(15), at(2)).count(), 0);
}

/// A statement that two gateways kept reporting to each other never aged.
#[test]
fn reported_statement_never_looks_newer_than_it_is() {
    const DELAY: Duration = Duration::from_millis(30);
    let mut fleets = [fleet(1, 2, 0), fleet(1, 2, 1)];
    let life = incarnation(0);
    let begin = Duration::from_secs(20);
    fleets[0].record_limit(&life, limit(Some(0.1), begin));
    let mut now = begin;
    for exchange in 0..1_000 {
        let (sender, receiver) = (exchange % 2, (exchange + 1) % 2);
        let reports: Vec<Limit> = fleets[sender]
            .stated_limits(now, Duration::from_secs(2))
            .map(|(_, limit)| limit)
            .collect();
        for report in reports {
            let age = now - report.at;
            let received = now + DELAY;
            let report = Limit::reported(report.per_second, age, received);
            fleets[receiver].record_limit(&life, report);
        }
        now += DELAY;
    }
    assert!(
        now > begin + Duration::from_secs(11),
        "much longer than a statement is reported"
    );
    for fleet in &fleets {
        let reports = fleet.stated_limits(now, Duration::from_secs(2));
        assert_eq!(reports.count(), 0);
        let row = fleet.row_of(&life).expect("the endpoint is listed");
        let at = row.last_limit().expect("the statement is kept").at;
        assert!(at <= begin, "{at:?}");
    }
}

/// A gateway that had just started dropped a report of a limit that was older than itself.
#[test]
fn reported_statement_from_before_the_start_of_the_process_counts() {
    let mut fleet = fleet(1, 1, 0);
    let now = Duration::from_millis(40);
    let report = Limit::reported(Some(1.0), Duration::from_secs(1), now);
    assert!(fleet.record_limit(&incarnation(0), report));
    let newer = Limit::reported(None, Duration::ZERO, now + Duration::from_millis(100));
    assert!(fleet.record_limit(&incarnation(0), newer));
    assert!(
        !fleet.record_limit(&incarnation(0), report),
        "older than the last"
    );
}

#[test]
fn choose_plain_keeps_to_the_share_and_uses_other_endpoints() {
    let mut fleet = fleet(2, 2, 0);
    let now = Duration::from_secs(20);
    fleet.record_limit(&incarnation(0), limit(Some(1.0), now));
    let mut sends = [0, 0];
    for number in 0..40 {
        let now = now + Duration::from_millis(number * 50);
        let key = choose(&fleet, now).expect("the other endpoint has no limit");
        let row = fleet.row(key).expect("the endpoint is listed");
        sends[usize::from(row.endpoint.life == incarnation(1))] += 1;
        fleet.begin(key, 0, now);
        fleet.end(key);
    }
    assert_eq!(sends[0], 2, "half of four requests in four seconds");
}

#[test]
fn choose_plain_ignores_a_limit_that_ended() {
    let mut fleet = fleet(1, 1, 0);
    let now = Duration::from_secs(20);
    fleet.record_limit(&incarnation(0), limit(Some(0.1), now));
    assert!(choose(&fleet, now).is_none());
    fleet.record_limit(&incarnation(0), limit(None, now + Duration::from_millis(1)));
    assert!(choose(&fleet, now + Duration::from_secs(1)).is_some());
}

/// An endpoint that got no requests for ten seconds, as while its data centre is evacuated,
/// could state nothing, and got all requests at once afterwards.
#[test]
fn choose_plain_keeps_to_a_limit_until_an_answer_states_none() {
    let mut fleet = fleet(1, 2, 0);
    let now = Duration::from_secs(20);
    fleet.record_limit(&incarnation(0), limit(Some(1.0), now));
    for after in [11, 60, 3_600] {
        let now = now + Duration::from_secs(after);
        let sends = (0..20).filter(|_| {
            let key = choose(&fleet, now);
            key.inspect(|key| fleet.begin(*key, 0, now)).is_some()
        });
        assert_eq!(sends.count(), 2, "after {after} s");
    }
}

#[test]
fn sends_until_counts_the_requests_that_limits_leave() {
    let mut fleet = fleet(2, 1, 0);
    let now = Duration::from_secs(20);
    for number in 0..2 {
        fleet.record_limit(&incarnation(number), limit(Some(1.0), now));
    }
    let until = now + Duration::from_secs(1);
    assert_eq!(
        fleet.sends_until(SERVICE, 0.0, &Locality::default(), now, until),
        8
    );
    for _ in 0..8 {
        let key = choose(&fleet, now).expect("the limits leave a request");
        fleet.begin(key, 0, now);
    }
    assert!(choose(&fleet, now).is_none());
    assert_eq!(
        fleet.sends_until(SERVICE, 0.0, &Locality::default(), now, until),
        0
    );
    let later = now + Duration::from_secs(5);
    assert_eq!(
        fleet.sends_until(SERVICE, 0.0, &Locality::default(), now, later),
        8
    );
    let next = now + Duration::from_secs(9);
    assert_eq!(
        fleet.sends_until(SERVICE, 0.0, &Locality::default(), now, next),
        16
    );
    assert_eq!(
        fleet.sends_until("other", 0.0, &Locality::default(), now, next),
        0
    );
}

fn list(fleet: &mut Fleet, endpoints: Vec<Endpoint>, now: Duration) {
    let snapshot = Snapshot::new(Version::new(0, 2), endpoints);
    fleet.update(&snapshot, now);
}

/// Sends as many requests as the share allows, and returns their number.
fn send_all(fleet: &mut Fleet, now: Duration) -> usize {
    let sends = (0..20).filter(|_| {
        let key = choose(fleet, now);
        key.inspect(|key| fleet.begin(*key, 0, now)).is_some()
    });
    sends.count()
}

/// An endpoint whose registration lapsed while the store was away was listed again without
/// its limit, and without the requests that it had just got.
#[test]
fn limit_and_sends_outlast_a_registration_that_lapses() {
    let mut fleet = fleet(1, 2, 0);
    let now = Duration::from_secs(20);
    fleet.record_limit(&incarnation(0), limit(Some(1.0), now));
    assert_eq!(send_all(&mut fleet, now), 2);
    list(&mut fleet, Vec::new(), now);
    list(&mut fleet, vec![endpoint(0)], now);
    assert_eq!(send_all(&mut fleet, now), 0, "the share is used up");
    assert_eq!(send_all(&mut fleet, now + WINDOW * 2), 2);
}

/// Grants were given twice within a window when a registration lapsed between them.
#[test]
fn grants_outlast_a_registration_that_lapses() {
    let mut fleet = fleet(1, 2, 0);
    let (now, life) = (Duration::from_secs(20), incarnation(0));
    fleet.record_limit(&life, limit(Some(1.0), now));
    let grant = |fleet: &mut Fleet| {
        let grants = (0..9).filter(|_| fleet.try_grant(&life, None, now, now));
        grants.count()
    };
    assert_eq!(grant(&mut fleet), 3);
    list(&mut fleet, Vec::new(), now);
    list(&mut fleet, vec![endpoint(0)], now);
    assert_eq!(grant(&mut fleet), 0, "the reserve is used up");
}

/// The directory may name the incarnation that an endpoint had seconds before, so that a
/// limit is learnt under another one than it is listed with next.
#[test]
fn limit_holds_for_the_next_incarnation_until_it_answers_without_one() {
    let mut fleet = fleet(1, 2, 0);
    let now = Duration::from_secs(20);
    fleet.record_limit(&incarnation(0), limit(Some(1.0), now));
    assert_eq!(send_all(&mut fleet, now), 2);
    let mut restarted = endpoint(0);
    restarted.life.born = Some(2);
    list(&mut fleet, vec![restarted.clone()], now);
    assert_eq!(send_all(&mut fleet, now), 0, "the share is used up");
    let later = now + Duration::from_millis(1);
    fleet.record_limit(&restarted.life, limit(None, later));
    assert!(send_all(&mut fleet, later) > 2);
}

#[test]
fn limit_that_is_reported_before_its_endpoint_is_listed_holds() {
    let mut fleet = fleet(0, 2, 0);
    let now = Duration::from_secs(20);
    fleet.record_limit(&incarnation(0), limit(Some(1.0), now));
    list(&mut fleet, vec![endpoint(0)], now);
    assert_eq!(send_all(&mut fleet, now), 2);
}

#[test]
fn limits_of_unlisted_endpoints_are_bounded_and_the_newest_are_kept() {
    let mut fleet = fleet(0, 2, 0);
    let now = Duration::from_secs(20);
    for number in 0..2_000 {
        let at = now + Duration::from_millis(number);
        let number = usize::try_from(number).expect("few");
        fleet.record_limit(&incarnation(number), limit(Some(1.0), at));
    }
    let later = now + Duration::from_secs(2);
    list(&mut fleet, vec![endpoint(0)], later);
    assert_eq!(send_all(&mut fleet, later), 20, "the oldest is forgotten");
    list(&mut fleet, vec![endpoint(1_999)], later);
    assert_eq!(send_all(&mut fleet, later), 2, "the newest is kept");
}

/// Returns the times at which gateways that knew of the limit sent requests to the
/// endpoints that state one.
fn simulate(seed: u64, gateways: usize, per_second: f64) -> Vec<Vec<Duration>> {
    const ENDPOINTS: usize = 6;
    const LIMITED: usize = 4;
    const STEP_MS: u64 = 10;
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut fleets: Vec<Fleet> = (0..gateways)
        .map(|position| fleet(ENDPOINTS, gateways, position))
        .collect();
    let mut sends = vec![Vec::new(); LIMITED];
    let begin = Duration::from_secs(6);
    // Statements on their way: when, to which gateway, by which endpoint, its limit.
    let mut answers: Vec<(Duration, usize, usize, Limit)> = Vec::new();
    for step in 0..2_500 {
        let now = Duration::from_millis(STEP_MS * step);
        let (due, later) = answers.into_iter().partition(|answer| answer.0 <= now);
        answers = later;
        for (_, gateway, number, limit) in due as Vec<(Duration, usize, usize, Limit)> {
            fleets[gateway].record_limit(&incarnation(number), limit);
        }
        if now.as_millis().is_multiple_of(HEARTBEAT.as_millis()) {
            for sender in 0..gateways {
                let reports: Vec<(Incarnation, Limit)> = fleets[sender]
                    .stated_limits(now, Duration::from_secs(2))
                    .map(|(life, limit)| (life.clone(), limit))
                    .collect();
                for _ in 0..8 {
                    let receiver = random.random_range(0..gateways);
                    for (life, limit) in &reports {
                        fleets[receiver].record_limit(life, *limit);
                    }
                }
            }
        }
        for _ in 0..4 {
            let gateway = random.random_range(0..gateways);
            let fleet = &mut fleets[gateway];
            let (key, granted) = match choose(fleet, now) {
                Some(key) => (key, false),
                None => {
                    let Some(key) =
                        fleet.choose_plain_beyond_share(SERVICE, &Locality::default(), now)
                    else {
                        continue;
                    };
                    let row = fleet.row(key).expect("the endpoint is listed");
                    let life = row.endpoint.life.clone();
                    let number: usize = life.id[2..].parse().expect("numbered");
                    // One gateway keeps the reserve of each endpoint.
                    let grantor = number % gateways;
                    if !fleets[grantor].try_grant(&life, None, now, now) {
                        continue;
                    }
                    (key, true)
                }
            };
            let fleet = &mut fleets[gateway];
            let row = fleet.row(key).expect("the endpoint is listed");
            let number: usize = row.endpoint.life.id[2..].parse().expect("numbered");
            if granted {
                fleet.begin_granted(key, 0);
            } else {
                fleet.begin(key, 0, now);
            }
            fleet.end(key);
            if number < LIMITED {
                sends[number].push(now);
            }
            let answered = now + Duration::from_millis(random.random_range(20..400));
            let stated = (number < LIMITED && answered >= begin).then_some(per_second);
            answers.push((answered, gateway, number, limit(stated, answered)));
        }
    }
    sends.iter_mut().for_each(|times| {
        times.retain(|at| *at >= begin + STABILITY + Duration::from_millis(400));
    });
    sends
}

/// Many gateways kept sending to endpoints that had stated a limit for all of them.
#[test]
fn shares_keep_all_gateways_within_a_stated_limit() {
    for seed in 0..8 {
        for gateways in [1, 4, 13, 42] {
            for per_second in [0.5, 2.0, 8.0] {
                let allowed = (per_second * 1.5_f64).mul_add(WINDOW.as_secs_f64(), 5.0);
                for times in simulate(seed, gateways, per_second) {
                    let case = format!("seed {seed}, {gateways} gateways, limit {per_second}");
                    for (index, start) in times.iter().enumerate() {
                        let window = times[index..].iter();
                        let count = window.take_while(|at| **at < *start + WINDOW).count();
                        assert!(count as f64 <= allowed, "{case}: {count} in four seconds");
                    }
                    let seconds = 15.0;
                    let least = per_second * seconds * 0.5;
                    assert!(
                        times.len() as f64 >= least,
                        "{case}: only {} in {seconds} s",
                        times.len()
                    );
                }
            }
        }
    }
}
