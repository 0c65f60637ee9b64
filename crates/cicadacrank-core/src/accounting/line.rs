//! One line of an account.

use serde::{Deserialize, Serialize};

/// Microseconds in an hour.
const HOUR_US: u128 = 3_600_000_000;

/// Millionths in a thousandth.
const MICRO_IN_MILLI: u128 = 1_000;

/// What a slot's time was used for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "share")]
pub enum Share {
    /// No work; the owner carries it.
    Idle,
    /// Work of a team.
    Busy {
        /// Pipeline of the stage.
        pipeline: String,
        /// The stage.
        stage: String,
        /// Team that asked, and pays.
        team: String,
        /// Whether the slot belongs to another owner than the team's.
        borrowed: bool,
    },
}

/// Time of slots with one use at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Line {
    /// The endpoint.
    pub endpoint: String,
    /// Owner of the endpoint.
    pub owner: String,
    /// What the time was used for.
    #[serde(flatten)]
    pub share: Share,
    /// Time of one slot, in microseconds.
    pub slot_us: u64,
    /// Price of that time, in millionths of the currency unit.
    pub price_micro: u64,
}

/// Time and its exact price as they add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sum {
    pub(super) slot_us: u64,
    /// Microseconds times thousandths of the currency unit an hour.
    priced: u128,
}

impl Sum {
    pub(super) fn add(&mut self, slot_us: u64, price_milli: u64) {
        self.slot_us = self.slot_us.saturating_add(slot_us);
        self.priced += u128::from(slot_us) * u128::from(price_milli);
    }

    pub(super) fn price_micro(self) -> u64 {
        u64::try_from(self.priced * MICRO_IN_MILLI / HOUR_US).unwrap_or(u64::MAX)
    }
}
