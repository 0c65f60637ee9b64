//! Time as the decisions take it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Seconds in a minute.
const MINUTE_SECONDS: u64 = 60;

/// Measures time since the process began; follows tokio's clock, also when a
/// test pauses it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_unix_ms: u64,
}

impl Clock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            origin_unix_ms: unix_ms(),
        }
    }

    /// Returns the time since the origin.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the time in milliseconds since the Unix epoch: the wall clock at
    /// the origin and what has passed since, so that it never goes back.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.origin_unix_ms.saturating_add(elapsed)
    }

    /// Returns the instant at this time since the origin.
    #[must_use]
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the wall clock, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the minute of the day, in UTC.
#[must_use]
pub fn minute_of_day() -> u16 {
    let minutes = unix_ms() / 1000 / MINUTE_SECONDS;
    let day = u64::from(cicadacrank_core::rules::Window::DAY_MINUTES);
    u16::try_from(minutes % day).unwrap_or(0)
}
