//! Routing table of an entry and the selection of an endpoint.

use super::row::{Report, Row};
use crate::{admission::NameHash, rules::Definitions};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Load from which an entry also considers other data centres, in thousandths
/// of the slots.
const SPILLOVER_LOAD: u64 = 1000;

/// Requirements of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Pool that runs the stage.
    pub pool: NameHash,
    /// Data centre of the entry.
    pub data_centre: NameHash,
    /// Endpoints that were already tried.
    pub tried: &'a [NameHash],
}

/// Endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key of the endpoint.
    pub endpoint: NameHash,
    /// Name of the endpoint in the rules.
    pub name: Arc<str>,
    /// Address on which its sidecar listens.
    pub address: SocketAddr,
}

/// Endpoints from which an entry may choose, sorted by key.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
    generation: u64,
}

impl Table {
    /// Adds an endpoint, or updates its address, pool and data centre.
    pub fn insert(&mut self, endpoint: &str, pool: &str, data_centre: &str, address: SocketAddr) {
        let (pool, data_centre) = (NameHash::new(pool), NameHash::new(data_centre));
        match self.find(NameHash::new(endpoint)) {
            Ok(index) => {
                let row = &mut self.rows[index];
                row.set_address(address);
                row.pool = pool;
                row.data_centre = data_centre;
                row.taken_out = false;
            }
            Err(index) => {
                let row = Row::new(endpoint, pool, data_centre, address);
                self.rows.insert(index, row);
            }
        }
    }

    /// Keeps only the endpoints whose name matches the predicate.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.rows.retain(|row| keep(&row.name));
    }

    /// Applies a newer generation of the rules; an older or equal one is
    /// ignored.
    ///
    /// Endpoints that the rules take out or no longer contain are not chosen
    /// after this call.
    pub fn adopt(&mut self, generation: u64, definitions: &Definitions) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        for row in &mut self.rows {
            let Some(key) = definitions.endpoint(&row.name) else {
                row.taken_out = true;
                continue;
            };
            row.taken_out = definitions.is_taken_out(key);
            row.pool = NameHash::new(&definitions[definitions[key].pool].name);
            row.data_centre = NameHash::new(&definitions[definitions[key].data_centre].name);
        }
    }

    /// Chooses the less loaded of two random endpoints of the pool.
    ///
    /// Endpoints in the data centre of the entry are preferred. If the one
    /// chosen there has no free slot, the less loaded of two random endpoints
    /// elsewhere is used if its load is lower. `random` supplies the bits for
    /// all draws. Returns `None` if no endpoint is available.
    #[must_use]
    pub fn choose(&self, query: Query<'_>, random: u64, now: Duration) -> Option<Choice> {
        let usable = |row: &&Row| {
            row.pool == query.pool && row.is_available(now) && !query.tried.contains(&row.endpoint)
        };
        let (own, others): (Vec<&Row>, Vec<&Row>) = self
            .rows
            .iter()
            .filter(usable)
            .partition(|row| row.data_centre == query.data_centre);
        let near = less_loaded(&own, random, now);
        let best = match near {
            Some(near) if near.load(now) < SPILLOVER_LOAD => near,
            _ => [near, less_loaded(&others, random >> 32, now)]
                .into_iter()
                .flatten()
                .min_by_key(|row| row.load(now))?,
        };
        Some(best.choice())
    }

    /// Returns the time at which the earliest backoff in the pool ends, or
    /// `None` if the pool has no endpoints in service.
    #[must_use]
    pub fn next_available(&self, pool: NameHash) -> Option<Duration> {
        let rows = self.rows.iter();
        rows.filter(|row| row.pool == pool && !row.taken_out)
            .map(Row::available_at)
            .min()
    }

    /// Returns the home endpoint of a shard of claims, or `None` if that
    /// endpoint is silent or has no free slot.
    ///
    /// Rendezvous hashing makes all entries choose the same endpoint, so that a
    /// single sidecar writes the shard. Two writers are safe but cost more
    /// calls to the platform.
    #[must_use]
    pub fn home(&self, query: Query<'_>, shard: &str, now: Duration) -> Option<Choice> {
        let rank = |row: &&Row| NameHash::new(&format!("{shard} {}", row.name));
        let open = self.rows.iter().filter(|row| {
            row.pool == query.pool && row.is_available(now) && !query.tried.contains(&row.endpoint)
        });
        let home = open.max_by_key(rank)?;
        let able = home.load(now) < SPILLOVER_LOAD && !home.is_silent(now);
        able.then(|| home.choice())
    }

    /// Records that an attempt was sent to the endpoint.
    pub fn begin_attempt(&mut self, endpoint: NameHash, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.begin_attempt(now);
        }
    }

    /// Records that an attempt ended.
    pub fn end_attempt(&mut self, endpoint: NameHash) {
        if let Some(row) = self.row(endpoint) {
            row.end_attempt();
        }
    }

    /// Stores a load report, which also ends the silence and the backoff of the
    /// endpoint.
    pub fn record_report(&mut self, endpoint: NameHash, report: Report, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.record_report(report, now);
        }
    }

    /// Backs off from an endpoint whose sidecar could not be reached or accepts
    /// no work.
    pub fn back_off(&mut self, endpoint: NameHash, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.back_off(now);
        }
    }

    /// Records that an attempt received nothing more from the endpoint, which
    /// is then not used as a home until it reports again.
    pub fn record_silence(&mut self, endpoint: NameHash, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.record_silence(now);
        }
    }

    fn row(&mut self, endpoint: NameHash) -> Option<&mut Row> {
        let index = self.find(endpoint).ok()?;
        self.rows.get_mut(index)
    }

    fn find(&self, endpoint: NameHash) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&endpoint, |row| row.endpoint)
    }
}

/// Returns the less loaded of two distinct rows, each drawn with 16 bits of
/// `random`, or `None` if there are no rows.
fn less_loaded<'a>(rows: &[&'a Row], random: u64, now: Duration) -> Option<&'a Row> {
    let len = u64::try_from(rows.len()).ok()?;
    let first = (random & 0xffff).checked_rem(len)?;
    let step = (random >> 16 & 0xffff).checked_rem(len - 1).unwrap_or(0);
    let second = (first + 1 + step) % len;
    let pick = |index: u64| usize::try_from(index).ok().and_then(|at| rows.get(at));
    let (first, second) = (*pick(first)?, *pick(second)?);
    Some(if second.load(now) < first.load(now) {
        second
    } else {
        first
    })
}
