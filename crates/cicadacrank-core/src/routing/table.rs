//! The endpoints an entry may choose from, and its choice among them.

use super::row::{Report, Row};
use crate::{admission::NameHash, rules::Book};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Load at which an entry looks beyond its own data centre, in thousandths of
/// the slots.
const SPILLOVER_LOAD: u64 = 1000;

/// What an attempt needs.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Pool that runs the stage.
    pub pool: NameHash,
    /// Data centre of the entry.
    pub data_centre: NameHash,
    /// Endpoints that were tried already.
    pub tried: &'a [NameHash],
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its key.
    pub endpoint: NameHash,
    /// Its name in the rules.
    pub name: Arc<str>,
    /// Where its sidecar listens.
    pub address: SocketAddr,
}

/// Endpoints that an entry may choose from, sorted by key.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
    generation: u64,
}

impl Table {
    /// Adds an endpoint or gives it a new address.
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

    /// Keeps the endpoints for which the test holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.rows.retain(|row| keep(&row.name));
    }

    /// Takes up a newer generation of the rules: what it takes out is no longer
    /// chosen, from this call on.
    pub fn adopt(&mut self, generation: u64, book: &Book) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        for row in &mut self.rows {
            let Some(key) = book.endpoint(&row.name) else {
                row.taken_out = true;
                continue;
            };
            row.taken_out = book.is_taken_out(key);
            row.pool = NameHash::new(&book[book[key].pool].name);
            row.data_centre = NameHash::new(&book[book[key].data_centre].name);
        }
    }

    /// Chooses the better of two endpoints of the pool drawn at random.
    ///
    /// Endpoints of the entry's own data centre go first; when the better of
    /// two there has no slot free, the better of two elsewhere is taken if it
    /// has less to do. `random` supplies all draws.
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

    /// Returns when the first endpoint of the pool that is left out for now is
    /// tried again; `None` if the pool has none.
    #[must_use]
    pub fn next_available(&self, pool: NameHash) -> Option<Duration> {
        let rows = self.rows.iter();
        rows.filter(|row| row.pool == pool && !row.taken_out)
            .map(Row::available_at)
            .min()
    }

    /// Chooses the endpoint that a shard of claims stays with while it is heard
    /// of and has a slot free.
    ///
    /// Every entry chooses the same one (rendezvous hashing), so that one
    /// sidecar writes the shard; two are safe but cost the platform more calls.
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

    /// Notes that an attempt goes to the endpoint.
    pub fn begin_attempt(&mut self, endpoint: NameHash, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.begin_attempt(now);
        }
    }

    /// Notes that an attempt ended.
    pub fn end_attempt(&mut self, endpoint: NameHash) {
        if let Some(row) = self.row(endpoint) {
            row.end_attempt();
        }
    }

    /// Takes up a load report, which is a sign of life too.
    pub fn record_report(&mut self, endpoint: NameHash, report: Report, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.record_report(report, now);
        }
    }

    /// Notes that the sidecar could not be reached or takes no work.
    pub fn back_off(&mut self, endpoint: NameHash, now: Duration) {
        if let Some(row) = self.row(endpoint) {
            row.back_off(now);
        }
    }

    /// Notes that an attempt heard nothing more from the endpoint, so that it is
    /// no home until it is heard of.
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

/// Returns the less loaded of two distinct rows, drawn with 16 bits each.
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
