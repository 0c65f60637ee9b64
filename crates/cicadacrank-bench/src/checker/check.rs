//! The comparison.

use super::{Breach, Call, Promise, Run, Stage, Told};

/// Returns every promise that the records break, in order of promise and mark.
#[must_use]
pub fn check(calls: &[Call], runs: &[Run]) -> Vec<Breach> {
    let mut calls: Vec<&Call> = calls.iter().collect();
    calls.sort_by(|one, other| one.mark.cmp(&other.mark));
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by(|one, other| one.mark.cmp(&other.mark));
    let mut breaches = Vec::new();
    for calls in calls.chunk_by(|one, other| one.mark == other.mark) {
        let runs = runs_of(&runs, &calls[0].mark);
        check_doubled(calls[0], runs, &mut breaches);
        check_not_run(calls, runs, &mut breaches);
        for call in calls {
            check_told(call, runs, &mut breaches);
        }
    }
    for run in runs {
        let known = calls.binary_search_by(|call| call.mark.cmp(&run.mark));
        if known.is_err() {
            let detail = format!("{} ran {}", run.endpoint, run.path);
            breaches.push(Breach::new(Promise::Stray, &run.mark, detail));
        }
    }
    breaches.sort();
    breaches
}

fn runs_of<'a>(runs: &'a [&'a Run], mark: &str) -> &'a [&'a Run] {
    let first = runs.partition_point(|run| run.mark.as_str() < mark);
    let end = runs.partition_point(|run| run.mark.as_str() <= mark);
    &runs[first..end]
}

fn check_doubled(call: &Call, runs: &[&Run], breaches: &mut Vec<Breach>) {
    for stage in call.stages.iter().filter(|stage| !stage.repeatable) {
        let ran: Vec<&str> = runs
            .iter()
            .filter(|run| run.path == stage.path)
            .map(|run| run.endpoint.as_str())
            .collect();
        if ran.len() > 1 {
            let detail = format!("{} ran at {}", stage.path, ran.join(", "));
            breaches.push(Breach::new(Promise::Doubled, &call.mark, detail));
        }
    }
}

/// A run may belong to any call with its mark, so "not run" is false for sure
/// only if every one of them was told so.
fn check_not_run(calls: &[&Call], runs: &[&Run], breaches: &mut Vec<Breach>) {
    if let Some(run) = runs.first()
        && calls.iter().all(|call| call.told == Told::NotRun)
    {
        let detail = format!("{} ran {}", run.endpoint, run.path);
        breaches.push(Breach::new(Promise::FalselyNotRun, &run.mark, detail));
    }
}

fn check_told(call: &Call, runs: &[&Run], breaches: &mut Vec<Breach>) {
    match &call.told {
        Told::Whole { text, marks } => {
            for stage in &call.stages {
                check_finished(call, stage, runs, breaches);
            }
            check_results(call, marks, breaches);
            if call.stages.iter().any(|stage| stage.generates) {
                check_text(call, text, breaches);
            }
        }
        Told::Nothing => {
            breaches.push(Breach::new(Promise::Unanswered, &call.mark, "no word"));
        }
        Told::NotRun | Told::Partial | Told::Unknown => {}
    }
}

fn check_finished(call: &Call, stage: &Stage, runs: &[&Run], breaches: &mut Vec<Breach>) {
    let finished = runs
        .iter()
        .any(|run| run.path == stage.path && run.finished);
    if !finished {
        let detail = format!("no run of {} was finished", stage.path);
        breaches.push(Breach::new(Promise::Lost, &call.mark, detail));
    }
}

fn check_results(call: &Call, marks: &[String], breaches: &mut Vec<Breach>) {
    let expected = call.stages.iter().filter(|stage| !stage.generates).count();
    if marks.len() != expected {
        let promise = if marks.len() < expected {
            Promise::Lost
        } else {
            Promise::Doubled
        };
        let detail = format!("{} results of {expected} stages", marks.len());
        breaches.push(Breach::new(promise, &call.mark, detail));
    }
    for mark in marks.iter().filter(|mark| **mark != call.mark) {
        let detail = format!("a result for {mark}");
        breaches.push(Breach::new(Promise::Crossed, &call.mark, detail));
    }
}

/// Checks that the text is every token once, in order, for this request.
fn check_text(call: &Call, text: &str, breaches: &mut Vec<Breach>) {
    let mut next = 0;
    for word in text.split_whitespace() {
        let (mark, index) = word.rsplit_once('.').unwrap_or((word, ""));
        let promise = match index.parse::<u64>() {
            _ if mark != call.mark => Promise::Crossed,
            Ok(index) if index == next => {
                next += 1;
                continue;
            }
            Ok(index) if index < next => Promise::Doubled,
            _ => Promise::Lost,
        };
        let detail = format!("token {next} is {word}");
        return breaches.push(Breach::new(promise, &call.mark, detail));
    }
    if next < call.tokens {
        let detail = format!("{next} tokens of {}", call.tokens);
        breaches.push(Breach::new(Promise::Lost, &call.mark, detail));
    }
}
