//! Random interleavings of callers, sidecars and faults, from a fixed seed.
//!
//! The checks do not depend on how claims work: they compare the runs at the
//! endpoints with the answers that callers received.

use cicadacrank_bench::{
    memory::{self, Answer, Behaviour, Disruption, Link, Port, Run, Sidecar, Store},
    platform::Faults,
};
use cicadacrank_core::{error::Effect, id};
use proptest::{
    collection,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed, TestRunner},
};
use std::{cell::Cell, time::Duration};
use tokio::{
    runtime,
    task::JoinHandle,
    time::{self, Instant},
};

const RULES: &str = include_str!("../../../samples/bergvik.rules");

/// Names of the endpoints; each has its own sidecar.
const ENDPOINTS: [&str; 3] = ["booking-desk-01", "booking-desk-02", "booking-desk-03"];

/// Idempotency keys of the requests.
const KEYS: [&str; 3] = ["first", "second", "third"];

/// Time after the deadline at which a caller gives up.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(120);

/// Upper bound of the delay before an action, in milliseconds.
const MAX_DELAY_MS: u64 = 1_500;

#[derive(Clone, Debug)]
enum Action {
    Send(Request),
    Platform(Faults),
    Endpoint(Behaviour),
    Network(Disruption),
    Pause(usize),
    Resume(usize),
    /// Copy what the platform holds.
    Copy,
    /// Let the platform come back from the newest copy.
    Restore,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    sidecar: usize,
    key: usize,
    body: u8,
    remaining_ms: u64,
}

/// Request of a caller and its answer; `None` if the caller gave up first.
#[derive(Clone, Debug)]
struct Call {
    request: Request,
    attempt: String,
    answer: Option<Answer>,
}

/// Generates the delay before an action, in milliseconds; often zero.
fn delay() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), 0..50u64, 0..MAX_DELAY_MS]
}

fn action() -> impl Strategy<Value = Action> {
    let sidecar = 0..ENDPOINTS.len();
    prop_oneof![
        10 => request().prop_map(Action::Send),
        3 => faults().prop_map(Action::Platform),
        2 => Just(Action::Platform(Faults::default())),
        3 => behaviour().prop_map(Action::Endpoint),
        2 => disruption().prop_map(Action::Network),
        2 => sidecar.clone().prop_map(Action::Pause),
        3 => sidecar.prop_map(Action::Resume),
    ]
}

/// Generates actions of a platform that comes back from copies, and that loses calls or
/// their answers if `loses_calls` is set. Sidecars are not paused: one that is paused
/// during a recovery cannot write its claims again in time.
fn action_with_restores(loses_calls: bool) -> impl Strategy<Value = Action> {
    let faults = faults().prop_map(move |faults| {
        let lost = u32::from(loses_calls);
        Action::Platform(Faults {
            lose_answers: faults.lose_answers * lost,
            lose_calls: faults.lose_calls * lost,
            ..faults
        })
    });
    prop_oneof![
        10 => request().prop_map(Action::Send),
        2 => faults,
        3 => Just(Action::Platform(Faults::default())),
        2 => behaviour().prop_map(Action::Endpoint),
        1 => disruption().prop_map(Action::Network),
        2 => Just(Action::Copy),
        2 => Just(Action::Restore),
    ]
}

fn request() -> impl Strategy<Value = Request> {
    let remaining = prop_oneof![Just(100), Just(1_000), Just(4_000)];
    let body = prop_oneof![9 => Just(1), 1 => Just(2)];
    (0..ENDPOINTS.len(), 0..KEYS.len(), body, remaining).prop_map(
        |(sidecar, key, body, remaining_ms)| Request {
            sidecar,
            key,
            body,
            remaining_ms,
        },
    )
}

fn faults() -> impl Strategy<Value = Faults> {
    let delay = prop_oneof![Just(0), Just(5), Just(40), Just(400)];
    (any::<(bool, bool, bool, bool)>(), delay, 0..3u32, 0..3u32).prop_map(
        |((down, or_down, throttled, or_throttled), delay_ms, lose_answers, lose_calls)| Faults {
            down: down && or_down,
            throttled: throttled && or_throttled,
            delay_ms,
            lose_answers,
            lose_calls,
            ..Faults::default()
        },
    )
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        proptest::sample::select(Behaviour::ALL.to_vec()),
        (1..800u64).prop_map(|delay| Behaviour::Answer(Duration::from_millis(delay))),
    ]
}

fn disruption() -> impl Strategy<Value = Disruption> {
    let delay = Duration::from_millis(700);
    (0..3u64).prop_flat_map(move |frame| {
        proptest::sample::select(vec![
            Disruption::Refused,
            Disruption::BeforeJob,
            Disruption::BeforeFrame(frame),
            Disruption::Silent(frame),
            Disruption::Duplicate(frame),
            Disruption::Crossed(frame),
            Disruption::Late(frame, delay),
            Disruption::DuplicateJob,
        ])
    })
}

struct Simulation {
    store: Store,
    port: Port,
    link: Link,
    sidecars: Vec<Sidecar>,
}

