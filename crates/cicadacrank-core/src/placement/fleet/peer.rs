//! The load that other processes put on endpoints.

use super::{Fleet, Key, Load};
use std::time::Duration;

/// Age from which on the load that a process reported no longer counts.
const MAX_AGE: Duration = Duration::from_secs(3);

/// What one process reported last.
#[derive(Debug)]
struct Peer {
    instance: String,
    loads: Vec<(String, Load)>,
    at: Duration,
}

/// The reports of all other processes, sorted by the names of their instances.
#[derive(Debug, Default)]
pub(super) struct Peers(Vec<Peer>);

impl Peers {
    /// Returns the load that all of them put on an endpoint.
    pub(super) fn load(&self, id: &str) -> Load {
        let loads = self.0.iter().flat_map(|peer| &peer.loads);
        let own = loads.filter(|(endpoint, _)| endpoint == id);
        own.fold(Load::default(), |sum, (_, load)| Load {
            in_flight: sum.in_flight + load.in_flight,
            unread: sum.unread + load.unread,
        })
    }

    /// Replaces the report of a process. Returns the one before.
    fn replace(&mut self, peer: Peer) -> Vec<(String, Load)> {
        match self
            .0
            .binary_search_by(|one| one.instance.cmp(&peer.instance))
        {
            Ok(index) => std::mem::replace(&mut self.0[index], peer).loads,
            Err(index) => {
                self.0.insert(index, peer);
                Vec::new()
            }
        }
    }

    /// Returns the mean time of the reports, or `None` if there are none.
    pub(super) fn reported_at(&self) -> Option<Duration> {
        let sum: Duration = self.0.iter().map(|peer| peer.at).sum();
        sum.checked_div(u32::try_from(self.0.len()).unwrap_or(u32::MAX))
    }

    /// Removes and returns the reports of a process.
    fn remove(&mut self, instance: &str) -> Vec<(String, Load)> {
        let found = self
            .0
            .binary_search_by(|one| one.instance.as_str().cmp(instance));
        found.map_or_else(|_| Vec::new(), |index| self.0.remove(index).loads)
    }

    /// Removes and returns the reports that are too old.
    fn take_old(&mut self, now: Duration) -> Vec<Peer> {
        let is_old = |peer: &mut Peer| now.saturating_sub(peer.at) >= MAX_AGE;
        self.0.extract_if(.., is_old).collect()
    }
}

impl Fleet {
    /// Replaces the load that another process puts on the endpoints.
    pub fn set_peer_loads(&mut self, instance: &str, loads: Vec<(String, Load)>, now: Duration) {
        for (id, load) in &loads {
            self.update_peer_load(id, |sum| Load {
                in_flight: sum.in_flight + load.in_flight,
                unread: sum.unread + load.unread,
            });
        }
        let before = self.peers.replace(Peer {
            instance: instance.to_owned(),
            loads,
            at: now,
        });
        self.subtract(&before);
    }

    /// Drops the load of a process that is no longer heard of.
    pub fn drop_peer_loads(&mut self, instance: &str) {
        let before = self.peers.remove(instance);
        self.subtract(&before);
    }

    /// Drops the loads that their processes have not reported again.
    pub fn expire_peer_loads(&mut self, now: Duration) {
        for peer in self.peers.take_old(now) {
            self.subtract(&peer.loads);
        }
    }

    fn subtract(&mut self, loads: &[(String, Load)]) {
        for (id, load) in loads {
            self.update_peer_load(id, |sum| Load {
                in_flight: sum.in_flight - load.in_flight,
                unread: sum.unread - load.unread,
            });
        }
    }

    fn update_peer_load(&mut self, id: &str, update: impl Fn(Load) -> Load) {
        let keys: Vec<Key> = self.keys_of(id).collect();
        for key in keys {
            if let Some(row) = self.row_mut(key) {
                row.peer_load = update(row.peer_load);
            }
        }
    }
}
