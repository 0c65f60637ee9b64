//! The gateways of a deployment, as one of them knows them.
//!
//! A gateway is live while it was heard of lately. Limits are divided among all
//! that were known lately, live or not, since one that is silent may still send.
//! Each service with stages has one live gateway that forms its calls.

use std::time::Duration;

/// Silence after which a gateway no longer counts as live: four heartbeats.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence after which a gateway no longer has a share of limits; well over the
/// longest pause that an instance returns from with its state.
pub const RETENTION: Duration = Duration::from_secs(60);

/// One gateway as it states itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Name of its instance.
    pub instance: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Where other gateways reach it.
    pub address: String,
    /// Whether it is about to end.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Row {
    gateway: Gateway,
    last_heard: Option<Duration>,
    last_known: Duration,
}

/// All gateways that one of them knows of.
#[derive(Clone, Debug)]
pub struct Roster {
    local: Gateway,
    rows: Vec<Row>,
}

impl Roster {
    /// Creates the roster of a gateway that knows only itself.
    #[must_use]
    pub const fn new(local: Gateway) -> Self {
        Self {
            local,
            rows: Vec::new(),
        }
    }

    /// Returns this gateway.
    #[must_use]
    pub const fn local(&self) -> &Gateway {
        &self.local
    }

    /// States that this gateway is about to end.
    pub const fn leave(&mut self) {
        self.local.leaving = true;
    }

    /// Takes up that somebody named a gateway.
    pub fn learn(&mut self, gateway: Gateway, now: Duration) {
        if gateway.instance != self.local.instance {
            self.upsert(gateway, now);
        }
    }

    /// Takes up that a gateway spoke; returns whether it was not live before.
    pub fn record_contact(&mut self, gateway: Gateway, now: Duration) -> bool {
        if gateway.instance == self.local.instance {
            return false;
        }
        let index = self.upsert(gateway, now);
        let row = &mut self.rows[index];
        let was_live = is_live(row, now);
        row.last_heard = Some(now);
        row.last_known = now;
        !was_live
    }

    /// Takes up that a gateway did not answer; returns whether it was live.
    pub fn record_failure(&mut self, instance: &str, now: Duration) -> bool {
        let Ok(index) = self.find(instance) else {
            return false;
        };
        let row = &mut self.rows[index];
        let was_live = is_live(row, now);
        row.last_heard = None;
        was_live
    }

    /// Returns all other gateways that are known.
    pub fn others(&self) -> impl Iterator<Item = &Gateway> {
        self.rows.iter().map(|row| &row.gateway)
    }

    /// Returns the gateways that are live, to be named to others.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Gateway> {
        self.rows
            .iter()
            .filter(move |row| is_live(row, now))
            .map(|row| &row.gateway)
    }

    /// Returns the number of gateways that limits are divided among, and the
    /// position of this one.
    pub fn shares(&mut self, now: Duration) -> (usize, usize) {
        self.rows
            .retain(|row| now.saturating_sub(row.last_known) < RETENTION);
        let position = self
            .rows
            .partition_point(|row| row.gateway.instance < self.local.instance);
        (self.rows.len() + 1, position)
    }

    /// Returns the gateway that forms the calls of the service with this number,
    /// `None` if that is this one.
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
        live.sort_by(|one, other| one.instance.cmp(&other.instance));
        let owner = live.get(service.checked_rem(live.len())?)?;
        (owner.instance != self.local.instance).then_some(owner)
    }

    fn upsert(&mut self, gateway: Gateway, now: Duration) -> usize {
        match self.find(&gateway.instance) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if gateway.incarnation > row.gateway.incarnation {
                    row.last_heard = None;
                    row.last_known = now;
                }
                if gateway.incarnation >= row.gateway.incarnation {
                    let leaving = gateway.leaving
                        || (row.gateway.leaving && gateway.incarnation == row.gateway.incarnation);
                    row.gateway = Gateway { leaving, ..gateway };
                }
                index
            }
            Err(index) => {
                let row = Row {
                    gateway,
                    last_heard: None,
                    last_known: now,
                };
                self.rows.insert(index, row);
                index
            }
        }
    }

    fn find(&self, instance: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.gateway.instance.as_str().cmp(instance))
    }
}

fn is_live(row: &Row, now: Duration) -> bool {
    row.last_heard
        .is_some_and(|heard| now.saturating_sub(heard) < LIVE_TIMEOUT)
}
