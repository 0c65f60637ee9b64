//! Load of endpoints when many processes select by knowledge that is late.
//!
//! Processes with fleets of their own select among endpoints that queue what they get. Each
//! process knows its own requests, and those of all others as of its newest report. The
//! rule that selects the least cost by the reports as they are plays the same requests.

use cicadacrank_core::{
    config::Config,
    directory::{Endpoint, Incarnation, Snapshot, State},
    placement::{Fleet, Health, Key, Load, Locality, Prompt, Report},
    version::Version,
};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const SERVICE: &str = "engine";

/// Number of endpoints.
const ENDPOINTS: usize = 12;

/// Fraction of the time for which the endpoints work.
const UTILIZATION: f64 = 0.7;

/// Time after which what happens is measured.
const WARM_UP: Duration = Duration::from_secs(4);

/// End of the arrivals.
const END: Duration = Duration::from_secs(12);

/// Time that an endpoint reads one token of a prompt.
const TOKEN: Duration = Duration::from_micros(20);

const OWN_TOKENS: u64 = 2_900;
const SHARED_TOKENS: u64 = 6_300;

/// Number of tokens that the start of a request counts as.
const START_TOKENS: u64 = 1_500;

/// Number of subjects whose requests share a part of their prompts.
const SUBJECTS: u64 = 200;

/// Longest mean response that is accepted in exchange for even load, relative to the rule
/// of the reports.
const WORST_RESPONSE: f64 = 1.1;

/// Mean wait that the users' operators are to see where endpoints were overrun in turns,
/// relative to the rule of the reports.
const HERD_WAITING: f64 = 0.75;

const AGES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];

const SEEDS: [u64; 3] = [1, 2, 3];

/// Times that work takes at the endpoints, in turn, relative to the mean.
const EQUAL: [f64; 3] = [1.0, 1.0, 1.0];
const UNEQUAL: [f64; 3] = [0.7, 0.7, 1.7];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// The product.
    Product,
    /// The endpoint of the least cost by the reports as they are. Slower endpoints are
    /// known, faster ones are not.
    Reports,
}

/// A load of requests and what is known of the endpoints.
#[derive(Clone, Copy, Debug)]
struct Play {
    choosers: usize,
    /// Interval between the reports that a process gets.
    age: Duration,
    times: [f64; 3],
    /// Number of subjects whose requests share a part of their prompts, or `None` if
    /// prompts share nothing.
    subjects: Option<u64>,
    rule: Rule,
    seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Mean time that a request waits at its endpoint, in milliseconds.
    waiting: f64,
    /// Mean over all arrivals of the requests at the busiest endpoint, relative to the mean
    /// of all endpoints.
    busiest: f64,
    /// Mean time from the selection to the end of the work, in milliseconds.
    response: f64,
    /// Thousands of tokens of shared parts that were read again.
    read_again: f64,
}

/// An endpoint that works off its requests in order.
struct Worker {
    free_at: Duration,
    times: f64,
    in_flight: u32,
    subjects: Vec<u64>,
}

/// What one process knows.
struct Chooser {
    fleet: Fleet,
    own: Vec<Load>,
    reported: Vec<Load>,
    health: Vec<Health>,
    baseline: f64,
}

/// The end of the work on a request, or a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Ended {
        chooser: usize,
        worker: usize,
        tokens: u64,
        /// Number of tokens that were known to be before the request and its own.
        expected: u64,
        sent: Duration,
    },
    Reported(usize),
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        life: Incarnation {
            id: format!("e{index:03}"),
            born: Some(1),
        },
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: "x".to_owned(),
        version: "v1".to_owned(),
        slots: 1,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

impl Chooser {
    fn new(processes: usize) -> Self {
        let mut fleet = Fleet::default();
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        fleet.update(
            &Snapshot::new(Version::new(0, 1), endpoints),
            Duration::ZERO,
        );
        fleet.set_processes(processes, 0);
        Self {
            fleet,
            own: vec![Load::default(); ENDPOINTS],
            reported: vec![Load::default(); ENDPOINTS],
            health: vec![Health::new(); ENDPOINTS],
            baseline: 0.0,
        }
    }

    fn select(&self, rule: Rule, prompt: Prompt, seed: u64, now: Duration) -> usize {
        match rule {
            Rule::Product => {
                let locality = Locality {
                    seed,
                    ..Locality::default()
                };
                let config = Config::default();
                let selection = self
                    .fleet
                    .choose_engine(&config, SERVICE, prompt, &locality, now);
                let choice = selection.within_share.expect("an endpoint is available");
                self.index(choice.key)
            }
            Rule::Reports => {
                let cost = |index: usize| {
                    let (own, reported) = (self.own[index], self.reported[index]);
                    let at_home = prompt.shared.is_some() && self.home(prompt) == index;
                    let unread = if at_home {
                        prompt.own_tokens()
                    } else {
                        prompt.tokens
                    };
                    let running = u64::from(own.in_flight + reported.in_flight) * 60;
                    let queue = (own.unread + reported.unread + running) as f64;
                    let cost = queue.mul_add(0.4, (unread + START_TOKENS) as f64);
                    cost * self.health[index].slowness(now)
                };
                let order = |a: &usize, b: &usize| cost(*a).total_cmp(&cost(*b));
                (0..ENDPOINTS).min_by(order).expect("there are endpoints")
            }
        }
    }

