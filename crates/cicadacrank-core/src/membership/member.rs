//! One process as its peers know it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Stands before endpoints.
    Sidecar,
}

/// What is known of a process; of one incarnation, the greater word counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It answers.
    Alive,
    /// It ends soon and wants no new work.
    Leaving,
    /// It did not answer and may refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
}

/// One process as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// Rises with each start of the process and with each refutation; zero
    /// when only the platform has named the process.
    pub incarnation: u64,
    /// What is known of it.
    pub state: State,
    /// What it does.
    pub role: Role,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Endpoints behind it.
    pub endpoints: Vec<String>,
}

impl Member {
    /// Returns whether this word counts more than another on the same process.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns whether the process may be given new work.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Returns a hash of the word, for comparison between processes.
    #[must_use]
    pub(super) fn hash(&self) -> u32 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&[self.state as u8]);
        let mut hash = [0; 4];
        hasher.finalize_xof().fill(&mut hash);
        u32::from_le_bytes(hash)
    }
}
