//! Comparison of calls and runs.

use super::{Anomaly, Call, Reply, Run, Stage, Violation};

/// Returns all violations, ordered by kind, mark and detail.
#[must_use]
pub fn check(calls: &[Call], runs: &[Run]) -> Vec<Violation> {
    let mut calls: Vec<&Call> = calls.iter().collect();
    calls.sort_by(|one, other| one.mark.cmp(&other.mark));
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by(|one, other| one.mark.cmp(&other.mark));
    let mut violations = Vec::new();
    for calls in calls.chunk_by(|one, other| one.mark == other.mark) {
        let runs = runs_of(&runs, &calls[0].mark);
        check_executed_once(calls[0], runs, &mut violations);
        check_not_run(calls, runs, &mut violations);
        for call in calls {
            check_reply(call, runs, &mut violations);
        }
    }
    for run in runs {
        let known = calls.binary_search_by(|call| call.mark.cmp(&run.mark));
        if known.is_err() {
            let detail = format!("{} ran {}", run.endpoint, run.path);
            violations.push(Violation::new(Anomaly::Stray, &run.mark, detail));
        }
    }
    violations.sort();
    violations
}

fn runs_of<'a>(runs: &'a [&'a Run], mark: &str) -> &'a [&'a Run] {
    let first = runs.partition_point(|run| run.mark.as_str() < mark);
    let end = runs.partition_point(|run| run.mark.as_str() <= mark);
    &runs[first..end]
}

fn check_executed_once(call: &Call, runs: &[&Run], violations: &mut Vec<Violation>) {
    for stage in call.stages.iter().filter(|stage| !stage.idempotent) {
        let ran: Vec<&str> = runs
            .iter()
            .filter(|run| run.path == stage.path)
            .map(|run| run.endpoint.as_str())
            .collect();
        if ran.len() > 1 {
            let detail = format!("{} ran at {}", stage.path, ran.join(", "));
            violations.push(Violation::new(Anomaly::Doubled, &call.mark, detail));
        }
    }
}

/// Reports a run if all calls with its mark were told that the work did not run.
///
/// A run may belong to any call with its mark, so a single reply of
/// [`Reply::NotRun`] proves nothing.
fn check_not_run(calls: &[&Call], runs: &[&Run], violations: &mut Vec<Violation>) {
    if let Some(run) = runs.first()
        && calls.iter().all(|call| call.reply == Reply::NotRun)
    {
        let detail = format!("{} ran {}", run.endpoint, run.path);
        violations.push(Violation::new(Anomaly::FalselyNotRun, &run.mark, detail));
    }
}

fn check_reply(call: &Call, runs: &[&Run], violations: &mut Vec<Violation>) {
    match &call.reply {
        Reply::Whole { text, marks } => {
            for stage in &call.stages {
                check_finished(call, stage, runs, violations);
            }
            check_marks(call, marks, violations);
            if call.stages.iter().any(|stage| stage.generates) {
                check_text(call, text, violations);
            }
        }
        Reply::Nothing => {
            violations.push(Violation::new(Anomaly::Unanswered, &call.mark, "no answer"));
        }
        Reply::NotRun | Reply::Partial | Reply::Unknown => {}
    }
}

fn check_finished(call: &Call, stage: &Stage, runs: &[&Run], violations: &mut Vec<Violation>) {
    let finished = runs
        .iter()
        .any(|run| run.path == stage.path && run.finished);
    if !finished {
        let detail = format!("no run of {} finished", stage.path);
        violations.push(Violation::new(Anomaly::Lost, &call.mark, detail));
    }
}

fn check_marks(call: &Call, marks: &[String], violations: &mut Vec<Violation>) {
    let expected = call.stages.iter().filter(|stage| !stage.generates).count();
    if marks.len() != expected {
        let anomaly = if marks.len() < expected {
            Anomaly::Lost
        } else {
            Anomaly::Doubled
        };
        let detail = format!("{} results for {expected} stages", marks.len());
        violations.push(Violation::new(anomaly, &call.mark, detail));
    }
    for mark in marks.iter().filter(|mark| **mark != call.mark) {
        let detail = format!("result of request {mark}");
        violations.push(Violation::new(Anomaly::Crossed, &call.mark, detail));
    }
}

/// Checks that the text contains each token of this request once and in order.
fn check_text(call: &Call, text: &str, violations: &mut Vec<Violation>) {
    let mut next = 0;
    for word in text.split_whitespace() {
        let (mark, index) = word.rsplit_once('.').unwrap_or((word, ""));
        let anomaly = match index.parse::<u64>() {
            _ if mark != call.mark => Anomaly::Crossed,
            Ok(index) if index == next => {
                next += 1;
                continue;
            }
            Ok(index) if index < next => Anomaly::Doubled,
            _ => Anomaly::Lost,
        };
        let detail = format!("expected token {next}, found {word}");
        return violations.push(Violation::new(anomaly, &call.mark, detail));
    }
    if next < call.tokens {
        let detail = format!("{next} of {} tokens", call.tokens);
        violations.push(Violation::new(Anomaly::Lost, &call.mark, detail));
    }
}
