//! What a stand-in bears, and faults it is told to have.

use serde::{Deserialize, Serialize};

/// What a stand-in bears and how it slows under work.
///
/// The default bears any load, is always warm and caches nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Requests in flight that it bears when warm.
    pub warm_slots: u32,
    /// Requests in flight that it bears at the first work after a start.
    pub cold_slots: u32,
    /// Time from the first work after a start until it is warm, in
    /// milliseconds; what it bears rises evenly.
    pub warmup_ms: u64,
    /// Further requests in flight before it falls over, in per cent.
    pub headroom_percent: u32,
    /// Time added to the first byte while cold, in microseconds.
    pub cold_first_us: u64,
    /// Growth of the time between tokens with each further request in flight,
    /// in per cent.
    pub slowdown_percent: u32,
    /// Prompt prefixes that fit into the cache.
    pub cached_prefixes: usize,
    /// Time to the first byte when the prefix is cached, in per cent of the
    /// time without.
    pub cached_percent: u32,
    /// Age of what the load report says, in milliseconds.
    pub report_lag_ms: u64,
    /// Time it is down after it fell over, in milliseconds.
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

/// A fault that a stand-in has until it is taken away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// All times are this many per cent of the usual.
    Slow(u32),
    /// Answers are no JSON.
    Rubbish,
    /// Answers end after this many tokens, or before their body, without an
    /// end mark.
    Truncate(u64),
    /// A request whose body holds this text makes the stand-in fall over.
    CrashOn(String),
    /// Connections are taken, but nothing is answered.
    Silent,
    /// Every call is refused with status 422.
    Refuse,
}
