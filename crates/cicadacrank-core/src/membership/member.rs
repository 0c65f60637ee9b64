//! A member, as its peers know it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Fronts endpoints.
    Sidecar,
}

/// State of a process. Within one incarnation, the greater state supersedes the
/// lesser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The process answers.
    Alive,
    /// The process is about to stop and takes no new work.
    Leaving,
    /// The process did not answer, but may still refute the suspicion.
    Suspect,
    /// The process did not refute the suspicion in time.
    Dead,
}

/// A process, as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// Rises with each start of the process and with each refutation. Zero if
    /// the process is known only from the platform's list.
    pub incarnation: u64,
    /// Latest known state.
    pub state: State,
    /// Role of the process.
    pub role: Role,
    /// Data centre in which the process runs.
    pub data_centre: String,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Names of the endpoints behind the process.
    pub endpoints: Vec<String>,
}

impl Member {
    /// Returns whether this update supersedes another about the same process.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns whether the process may be given new work.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Returns a hash of the name, incarnation and state, used to compare the
    /// tables of two processes.
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
