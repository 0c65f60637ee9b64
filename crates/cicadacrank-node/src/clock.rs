//! Monotonic and wall-clock time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const MINUTE_SECONDS: u64 = 60;

/// Measures the time since its creation with the tokio clock, which tests can
/// pause.
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

    /// Returns the time in milliseconds since the Unix epoch. It adds the elapsed
    /// time to the wall clock at the origin, so that it never goes backwards.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.origin_unix_ms.saturating_add(elapsed)
    }

    /// Converts a time since the origin to an instant.
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

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the current minute of the day in UTC.
#[must_use]
pub fn minute_of_day() -> u16 {
    let minutes = unix_ms() / 1000 / MINUTE_SECONDS;
    let day = u64::from(cicadacrank_core::rules::Window::DAY_MINUTES);
    u16::try_from(minutes % day).unwrap_or(0)
}

/// Returns a duration in whole milliseconds, as messages carry it.
pub fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
