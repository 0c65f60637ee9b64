//! Instances of the system and their addresses.

mod refresh;

pub use self::refresh::refresh;

use crate::settings::{Role, Settings};
use cicadacrank_core::membership::{self, Member, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An instance as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Role of its process.
    pub role: Role,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Names of the endpoints that it serves.
    #[serde(default)]
    pub endpoints: Vec<String>,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

impl Instance {
    /// Returns the member for this instance, with incarnation zero, so that what
    /// the process itself announces takes precedence.
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

/// Returns the member that describes the local process at its start.
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
