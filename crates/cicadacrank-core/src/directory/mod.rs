//! The endpoints of a deployment, as listed in the store.
//!
//! A [`Snapshot`] is the complete list at one version of the store. The newest
//! version is applied, whatever its source. Endpoints are identified
//! by their [`Incarnation`], because an endpoint that restarts under the same
//! id has lost its earlier state.

pub mod evacuation;
mod history;
mod tracker;

pub use self::tracker::Tracker;

use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Readiness that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The endpoint accepts new work.
    Ready,
    /// The endpoint only finishes its current work.
    Draining,
}

/// Identifies one start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the endpoint, which is the same after a restart.
    pub id: String,
    /// Start time in milliseconds since the Unix epoch, if the endpoint reports
    /// one.
    pub born: Option<u64>,
}

impl Incarnation {
    /// Returns a digest that is the same in every process.
    #[must_use]
    pub fn digest(&self) -> u64 {
        use std::hash::Hasher as _;
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(0, self.born.unwrap_or(0));
        hasher.write(self.id.as_bytes());
        hasher.finish()
    }
}

/// The registration of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Incarnation of the endpoint.
    pub life: Incarnation,
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Version of the endpoint's software.
    #[serde(default)]
    pub version: String,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts new work.
    pub state: State,
    /// Remaining time for which the endpoint is cold, counted from its report.
    pub cold: Duration,
    /// Sequence number of the registration, increasing within one incarnation.
    pub sequence: u64,
}

/// All endpoints, at one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the store that the list is taken from.
    #[serde(flatten)]
    pub version: Version,
    /// Endpoints, sorted by incarnation.
    pub endpoints: Vec<Endpoint>,
}

/// What changed in the list of endpoints between two versions of one era of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version of the list to which the changes apply.
    pub after: Version,
    /// Version of the list with the changes.
    pub version: Version,
    /// Endpoints that were registered, sorted by incarnation.
    pub put: Vec<Endpoint>,
    /// Ids of the endpoints that were removed.
    pub removed: Vec<String>,
}

/// Data centres that get no new work, at one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Version of the store that the list is taken from.
    #[serde(flatten)]
    pub version: Version,
    /// Names of the data centres, sorted.
    pub data_centres: Vec<String>,
}

impl Snapshot {
    /// Creates a snapshot from endpoints in any order.
    #[must_use]
    pub fn new(version: Version, mut endpoints: Vec<Endpoint>) -> Self {
        endpoints.sort_by(|one, other| one.life.cmp(&other.life));
        Self { version, endpoints }
    }
}

impl Evacuation {
    /// Creates the list from names in any order.
    #[must_use]
    pub fn new(version: Version, mut data_centres: Vec<String>) -> Self {
        data_centres.sort();
        Self {
            version,
            data_centres,
        }
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn covers(&self, data_centre: &str) -> bool {
        self.data_centres
            .binary_search_by(|name| name.as_str().cmp(data_centre))
            .is_ok()
    }
}
