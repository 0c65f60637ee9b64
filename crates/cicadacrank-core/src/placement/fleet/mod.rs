//! The endpoints of all services, and the selection among them.

mod account;
mod engine;
mod knowledge;
mod limit;
mod occupancy;
mod order;
mod peer;
mod select;
mod statement;
mod usual;

pub use self::{
    engine::{Choice, Prompt, Selection},
    knowledge::Knowledge,
    limit::Limit,
};

use self::{
    account::{Account, Accounts},
    limit::Share,
    peer::Peers,
    statement::{Statement, Statements},
    usual::Usual,
};
use super::{Health, Occupancy, Report, Speed};
use crate::directory::{Endpoint, Evacuation, Incarnation, Snapshot};
use std::{hash::Hasher as _, time::Duration};

/// Fixed cost of starting a request, in prompt tokens, added to the length of
/// its own prompt.
const TOKENS_PER_START: u64 = 1_500;

/// Identifies a row of the arena. A key never refers to an endpoint other than
/// the one that it was issued for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// Load that one process puts on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of these requests that the endpoint has not confirmed as
    /// read.
    pub unread: u64,
}

/// The state kept for one endpoint.
#[derive(Clone, Debug)]
pub struct Row {
    /// The registration of the endpoint in the directory.
    pub endpoint: Endpoint,
    /// Time at which the endpoint stops being cold.
    pub cold_until: Duration,
    /// Time of the last request of this process, or the time at which the endpoint became
    /// known.
    sent_at: Duration,
    own_load: Load,
    peer_load: Load,
    health: Health,
    speed: Speed,
    account: Account,
    statement: Statement,
    /// The load that the endpoint stated last, and when.
    occupancy: Option<(Occupancy, Duration)>,
}

/// Versions of the endpoints' software that may run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Software<'a> {
    /// Any version, also an unknown one.
    #[default]
    Any,
    /// Any version that is known, because another endpoint may have to go on with the
    /// request.
    Known,
    /// The version that has begun the request.
    Version(&'a str),
}

/// Endpoints that a roll-out allows for an attempt, by the version of their software.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Track<'a> {
    /// Those of any version.
    #[default]
    Any,
    /// Those of one version.
    Only(&'a str),
    /// Those of all but some versions.
    Without(&'a [String]),
}

impl Track<'_> {
    /// Returns whether an endpoint with a registered version may be selected.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == *only,
            Self::Without(versions) => !versions.iter().any(|one| one == version),
        }
    }
}

/// Data centres of a request and its inputs, and the endpoints that are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Locality<'a> {
    /// Data centre of this process.
    pub own: &'a str,
    /// Data centres that hold stage results, with the number of bytes in each.
    pub results: &'a [(String, u64)],
    /// Endpoints that must not be selected again for this request.
    pub tried: &'a [Key],
    /// Versions of the software that may run the request.
    pub software: Software<'a>,
    /// Versions that a roll-out allows.
    pub track: Track<'a>,
    /// Random number of the attempt, by which processes with the same knowledge select
    /// different endpoints.
    pub seed: u64,
}

impl Locality<'_> {
    /// Returns whether an endpoint may be selected for the request.
    #[must_use]
    pub fn allows(&self, key: Key, row: &Row) -> bool {
        let is_suitable = match self.software {
            Software::Any => true,
            Software::Known => row.version().is_some(),
            Software::Version(version) => row.version() == Some(version),
        };
        is_suitable && self.track.allows(&row.endpoint.version) && !self.tried.contains(&key)
    }
}

#[derive(Debug)]
struct Slot {
    generation: u32,
    row: Option<Row>,
}

/// All endpoints in the directory.
#[derive(Debug, Default)]
pub struct Fleet {
    slots: Vec<Slot>,
    /// Indices of the slots with rows, sorted by incarnation.
    order: Vec<u32>,
    peers: Peers,
    statements: Statements,
    accounts: Accounts,
    evacuation: Evacuation,
    processes: usize,
    position: usize,
    usual: Vec<Usual>,
}

