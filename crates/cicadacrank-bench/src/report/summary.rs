//! Summary statistics of trials.

use super::cost::{self, Cost};
use crate::load::{Bench, Overhead, Phase, Policy, Record, Trial};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{io, time::Duration};

/// Largest duration that a histogram records, in microseconds.
const MAX_DURATION_US: u64 = 600_000_000;

/// Most broken promises that a report quotes.
const MAX_QUOTED: usize = 5;

/// Results of all trials of one scenario.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: &'static str,
    /// Seed of the requests.
    pub seed: u64,
    /// Commit of the source code.
    pub commit: String,
    /// Load average of the machine before the trials.
    pub load_average: String,
    /// Latency overhead of the system.
    pub overhead: Overhead,
    /// Results of one trial for each policy.
    pub trials: Vec<Summary>,
}

/// Number of failures or broken promises of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Kind of failure or promise.
    pub kind: String,
    /// Number of that kind.
    pub count: usize,
}

/// Attainment in one phase.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseFigure {
    /// Name of the phase.
    pub phase: &'static str,
    /// Calls offered.
    pub offered: usize,
    /// Calls with a complete answer within the deadline.
    pub attained: usize,
}

/// Attainment in one second of a trial.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Second {
    /// Calls offered.
    pub offered: usize,
    /// Calls with a complete answer within the deadline.
    pub attained: usize,
}

/// Figures of one trial.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Policy that routed the requests.
    pub policy: Policy,
    /// Calls offered, without the warm-up phase and calls sent for the second
    /// time.
    pub offered: usize,
    /// Calls with a complete answer within the deadline.
    pub attained: usize,
    /// Attainment in each phase.
    pub phases: Vec<PhaseFigure>,
    /// Attainment in each second, including the warm-up phase.
    pub seconds: Vec<Second>,
    /// Calls without a complete answer, by kind of failure.
    pub failures: Vec<Count>,
    /// Number of complete answers after the deadline.
    pub late: usize,
    /// Median and 95th percentile of the time to the first token, in
    /// microseconds.
    pub first_us: [u64; 2],
    /// Median and 95th percentile of the time between tokens, in microseconds.
    pub gap_us: [u64; 2],
    /// Median and 99th percentile of the time to the complete answer, in
    /// microseconds.
    pub total_us: [u64; 2],
    /// Number of runs at mock engines per call sent.
    pub runs_per_call: f64,
    /// Number of restarts of mock engines.
    pub falls: u64,
    /// Processor time of the daemons per call sent, in microseconds.
    pub processor_us: u64,
    /// Time from the take-out of a data centre to the last new work that
    /// started there, in milliseconds.
    pub last_new_work_ms: u64,
    /// Number of runs that started there after the take-out.
    pub late_runs: usize,
    /// Price of the trial, in currency units.
    pub price: f64,
    /// Price per thousand calls attained, in currency units.
    pub price_per_thousand: f64,
    /// Cost of the busy time of stages and the idle time of pools.
    pub costs: Vec<Cost>,
    /// Promises that the checker found broken, by promise.
    pub breaches: Vec<Count>,
    /// Descriptions of the first broken promises.
    pub quoted: Vec<String>,
}

impl Summary {
    /// Computes the results of a trial.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created.
    pub fn new(bench: &Bench, trial: &Trial) -> io::Result<Self> {
        let sent = trial.records.len();
        let counted: Vec<&Record> = trial
            .records
            .iter()
            .filter(|record| is_counted(record))
            .collect();
        let attained = counted.iter().filter(|record| record.is_attained()).count();
        let answered = || {
            counted
                .iter()
                .filter(|record| record.outcome.kind == "whole")
        };
        let failed = counted.iter().map(|record| record.outcome.kind.clone());
        let costs = cost::costs(bench, trial);
        let price = cost::total(&costs);
        let breaches = trial.breaches.iter();
        Ok(Self {
            policy: trial.policy,
            offered: counted.len(),
            attained,
            phases: phases(bench, &counted),
            seconds: seconds(bench, trial),
            failures: count_by_kind(failed.filter(|kind| kind != "whole")),
            late: answered().filter(|record| !record.is_attained()).count(),
            first_us: quantiles(answered().filter_map(|record| record.outcome.first), 0.95)?,
            gap_us: quantiles(
                answered().flat_map(|record| record.outcome.gaps.clone()),
                0.95,
            )?,
            total_us: quantiles(answered().map(|record| record.outcome.total), 0.99)?,
            runs_per_call: trial.runs.len() as f64 / sent.max(1) as f64,
            falls: trial.restarts,
            processor_us: micros(trial.processor) / (sent as u64).max(1),
            last_new_work_ms: trial.last_new_work_ms,
            late_runs: trial.late_runs,
            price,
            price_per_thousand: price * 1_000.0 / attained.max(1) as f64,
            costs,
            quoted: breaches
                .clone()
                .take(MAX_QUOTED)
                .map(ToString::to_string)
                .collect(),
            breaches: count_by_kind(breaches.map(|breach| format!("{:?}", breach.promise))),
        })
    }
}

/// Returns whether a call counts for attainment.
fn is_counted(record: &Record) -> bool {
    !record.is_resend && record.request.phase != Phase::Preface
}

fn phases(bench: &Bench, records: &[&Record]) -> Vec<PhaseFigure> {
    let periods = bench.scenario.periods.iter();
    let periods = periods.filter(|period| period.phase != Phase::Preface);
    let figure = |phase: Phase| {
        let in_phase = || {
            records
                .iter()
                .filter(|record| record.request.phase == phase)
        };
        PhaseFigure {
            phase: phase.as_str(),
            offered: in_phase().count(),
            attained: in_phase().filter(|record| record.is_attained()).count(),
        }
    };
    periods.map(|period| figure(period.phase)).collect()
}

fn seconds(bench: &Bench, trial: &Trial) -> Vec<Second> {
    let none = Second {
        offered: 0,
        attained: 0,
    };
    let length = usize::try_from(bench.scenario.length().as_secs()).unwrap_or(0);
    let mut seconds = vec![none; length];
    for record in trial.records.iter().filter(|record| !record.is_resend) {
        let second = usize::try_from(record.request.at.as_secs()).unwrap_or(usize::MAX);
        if let Some(second) = seconds.get_mut(second) {
            second.offered += 1;
            second.attained += usize::from(record.is_attained());
        }
    }
    seconds
}

fn count_by_kind(kinds: impl Iterator<Item = String>) -> Vec<Count> {
    let mut kinds: Vec<String> = kinds.collect();
    kinds.sort_unstable();
    let groups = kinds.chunk_by(|one, other| one == other);
    groups
        .map(|group| Count {
            kind: group[0].clone(),
            count: group.len(),
        })
        .collect()
}

/// Returns the median and another quantile, in microseconds.
fn quantiles(times: impl Iterator<Item = Duration>, other: f64) -> io::Result<[u64; 2]> {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_DURATION_US, 3).map_err(io::Error::other)?;
    for time in times {
        histogram.saturating_record(micros(time));
    }
    Ok([
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(other),
    ])
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
