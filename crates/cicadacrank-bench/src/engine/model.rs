//! State of a simulated endpoint as a state machine without I/O.
//!
//! The time is an argument and nothing is random, so the same calls at the same
//! times have the same results.

use super::{
    capacity::{Capacity, Fault},
    profile::Profile,
};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};

/// Length of the prompt prefix that the cache compares, in characters.
const PREFIX_CHARACTERS: usize = 64;

/// Maximum number of load samples kept for the delayed load report.
const MAX_SAMPLES: usize = 4_096;

/// Load report of a simulated endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of starts of the endpoint.
    pub incarnation: u64,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Whether the endpoint has not finished its warm-up.
    pub cold: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    load: Load,
}

/// Result of the arrival of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The call runs.
    Started(Started),
    /// The connection is closed without an answer.
    Disconnected,
    /// The call is rejected as invalid.
    Refused,
}

/// Running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Started {
    /// Incarnation of the endpoint that runs it.
    pub(super) incarnation: u64,
    /// Time from the arrival to the first byte.
    pub(super) time_to_first_byte: Duration,
}

/// State of a simulated endpoint.
#[derive(Debug)]
pub(super) struct Model {
    pub(super) profile: Profile,
    pub(super) capacity: Capacity,
    pub(super) faults: Vec<Fault>,
    incarnation: u64,
    down_until: Duration,
    warm_at: Option<Duration>,
    in_flight: u32,
    prefixes: VecDeque<String>,
    samples: VecDeque<Sample>,
}

impl Model {
    /// Creates the state of a cold endpoint.
    pub(super) const fn new(profile: Profile, capacity: Capacity) -> Self {
        Self {
            profile,
            capacity,
            faults: Vec::new(),
            incarnation: 1,
            down_until: Duration::ZERO,
            warm_at: None,
            in_flight: 0,
            prefixes: VecDeque::new(),
            samples: VecDeque::new(),
        }
    }

    /// Processes the arrival of a call. The endpoint crashes if the request limit
    /// is reached or the body matches [`Fault::CrashOn`].
    pub(super) fn arrive(&mut self, body: &str, prompt: &str, now: Duration) -> Arrival {
        if now < self.down_until {
            return Arrival::Disconnected;
        }
        if self.faults.contains(&Fault::Refuse) {
            return Arrival::Refused;
        }
        if self.in_flight >= self.request_limit(now) || self.crashes_on(body) {
            self.crash(now);
            return Arrival::Disconnected;
        }
        let first = self.time_to_first_byte(prompt, now);
        if self.warm_at.is_none() {
            self.warm_at = Some(now + Duration::from_millis(self.capacity.warmup_ms));
        }
        self.in_flight += 1;
        self.record_sample(now);
        Arrival::Started(Started {
            incarnation: self.incarnation,
            time_to_first_byte: first,
        })
    }

    /// Ends a call; does nothing if the endpoint has crashed since it started.
    pub(super) fn finish(&mut self, incarnation: u64, now: Duration) {
        if incarnation == self.incarnation {
            self.in_flight = self.in_flight.saturating_sub(1);
            self.record_sample(now);
        }
    }

    /// Makes the endpoint cold and clears its cache, as a restart does.
    pub(super) fn mark_cold(&mut self, now: Duration) {
        self.warm_at = None;
        self.prefixes.clear();
        self.record_sample(now);
    }

    /// Makes the endpoint warm.
    pub(super) fn mark_warm(&mut self, now: Duration) {
        self.warm_at = Some(now);
        self.record_sample(now);
    }

    /// Drops all requests in flight and restarts the endpoint cold.
    pub(super) fn crash(&mut self, now: Duration) {
        self.incarnation += 1;
        self.in_flight = 0;
        self.down_until = now + Duration::from_millis(self.capacity.restart_ms);
        self.mark_cold(now);
    }

    /// Returns the time until the endpoint is up again.
    pub(super) const fn remaining_downtime(&self, now: Duration) -> Duration {
        self.down_until.saturating_sub(now)
    }

    /// Returns the current incarnation.
    pub(super) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the time to the next token at the current load.
    pub(super) fn token_interval(&self) -> Duration {
        let others = self.in_flight.saturating_sub(1);
        let percent = 100 + self.capacity.slowdown_percent.saturating_mul(others);
        self.apply_slowdown(self.profile.token_interval() * percent / 100)
    }

    /// Returns the load at the time `report_lag_ms` before `now`.
    pub(super) fn report(&self, now: Duration) -> Load {
        let lag = Duration::from_millis(self.capacity.report_lag_ms);
        let report_time = now.saturating_sub(lag);
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.at <= report_time);
        sample.map_or(
            Load {
                incarnation: 1,
                in_flight: 0,
                cold: true,
            },
            |sample| sample.load,
        )
    }

    /// Returns the number of requests in flight at which a further one causes a
    /// crash.
    fn request_limit(&self, now: Duration) -> u32 {
        let Capacity {
            warm_slots,
            cold_slots,
            warmup_ms,
            headroom_percent,
            ..
        } = self.capacity;
        let remaining_ms = self.warm_at.map_or(u128::from(warmup_ms), |warm_at| {
            warm_at.saturating_sub(now).as_millis()
        });
        let span = u128::from(warm_slots.saturating_sub(cold_slots));
        let unavailable = (span * remaining_ms).div_ceil(u128::from(warmup_ms.max(1)));
        let slots = u64::from(warm_slots) - u64::try_from(unavailable.min(span)).unwrap_or(0);
        let slots = (slots * u64::from(100 + headroom_percent)).div_ceil(100);
        u32::try_from(slots).unwrap_or(u32::MAX)
    }

    fn is_cold(&self, now: Duration) -> bool {
        self.warm_at.is_none_or(|warm_at| now < warm_at)
    }

    fn crashes_on(&self, body: &str) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault, Fault::CrashOn(text) if body.contains(text.as_str())))
    }

    fn time_to_first_byte(&mut self, prompt: &str, now: Duration) -> Duration {
        let mut first = self.profile.time_to_first_byte();
        if self.cache_prefix(prompt) {
            first = first * self.capacity.cached_percent / 100;
        }
        if self.is_cold(now) {
            first += Duration::from_micros(self.capacity.cold_first_us);
        }
        self.apply_slowdown(first)
    }

    /// Caches the prefix of a prompt and returns whether it was cached before.
    /// A full cache evicts the least recently used prefix.
    fn cache_prefix(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARACTERS).collect();
        let found = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.capacity.cached_prefixes {
            self.prefixes.pop_front();
        }
        found.is_some()
    }

    fn apply_slowdown(&self, time: Duration) -> Duration {
        self.faults.iter().fold(time, |time, fault| match fault {
            Fault::Slow(percent) => time * *percent / 100,
            _ => time,
        })
    }

    fn record_sample(&mut self, now: Duration) {
        let load = Load {
            incarnation: self.incarnation,
            in_flight: self.in_flight,
            cold: self.is_cold(now),
        };
        self.samples.push_back(Sample { at: now, load });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }
}