impl Fleet {
    /// Applies a new list of endpoints. The state of endpoints that remain is
    /// kept.
    pub fn update(&mut self, snapshot: &Snapshot, now: Duration) {
        let listed = |incarnation: &Incarnation| {
            let found = snapshot
                .endpoints
                .binary_search_by(|one| one.life.cmp(incarnation));
            found.ok().map(|index| &snapshot.endpoints[index])
        };
        let mut renewed = Vec::new();
        for slot in &mut self.slots {
            let Some(row) = &mut slot.row else { continue };
            match listed(&row.endpoint.life) {
                Some(endpoint) => {
                    // Without a start time, a process that has ended and the next one share
                    // an incarnation.
                    if row.update(endpoint, now) && endpoint.life.born.is_none() {
                        renewed.push(endpoint.life.clone());
                    }
                }
                None => {
                    if let Some(row) = slot.row.take() {
                        self.accounts.keep(&row.endpoint.life.id, row.account, now);
                    }
                    slot.generation += 1;
                }
            }
        }
        self.sort();
        for incarnation in renewed {
            self.record_running(&incarnation, now);
        }
        let new = snapshot.endpoints.iter();
        let new: Vec<&Endpoint> = new.filter(|one| self.find(&one.life).is_none()).collect();
        for endpoint in new {
            let statement = self.statements.of(&endpoint.life);
            let account = self.accounts.take(&endpoint.life.id);
            let mut row = Row::new(endpoint.clone(), statement, account, now);
            row.peer_load = self.peers.load(&endpoint.life.id);
            self.insert(row);
        }
        self.sort();
    }

    /// Sets the data centres that get no new work.
    pub fn set_evacuation(&mut self, evacuation: Evacuation) {
        self.evacuation = evacuation;
    }

    /// Sets the upper bound on the number of processes that share the limits,
    /// and the position of this process among them.
    pub const fn set_processes(&mut self, processes: usize, position: usize) {
        self.processes = processes;
        self.position = position;
    }

    /// Returns the load of this process on each endpoint with requests in
    /// flight.
    pub fn own_loads(&self) -> impl Iterator<Item = (&str, Load)> {
        self.rows()
            .filter(|(_, row)| row.own_load.in_flight > 0)
            .map(|(_, row)| (row.endpoint.life.id.as_str(), row.own_load))
    }

