//! Work that may not be repeated, under failure: each case is a row.

use cicadacrank_bench::{
    memory::{self, Behaviour, Disruption, Link, Port, Sidecar, Store},
    platform::Faults,
};
use std::time::Duration;
use tokio::{
    task::{self, JoinHandle},
    time::{self, Instant},
};

const RULES: &str = include_str!("../../../samples/bergvik.rules");

/// Endpoints, one behind each sidecar.
const ENDPOINTS: [&str; 2] = ["booking-desk-01", "booking-desk-02"];

/// Time after the deadline at which a caller gives up.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(120);

/// Time after the deadline at which an answer counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(100);

/// One step of a case.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends the request to a sidecar, with a body and a deadline in
    /// milliseconds; goes on at once.
    Submit(usize, u8, u64),
    /// Sends a request under another key, whose answer nobody reads.
    Occupy(usize),
    /// Waits for the answers to all that was asked.
    Await,
    /// Sets what the platform does wrong.
    Platform(fn(&mut Faults)),
    /// Adds what the next call of an endpoint meets.
    Endpoint(Behaviour),
    /// Adds what the next job meets on its way.
    Disrupt(Disruption),
    /// Pauses a sidecar; for good, that is killing it.
    Pause(usize),
    /// Lets a sidecar go on.
    Resume(usize),
    /// Lets time pass, in milliseconds.
    Wait(u64),
}

use Step::{Await, Disrupt, Endpoint, Occupy, Pause, Platform, Resume, Submit, Wait};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    answers: &'static [&'static str],
    runs: usize,
}

const SLOW: Behaviour = Behaviour::Answer(Duration::from_millis(200));
const DELAY: Step = Platform(|faults| faults.delay_ms = 30);
const DOWN: Step = Platform(|faults| faults.down = true);
const UP: Step = Platform(|faults| *faults = Faults::default());
/// Long enough for all that goes on behind an answer.
const SETTLE: Step = Wait(60_000);

