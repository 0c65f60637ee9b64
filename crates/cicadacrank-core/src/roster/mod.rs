//! The gateways of a deployment, as one of them knows them.
//!
//! Each gateway counts its heartbeats, and gateways pass these counts on. A gateway
//! is live if its count rose recently, so that a gateway of a large deployment
//! needs no direct contact with all others: it exchanges heartbeats with some
//! [partners](Roster::partners), and passes counts on as a [digest](Sign). Limits are divided among
//! all recently known gateways, live or not, since a silent gateway may still
//! send. Each service with stages has one live gateway that forms its calls.

mod catchup;
mod digest;
mod partner;

pub use self::{
    catchup::{Catchup, Request},
    digest::Sign,
    partner::fan_out,
};

use siphasher::sip::SipHasher13;
use std::{cmp, hash::Hasher as _, time::Duration};

/// Time without a new heartbeat after which a gateway no longer counts as live. A
/// heartbeat reaches all gateways within a few intervals.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence after which a gateway loses its share of limits. It is well above
/// the longest pause after which an instance resumes with its state.
pub const RETENTION: Duration = Duration::from_secs(60);

/// A gateway, as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Name of the gateway's instance.
    pub instance: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Address for other gateways.
    pub address: String,
    /// Whether the gateway is about to stop.
    pub leaving: bool,
    /// Number of heartbeats that the process has sent.
    pub heartbeats: u64,
    /// Whether the process understands digests of heartbeats.
    pub reads_digests: bool,
    /// What the instance has for its work.
    pub room: Room,
}

/// What an instance has for its work. Zero if it is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Processor time, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
}

impl Room {
    const fn is_known(self) -> bool {
        self.millicores > 0 && self.link_mbps > 0
    }

    /// Returns whether it is at least half of `other`.
    const fn is_near(self, other: Self) -> bool {
        let millicores = self.millicores.saturating_mul(2) >= other.millicores;
        millicores && self.link_mbps.saturating_mul(2) >= other.link_mbps
    }

    /// Returns the larger one of each.
    fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            link_mbps: self.link_mbps.max(other.link_mbps),
        }
    }
}

#[derive(Clone, Debug)]
struct Row {
    gateway: Gateway,
    /// Id of the incarnation in digests.
    id: u32,
    last_heard: Option<Duration>,
    last_known: Duration,
    /// Time until which the gateway may have kept reserves of limits.
    grants_until: Duration,
    /// Whether the gateway was last reported as live to the caller.
    reported_live: bool,
}

impl Row {
    /// Records a sign of life. Returns whether the gateway was reported as lost
    /// before.
    fn record_life(&mut self, now: Duration) -> bool {
        self.last_heard = Some(now);
        self.last_known = now;
        if !self.gateway.leaving {
            self.grants_until = now + LIVE_TIMEOUT;
        }
        !std::mem::replace(&mut self.reported_live, true)
    }
}

/// All gateways known to the local gateway.
#[derive(Clone, Debug)]
pub struct Roster {
    local: Gateway,
    rows: Vec<Row>,
    /// Ids of the rows in digests, with the indices of the rows, sorted.
    ids: Vec<(u32, usize)>,
}

impl Roster {
    /// Creates a roster that contains only the local gateway.
    #[must_use]
    pub const fn new(local: Gateway) -> Self {
        Self {
            local,
            rows: Vec::new(),
            ids: Vec::new(),
        }
    }

    /// Returns the local gateway.
    #[must_use]
    pub const fn local(&self) -> &Gateway {
        &self.local
    }

    /// Marks the local gateway as leaving.
    pub const fn leave(&mut self) {
        self.local.leaving = true;
    }

    /// Counts a heartbeat of the local gateway.
    pub const fn count_heartbeat(&mut self) {
        self.local.heartbeats += 1;
    }

    /// Adds or updates a gateway that another process named. Returns whether this
    /// shows that a gateway that was not live has sent a heartbeat.
    pub fn learn(&mut self, gateway: Gateway, now: Duration) -> bool {
        if gateway.instance == self.local.instance {
            return false;
        }
        let known = self.find(&gateway.instance).ok();
        let known = known.map(|index| &self.rows[index].gateway);
        let rose = known.is_some_and(|known| {
            known.incarnation == gateway.incarnation && known.heartbeats < gateway.heartbeats
        });
        let index = self.upsert(gateway, now);
        rose && self.rows[index].record_life(now)
    }

