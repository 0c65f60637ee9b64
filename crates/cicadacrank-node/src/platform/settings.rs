//! Parses the settings file that the platform writes for each process.

use crate::gateway::{Bounds, Settings};
use cicadacrank_core::{rollout, roster::Room};
use miette::{Context as _, IntoDiagnostic as _, Result};
use serde::Deserialize;
use std::{env, fs, net::SocketAddr, path::PathBuf, time::Duration};

/// Environment variable that contains the path of the settings file.
const PATH_VARIABLE: &str = "CICADACRANK_BOOT";

/// Returns the path of the settings file.
///
/// # Errors
///
/// Returns a report if the environment variable is not set.
pub fn path() -> Result<PathBuf> {
    env::var_os(PATH_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| miette::miette!("the environment variable {PATH_VARIABLE} is not set"))
}

/// Loads and validates the settings file.
///
/// # Errors
///
/// Returns a report with the path of the file and the error.
pub fn load(path: &std::path::Path) -> Result<Settings> {
    let text = fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("reading settings from {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("checking settings in {}", path.display()))
}

/// Parses and validates settings.
///
/// # Errors
///
/// Returns a report that describes the invalid setting.
pub fn parse(text: &str) -> Result<Settings> {
    let file: File = toml::from_str(text).into_diagnostic()?;
    file.into_settings()
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct File {
    node_name: String,
    zone: String,
    #[serde(default)]
    seed_nodes: Vec<SocketAddr>,
    listen_addresses: Listen,
    limits: Limits,
    bounds: FileBounds,
    platform: Platform,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Listen {
    frontend: SocketAddr,
    readiness: SocketAddr,
    /// Address for all communication with other processes of the system.
    control_plane: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    memory_mb: u64,
    /// Total number of descriptors, of which [`RESERVED_DESCRIPTORS`] are
    /// reserved for files.
    file_descriptors: usize,
    /// Part of a core that the processor provides.
    #[serde(default)]
    cpu_fraction: f64,
    /// Speed of the core.
    #[serde(default = "one")]
    cpu_cores: f64,
    #[serde(default)]
    link_mbps: f64,
}

const fn one() -> f64 {
    1.0
}

impl Limits {
    fn room(&self) -> Room {
        Room {
            millicores: (self.cpu_fraction * self.cpu_cores * 1_000.0).round() as u32,
            link_mbps: self.link_mbps.round() as u32,
        }
    }
}

/// Number of file descriptors that sockets cannot use.
const RESERVED_DESCRIPTORS: usize = 200;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FileBounds {
    grace_period_s: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_budget_extra: f64,
    stability_ms: u64,
    #[serde(default)]
    cold_overrun: f64,
    #[serde(default)]
    cold_tolerance: f64,
    exposure_share: Option<f64>,
    exposure_tolerance: Option<f64>,
    rollback_ms: Option<u64>,
}

impl FileBounds {
    /// Returns the limits of roll-outs, or `None` if the deployment doesn't set all of
    /// them.
    fn rollout(&self) -> Option<rollout::Bounds> {
        Some(rollout::Bounds {
            share: self.exposure_share?,
            tolerance: self.exposure_tolerance?,
            rollback: Duration::from_millis(self.rollback_ms?),
        })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Platform {
    address: SocketAddr,
}

impl File {
    fn into_settings(self) -> Result<Settings> {
        let bounds = Bounds {
            grace: seconds(self.bounds.grace_period_s, "gracePeriodS")?,
            retry_ratio: self.bounds.retry_budget_ratio,
            retry_extra: self.bounds.retry_budget_extra,
            retry_window: seconds(self.bounds.budget_window_s, "budgetWindowS")?,
            recovery_time: Duration::from_millis(self.bounds.stability_ms),
            cold_ratio: self.bounds.cold_overrun,
            cold_extra: self.bounds.cold_tolerance,
            rollout: self.bounds.rollout(),
        };
        Ok(Settings {
            room: self.limits.room(),
            instance: self.node_name,
            data_centre: self.zone,
            caller_listen: self.listen_addresses.frontend,
            readiness_listen: self.listen_addresses.readiness,
            listen: self.listen_addresses.control_plane,
            seeds: self.seed_nodes,
            store: self.platform.address,
            memory_bytes: self.limits.memory_mb << 20,
            sockets: self
                .limits
                .file_descriptors
                .saturating_sub(RESERVED_DESCRIPTORS),
            bounds,
        })
    }
}

fn seconds(value: f64, name: &str) -> Result<Duration> {
    Duration::try_from_secs_f64(value)
        .ok()
        .filter(|time| !time.is_zero())
        .ok_or_else(|| {
            miette::miette!("`{name}` must be a positive number of seconds, but is {value}")
        })
}