    fn index(&self, key: Key) -> usize {
        let row = self.fleet.row(key).expect("the endpoint is listed");
        row.endpoint.life.id[1..].parse().expect("a number")
    }

    /// Returns the home of a prompt, which is the endpoint that an idle fleet selects.
    fn home(&self, prompt: Prompt) -> usize {
        let key = self.fleet.home(SERVICE, prompt, &Locality::default());
        key.map_or(0, |key| self.index(key))
    }

    fn begin(&mut self, worker: usize, tokens: u64, now: Duration) -> u64 {
        let key = self.key(worker);
        let row = self.fleet.row(key).expect("the endpoint is listed");
        let expected = row.unread() + tokens;
        self.fleet.begin(key, tokens, now);
        self.own[worker].in_flight += 1;
        self.own[worker].unread += tokens;
        expected
    }

    fn end(&mut self, worker: usize, tokens: u64, expected: u64, sent: Duration, now: Duration) {
        let took = now - sent;
        let key = self.key(worker);
        self.fleet.record_prefill(key, tokens);
        self.fleet.record_answer(key, expected, took, now);
        self.fleet.record_stay(key, took);
        self.fleet.end(key);
        self.own[worker].in_flight -= 1;
        self.own[worker].unread -= tokens;
        let work = (expected + START_TOKENS) as f64 / START_TOKENS as f64;
        let seconds = took.as_secs_f64() / work;
        if self.baseline == 0.0 {
            self.baseline = seconds;
        }
        let times = seconds / self.baseline;
        self.baseline += (seconds.min(self.baseline * 2.0) - self.baseline) * 0.05;
        self.health[worker].record(Report::Answered(times), now);
    }

    fn key(&self, worker: usize) -> Key {
        let mut usable = self.fleet.usable(SERVICE);
        let found = usable.find(|(_, row)| row.endpoint.life == endpoint(worker).life);
        found.expect("the endpoint is listed").0
    }
}

fn prompt(shared: Option<u64>) -> Prompt {
    let shared_tokens = if shared.is_some() { SHARED_TOKENS } else { 0 };
    Prompt {
        tokens: OWN_TOKENS + shared_tokens,
        shared_tokens,
        shared,
    }
}

/// Tells a process what all of them have in flight.
fn report(chooser: &mut Chooser, all: &[Load], now: Duration) {
    let loads = all.iter().zip(&chooser.own);
    chooser.reported = loads
        .map(|(all, own)| Load {
            in_flight: all.in_flight - own.in_flight,
            unread: all.unread - own.unread,
        })
        .collect();
    let ids = (0..ENDPOINTS).map(|one| endpoint(one).life.id);
    let loads = ids.zip(chooser.reported.iter().copied());
    chooser.fleet.set_peer_loads("others", loads.collect(), now);
}