    /// Records a message from a gateway. Returns whether the gateway was not
    /// live before.
    pub fn record_contact(&mut self, gateway: Gateway, now: Duration) -> bool {
        if gateway.instance == self.local.instance {
            return false;
        }
        let reads_digests = gateway.reads_digests;
        let index = self.upsert(gateway, now);
        self.rows[index].gateway.reads_digests = reads_digests;
        self.rows[index].record_life(now)
    }

    /// Records that a gateway did not answer, so that it does not count as live
    /// until its next heartbeat. Returns whether it was live before.
    pub fn record_failure(&mut self, instance: &str, now: Duration) -> bool {
        let Ok(index) = self.find(instance) else {
            return false;
        };
        let row = &mut self.rows[index];
        row.last_heard = None;
        row.grants_until = row.grants_until.min(now);
        std::mem::take(&mut row.reported_live)
    }

    /// Returns the names of the gateways that have become silent since the last
    /// call.
    pub fn take_silent(&mut self, now: Duration) -> Vec<String> {
        let rows = self.rows.iter_mut();
        let silent = rows.filter(|row| row.reported_live && !is_live(row, now));
        silent
            .map(|row| {
                row.reported_live = false;
                row.gateway.instance.clone()
            })
            .collect()
    }

    /// Returns all other known gateways.
    pub fn others(&self) -> impl Iterator<Item = &Gateway> {
        self.rows.iter().map(|row| &row.gateway)
    }

