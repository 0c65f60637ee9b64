//! Cost of each stage, from the runs that the mock engines recorded.

use crate::engine::mark_of;
use crate::load::{Bench, Trial};
use cicadacrank_core::rules::{Definitions, PoolKey, Service};
use serde::Serialize;

/// Microseconds in an hour.
const HOUR_US: f64 = 3_600e6;

/// Thousandths in one currency unit.
const MILLI: f64 = 1_000.0;

/// Busy time of a stage, or idle time of a pool.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// Pipeline and stage of busy time, or pool of idle time.
    pub name: String,
    /// Time of all slots, in slot-seconds.
    pub slot_seconds: f64,
    /// Price of that time, in thousandths of the currency unit.
    pub price_milli: f64,
    /// Whether the slots were idle.
    pub idle: bool,
}

/// Busy time of one stage of a pipeline.
struct Usage {
    pool: PoolKey,
    name: String,
    path: String,
    pipeline: &'static str,
    busy_us: u64,
}

/// Returns the cost of the busy time of each stage, then of the idle time of
/// each pool.
pub(super) fn costs(bench: &Bench, trial: &Trial) -> Vec<Cost> {
    let definitions = &bench.fleet.definitions;
    let mut usages = usages(bench);
    let mut marks: Vec<(&str, &'static str)> = trial
        .records
        .iter()
        .map(|record| (record.request.mark.as_str(), record.request.mix.pipeline))
        .collect();
    marks.sort_unstable();
    for (_, run) in &trial.runs {
        let mark = mark_of(&run.body);
        let Ok(found) = marks.binary_search_by(|(one, _)| one.cmp(&mark)) else {
            continue;
        };
        let pipeline = marks[found].1;
        let usage = usages
            .iter_mut()
            .find(|usage| usage.pipeline == pipeline && usage.path == run.path);
        if let Some(usage) = usage {
            usage.busy_us += run.busy_us;
        }
    }
    let idle = idle(definitions, &usages, trial.wall.as_micros() as f64);
    let busy = usages.into_iter().map(|usage| {
        let price = definitions[usage.pool].busy_price_milli;
        cost(usage.name, usage.busy_us as f64, price, false)
    });
    busy.chain(idle).collect()
}

/// Returns a usage of zero for each stage of the pipelines in the scenario.
fn usages(bench: &Bench) -> Vec<Usage> {
    let definitions = &bench.fleet.definitions;
    let mut names: Vec<&'static str> = bench
        .scenario
        .mixes
        .iter()
        .map(|mix| mix.pipeline)
        .collect();
    names.sort_unstable();
    names.dedup();
    let mut usages = Vec::new();
    for pipeline in names {
        let Some(key) = definitions.pipeline(pipeline) else {
            continue;
        };
        for stage in &definitions[key].stages {
            let path = match definitions[stage.pool].service {
                Service::Generate => "/v1/completions",
                _ => &stage.path,
            };
            usages.push(Usage {
                pool: stage.pool,
                name: format!("{pipeline} {}", stage.name),
                path: path.to_owned(),
                pipeline,
                busy_us: 0,
            });
        }
    }
    usages
}

/// Returns the cost of the idle time of each pool: the time of all warm slots
/// of its endpoints less the busy time.
fn idle(definitions: &Definitions, usages: &[Usage], wall_us: f64) -> Vec<Cost> {
    let pools = (0u16..).zip(&definitions.pools);
    let idle = pools.map(|(index, pool)| {
        let key = PoolKey(index);
        let slots: u32 = definitions
            .endpoints_of(key)
            .map(|endpoint| definitions[endpoint].warm_slots)
            .sum();
        let in_pool = usages.iter().filter(|usage| usage.pool == key);
        let busy: u64 = in_pool.map(|usage| usage.busy_us).sum();
        let free = (f64::from(slots) * wall_us - busy as f64).max(0.0);
        cost(pool.name.clone(), free, pool.idle_price_milli, true)
    });
    idle.collect()
}

fn cost(name: String, slot_us: f64, price_milli: u64, idle: bool) -> Cost {
    Cost {
        name,
        slot_seconds: slot_us / 1e6,
        price_milli: slot_us / HOUR_US * price_milli as f64,
        idle,
    }
}

/// Returns the total price, in currency units.
pub(super) fn total(costs: &[Cost]) -> f64 {
    costs.iter().map(|cost| cost.price_milli).sum::<f64>() / MILLI
}
