//! Execution of non-repeatable work under faults; each case is a row of a table.

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

/// Endpoints; each has its own sidecar.
const ENDPOINTS: [&str; 2] = ["booking-desk-01", "booking-desk-02"];

/// Time after the deadline at which a caller gives up.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(120);

/// Time after the deadline at which an answer counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(100);

/// One step of a case.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends the request to a sidecar, with a body and the time until its
    /// deadline in milliseconds, and doesn't wait for the answer.
    Submit(usize, u8, u64),
    /// Sends a request with another key and ignores its answer.
    Occupy(usize),
    /// Waits for the answers to all submitted requests.
    Await,
    /// Sets the faults of the platform.
    Platform(fn(&mut Faults)),
    /// Appends a behaviour to the script of the endpoints, for one call.
    Endpoint(Behaviour),
    /// Appends a network fault to the script of the link, for one job.
    Disrupt(Disruption),
    /// Pauses a sidecar; without a later `Resume`, this stands for a kill.
    Pause(usize),
    /// Resumes a paused sidecar.
    Resume(usize),
    /// Waits for a time in milliseconds.
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
/// Waits long enough for all work that continues after an answer.
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
        name: "the job arrives twice and the answer to the claim write is lost",
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
        name: "claim holder killed during the run",
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
        name: "claim holder killed between claim and send",
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
        name: "claim holder paused between claim and send until after the deadline",
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
        name: "claim holder paused during the run, request resent meanwhile",
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
        name: "answer to the claim write lost after the write took effect",
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
        name: "claim write lost without effect",
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
        name: "answer to the claim write lost, then the platform down past the deadline",
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
        name: "answer to the outcome write lost after the write took effect",
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
        name: "outcome write lost without effect",
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
        name: "platform down at the outcome write, up again while it is retried",
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
        name: "platform down at the outcome write, up again after the last retry",
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
        name: "connection broken before the work arrives",
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
        name: "connection broken after the work ran",
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
        name: "answer is truncated",
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
        name: "answer violates the protocol",
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
        name: "endpoint never answers",
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
        name: "link broken before the last frame",
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
        name: "resent after the claim has expired",
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
                        answers.push(
                            answer
                                .await
                                .expect("the caller task finishes")
                                .replace('"', ""),
                        );
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
                "{}: got {answers:?} and {runs} runs, expected {:?} and {}",
                case.name, case.answers, case.runs
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
