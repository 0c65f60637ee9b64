//! Random interleavings of callers, sidecars and faults, from a fixed seed.
//!
//! The checker knows nothing of claims: it compares what endpoints ran with
//! what callers were told.

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

/// Endpoints, one behind each sidecar.
const ENDPOINTS: [&str; 3] = ["booking-desk-01", "booking-desk-02", "booking-desk-03"];

/// Idempotency keys that callers draw from.
const KEYS: [&str; 3] = ["first", "second", "third"];

/// Time after the deadline at which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(120);

/// Longest pause before an action, in milliseconds.
const PAUSE_MS: u64 = 1_500;

#[derive(Clone, Debug)]
enum Action {
    Ask(Request),
    Platform(Faults),
    Endpoint(Behaviour),
    Way(Disruption),
    Pause(usize),
    Resume(usize),
}

#[derive(Clone, Copy, Debug)]
struct Request {
    sidecar: usize,
    key: usize,
    body: u8,
    remaining_ms: u64,
}

/// What a caller asked and was told; `None` if nothing came.
#[derive(Clone, Debug)]
struct Told {
    request: Request,
    attempt: String,
    answer: Option<Answer>,
}

/// Time before an action, in milliseconds; often none.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), 0..50u64, 0..PAUSE_MS]
}

fn action() -> impl Strategy<Value = Action> {
    let sidecar = 0..ENDPOINTS.len();
    prop_oneof![
        10 => request().prop_map(Action::Ask),
        3 => faults().prop_map(Action::Platform),
        2 => Just(Action::Platform(Faults::default())),
        3 => behaviour().prop_map(Action::Endpoint),
        2 => cut().prop_map(Action::Way),
        2 => sidecar.clone().prop_map(Action::Pause),
        3 => sidecar.prop_map(Action::Resume),
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

fn cut() -> impl Strategy<Value = Disruption> {
    let late = Duration::from_millis(700);
    (0..3u64).prop_flat_map(move |at| {
        proptest::sample::select(vec![
            Disruption::Refused,
            Disruption::BeforeJob,
            Disruption::BeforeFrame(at),
            Disruption::Silent(at),
            Disruption::Duplicate(at),
            Disruption::Crossed(at),
            Disruption::Late(at, late),
            Disruption::DuplicateJob,
        ])
    })
}

struct Bench {
    store: Store,
    port: Port,
    link: Link,
    sidecars: Vec<Sidecar>,
}

impl Bench {
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

    fn ask(&self, request: Request, attempt: u128) -> JoinHandle<Told> {
        let job = memory::booking_job(
            ENDPOINTS[request.sidecar],
            attempt,
            KEYS[request.key],
            request.body,
            request.remaining_ms,
        );
        let link = self.link.clone();
        let address = self.sidecars[request.sidecar].address;
        let until = Instant::now() + Duration::from_millis(request.remaining_ms) + PATIENCE;
        tokio::spawn(async move {
            let answer = time::timeout_at(until, memory::send_job(&link, address, job)).await;
            Told {
                request,
                attempt: id::Attempt::new(attempt).to_string(),
                answer: answer.ok(),
            }
        })
    }

    /// Plays the actions; returns what callers were told and what ran.
    async fn play(&self, actions: Vec<(u64, Action)>) -> (Vec<Told>, Vec<Run>) {
        let mut asked = Vec::new();
        for ((pause, action), attempt) in actions.into_iter().zip(1..) {
            time::sleep(Duration::from_millis(pause)).await;
            match action {
                Action::Ask(request) => asked.push(self.ask(request, attempt)),
                Action::Platform(faults) => self.store.state().faults = faults,
                Action::Endpoint(behaviour) => self.port.push(behaviour),
                Action::Way(cut) => self.link.push(cut),
                Action::Pause(number) => self.sidecars[number].process.pause(),
                Action::Resume(number) => self.sidecars[number].process.resume(),
            }
        }
        self.store.state().faults = Faults::default();
        time::sleep(PATIENCE * 2).await;
        // Paused processes wake long after their callers have gone.
        for sidecar in &self.sidecars {
            sidecar.process.resume();
        }
        time::sleep(PATIENCE).await;
        let mut told = Vec::new();
        for one in asked {
            told.push(one.await.expect("a caller"));
        }
        (told, self.port.runs())
    }
}

/// Returns every broken promise.
fn broken(told: &[Told], runs: &[Run]) -> Vec<String> {
    let mut broken = Vec::new();
    for key in KEYS {
        let ran = runs.iter().filter(|run| run.key == key).count();
        if ran > 1 {
            broken.push(format!("key {key} ran {ran} times"));
        }
    }
    for one in told {
        let ran = runs.iter().any(|run| run.attempt == one.attempt);
        match &one.answer {
            Some(
                Answer::Failed {
                    effect: Effect::NotRun,
                    ..
                }
                | Answer::Disconnected { connected: false },
            ) if ran => broken.push(format!("told not run, but it ran: {one:?}")),
            Some(Answer::Whole { output, .. }) => {
                let key = KEYS[one.request.key];
                let own = runs
                    .iter()
                    .any(|run| run.key == key && run.output == output.as_bytes());
                if !own {
                    broken.push(format!("told what no run of its key answered: {one:?}"));
                }
                let bodies = told
                    .iter()
                    .filter(|other| other.request.key == one.request.key);
                let mixed = bodies
                    .filter(|other| matches!(other.answer, Some(Answer::Whole { .. })))
                    .any(|other| other.request.body != one.request.body);
                if mixed {
                    broken.push(format!("two bodies under one key: {one:?}"));
                }
            }
            _ => {}
        }
    }
    broken
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

#[test]
fn run_keeps_the_promise_in_any_order() {
    let actions = collection::vec((pause(), action()), 4..40);
    let whole = Cell::new(0);
    let result = TestRunner::new(config()).run(&actions, |actions| {
        let runtime = runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (told, runs) = runtime.block_on(async { Bench::new().play(actions).await });
        let broken = broken(&told, &runs);
        prop_assert!(broken.is_empty(), "{}", broken.join("\n"));
        let answers = told
            .iter()
            .filter(|one| matches!(one.answer, Some(Answer::Whole { .. })));
        whole.set(whole.get() + answers.count());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    // A search in which nothing is served would find nothing.
    assert!(whole.get() > 400, "{} whole answers", whole.get());
}