impl Simulation {
    fn new() -> Self {
        let store = Store::new();
        let slow = Behaviour::Answer(Duration::from_millis(30));
        let port = Port::new().with_default_behaviour(slow);
        let sidecars: Vec<Sidecar> = ENDPOINTS
            .iter()
            .zip(0..)
            .map(|(endpoint, number)| Sidecar::new(number, &[endpoint], RULES, &store, &port))
            .collect();
        Self {
            link: Link::new(sidecars.clone()),
            store,
            port,
            sidecars,
        }
    }

    fn send(&self, request: Request, attempt: u128) -> JoinHandle<Call> {
        let job = memory::booking_job(
            ENDPOINTS[request.sidecar],
            attempt,
            KEYS[request.key],
            request.body,
            request.remaining_ms,
        );
        let link = self.link.clone();
        let address = self.sidecars[request.sidecar].address;
        let deadline =
            Instant::now() + Duration::from_millis(request.remaining_ms) + TIMEOUT_MARGIN;
        tokio::spawn(async move {
            let answer = time::timeout_at(deadline, memory::send_job(&link, address, job)).await;
            Call {
                request,
                attempt: id::Attempt::new(attempt).to_string(),
                answer: answer.ok(),
            }
        })
    }

    /// Runs the actions, each after its delay; returns the calls with their answers and
    /// the runs at the endpoints.
    async fn run_actions(&self, actions: Vec<(u64, Action)>) -> (Vec<Call>, Vec<Run>) {
        let mut tasks = Vec::new();
        let mut copy = self.store.state().save();
        for ((delay, action), attempt) in actions.into_iter().zip(1..) {
            time::sleep(Duration::from_millis(delay)).await;
            match action {
                Action::Send(request) => tasks.push(self.send(request, attempt)),
                Action::Platform(faults) => self.store.state().faults = faults,
                Action::Endpoint(behaviour) => self.port.push(behaviour),
                Action::Network(disruption) => self.link.push(disruption),
                Action::Pause(number) => self.sidecars[number].process.pause(),
                Action::Resume(number) => self.sidecars[number].process.resume(),
                Action::Copy => copy = self.store.state().save(),
                Action::Restore => self.store.state().restore(&copy),
            }
        }
        self.store.state().faults = Faults::default();
        time::sleep(TIMEOUT_MARGIN * 2).await;
        // Paused processes resume long after their callers have given up.
        for sidecar in &self.sidecars {
            sidecar.process.resume();
        }
        time::sleep(TIMEOUT_MARGIN).await;
        let mut calls = Vec::new();
        for task in tasks {
            calls.push(task.await.expect("the caller does not panic"));
        }
        (calls, self.port.runs())
    }
}

/// Returns a description of every violated guarantee.
fn find_violations(calls: &[Call], runs: &[Run]) -> Vec<String> {
    let mut violations = Vec::new();
    for key in KEYS {
        let run_count = runs.iter().filter(|run| run.key == key).count();
        if run_count > 1 {
            violations.push(format!("key {key} ran {run_count} times"));
        }
    }
    for call in calls {
        let has_run = runs.iter().any(|run| run.attempt == call.attempt);
        match &call.answer {
            Some(
                Answer::Failed {
                    effect: Effect::NotRun,
                    ..
                }
                | Answer::Disconnected { connected: false },
            ) if has_run => violations.push(format!(
                "answered \"not run\", but the attempt ran: {call:?}"
            )),
            Some(Answer::Whole { output, .. }) => {
                let key = KEYS[call.request.key];
                let is_run_output = runs
                    .iter()
                    .any(|run| run.key == key && run.output == output.as_bytes());
                if !is_run_output {
                    violations.push(format!(
                        "answered with output that no run of its key produced: {call:?}"
                    ));
                }
                let same_key = calls
                    .iter()
                    .filter(|other| other.request.key == call.request.key);
                let has_other_body = same_key
                    .filter(|other| matches!(other.answer, Some(Answer::Whole { .. })))
                    .any(|other| other.request.body != call.request.body);
                if has_other_body {
                    violations.push(format!(
                        "answered two different bodies with the same key: {call:?}"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x00c1_cada),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

/// Runs many interleavings of the actions, and panics if one violates a guarantee.
fn search(action: impl Strategy<Value = Action>) {
    let actions = collection::vec((delay(), action), 4..40);
    let complete_answers = Cell::new(0);
    let result = TestRunner::new(config()).run(&actions, |actions| {
        let runtime = runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("the runtime starts");
        let (calls, runs) =
            runtime.block_on(async { Simulation::new().run_actions(actions).await });
        let violations = find_violations(&calls, &runs);
        prop_assert!(violations.is_empty(), "{}", violations.join("\n"));
        let answers = calls
            .iter()
            .filter(|call| matches!(call.answer, Some(Answer::Whole { .. })));
        complete_answers.set(complete_answers.get() + answers.count());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    // A search in which no request is served would find no violation.
    assert!(
        complete_answers.get() > 400,
        "only {} complete answers",
        complete_answers.get()
    );
}

#[test]
fn run_keeps_its_guarantees_in_any_interleaving() {
    search(action());
}

// Guards against work that runs twice, because its claim was lost when the platform came
// back from a copy.
#[test]
fn run_keeps_its_guarantees_while_the_platform_comes_back_from_copies() {
    search(action_with_restores(false));
}

// Guards against the same where holders cannot write their claims again at once.
#[test]
fn run_keeps_its_guarantees_while_the_platform_comes_back_and_loses_calls() {
    search(action_with_restores(true));
}
