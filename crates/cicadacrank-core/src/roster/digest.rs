//! Digests of the heartbeats that a gateway knows of.
//!
//! A digest names gateways by hashes of their incarnations. A gateway that lacks one of
//! them gets its row from a gateway that sees this by its digest.

use super::{Gateway, Roster, Row, is_live};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher as _, time::Duration};

/// The newest known heartbeat of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sign {
    /// Hash of the gateway's incarnation.
    pub id: u32,
    /// Number of heartbeats that the process has sent.
    pub heartbeats: u64,
    /// Whether the gateway is about to stop.
    pub leaving: bool,
}

impl Sign {
    /// Returns the heartbeats and the announcement to leave as one number.
    #[must_use]
    pub const fn count(self) -> u64 {
        (self.heartbeats << 1) | self.leaving as u64
    }

    /// Creates the sign of a gateway from the number of [`Self::count`].
    #[must_use]
    pub const fn new(id: u32, count: u64) -> Self {
        Self {
            id,
            heartbeats: count >> 1,
            leaving: count & 1 == 1,
        }
    }
}

impl Roster {
    /// Returns the heartbeats of the live gateways other than the local one, sorted by id.
    /// Leaves out gateways whose ids are the same.
    #[must_use]
    pub fn digest(&self, now: Duration) -> Vec<Sign> {
        let unique = self.unique_ids();
        let rows = unique.map(|(id, index)| (id, &self.rows[index]));
        let live = rows.filter(|(_, row)| is_live(row, now));
        live.map(|(id, row)| Sign {
            id,
            heartbeats: row.gateway.heartbeats,
            leaving: row.gateway.leaving,
        })
        .collect()
    }

    /// Applies the digest of another gateway. Returns the names of the gateways that were
    /// not live before.
    pub fn merge(&mut self, digest: &[Sign], now: Duration) -> Vec<String> {
        let mut regained = Vec::new();
        for sign in digest {
            let Some(index) = self.unique(sign.id) else {
                continue;
            };
            let row = &mut self.rows[index];
            if sign.leaving && !row.gateway.leaving {
                row.gateway.leaving = true;
                row.grants_until = row.grants_until.min(now);
            }
            if sign.heartbeats <= row.gateway.heartbeats {
                continue;
            }
            row.gateway.heartbeats = sign.heartbeats;
            if row.record_life(now) {
                regained.push(row.gateway.instance.clone());
            }
        }
        regained
    }

    /// Returns the live gateways that the digest of the gateway `reader` lacks, at most
    /// `count`. Later heartbeats of the local gateway begin with others of them.
    #[must_use]
    pub fn lacking(
        &self,
        digest: &[Sign],
        reader: &str,
        count: usize,
        now: Duration,
    ) -> Vec<&Gateway> {
        let is_known = |row: &Row| {
            let found = digest.binary_search_by_key(&row.id, |sign| sign.id);
            found.is_ok() || row.gateway.instance == reader
        };
        let rows = self.rows.iter();
        let lacking = rows.filter(|row| is_live(row, now) && !is_known(row));
        let mut lacking: Vec<&Gateway> = lacking.map(|row| &row.gateway).collect();
        let turns = usize::try_from(self.local.heartbeats).unwrap_or_default();
        let first = turns.wrapping_mul(count).checked_rem(lacking.len());
        lacking.rotate_left(first.unwrap_or_default());
        lacking.truncate(count);
        lacking
    }

    /// Returns the index of the only row with this id.
    fn unique(&self, id: u32) -> Option<usize> {
        let first = self.ids.partition_point(|one| one.0 < id);
        let mut same = self.ids[first..].iter().take_while(|one| one.0 == id);
        let index = same.next()?.1;
        same.next().is_none().then_some(index)
    }

    fn unique_ids(&self) -> impl Iterator<Item = (u32, usize)> {
        let same = self.ids.chunk_by(|one, other| one.0 == other.0);
        same.filter_map(|same| (same.len() == 1).then_some(same[0]))
    }
}

/// Returns the id of an incarnation of a gateway, which is the same in every process.
pub(super) fn id(instance: &str, incarnation: u64) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(0, incarnation);
    hasher.write(instance.as_bytes());
    hasher.finish() as u32
}