    /// Returns the row of a key, or `None` if its endpoint left the directory.
    #[must_use]
    pub fn row(&self, key: Key) -> Option<&Row> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot.row.as_ref()?)
    }

    /// Returns the endpoints of a service that accept new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Row)> {
        self.rows().filter(move |(_, row)| {
            row.endpoint.service == service
                && row.is_ready()
                && !self.evacuation.covers(&row.endpoint.data_centre)
        })
    }

    /// Returns the listed endpoints of a service, whether or not they accept new work.
    pub fn listed<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        let rows = self.rows().map(|(_, row)| &row.endpoint);
        rows.filter(move |endpoint| endpoint.service == service)
    }

    /// Returns the number of requests that this process may send to the endpoints of a
    /// service until `until`, as far as `locality` allows them.
    #[must_use]
    pub fn sends_until(
        &self,
        service: &str,
        cold_rate: f64,
        locality: &Locality<'_>,
        now: Duration,
        until: Duration,
    ) -> usize {
        let share = self.share();
        let usable = self.usable(service);
        let allowed = usable.filter(|(key, row)| locality.allows(*key, row));
        let sends = allowed.map(|(_, row)| row.sends_until(cold_rate, share, now, until));
        sends.fold(0, usize::saturating_add)
    }

    const fn share(&self) -> Share {
        Share {
            processes: self.processes,
            position: self.position,
        }
    }

    /// Returns the limits that endpoints stated within `recent`, or that ended since.
    pub fn stated_limits(
        &self,
        now: Duration,
        recent: Duration,
    ) -> impl Iterator<Item = (&Incarnation, Limit)> {
        let rows = self.rows();
        let limits = rows.filter_map(|(_, row)| Some((&row.endpoint.life, row.account.limit?)));
        limits.filter(move |(_, limit)| now < limit.at.saturating_add(recent))
    }

    /// Returns the row of an endpoint, or `None` if the endpoint is unknown.
    #[must_use]
    pub fn row_of(&self, endpoint: &Incarnation) -> Option<&Row> {
        self.row(self.find(endpoint)?)
    }

    /// Grants one request of any process to an endpoint beyond the shares of the
    /// processes. `cold` is the number of requests a second in the reserve of the limit
    /// for a cold endpoint, which is closed while the endpoint is known to be cold. `held`
    /// is the time for which this process has kept the reserves.
    pub fn try_grant(
        &mut self,
        endpoint: &Incarnation,
        cold: Option<usize>,
        held: Duration,
        now: Duration,
    ) -> bool {
        let usable = self.find(endpoint).and_then(|key| self.row_mut(key));
        let Some(row) = usable.filter(|row| row.is_ready() && row.cold_until <= now) else {
            return false;
        };
        let granted = row.has_reserve(cold, held, now);
        if granted {
            row.account.grants.record_send(now);
        }
        granted
    }

    /// Records the start of a request at an endpoint, within the share of this
    /// process.
    pub fn begin(&mut self, key: Key, unread: u64, now: Duration) {
        self.begin_granted(key, unread);
        if let Some(row) = self.row_mut(key) {
            row.account.sends.record_send(now);
            row.sent_at = now;
        }
    }

    /// Records the start of a request at an endpoint, by a grant from the reserve
    /// of its limit.
    pub fn begin_granted(&mut self, key: Key, unread: u64) {
        if let Some(row) = self.row_mut(key) {
            row.own_load.in_flight += 1;
            row.own_load.unread += unread;
        }
    }

    /// Records that the endpoint has read `unread` tokens of a prompt.
    pub fn record_prefill(&mut self, key: Key, unread: u64) {
        if let Some(row) = self.row_mut(key) {
            row.own_load.unread = row.own_load.unread.saturating_sub(unread);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, key: Key) {
        if let Some(row) = self.row_mut(key) {
            row.own_load.in_flight = row.own_load.in_flight.saturating_sub(1);
        }
    }

    /// Records the limit that an endpoint states. Ignores it if a newer statement is
    /// known. Returns whether the limit changed.
    ///
    /// The limit holds for the id of the endpoint, also while the directory lists another
    /// incarnation or none.
    pub fn record_limit(&mut self, endpoint: &Incarnation, limit: Limit) -> bool {
        let key = self.keys_of(&endpoint.id).next();
        let row = key.and_then(|key| self.row_mut(key));
        match (row, limit.per_second) {
            (Some(row), _) => row.account.record_limit(limit),
            (None, Some(_)) => self.accounts.entry(&endpoint.id).record_limit(limit),
            (None, None) => self.accounts.end_limit(&endpoint.id, limit),
        }
    }

    /// Records the result of an attempt.
    pub fn record(&mut self, key: Key, report: Report, now: Duration) {
        if let Some(row) = self.row_mut(key) {
            row.health.record(report, now);
        }
    }

    fn rows(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key {
                index: u32::try_from(index).ok()?,
                generation: slot.generation,
            };
            Some((key, slot.row.as_ref()?))
        })
    }

    fn row_mut(&mut self, key: Key) -> Option<&mut Row> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.row.as_mut()
    }

    fn insert(&mut self, row: Row) {
        match self.slots.iter_mut().find(|slot| slot.row.is_none()) {
            Some(slot) => slot.row = Some(row),
            None => self.slots.push(Slot {
                generation: 0,
                row: Some(row),
            }),
        }
    }
}

impl Row {
    fn new(endpoint: Endpoint, statement: Statement, account: Account, now: Duration) -> Self {
        Self {
            cold_until: now.saturating_add(endpoint.cold),
            endpoint,
            sent_at: now,
            own_load: Load::default(),
            peer_load: Load::default(),
            health: Health::new(),
            speed: Speed::default(),
            account,
            statement,
            occupancy: None,
        }
    }

    /// Applies a registration of the same incarnation. Returns whether it differs from the
    /// one before.
    fn update(&mut self, endpoint: &Endpoint, now: Duration) -> bool {
        if self.endpoint == *endpoint {
            return false;
        }
        self.cold_until = now.saturating_add(endpoint.cold);
        self.endpoint = endpoint.clone();
        true
    }

    /// Returns the known number of requests in flight from all processes.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.own_load.in_flight + self.peer_load.in_flight
    }

    /// Returns the known number of prompt tokens that the endpoint has yet to
    /// read, for all processes.
    #[must_use]
    pub const fn unread(&self) -> u64 {
        self.own_load.unread + self.peer_load.unread
    }
}

/// Returns the work until the first byte of an answer, relative to that of a request without
/// a prompt.
#[must_use]
pub fn work(tokens: u64) -> f64 {
    (tokens + TOKENS_PER_START) as f64 / TOKENS_PER_START as f64
}

/// Returns the rendezvous hashing weight of an endpoint for a seed. It is the
/// same in every process.
fn rendezvous_weight(seed: u64, id: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(seed, 0);
    hasher.write(id.as_bytes());
    hasher.finish()
}
