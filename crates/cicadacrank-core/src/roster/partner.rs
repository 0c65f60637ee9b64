//! The gateways that a gateway exchanges heartbeats with.

use super::{Gateway, Roster, is_live, rendezvous_weight};
use std::{cmp, time::Duration};

/// Maximum number of gateways to which one heartbeat is sent.
const MAX_FAN_OUT: usize = 8;

/// Minimum number of gateways to which one heartbeat is sent, if there are as many.
const MIN_FAN_OUT: usize = 4;

/// Number of rows in all digests that a gateway sends at one heartbeat. It bounds their
/// size to a few kilobytes.
const ROWS_PER_HEARTBEAT: usize = 800;

/// Maximum number of partners of a gateway.
const MAX_PARTNERS: usize = 32;

/// Returns the number of gateways to which one heartbeat is sent, if `known` others are
/// known.
#[must_use]
pub fn fan_out(known: usize) -> usize {
    (ROWS_PER_HEARTBEAT / known.max(1)).clamp(MIN_FAN_OUT, MAX_FAN_OUT)
}

impl Roster {
    /// Returns the gateways that the local one mainly exchanges heartbeats with, so that
    /// connections and knowledge of loads don't grow with the fleet: all known ones if they
    /// are few, or else those of the live ones that rank first for the local gateway. Two
    /// gateways rank each other alike.
    #[must_use]
    pub fn partners(&self, now: Duration) -> Vec<&Gateway> {
        let known = self.rows.len();
        let rows = self.rows.iter();
        let mut partners: Vec<&Gateway> = rows
            .filter(|row| known <= MAX_PARTNERS || is_live(row, now))
            .map(|row| &row.gateway)
            .collect();
        if partners.len() > MAX_PARTNERS {
            let local = self.local.instance.as_str();
            partners.sort_by_cached_key(|one| {
                let other = one.instance.as_str();
                cmp::Reverse(rendezvous_weight(local.min(other), local.max(other)))
            });
            partners.truncate(MAX_PARTNERS);
        }
        partners
    }
}
