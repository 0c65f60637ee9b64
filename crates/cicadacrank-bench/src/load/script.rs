//! Triggers the scripted events of a trial.

use super::{
    direct::Direct,
    scenario::{Phase, Scenario},
};
use crate::{
    engine::Fault,
    fleet::{Backend, Fleet},
};
use cicadacrank_core::rules::{DataCentreKey, edit};
use cicadacrank_node::{
    clock::unix_ms,
    configuration::{RULESET_NAME, Ruleset},
    platform::Collection,
};
use std::{io, sync::Mutex, time::Duration};
use tokio::time::{self, Instant};

/// One in this many engines of the pool becomes cold.
const COLD_ONE_IN: usize = 3;

/// Number of endpoints of the pool that become slow.
const SLOW_ENDPOINTS: usize = 2;

/// Response time of a slow endpoint, in per cent of the usual time.
const SLOW_PERCENT: u32 = 3_000;

/// Times at which the data centre was taken out and brought back, in
/// milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    pub(super) taken_out_ms: u64,
    pub(super) brought_back_ms: u64,
}

/// Triggers each event at the start of its period, counted from `origin`, and
/// returns the times of the take-out.
///
/// # Errors
///
/// Returns an error if the rules cannot be edited.
pub(super) async fn run(
    fleet: &Fleet,
    scenario: &Scenario,
    direct: Option<&Direct>,
    rules: &Mutex<Ruleset>,
    origin: Instant,
) -> io::Result<Times> {
    let mut times = Times::default();
    let mut start = origin;
    for period in scenario.periods {
        time::sleep_until(start).await;
        match period.phase {
            Phase::Cold => mark_cold(fleet, scenario.engines),
            Phase::Slow => set_slow(fleet, scenario.slow, true),
            Phase::Out => {
                set_slow(fleet, scenario.slow, false);
                set_taken_out(fleet, scenario, direct, rules, true)?;
                times.taken_out_ms = unix_ms();
            }
            Phase::Back => {
                set_taken_out(fleet, scenario, direct, rules, false)?;
                times.brought_back_ms = unix_ms();
            }
            Phase::Preface | Phase::Steady | Phase::Burst => {}
        }
        start += Duration::from_secs(period.seconds.into());
    }
    Ok(times)
}

fn backends_in_pool<'a>(fleet: &'a Fleet, pool: &str) -> impl Iterator<Item = &'a Backend> {
    let definitions = &fleet.definitions;
    let pool = definitions.pool(pool);
    let endpoints = definitions.endpoints.iter().zip(&fleet.backends);
    endpoints
        .filter(move |(endpoint, _)| Some(endpoint.pool) == pool)
        .map(|(_, backend)| backend)
}

fn mark_cold(fleet: &Fleet, pool: &str) {
    for backend in backends_in_pool(fleet, pool).step_by(COLD_ONE_IN) {
        backend.engine.mark_cold();
    }
}

fn set_slow(fleet: &Fleet, pool: &str, slow: bool) {
    let faults = if slow {
        vec![Fault::Slow(SLOW_PERCENT)]
    } else {
        Vec::new()
    };
    for backend in backends_in_pool(fleet, pool).take(SLOW_ENDPOINTS) {
        backend.engine.set_faults(faults.clone());
    }
}

fn set_taken_out(
    fleet: &Fleet,
    scenario: &Scenario,
    direct: Option<&Direct>,
    rules: &Mutex<Ruleset>,
    taken_out: bool,
) -> io::Result<()> {
    if let Some(direct) = direct {
        direct.set_taken_out(data_centre(fleet, scenario).filter(|_| taken_out));
        return Ok(());
    }
    let mut ruleset = rules.lock().map_err(|_| io::Error::other("poisoned"))?;
    let target = edit::Target::DataCentre(scenario.data_centre.to_owned());
    let request = edit::Request {
        who: "load".to_owned(),
        why: "trial".to_owned(),
    };
    let text = if taken_out {
        edit::take_out(&ruleset.rules, &target, &request)
    } else {
        edit::bring_back(&ruleset.rules, &target)
    };
    ruleset.rules = text.map_err(|error| io::Error::other(error.to_string()))?;
    ruleset.generation += 1;
    let spec = serde_json::to_value(&*ruleset)?;
    fleet
        .platform
        .state()
        .put(Collection::Rulesets, RULESET_NAME, spec);
    Ok(())
}

/// Returns the data centre that the scenario takes out, if the rules define it.
pub(super) fn data_centre(fleet: &Fleet, scenario: &Scenario) -> Option<DataCentreKey> {
    fleet.definitions.data_centre(scenario.data_centre)
}
