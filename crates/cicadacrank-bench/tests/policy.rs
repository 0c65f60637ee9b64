//! Retries, quarantine, stream resumption, cancellation, take-outs and warm-up
//! under faults, in one process with a paused clock.

use cicadacrank_bench::memory::{Behaviour, Disruption, Link, Port, Run, Sidecar, Store};
use cicadacrank_core::{
    admission::Health,
    error::{Failure, Kind},
    id,
    retry::{BURST, RETRY_PERCENT},
};
use cicadacrank_node::{
    clock::Clock,
    configuration::{Holder, Ruleset},
    entry::{Parts, Reply, Request, Service},
    metrics::Metrics,
    settings::Settings,
};
use cicadacrank_wire::wire;
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time};

const RULES: &str = include_str!("samples/policy.rules");

const ENDPOINTS: [&str; 5] = ["desk-1", "desk-2", "desk-3", "writer-1", "writer-2"];

struct Bench {
    port: Port,
    link: Link,
    sidecars: Vec<Sidecar>,
    entries: Vec<Arc<Service>>,
}

impl Bench {
    fn new(default_behaviour: Behaviour) -> Self {
        let bench = Self::without_rules(default_behaviour);
        bench.offer_rules();
        bench
    }

    /// Creates a bench whose sidecars have no rules yet.
    fn without_rules(default_behaviour: Behaviour) -> Self {
        let store = Store::new();
        let port = Port::new().with_default_behaviour(default_behaviour);
        let sidecars: Vec<Sidecar> = (1..)
            .zip(ENDPOINTS)
            .map(|(number, name)| Sidecar::without_rules(number, &[name], &store, &port))
            .collect();
        let link = Link::new(sidecars.clone());
        let entries = (0..2).map(|_| entry(&link, &sidecars)).collect();
        Self {
            port,
            link,
            sidecars,
            entries,
        }
    }

    fn offer_rules(&self) {
        for sidecar in &self.sidecars {
            sidecar.offer(RULES);
        }
    }

    /// Sends a request to an entry and returns its outcome.
    async fn send(&self, entry: usize, pipeline: &str, query: &str) -> Outcome {
        read_outcome(self.entries[entry].run(request(pipeline, query))).await
    }

    fn load(&self, number: usize) -> wire::Load {
        let sidecar = &self.sidecars[number];
        sidecar
            .service
            .load(ENDPOINTS[number])
            .expect("the endpoint has a load report")
    }
}

/// Outcome of a request as its caller sees it.
#[derive(Debug)]
struct Outcome {
    text: String,
    result: Result<(), Failure>,
}

impl Outcome {
    fn kind(&self) -> Option<Kind> {
        self.result.as_ref().err().map(|failure| failure.kind)
    }
}

async fn read_outcome(mut replies: mpsc::Receiver<Reply>) -> Outcome {
    let mut text = String::new();
    while let Some(reply) = replies.recv().await {
        let result = match reply {
            Reply::Chunk(data) => {
                text += str::from_utf8(&data).expect("the output is UTF-8");
                continue;
            }
            Reply::End { .. } => Ok(()),
            Reply::Failure(failure) => Err(failure),
        };
        return Outcome { text, result };
    }
    panic!("the answer ended without a final reply");
}

fn ruleset(generation: u64, taken_out: &[&str]) -> Ruleset {
    let taken_out = taken_out.iter();
    let lines: String = taken_out
        .map(|name| format!("take-out endpoint={name} # Ada Test: maintenance\n"))
        .collect();
    Ruleset {
        generation,
        rules: format!("{RULES}{lines}"),
    }
}

fn entry(link: &Link, sidecars: &[Sidecar]) -> Arc<Service> {
    let holder = Arc::new(Holder::new());
    assert!(holder.offer(ruleset(1, &[])), "the rules are valid");
    let settings = r#"{ "role": "entry", "instance": "entry", "data_centre": "north",
        "platform": "127.0.0.1:1", "listen": "127.0.0.1:0",
        "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0" }"#;
    let service = Service::new(Parts {
        settings: Settings::parse(settings).expect("the settings are valid"),
        clock: Clock::new(),
        holder,
        link: Arc::new(link.clone()),
        metrics: Arc::new(Metrics::new()),
    });
    for (sidecar, name) in sidecars.iter().zip(ENDPOINTS) {
        let pool = name
            .split('-')
            .next()
            .expect("the name starts with its pool");
        let mut table = service.table();
        table.insert(name, pool, "north", sidecar.address);
    }
    Arc::new(service)
}

