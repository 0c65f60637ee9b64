//! Checks that the checker accepts consistent records of calls and runs and reports
//! each kind of anomaly.

use cicadacrank_bench::checker::{Anomaly, Call, Reply, Run, Stage, check};

fn call(reply: Reply) -> Call {
    let stage = |path: &str, idempotent, generates| Stage {
        path: path.to_owned(),
        idempotent,
        generates,
    };
    Call {
        mark: "a".to_owned(),
        stages: vec![
            stage("/look", true, false),
            stage("/book", false, false),
            stage("/v1/completions", true, true),
        ],
        tokens: 2,
        reply,
    }
}

fn complete_answer(text: &str, marks: &[&str]) -> Reply {
    Reply::Whole {
        text: text.to_owned(),
        marks: marks.iter().map(|mark| (*mark).to_owned()).collect(),
    }
}

fn run(path: &str, mark: &str, finished: bool) -> Run {
    Run {
        endpoint: "one".to_owned(),
        path: path.to_owned(),
        mark: mark.to_owned(),
        finished,
    }
}

fn runs() -> Vec<Run> {
    vec![
        run("/look", "a", true),
        run("/book", "a", true),
        run("/v1/completions", "a", true),
    ]
}

fn anomalies(calls: &[Call], runs: &[Run]) -> Vec<Anomaly> {
    let violations = check(calls, runs);
    violations
        .iter()
        .map(|violation| violation.promise)
        .collect()
}

#[test]
fn check_accepts_consistent_records() {
    let good = call(complete_answer("a.0 a.1 ", &["a", "a"]));
    let again = good.clone();
    assert_eq!(check(&[good, again], &runs()), []);
    for reply in [Reply::Partial, Reply::Unknown] {
        assert_eq!(check(&[call(reply)], &runs()[..2]), []);
    }
    assert_eq!(check(&[call(Reply::NotRun)], &[]), []);
    let mut retried = runs();
    retried.push(run("/look", "a", false));
    let resent = [
        call(Reply::NotRun),
        call(complete_answer("a.0 a.1 ", &["a", "a"])),
    ];
    assert_eq!(check(&resent, &retried), []);
}

#[test]
fn check_detects_faulty_answers() {
    let cases: &[(&str, &[&str], Anomaly)] = &[
        ("a.0 ", &["a", "a"], Anomaly::Lost),
        ("a.1 ", &["a", "a"], Anomaly::Lost),
        ("", &["a", "a"], Anomaly::Lost),
        ("a.0 a.1 ", &["a"], Anomaly::Lost),
        ("a.0 a.0 a.1 ", &["a", "a"], Anomaly::Doubled),
        ("a.0 a.1 ", &["a", "a", "a"], Anomaly::Doubled),
        ("a.0 b.1 ", &["a", "a"], Anomaly::Crossed),
        ("a.0 a.1 ", &["a", "b"], Anomaly::Crossed),
    ];
    for (text, marks, anomaly) in cases {
        let actual = anomalies(&[call(complete_answer(text, marks))], &runs());
        assert_eq!(actual, [*anomaly], "{text:?} {marks:?}");
    }
}

#[test]
fn check_detects_faulty_runs() {
    let good = || call(complete_answer("a.0 a.1 ", &["a", "a"]));
    let runs_with = |extra: Run| {
        let mut all = runs();
        all.push(extra);
        all
    };
    let mut unfinished = runs();
    unfinished[1].finished = false;
    let cases = [
        (good(), unfinished, Anomaly::Lost),
        (good(), runs()[..2].to_vec(), Anomaly::Lost),
        (
            good(),
            runs_with(run("/book", "a", false)),
            Anomaly::Doubled,
        ),
        (good(), runs_with(run("/look", "b", true)), Anomaly::Stray),
        (
            call(Reply::Partial),
            runs_with(run("/book", "a", true)),
            Anomaly::Doubled,
        ),
        (
            call(Reply::NotRun),
            runs()[..1].to_vec(),
            Anomaly::FalselyNotRun,
        ),
        (call(Reply::Nothing), runs(), Anomaly::Unanswered),
    ];
    for (call, runs, anomaly) in cases {
        assert_eq!(anomalies(&[call], &runs), [anomaly], "{runs:?}");
    }
}
