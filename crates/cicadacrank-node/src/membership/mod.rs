//! Which instances are there, and where.

mod refresh;

pub use self::refresh::refresh;

use crate::settings::Role;
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