fn request(pipeline: &str, query: &str) -> Request {
    Request {
        id: id::Request::new(1),
        team: "team".to_owned(),
        pipeline: pipeline.to_owned(),
        key: String::new(),
        deadline: None,
        body: format!(r#"{{"query":"{query}"}}"#).into(),
    }
}

fn job() -> wire::Job {
    wire::Job {
        request: id::Request::new(1).to_string(),
        attempt: id::Attempt::new(rand::random()).to_string(),
        generation: 1,
        team: "team".to_owned(),
        pipeline: "ask".to_owned(),
        stage: "one".to_owned(),
        endpoint: ENDPOINTS[0].to_owned(),
        remaining_ms: 60_000,
        digest: vec![0; 32],
        input: b"{}".to_vec(),
        ..wire::Job::default()
    }
}

/// Returns the kind of failure that a job ends with, or `None` if it succeeds.
///
/// Panics if the frames stop before the end of the job.
async fn failure_kind(mut frames: mpsc::Receiver<wire::Frame>) -> Option<String> {
    while let Some(frame) = frames.recv().await {
        match frame.body {
            Some(wire::frame::Body::Failure(failure)) => return Some(failure.kind),
            Some(wire::frame::Body::End(_)) => return None,
            _ => {}
        }
    }
    panic!("the frames stopped before the end of the job");
}

#[tokio::test(start_paused = true)]
async fn retries_of_a_failing_stage_stay_within_the_budget() {
    const REQUESTS: u32 = 1_000;
    let bench = Bench::new(Behaviour::CutAfter);
    for number in 0..REQUESTS {
        let outcome = bench.send(0, "ask", &number.to_string()).await;
        assert!(
            outcome.result.is_err(),
            "every endpoint fails, so the request must fail"
        );
    }
    let attempts = u32::try_from(bench.port.runs().len()).expect("the number of runs fits in u32");
    let max_attempts = REQUESTS * (100 + RETRY_PERCENT) / 100 + BURST;
    assert!(
        attempts <= max_attempts,
        "{attempts} attempts, at most {max_attempts} allowed"
    );
}

#[tokio::test(start_paused = true)]
async fn crashing_request_is_quarantined_after_two_crashes_at_every_entry() {
    let bench = Bench::new(Behaviour::CutAfter);
    bench.port.set_refusing(true);
    let outcome = bench.send(0, "ask", "poison").await;
    assert_eq!(outcome.kind(), Some(Kind::Quarantined), "{outcome:?}");
    assert_eq!(bench.port.runs().len(), 2);
    let suspects = bench.entries[0].suspects().all();
    bench.entries[1].suspects().merge(&suspects);
    let outcome = bench.send(1, "ask", "poison").await;
    assert_eq!(outcome.kind(), Some(Kind::Quarantined), "{outcome:?}");
    assert_eq!(
        bench.port.runs().len(),
        2,
        "the other entry must not run the quarantined request"
    );
    let outcome = bench.send(1, "ask", "innocent").await;
    assert_ne!(
        bench.port.runs().len(),
        2,
        "another request must run: {outcome:?}"
    );
}

/// A request that arrives with the first rules restarts each endpoint that runs it. The
/// sidecars have to know the incarnations from before the request.
#[tokio::test(start_paused = true)]
async fn crashing_request_that_arrives_first_is_quarantined_after_two_restarts() {
    let bench = Bench::without_rules(Behaviour::Restart);
    bench.port.set_health(Some(Health {
        incarnation: 1,
        cold: false,
    }));
    time::sleep(Duration::from_millis(1)).await;
    bench.offer_rules();
    let outcome = bench.send(0, "ask", "poison").await;
    assert_eq!(outcome.kind(), Some(Kind::Quarantined), "{outcome:?}");
    assert_eq!(bench.port.runs().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn request_in_flight_at_one_crash_is_served_and_cleared() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_millis(1)));
    bench.port.set_refusing(true);
    bench.port.push(Behaviour::CutAfter);
    for entry in [0, 0, 1] {
        let outcome = bench.send(entry, "ask", "innocent").await;
        assert_eq!(outcome.kind(), None, "{outcome:?}");
    }
    let suspects = bench.entries[0].suspects().all();
    assert_eq!(suspects.len(), 1);
    assert_eq!(suspects[0].crashed, Vec::<String>::new());
    assert_eq!(suspects[0].acquitted.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn silent_connection_is_abandoned_and_the_work_served_elsewhere() {
    for at in [0, 1, 2] {
        let bench = Bench::new(Behaviour::Answer(Duration::from_millis(300)));
        bench.link.push(Disruption::Silent(at));
        let outcome = bench.send(0, "ask", "quiet").await;
        assert_eq!(
            outcome.kind(),
            None,
            "no frames from frame {at} on: {outcome:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn silent_connection_to_the_only_endpoint_is_replaced() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_millis(300)));
    let newer = ruleset(2, &["desk-1", "desk-2"]);
    assert!(bench.entries[0].parts().holder.offer(newer.clone()));
    assert!(bench.sidecars[2].holder.offer(newer));
    bench.link.push(Disruption::Silent(1));
    let outcome = bench.send(0, "ask", "quiet").await;
    assert_eq!(outcome.kind(), None, "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn stream_is_resumed_after_the_forwarded_text() {
    let bench = Bench::new(Behaviour::Answer(Duration::ZERO));
    for _ in 0..2 {
        bench.port.push(Behaviour::Answer(Duration::ZERO));
    }
    bench.port.push(Behaviour::Truncate);
    let outcome = bench.send(0, "tell", "story").await;
    assert_eq!(outcome.kind(), None, "{outcome:?}");
    let runs = bench.port.runs();
    let [.., truncated, resumed] = runs.as_slice() else {
        panic!("{runs:?}");
    };
    assert_eq!(
        runs.len(),
        4,
        "the truncated stage must be run exactly once more"
    );
    let resumed_text = str::from_utf8(&resumed.output).expect("the output is UTF-8");
    let forwarded = outcome
        .text
        .strip_suffix(resumed_text)
        .expect("the text ends with the output of the resumed run");
    assert!(!forwarded.is_empty());
    assert!(
        str::from_utf8(&truncated.output)
            .expect("the output is UTF-8")
            .starts_with(forwarded)
    );
    let input = |run: &Run| serde_json::from_slice::<Value>(&run.input).expect("the input is JSON");
    let (before, after) = (input(truncated), input(resumed));
    let prompt = before["prompt"].as_str().expect("the input has a prompt");
    assert_eq!(
        after["prompt"],
        format!("{prompt}{forwarded}"),
        "the resumed prompt must end with the forwarded text"
    );
    let tokens = |input: &Value| {
        input["max_tokens"]
            .as_u64()
            .expect("the input has a token limit")
    };
    assert_eq!(
        tokens(&after),
        tokens(&before) - 1,
        "the forwarded chunk must count against the token limit"
    );
}

#[tokio::test(start_paused = true)]
async fn stream_truncated_each_time_is_reported_as_truncated() {
    let bench = Bench::new(Behaviour::Truncate);
    for _ in 0..2 {
        bench.port.push(Behaviour::Answer(Duration::ZERO));
    }
    let outcome = bench.send(0, "tell", "story").await;
    assert_eq!(outcome.kind(), Some(Kind::Truncated), "{outcome:?}");
}

/// What the next endpoint answers instead of the rest of a stream must not end it.
#[tokio::test(start_paused = true)]
async fn stream_that_the_next_endpoint_does_not_continue_is_reported_as_failed() {
    for next in [
        Behaviour::Rubbish,
        Behaviour::RefuseWork,
        Behaviour::RefuseConnection,
        Behaviour::CutBefore,
        Behaviour::CutAfter,
        Behaviour::Restart,
    ] {
        let bench = Bench::new(next);
        for _ in 0..2 {
            bench.port.push(Behaviour::Answer(Duration::ZERO));
        }
        bench.port.push(Behaviour::Truncate);
        let outcome = bench.send(0, "tell", "story").await;
        assert!(outcome.kind().is_some(), "{next:?}: {outcome:?}");
        let runs = bench.port.runs();
        let truncated = str::from_utf8(&runs[2].output).expect("the output is UTF-8");
        assert!(!outcome.text.is_empty(), "{next:?}");
        assert!(
            truncated.starts_with(&outcome.text),
            "{next:?}: {outcome:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn disconnected_caller_cancels_running_and_queued_work() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_secs(5)));
    let service = &bench.sidecars[0].service;
    // A cold endpoint has two slots by the rules of the test.
    let jobs: Vec<_> = (0..5).map(|_| service.run(job())).collect();
    time::sleep(Duration::from_millis(1)).await;
    let load = bench.load(0);
    assert_eq!((load.in_flight, load.queued), (2, 3));
    drop(jobs);
    time::sleep(Duration::from_millis(1)).await;
    let load = bench.load(0);
    assert_eq!((load.in_flight, load.queued), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn waiting_jobs_are_refused_without_a_run_when_the_endpoint_is_taken_out() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_secs(1)));
    let sidecar = &bench.sidecars[0];
    let mut jobs: Vec<_> = (0..4).map(|_| sidecar.service.run(job())).collect();
    time::sleep(Duration::from_millis(1)).await;
    assert!(sidecar.holder.offer(ruleset(2, &["desk-1"])));
    let waiting = jobs.split_off(2);
    for frames in waiting {
        assert_eq!(failure_kind(frames).await.as_deref(), Some("taken-out"));
    }
    for frames in jobs {
        assert_eq!(failure_kind(frames).await, None, "running work must finish");
    }
    assert_eq!(bench.port.runs().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn entry_sends_nothing_to_an_endpoint_that_newer_rules_take_out() {
    let bench = Bench::new(Behaviour::Answer(Duration::ZERO));
    let newer = ruleset(2, &["desk-1", "desk-2"]);
    assert!(bench.entries[0].parts().holder.offer(newer.clone()));
    assert!(bench.sidecars[2].holder.offer(newer));
    for number in 0..20 {
        let outcome = bench.send(0, "ask", &number.to_string()).await;
        assert_eq!(outcome.kind(), None, "{outcome:?}");
    }
    let jobs = |number: usize| bench.sidecars[number].metrics.attempts.get();
    assert_eq!([0, 1, 2].map(jobs), [0, 0, 60]);
}

#[tokio::test(start_paused = true)]
async fn endpoint_brought_back_starts_cold() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_millis(200)));
    let sidecar = &bench.sidecars[0];
    for _ in 0..13 {
        assert_eq!(failure_kind(sidecar.service.run(job())).await, None);
    }
    assert_eq!(
        bench.load(0).slots,
        8,
        "the endpoint must be warm after the warm-up time and enough successes"
    );
    for (generation, taken_out, slots) in [(2, &["desk-1"] as &[_], 8), (3, &[], 2)] {
        assert!(sidecar.holder.offer(ruleset(generation, taken_out)));
        time::sleep(Duration::from_millis(1)).await;
        assert_eq!(
            bench.load(0).slots,
            slots,
            "wrong number of slots in generation {generation}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn new_incarnation_marks_endpoint_cold_and_failed_request_suspect() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_millis(200)));
    let health = |incarnation| {
        let cold = false;
        Some(Health { incarnation, cold })
    };
    bench.port.set_health(health(1));
    let sidecar = &bench.sidecars[0];
    for _ in 0..13 {
        assert_eq!(failure_kind(sidecar.service.run(job())).await, None);
    }
    assert_eq!(bench.load(0).slots, 8);
    bench.port.push(Behaviour::CutAfter);
    assert!(failure_kind(sidecar.service.run(job())).await.is_some());
    assert_eq!(
        sidecar.service.suspects().all().len(),
        0,
        "a broken connection alone must not mark a suspect"
    );
    bench.port.set_health(health(2));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(bench.load(0).slots, 2);
    assert_eq!(sidecar.service.suspects().all().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn disconnected_caller_cancels_its_request() {
    let bench = Bench::new(Behaviour::Answer(Duration::from_secs(1)));
    let replies = bench.entries[0].run(request("ask", "story"));
    time::sleep(Duration::from_millis(1)).await;
    let in_flight = || {
        (0..ENDPOINTS.len())
            .map(|number| bench.load(number).in_flight)
            .sum::<u32>()
    };
    assert_eq!(in_flight(), 1);
    drop(replies);
    time::sleep(Duration::from_millis(1)).await;
    assert_eq!(in_flight(), 0);
}