fn play(play: Play) -> Outcome {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(play.seed);
    let mut choosers: Vec<Chooser> = (0..play.choosers)
        .map(|_| Chooser::new(play.choosers))
        .collect();
    let mut workers: Vec<Worker> = (0..ENDPOINTS)
        .map(|index| Worker {
            free_at: Duration::ZERO,
            times: play.times[index % 3],
            in_flight: 0,
            subjects: Vec::new(),
        })
        .collect();
    for subject in 0..play.subjects.unwrap_or(0) {
        let home = choosers[0].home(prompt(Some(subject)));
        workers[home].subjects.push(subject);
    }
    let mut all = vec![Load::default(); ENDPOINTS];
    let mut steps = BinaryHeap::new();
    if play.choosers > 1 {
        for index in 0..play.choosers {
            report(&mut choosers[index], &all, Duration::ZERO);
            let at = play.age.mul_f64(index as f64 / play.choosers as f64);
            steps.push(Reverse((at, Step::Reported(index))));
        }
    }
    let work = TOKEN * u32::try_from(OWN_TOKENS + START_TOKENS).expect("a small number");
    let capacity: f64 = workers.iter().map(|worker| worker.times.recip()).sum();
    let interval = work.as_secs_f64() / capacity / UTILIZATION;
    let mut now = Duration::ZERO;
    let (mut count, mut waiting, mut busiest, mut response) = (0, 0.0, 0.0, 0.0);
    let mut read_again = 0;
    while now < END {
        let uniform: f64 = random.random();
        now += Duration::from_secs_f64(-(1.0 - uniform).ln() * interval);
        while let Some(Reverse((at, step))) = steps.peek().copied()
            && at <= now
        {
            steps.pop();
            match step {
                Step::Reported(index) => {
                    report(&mut choosers[index], &all, at);
                    steps.push(Reverse((at + play.age, step)));
                }
                Step::Ended {
                    chooser,
                    worker,
                    tokens,
                    expected,
                    sent,
                } => {
                    choosers[chooser].end(worker, tokens, expected, sent, at);
                    workers[worker].in_flight -= 1;
                    all[worker].in_flight -= 1;
                    all[worker].unread -= tokens;
                }
            }
        }
        let index = random.random_range(0..play.choosers);
        let subject = play.subjects.map(|count| random.random_range(0..count));
        let seed = random.next_u64();
        let chosen = choosers[index].select(play.rule, prompt(subject), seed, now);
        let measured = now >= WARM_UP;
        if measured {
            let counts = workers.iter().map(|worker| worker.in_flight);
            let most = counts.clone().max().unwrap_or(0);
            let mean = f64::from(counts.sum::<u32>()) / ENDPOINTS as f64;
            busiest += if mean > 0.0 {
                f64::from(most) / mean
            } else {
                1.0
            };
        }
        let worker = &mut workers[chosen];
        let mut tokens = OWN_TOKENS;
        if let Some(subject) = subject
            && !worker.subjects.contains(&subject)
        {
            worker.subjects.push(subject);
            tokens += SHARED_TOKENS;
            read_again += if measured { SHARED_TOKENS } else { 0 };
        }
        let start = worker.free_at.max(now);
        let took = TOKEN * u32::try_from(tokens + START_TOKENS).expect("a small number");
        worker.free_at = start + took.mul_f64(worker.times);
        worker.in_flight += 1;
        if measured {
            count += 1;
            waiting += (start - now).as_secs_f64() * 1_000.0;
            response += (worker.free_at - now).as_secs_f64() * 1_000.0;
        }
        let expected = choosers[index].begin(chosen, OWN_TOKENS, now);
        all[chosen].in_flight += 1;
        all[chosen].unread += OWN_TOKENS;
        let step = Step::Ended {
            chooser: index,
            worker: chosen,
            tokens: OWN_TOKENS,
            expected,
            sent: now,
        };
        steps.push(Reverse((worker.free_at, step)));
    }
    let count = f64::from(count);
    Outcome {
        waiting: waiting / count,
        busiest: busiest / count,
        response: response / count,
        read_again: read_again as f64 / 1_000.0,
    }
}

/// Returns what the product and the rule of the reports reach, each as the mean over all
/// ages of the reports and all seeds.
fn compare(choosers: usize, times: [f64; 3], subjects: Option<u64>) -> [Outcome; 2] {
    [Rule::Product, Rule::Reports].map(|rule| {
        let outcomes = SEEDS.map(|seed| {
            AGES.map(|age| {
                play(Play {
                    choosers,
                    age,
                    times,
                    subjects,
                    rule,
                    seed,
                })
            })
        });
        let mean = |figure: fn(&Outcome) -> f64| {
            let figures = outcomes.iter().flatten().map(figure);
            figures.sum::<f64>() / (SEEDS.len() * AGES.len()) as f64
        };
        Outcome {
            waiting: mean(|outcome| outcome.waiting),
            busiest: mean(|outcome| outcome.busiest),
            response: mean(|outcome| outcome.response),
            read_again: mean(|outcome| outcome.read_again),
        }
    })
}

fn check(choosers: usize, times: [f64; 3], subjects: Option<u64>) -> [Outcome; 2] {
    let [product, reports] = compare(choosers, times, subjects);
    let case = format!("{choosers} processes, {times:?}, {subjects:?}: {product:?} {reports:?}");
    println!("{case}");
    assert!(
        product.response <= reports.response * WORST_RESPONSE,
        "{case}"
    );
    assert!(product.read_again <= reports.read_again, "{case}");
    [product, reports]
}

/// With few processes, most of the load is known at each of them.
#[test]
fn few_processes_lose_little_to_the_rule_of_the_reports() {
    for choosers in [1, 4] {
        for times in [EQUAL, UNEQUAL] {
            check(choosers, times, None);
        }
    }
}

/// Endpoints are overrun in turns if many processes send to the one that looked best.
#[test]
fn many_processes_with_late_knowledge_do_not_overrun_endpoints_in_turns() {
    for times in [EQUAL, UNEQUAL] {
        check(24, times, None);
        let [product, reports] = check(390, times, None);
        assert!(product.waiting <= reports.waiting * HERD_WAITING);
        assert!(product.busiest < reports.busiest);
    }
}

#[test]
fn shared_parts_stay_where_they_are_and_requests_wait_no_longer() {
    for choosers in [1, 4] {
        for times in [EQUAL, UNEQUAL] {
            check(choosers, times, Some(SUBJECTS));
        }
    }
}

#[test]
fn shared_parts_stay_where_they_are_with_many_processes() {
    for times in [EQUAL, UNEQUAL] {
        for choosers in [24, 390] {
            let [product, reports] = check(choosers, times, Some(SUBJECTS));
            if times == UNEQUAL {
                assert!(product.waiting < reports.waiting);
            }
        }
    }
}
