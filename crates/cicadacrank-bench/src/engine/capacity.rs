//! Capacity and faults of a simulated endpoint.

use serde::{Deserialize, Serialize};

/// Capacity of a simulated endpoint and its slowdown under load.
///
/// The default has no load limit, no warm-up and no prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Maximum number of requests in flight when warm.
    pub warm_slots: u32,
    /// Maximum number of requests in flight at the first request after a start.
    pub cold_slots: u32,
    /// Time from the first request after a start until the endpoint is warm, in
    /// milliseconds. The request limit rises linearly in this time.
    pub warmup_ms: u64,
    /// Requests accepted above the limit before the endpoint crashes, in per cent.
    pub headroom_percent: u32,
    /// Time added to the time to first byte while cold, in microseconds.
    pub cold_first_us: u64,
    /// Increase of the time between tokens for each other request in flight, in
    /// per cent.
    pub slowdown_percent: u32,
    /// Number of prompt prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Time to first byte with a cached prefix, in per cent of the time without.
    pub cached_percent: u32,
    /// Delay of the values in the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Downtime after a crash, in milliseconds.
    pub restart_ms: u64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            warm_slots: u32::MAX,
            cold_slots: u32::MAX,
            warmup_ms: 0,
            headroom_percent: 0,
            cold_first_us: 0,
            slowdown_percent: 0,
            cached_prefixes: 0,
            cached_percent: 100,
            report_lag_ms: 0,
            restart_ms: 0,
        }
    }
}

/// Fault that a simulated endpoint has until its faults are replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// All times are multiplied by this percentage.
    Slow(u32),
    /// Answers are not valid JSON.
    Rubbish,
    /// Streams break off after this many tokens, without an end mark. Other
    /// answers break off before their body.
    Truncate(u64),
    /// A request whose body contains this text crashes the endpoint.
    CrashOn(String),
    /// Connections are accepted, but requests get no response.
    Silent,
    /// Every request is rejected with status 422.
    Refuse,
}
