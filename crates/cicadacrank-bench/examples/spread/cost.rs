//! Resource usage of this process and of a fleet.

use std::{
    fs,
    ops::{Div, Sub},
};

/// Clock ticks per second in the processor times of `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page, in KiB.
const PAGE_KIB: f64 = 4.0;

/// Totals over all nodes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Totals {
    /// Bytes on connections between peers, counted at both ends.
    pub bytes: f64,
    /// Syncs started.
    pub syncs: f64,
    /// Calls to the platform.
    pub calls: f64,
    /// Processor time, in seconds.
    pub cpu: f64,
}

impl Sub for Totals {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            bytes: self.bytes - other.bytes,
            syncs: self.syncs - other.syncs,
            calls: self.calls - other.calls,
            cpu: self.cpu - other.cpu,
        }
    }
}

impl Div<f64> for Totals {
    type Output = Self;

    fn div(self, by: f64) -> Self {
        Self {
            bytes: self.bytes / by,
            syncs: self.syncs / by,
            calls: self.calls / by,
            cpu: self.cpu / by,
        }
    }
}

/// Returns the processor time of this process, in seconds.
pub fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in KiB.
pub fn resident_kib() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * PAGE_KIB
}
