//! The checker catches each promise that records break on purpose.

use cicadacrank_bench::checker::{Call, Promise, Run, Stage, Told, check};

fn call(told: Told) -> Call {
    let stage = |path: &str, repeatable, generates| Stage {
        path: path.to_owned(),
        repeatable,
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
        told,
    }
}

fn whole(text: &str, marks: &[&str]) -> Told {
    Told::Whole {
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

fn promises(calls: &[Call], runs: &[Run]) -> Vec<Promise> {
    let breaches = check(calls, runs);
    breaches.iter().map(|breach| breach.promise).collect()
}

#[test]
fn check_passes_true_records() {
    let good = call(whole("a.0 a.1 ", &["a", "a"]));
    let again = good.clone();
    assert_eq!(check(&[good, again], &runs()), []);
    for told in [Told::Partial, Told::Unknown] {
        assert_eq!(check(&[call(told)], &runs()[..2]), []);
    }
    assert_eq!(check(&[call(Told::NotRun)], &[]), []);
    let mut retried = runs();
    retried.push(run("/look", "a", false));
    let resent = [call(Told::NotRun), call(whole("a.0 a.1 ", &["a", "a"]))];
    assert_eq!(check(&resent, &retried), []);
}

#[test]
fn check_catches_broken_answers() {
    let cases: &[(&str, &[&str], Promise)] = &[
        ("a.0 ", &["a", "a"], Promise::Lost),
        ("a.1 ", &["a", "a"], Promise::Lost),
        ("", &["a", "a"], Promise::Lost),
        ("a.0 a.1 ", &["a"], Promise::Lost),
        ("a.0 a.0 a.1 ", &["a", "a"], Promise::Doubled),
        ("a.0 a.1 ", &["a", "a", "a"], Promise::Doubled),
        ("a.0 b.1 ", &["a", "a"], Promise::Crossed),
        ("a.0 a.1 ", &["a", "b"], Promise::Crossed),
    ];
    for (text, marks, promise) in cases {
        let seen = promises(&[call(whole(text, marks))], &runs());
        assert_eq!(seen, [*promise], "{text:?} {marks:?}");
    }
}

#[test]
fn check_catches_broken_runs() {
    let good = || call(whole("a.0 a.1 ", &["a", "a"]));
    let with = |more: Run| {
        let mut all = runs();
        all.push(more);
        all
    };
    let mut unfinished = runs();
    unfinished[1].finished = false;
    let cases = [
        (good(), unfinished, Promise::Lost),
        (good(), runs()[..2].to_vec(), Promise::Lost),
        (good(), with(run("/book", "a", false)), Promise::Doubled),
        (good(), with(run("/look", "b", true)), Promise::Stray),
        (
            call(Told::Partial),
            with(run("/book", "a", true)),
            Promise::Doubled,
        ),
        (
            call(Told::NotRun),
            runs()[..1].to_vec(),
            Promise::FalselyNotRun,
        ),
        (call(Told::Nothing), runs(), Promise::Unanswered),
    ];
    for (call, runs, promise) in cases {
        assert_eq!(promises(&[call], &runs), [promise], "{runs:?}");
    }
}