const CASES: &[Case] = &[
    Case {
        name: "resent through another sidecar during the run",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(50),
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "resent through another sidecar after the run",
        steps: &[Submit(0, 1, 4_000), Await, Submit(1, 1, 4_000), Await],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "sent to two sidecars at once",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "the job arrives twice",
        steps: &[
            Endpoint(SLOW),
            Disrupt(Disruption::DuplicateJob),
            Submit(0, 1, 4_000),
            Await,
        ],
        answers: &["outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "the job arrives twice and the answer to the claim is lost",
        steps: &[
            Platform(|faults| faults.lose_answers = 1),
            Endpoint(SLOW),
            Disrupt(Disruption::DuplicateJob),
            Submit(0, 1, 4_000),
            Await,
            SETTLE,
        ],
        answers: &["outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "the job arrives twice at an endpoint with one free slot",
        steps: &[
            Endpoint(SLOW),
            Occupy(0),
            Endpoint(SLOW),
            Disrupt(Disruption::DuplicateJob),
            Submit(0, 1, 4_000),
            Await,
        ],
        answers: &["outcome-unknown unknown"],
        runs: 2,
    },
    Case {
        name: "holder killed during the run",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(50),
            Pause(0),
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["no answer", "outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "holder killed between claim and send",
        steps: &[
            DELAY,
            Submit(0, 1, 4_000),
            Wait(50),
            Pause(0),
            Wait(100),
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["no answer", "outcome-unknown unknown"],
        runs: 0,
    },
    Case {
        name: "holder paused between claim and send past its deadline",
        steps: &[
            DELAY,
            Submit(0, 1, 4_000),
            Wait(50),
            Pause(0),
            Wait(10_000),
            Resume(0),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["late deadline not-run", "whole run 0"],
        runs: 1,
    },
    Case {
        name: "holder paused during the run, resent meanwhile",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(50),
            Pause(0),
            Submit(1, 1, 4_000),
            Wait(2_000),
            Resume(0),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "answer to the claim lost after its effect",
        steps: &[
            Platform(|faults| faults.lose_answers = 1),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "call for the claim lost without effect",
        steps: &[
            Platform(|faults| faults.lose_calls = 1),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "answer to the claim lost, then the platform down past the deadline",
        steps: &[
            Platform(|faults| faults.lose_answers = 1),
            Submit(0, 1, 4_000),
            Wait(10),
            DOWN,
            Await,
            Wait(2_000),
            UP,
            SETTLE,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["platform-down not-run", "whole run 0"],
        runs: 1,
    },
    Case {
        name: "answer to the record lost after its effect",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(100),
            Platform(|faults| faults.lose_answers = 1),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "call for the record lost without effect",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(100),
            Platform(|faults| faults.lose_calls = 1),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "platform down before the claim",
        steps: &[
            DOWN,
            Submit(0, 1, 4_000),
            Await,
            UP,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["platform-down not-run", "whole run 0"],
        runs: 1,
    },
    Case {
        name: "platform throttles before the claim",
        steps: &[
            Platform(|faults| faults.throttled = true),
            Submit(0, 1, 4_000),
            Await,
        ],
        answers: &["platform-down not-run"],
        runs: 0,
    },
    Case {
        name: "platform down at the record, back within the bound",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(100),
            DOWN,
            Await,
            Submit(1, 1, 4_000),
            Await,
            Wait(2_000),
            UP,
            SETTLE,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "platform-down not-run", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "platform down at the record, back after the bound",
        steps: &[
            Endpoint(SLOW),
            Submit(0, 1, 4_000),
            Wait(100),
            DOWN,
            Await,
            Wait(600_000),
            UP,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "connection refused by the endpoint",
        steps: &[
            Endpoint(Behaviour::RefuseConnection),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["unreachable not-run", "whole run 0"],
        runs: 1,
    },
    Case {
        name: "connection cut before the work arrives",
        steps: &[
            Endpoint(Behaviour::CutBefore),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["endpoint-failed unknown", "outcome-unknown unknown"],
        runs: 0,
    },
    Case {
        name: "connection cut after the work arrived",
        steps: &[
            Endpoint(Behaviour::CutAfter),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["endpoint-failed unknown", "outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "answer ends before its end",
        steps: &[
            Endpoint(Behaviour::Truncate),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["truncated unknown", "outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "answer breaks the protocol",
        steps: &[
            Endpoint(Behaviour::Rubbish),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["endpoint-protocol unknown", "outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "endpoint silent for good",
        steps: &[
            Endpoint(Behaviour::Silent),
            Submit(0, 1, 20_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["silent unknown", "outcome-unknown unknown"],
        runs: 1,
    },
    Case {
        name: "work refused as invalid",
        steps: &[
            Endpoint(Behaviour::RefuseWork),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["endpoint-refused partial", "endpoint-refused partial"],
        runs: 0,
    },
    Case {
        name: "same key with another body",
        steps: &[Submit(0, 1, 4_000), Await, Submit(1, 2, 4_000), Await],
        answers: &["whole run 0", "key-reused not-run"],
        runs: 1,
    },
    Case {
        name: "link cut in place of the last frame",
        steps: &[
            Disrupt(Disruption::BeforeFrame(2)),
            Submit(0, 1, 4_000),
            Await,
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["cut", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "link silent after admission",
        steps: &[
            Disrupt(Disruption::Silent(1)),
            Submit(0, 1, 4_000),
            Wait(5_000),
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["no answer", "replayed run 0"],
        runs: 1,
    },
    Case {
        name: "resent after the claim has ended",
        steps: &[
            Submit(0, 1, 4_000),
            Await,
            Wait(25 * 60 * 60 * 1_000),
            Submit(1, 1, 4_000),
            Await,
        ],
        answers: &["whole run 0", "whole run 1"],
        runs: 2,
    },
];

struct Bench {
    store: Store,
    port: Port,
    link: Link,
    sidecars: Vec<Sidecar>,
}

impl Bench {
    fn new() -> Self {
        let store = Store::new();
        let port = Port::new();
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

    fn submit(
        &self,
        number: usize,
        attempt: u128,
        key: &str,
        body: u8,
        remaining_ms: u64,
    ) -> JoinHandle<String> {
        let job = memory::booking_job(ENDPOINTS[number], attempt, key, body, remaining_ms);
        let link = self.link.clone();
        let address = self.sidecars[number].address;
        let deadline = Instant::now() + Duration::from_millis(remaining_ms);
        tokio::spawn(async move {
            let answer = memory::send_job(&link, address, job);
            match time::timeout_at(deadline + TIMEOUT_MARGIN, answer).await {
                Ok(answer) if Instant::now() > deadline + LATE_MARGIN => format!("late {answer}"),
                Ok(answer) => answer.to_string(),
                Err(_) => "no answer".to_owned(),
            }
        })
    }

    async fn run_steps(&self, steps: &[Step]) -> Vec<String> {
        let mut answers = Vec::new();
        let mut pending = Vec::new();
        for (step, attempt) in steps.iter().zip(1..) {
            match *step {
                Submit(number, body, remaining_ms) => {
                    pending.push(self.submit(number, attempt, "key", body, remaining_ms));
                    task::yield_now().await;
                }
                Occupy(number) => {
                    drop(self.submit(number, attempt, "other", 1, 4_000));
                    task::yield_now().await;
                }
                Await => {
                    for answer in pending.drain(..) {
                        answers.push(answer.await.expect("a caller").replace('"', ""));
                    }
                }
                Platform(set) => set(&mut self.store.state().faults),
                Endpoint(behaviour) => self.port.push(behaviour),
                Disrupt(disruption) => self.link.push(disruption),
                Pause(number) => self.sidecars[number].process.pause(),
                Resume(number) => self.sidecars[number].process.resume(),
                Wait(milliseconds) => time::sleep(Duration::from_millis(milliseconds)).await,
            }
        }
        answers
    }
}

#[tokio::test(start_paused = true)]
async fn run_gives_expected_answers_under_each_fault() {
    let mut failures = Vec::new();
    for case in CASES {
        let bench = Bench::new();
        let answers = bench.run_steps(case.steps).await;
        let runs = bench.port.runs().len();
        if answers != case.answers || runs != case.runs {
            failures.push(format!(
                "{}: {answers:?} and {runs} runs, not {:?} and {}",
                case.name, case.answers, case.runs
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
