//! Which instances are there, and where.

mod refresh;

pub use self::refresh::refresh;

use crate::settings::{Role, Settings};
use cicadacrank_core::membership::{self, Member, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Role of the process on it.
    pub role: Role,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Endpoints behind it.
    #[serde(default)]
    pub endpoints: Vec<String>,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

impl Instance {
    /// Returns the platform's word on the process, which its own outweighs.
    #[must_use]
    pub fn into_member(self, name: String) -> Member {
        Member {
            name,
            incarnation: 0,
            state: if self.leaving {
                State::Leaving
            } else {
                State::Alive
            },
            role: self.role.into(),
            data_centre: self.data_centre,
            address: self.address,
            operator_address: self.operator_address,
            endpoints: self.endpoints,
        }
    }
}

/// Returns the word of a process on itself at its start.
#[must_use]
pub fn local_member(
    settings: &Settings,
    incarnation: u64,
    address: SocketAddr,
    operator_address: SocketAddr,
) -> Member {
    let endpoints = settings.endpoints.iter();
    Member {
        name: settings.instance.clone(),
        incarnation,
        state: State::Alive,
        role: settings.role.into(),
        data_centre: settings.data_centre.clone(),
        address,
        operator_address,
        endpoints: endpoints.map(|endpoint| endpoint.name.clone()).collect(),
    }
}

impl From<Role> for membership::Role {
    fn from(role: Role) -> Self {
        match role {
            Role::Entry => Self::Entry,
            Role::Sidecar => Self::Sidecar,
        }
    }
}
