//! The gateways of a deployment, as one of them knows them.
//!
//! A gateway is live if it was heard from recently. Limits are divided among
//! all recently known gateways, live or not, since a silent gateway may still
//! send. Each service with stages has one live gateway that forms its calls.

use std::time::Duration;

/// Silence after which a gateway no longer counts as live: four heartbeats.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1_000);

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
}

#[derive(Clone, Debug)]
struct Row {
    gateway: Gateway,
    last_heard: Option<Duration>,
    last_known: Duration,
}

/// All gateways known to the local gateway.
#[derive(Clone, Debug)]
pub struct Roster {
    local: Gateway,
    rows: Vec<Row>,
}

impl Roster {
    /// Creates a roster that contains only the local gateway.
    #[must_use]
    pub const fn new(local: Gateway) -> Self {
        Self {
            local,
            rows: Vec::new(),
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

    /// Adds or updates a gateway that another process named.
    pub fn learn(&mut self, gateway: Gateway, now: Duration) {
        if gateway.instance != self.local.instance {
            self.upsert(gateway, now);
        }
    }

    /// Records a message from a gateway. Returns whether the gateway was not
    /// live before.
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

    /// Records that a gateway did not answer. Returns whether it was live
    /// before.
    pub fn record_failure(&mut self, instance: &str, now: Duration) -> bool {
        let Ok(index) = self.find(instance) else {
            return false;
        };
        let row = &mut self.rows[index];
        let was_live = is_live(row, now);
        row.last_heard = None;
        was_live
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
        self.rows
            .retain(|row| now.saturating_sub(row.last_known) < RETENTION);
        let position = self
            .rows
            .partition_point(|row| row.gateway.instance < self.local.instance);
        (self.rows.len() + 1, position)
    }

    /// Returns the gateway that forms the calls of the service with this
    /// number, or `None` if that is the local gateway.
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
