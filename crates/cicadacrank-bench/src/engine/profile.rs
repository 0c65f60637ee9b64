//! Response times and lengths of a simulated endpoint.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Response times and lengths of a simulated endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// Time to first byte of an answer, in microseconds.
    pub first_us: u64,
    /// Time between two tokens, in microseconds.
    pub token_us: u64,
    /// Number of tokens of a generation, unless the request asks for fewer.
    pub tokens: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            first_us: 2_000,
            token_us: 500,
            tokens: 16,
        }
    }
}

impl Profile {
    /// Returns the time to first byte.
    #[must_use]
    pub const fn time_to_first_byte(&self) -> Duration {
        Duration::from_micros(self.first_us)
    }

    /// Returns the time between two tokens.
    #[must_use]
    pub const fn token_interval(&self) -> Duration {
        Duration::from_micros(self.token_us)
    }
}