    /// Returns the live gateways other than the local one, to be named to
    /// others.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Gateway> {
        self.rows
            .iter()
            .filter(move |row| is_live(row, now))
            .map(|row| &row.gateway)
    }

    /// Returns the number of gateways that share the limits and the position of
    /// the local gateway among them. Removes gateways that have been silent for
    /// [`RETENTION`].
    pub fn shares(&mut self, now: Duration) -> (usize, usize) {
        let before = self.rows.len();
        self.rows
            .retain(|row| now.saturating_sub(row.last_known) < RETENTION);
        if self.rows.len() < before {
            self.index();
        }
        let position = self
            .rows
            .partition_point(|row| row.gateway.instance < self.local.instance);
        (self.rows.len() + 1, position)
    }

    /// Returns the gateway that forms the calls of the service with this
    /// number, or `None` if that is the local gateway. It is one of those with the most
    /// room, as long as the room of all is known: older processes choose among all.
    #[must_use]
    pub fn owner(&self, service: usize, now: Duration) -> Option<&Gateway> {
        let mut live: Vec<&Gateway> = self
            .rows
            .iter()
            .filter(|row| is_live(row, now))
            .map(|row| &row.gateway)
            .chain([&self.local])
            .filter(|gateway| !gateway.leaving)
            .collect();
        if live.iter().all(|gateway| gateway.room.is_known()) {
            let rooms = live.iter().map(|gateway| gateway.room);
            let largest = rooms.fold(Room::default(), Room::max);
            let has_near = live.iter().any(|gateway| gateway.room.is_near(largest));
            live.retain(|gateway| !has_near || gateway.room.is_near(largest));
        }
        live.sort_by(|one, other| one.instance.cmp(&other.instance));
        let owner = live.get(service.checked_rem(live.len())?)?;
        (owner.instance != self.local.instance).then_some(owner)
    }

    /// Returns the gateway that keeps the reserve of an endpoint's limit, or `None`
    /// if that is the local gateway.
    #[must_use]
    pub fn grantor(&self, endpoint: &str, now: Duration) -> Option<&Gateway> {
        let live = self.rows.iter().filter(|row| is_live(row, now));
        let grantor = live
            .map(|row| &row.gateway)
            .chain([&self.local])
            .filter(|gateway| !gateway.leaving)
            .max_by_key(|gateway| rendezvous_weight(&gateway.instance, endpoint))?;
        (grantor.instance != self.local.instance).then_some(grantor)
    }

    /// Returns the number of live gateways that come before the local one for what belongs
    /// to `key`, or `None` if the local gateway is leaving.
    #[must_use]
    pub fn rank(&self, key: &str, now: Duration) -> Option<usize> {
        if self.local.leaving {
            return None;
        }
        let own = rendezvous_weight(&self.local.instance, key);
        let live = self.live(now).filter(|gateway| !gateway.leaving);
        Some(
            live.filter(|one| rendezvous_weight(&one.instance, key) > own)
                .count(),
        )
    }

    /// Returns the live gateways other than the local one that are first to remember what
    /// belongs to `key`, at most `count`. They are about the same for all gateways.
    #[must_use]
    pub fn keepers(&self, key: &str, count: usize, now: Duration) -> Vec<&Gateway> {
        let live = self.live(now).filter(|gateway| !gateway.leaving);
        let mut live: Vec<&Gateway> = live.collect();
        live.sort_by_cached_key(|one| cmp::Reverse(rendezvous_weight(&one.instance, key)));
        live.truncate(count);
        live
    }

    /// Returns the known gateways other than the local one that may know of what belongs to
    /// `key`, at most `count`: its keepers first, then those that are not live.
    #[must_use]
    pub fn witnesses(&self, key: &str, count: usize, now: Duration) -> Vec<&Gateway> {
        let mut witnesses = self.keepers(key, count, now);
        let others = self.rows.iter().filter(|row| !is_live(row, now));
        let others = others.map(|row| &row.gateway);
        witnesses.extend(others.filter(|gateway| !gateway.leaving));
        witnesses.truncate(count);
        witnesses
    }

    /// Returns whether the local gateway is in touch with the others: all that are known
    /// and have not said that they leave are live.
    #[must_use]
    pub fn is_in_touch(&self, now: Duration) -> bool {
        let mut staying = self.rows.iter().filter(|row| !row.gateway.leaving);
        staying.all(|row| is_live(row, now))
    }

    /// Returns how long the local gateway has kept the reserve of an endpoint's limit, or
    /// `None` if it does not keep it. `now` is the time since the start of its process.
    ///
    /// What the gateway before granted is not known here.
    #[must_use]
    pub fn reserve_held(&self, endpoint: &str, now: Duration) -> Option<Duration> {
        if self.local.leaving {
            return None;
        }
        let own = rendezvous_weight(&self.local.instance, endpoint);
        let before = self
            .rows
            .iter()
            .filter(|row| rendezvous_weight(&row.gateway.instance, endpoint) > own);
        let since = before.map(|row| row.grants_until).max();
        now.checked_sub(since.unwrap_or_default())
    }

    fn upsert(&mut self, gateway: Gateway, now: Duration) -> usize {
        match self.find(&gateway.instance) {
            Ok(index) => {
                let row = &mut self.rows[index];
                let is_new = gateway.incarnation > row.gateway.incarnation;
                if is_new {
                    row.last_heard = None;
                    row.last_known = now;
                    row.id = digest::id(&gateway.instance, gateway.incarnation);
                }
                if gateway.incarnation >= row.gateway.incarnation {
                    let leaving = gateway.leaving
                        || (row.gateway.leaving && gateway.incarnation == row.gateway.incarnation);
                    let heartbeats = if is_new {
                        gateway.heartbeats
                    } else {
                        gateway.heartbeats.max(row.gateway.heartbeats)
                    };
                    // Older processes pass rows on without it.
                    let reads_digests =
                        gateway.reads_digests || (row.gateway.reads_digests && !is_new);
                    let room = if gateway.room.is_known() || is_new {
                        gateway.room
                    } else {
                        row.gateway.room
                    };
                    row.gateway = Gateway {
                        leaving,
                        heartbeats,
                        reads_digests,
                        room,
                        ..gateway
                    };
                    if leaving {
                        row.grants_until = row.grants_until.min(now);
                    }
                }
                if is_new {
                    self.index();
                }
                index
            }
            Err(index) => {
                let row = Row {
                    id: digest::id(&gateway.instance, gateway.incarnation),
                    gateway,
                    last_heard: None,
                    last_known: now,
                    grants_until: Duration::ZERO,
                    reported_live: false,
                };
                self.rows.insert(index, row);
                self.index();
                index
            }
        }
    }

    fn index(&mut self) {
        let ids = self.rows.iter().enumerate();
        self.ids = ids.map(|(index, row)| (row.id, index)).collect();
        self.ids.sort_unstable();
    }

    fn find(&self, instance: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.gateway.instance.as_str().cmp(instance))
    }
}

fn rendezvous_weight(instance: &str, endpoint: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(instance.as_bytes());
    hasher.write_u8(0);
    hasher.write(endpoint.as_bytes());
    hasher.finish()
}

fn is_live(row: &Row, now: Duration) -> bool {
    row.last_heard
        .is_some_and(|heard| now.saturating_sub(heard) < LIVE_TIMEOUT)
}
