//! Checks across rules: whether every pipeline can run and whether reservations
//! fit the endpoints.

use super::{
    fault::Cause,
    model::{Definitions, Pipeline, PoolKey, TeamKey},
    read::Names,
    scan::Diagnostics,
};
use std::ops::RangeInclusive;

/// Permitted number of stages in a pipeline.
const STAGES: RangeInclusive<usize> = 3..=6;
/// Largest sum of the stage shares of a pipeline, in per cent of its deadline.
const SHARES_MAX_PERCENT: u64 = 100;

/// Records which rules could not be read.
///
/// Checks that depend on them are skipped, because they would only report
/// consequences of a fault that is already reported.
#[derive(Debug, Default)]
pub struct Unresolved {
    /// Whether some lines could not be parsed at all.
    pub unparsed: bool,
    /// Whether an endpoint is defined twice, or the pool or the warm slots of one
    /// are not known.
    pub endpoints: bool,
    /// Whether a grant could not be read.
    pub grants: bool,
    /// For each pool, whether its service is not known.
    pub pools: Vec<bool>,
    /// For each pipeline, whether one of its stages could not be read.
    pub pipelines: Vec<bool>,
}

/// Reports pipelines that cannot run and reservations that exceed an endpoint's
/// warm slots.
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

/// Reports pools whose reservations exceed the warm slots of their smallest
/// endpoint.
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

/// Returns the distinct pools of a pipeline, sorted by key.
fn pools_of(pipeline: &Pipeline) -> Vec<PoolKey> {
    let mut pools: Vec<_> = pipeline.stages.iter().map(|stage| stage.pool).collect();
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Returns whether a team may use all of the pools at the same minute of the day.
///
/// A team gains access to a pool only at the start of a window, so it is enough
/// to check those minutes.
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
