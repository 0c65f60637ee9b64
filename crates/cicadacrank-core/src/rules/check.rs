//! Checks what rules mean together: whether every pipeline can run.

use super::{
    fault::Cause,
    model::{Book, Pipeline, PoolKey, TeamKey},
    read::Names,
    scan::Log,
};
use std::ops::RangeInclusive;

/// Stages a pipeline may have.
const STAGES: RangeInclusive<usize> = 3..=6;
/// Most the shares of a pipeline may add up to, in per cent.
const SHARES_MAX_PERCENT: u64 = 100;

/// What could not be read, so that a check of it would report a fault twice.
#[derive(Debug, Default)]
pub struct Doubt {
    /// Some lines could not be told at all.
    pub unread: bool,
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
    book: &Book,
    doubt: &Doubt,
    pools: &Names<'a>,
    pipelines: &Names<'a>,
    log: &mut Log<'a>,
) {
    if doubt.unread {
        return;
    }
    if !doubt.endpoints {
        check_reservations(book, pools, log);
    }
    for (index, pipeline) in book.pipelines.iter().enumerate() {
        if doubt.pipelines[index] {
            continue;
        }
        for cause in pipeline_causes(book, pipeline, doubt) {
            log.push(pipelines.entries()[index].token, cause);
        }
    }
}

/// Reports pools whose smallest endpoint can't keep what is reserved.
fn check_reservations<'a>(book: &Book, pools: &Names<'a>, log: &mut Log<'a>) {
    for chunk in book
        .reservations
        .chunk_by(|left, right| left.pool == right.pool)
    {
        let pool = chunk[0].pool;
        let slots: u64 = chunk.iter().map(|one| u64::from(one.slots)).sum();
        let endpoints = book.endpoints_of(pool).map(|key| &book[key]);
        let Some(smallest) = endpoints.min_by_key(|endpoint| endpoint.warm_slots) else {
            continue;
        };
        let warm = smallest.warm_slots;
        if slots > warm.into() {
            let endpoint = smallest.name.clone();
            let cause = Cause::Reserved {
                slots,
                endpoint,
                warm,
            };
            log.push(pools.entries()[pool.index()].token, cause);
        }
    }
}

fn pipeline_causes(book: &Book, pipeline: &Pipeline, doubt: &Doubt) -> Vec<Cause> {
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
        causes.push(Cause::Shares { sum });
    }
    let pools = pools_of(pipeline);
    if !doubt.endpoints {
        let empty = pools
            .iter()
            .find(|pool| book.endpoints_of(**pool).next().is_none());
        causes.extend(empty.map(|pool| Cause::NoEndpoint {
            pool: book[*pool].name.clone(),
        }));
    }
    if !doubt.grants && !pools.is_empty() && !has_team(book, &pools) {
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
fn has_team(book: &Book, pools: &[PoolKey]) -> bool {
    let granted = |team: TeamKey, minute: u16| {
        pools
            .iter()
            .all(|pool| book.is_granted(team, *pool, minute))
    };
    book.grants
        .iter()
        .any(|grant| granted(grant.team, grant.window.from_minute))
}
