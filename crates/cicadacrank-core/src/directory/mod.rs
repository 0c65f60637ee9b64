//! The endpoints of a deployment, as its store lists them.
//!
//! A [`Snapshot`] is the whole list at one revision of the store; the newest
//! wins, whoever brings it. Endpoints are told apart by their [`Incarnation`]: an
//! endpoint that starts anew under an old id holds nothing of before.

mod tracker;

pub use self::tracker::Tracker;

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// What an endpoint says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It ends the work that it has.
    Draining,
}

/// One start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id that the endpoint goes by.
    pub id: String,
    /// Its start, in milliseconds since the Unix epoch, where it is told.
    pub born: Option<u64>,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Which start of which endpoint it is.
    pub life: Incarnation,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is cold, from when it said so.
    pub cold: Duration,
    /// Number of the statement, which rises within one life.
    pub sequence: u64,
}

/// Endpoints and evacuated data centres, each at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the store at which the list holds.
    pub revision: u64,
    /// Endpoints, sorted by life.
    pub endpoints: Vec<Endpoint>,
}

/// Data centres that get no new work, at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Revision of the store at which the list holds.
    pub revision: u64,
    /// Names of the data centres, sorted.
    pub data_centres: Vec<String>,
}

impl Snapshot {
    /// Creates a snapshot from endpoints in any order.
    #[must_use]
    pub fn new(revision: u64, mut endpoints: Vec<Endpoint>) -> Self {
        endpoints.sort_by(|one, other| one.life.cmp(&other.life));
        Self {
            revision,
            endpoints,
        }
    }
}

impl Evacuation {
    /// Creates the list from names in any order.
    #[must_use]
    pub fn new(revision: u64, mut data_centres: Vec<String>) -> Self {
        data_centres.sort();
        Self {
            revision,
            data_centres,
        }
    }

    /// Returns whether a data centre is to get no new work.
    #[must_use]
    pub fn covers(&self, data_centre: &str) -> bool {
        self.data_centres
            .binary_search_by(|name| name.as_str().cmp(data_centre))
            .is_ok()
    }
}
