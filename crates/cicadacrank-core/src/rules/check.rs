//! Checks what rules mean together: whether every pipeline can run.

use super::{
    fault::Cause,
    model::{Definitions, Pipeline, PoolKey, TeamKey},
    read::Names,
    scan::Diagnostics,
};
use std::ops::RangeInclusive;

/// Stages a pipeline may have.
const STAGES: RangeInclusive<usize> = 3..=6;
/// Most the shares of a pipeline may add up to, in per cent.
const SHARES_MAX_PERCENT: u64 = 100;

/// What could not be read, so that a check of it would report a fault twice.
#[derive(Debug, Default)]
pub struct Unresolved {
    /// Some lines could not be told at all.
    pub unparsed: bool,
    /// Some endpoint's pool or size is not known.
    pub endpoints: bool,
    /// Some grant is not known.
    pub grants: bool,
    /// By pool: its service is not known.
    pub pools: Vec<bool>,
    /// By pipeline: some of its stages are not known.
    pub pipelines: Vec<bool>,
}

/// Reports pipelines no one can run and reservations no endpoint can keep.
pub fn check<'a>(
    definitions: &Definitions,
    unresolved: &Unresolved,
    pools: &Names<'a>,
    pipelines: &Names<'a>,
    diagnostics: &mut Diagnostics<'a>,
) {
    if unresolved.unparsed {
        return;
    }
    if !unresolved.endpoints {
        check_reservations(definitions, pools, diagnostics);
    }
    for (index, pipeline) in definitions.pipelines.iter().enumerate() {
        if unresolved.pipelines[index] {
            continue;
        }
        for cause in pipeline_causes(definitions, pipeline, unresolved) {
            diagnostics.push(pipelines.as_slice()[index].token, cause);
        }
    }
}

/// Reports pools whose smallest endpoint can't keep what is reserved.
fn check_reservations<'a>(
    definitions: &Definitions,
    pools: &Names<'a>,
    diagnostics: &mut Diagnostics<'a>,
) {
    for chunk in definitions
        .reservations
        .chunk_by(|left, right| left.pool == right.pool)
    {
        let pool = chunk[0].pool;
        let slots: u64 = chunk.iter().map(|one| u64::from(one.slots)).sum();
        let endpoints = definitions.endpoints_of(pool).map(|key| &definitions[key]);
        let Some(smallest) = endpoints.min_by_key(|endpoint| endpoint.warm_slots) else {
            continue;
        };
        let warm = smallest.warm_slots;
        if slots > warm.into() {
            let endpoint = smallest.name.clone();
            let cause = Cause::ExcessReservation {
                slots,
                endpoint,
                warm,
            };
            diagnostics.push(pools.as_slice()[pool.index()].token, cause);
        }
    }
}

fn pipeline_causes(
    definitions: &Definitions,
    pipeline: &Pipeline,
    unresolved: &Unresolved,
) -> Vec<Cause> {
    let mut causes = Vec::new();
    let count = pipeline.stages.len();
    if !STAGES.contains(&count) {
        causes.push(Cause::StageCount { count });
    }
    let shares = pipeline
        .stages
        .iter()
        .map(|stage| u64::from(stage.share_percent));
    let sum: u64 = shares.sum();
    if sum > SHARES_MAX_PERCENT {
        causes.push(Cause::ShareSum { sum });
    }
    let pools = pools_of(pipeline);
    if !unresolved.endpoints {
        let empty = pools
            .iter()
            .find(|pool| definitions.endpoints_of(**pool).next().is_none());
        causes.extend(empty.map(|pool| Cause::NoEndpoint {
            pool: definitions[*pool].name.clone(),
        }));
    }
    if !unresolved.grants && !pools.is_empty() && !some_team_can_run(definitions, &pools) {
        causes.push(Cause::NoTeam);
    }
    causes
}

/// Returns the pools of a pipeline, each once.
fn pools_of(pipeline: &Pipeline) -> Vec<PoolKey> {
    let mut pools: Vec<_> = pipeline.stages.iter().map(|stage| stage.pool).collect();
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Returns whether some team may use all pools at some minute of the day.
///
/// Grants change only where a window starts, so those minutes are enough.
fn some_team_can_run(definitions: &Definitions, pools: &[PoolKey]) -> bool {
    let granted = |team: TeamKey, minute: u16| {
        pools
            .iter()
            .all(|pool| definitions.is_granted(team, *pool, minute))
    };
    definitions
        .grants
        .iter()
        .any(|grant| granted(grant.team, grant.window.from_minute))
}
