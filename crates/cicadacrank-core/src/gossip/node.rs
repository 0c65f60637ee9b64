//! The gossip state machine of one process, for configuration and membership.

use super::{Document, History, Step};
use crate::membership::{Buckets, Member, Table, is_watcher};
use std::{net::SocketAddr, time::Duration};

/// Resolution of a random fraction.
const JITTER_STEPS: u32 = 1024;

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Exchange configuration and membership with a peer.
    Sync {
        /// Name of the peer; empty for a seed address.
        name: String,
        /// Address of the peer.
        address: SocketAddr,
    },
    /// Read the rules from the platform once.
    ReadRules,
    /// Read the platform's list of instances once.
    ReadInstances,
}

/// State that a process sends with a sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Member entry of the sender.
    pub sender: Member,
    /// Generation in force at the sender; zero to request the full document.
    pub generation: u64,
    /// Bucket hashes of the sender's member table.
    pub buckets: Buckets,
    /// Recently changed members.
    pub members: Vec<Member>,
}

/// Configuration carried by an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Nothing newer to send.
    Empty,
    /// Steps from the sender's generation to the newest.
    Steps(Vec<Step>),
    /// The full document.
    Full(Document),
}

/// Response to a sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Generation in force at the receiver of the sync.
    pub generation: u64,
    /// Newer configuration, if the sender of the sync is behind.
    pub payload: Payload,
    /// Recently changed members and members of buckets that differ.
    pub members: Vec<Member>,
}

/// Connectivity of a process to its peers and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// The platform or a peer answered recently, or the process never had a
    /// peer.
    Connected,
    /// Neither answered recently; work continues under the configuration in
    /// force.
    Degraded,
    /// Neither answered for so long that new work is refused.
    Isolated,
}

/// The gossip state of one process.
///
/// Times are measured since an origin chosen by the caller, and random numbers
/// are supplied by the caller.
#[derive(Clone, Debug)]
pub struct Node {
    table: Table,
    history: History,
    repeat_rounds: u32,
    next_sync: Duration,
    rules_read: Duration,
    rules_fraction: u32,
    next_instances: Duration,
    last_contact: Duration,
    had_peers: bool,
    seeds: Vec<SocketAddr>,
    sync_interval: Duration,
    started: Duration,
    platform_listed: bool,
    generation_confirmed: bool,
    wants_full: bool,
}

impl Node {
    /// Mean interval between two syncs that a process starts.
    pub const SYNC_INTERVAL: Duration = Duration::from_secs(1);

    /// Number of peers notified immediately of a newer generation.
    pub const FANOUT: u32 = 3;

    /// Number of later sync rounds that again contact [`Self::FANOUT`] peers.
    pub const REPEAT_ROUNDS: u32 = 1;

    /// Mean interval between two reads of the rules across all processes.
    pub const SHARED_READ_INTERVAL: Duration = Duration::from_secs(1);

    /// Average bandwidth that a process may spend on platform reads, in bytes
    /// per second.
    pub const READ_BYTES_PER_SECOND: u64 = 1 << 10;

    /// Mean interval between reads for a process without contact or rules.
    pub const RECOVERY_READ_INTERVAL: Duration = Duration::from_secs(5);

    /// Time without an answer from peers or platform after which a process is
    /// [`Connectivity::Degraded`].
    pub const DEGRADED_AFTER: Duration = Duration::from_secs(10);

    /// Time without an answer after which new work is refused.
    pub const ISOLATED_AFTER: Duration = Duration::from_secs(60);

    /// Maximum time that a starting process with rules from the platform waits
    /// for a peer to confirm the newest generation.
    pub const READY_TIMEOUT: Duration = Duration::from_secs(10);

    /// Assumed size of one member in the platform's list, in bytes.
    const BYTES_PER_LISTED_MEMBER: u64 = 400;

    /// Minimum mean interval between two reads of the list of instances by a
    /// watcher.
    const MIN_LIST_INTERVAL: Duration = Duration::from_secs(10);

    /// On average, one in this many rounds of syncs contacts dead members again.
    const DEAD_RETRY_ONE_IN: u64 = 8;

    /// Creates a node that knows only the local process.
    #[must_use]
    pub fn new(local: Member, now: Duration) -> Self {
        Self {
            table: Table::new(local),
            history: History::default(),
            repeat_rounds: 0,
            next_sync: now,
            rules_read: now,
            rules_fraction: 0,
            next_instances: now,
            last_contact: now,
            had_peers: false,
            seeds: Vec::new(),
            sync_interval: Self::SYNC_INTERVAL,
            started: now,
            platform_listed: false,
            generation_confirmed: false,
            wants_full: false,
        }
    }

    /// Sets addresses to contact while no peer is known, so that a process can
    /// start while the platform is down.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the mean sync interval, which defaults to [`Self::SYNC_INTERVAL`].
    #[must_use]
    pub const fn with_sync_interval(mut self, sync_interval: Duration) -> Self {
        self.sync_interval = sync_interval;
        self
    }

    /// Returns the member table.
    #[must_use]
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the configuration in force and its recent steps.
    #[must_use]
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// Returns whether the process watches the platform for others.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        is_watcher(&self.table)
    }

    /// Returns the actions that are due. `random` supplies random numbers.
    pub fn tick(&mut self, now: Duration, mut random: impl FnMut() -> u64) -> Vec<Action> {
        self.table.tick(now);
        let mut actions = Vec::new();
        if now >= self.next_sync {
            self.next_sync = now + jitter(self.sync_interval, random());
            let mut count = 1;
            if self.repeat_rounds > 0 {
                self.repeat_rounds -= 1;
                count = Self::FANOUT;
            }
            self.pick_peers(count, &mut random, &mut actions);
        }
        // The interval is recomputed on each tick, because a process that has
        // just started knows few of the others that share the reads.
        if now
            >= self.rules_read
                + self.rules_read_interval(now) * 2 * self.rules_fraction / JITTER_STEPS
        {
            // The delay is uniform between zero and twice the mean, so that
            // processes that start together do not read together.
            self.rules_read = now;
            self.rules_fraction = random_fraction(random());
            actions.push(Action::ReadRules);
        }
        if now >= self.next_instances {
            let interval = self.list_read_interval(now);
            self.next_instances = now + jitter(interval, random());
            actions.push(Action::ReadInstances);
        }
        actions
    }

    /// Returns the digest to send with a sync.
    pub fn digest(&mut self) -> Digest {
        Digest {
            sender: self.table.local().clone(),
            generation: if self.wants_full {
                0
            } else {
                self.history.generation()
            },
            buckets: self.table.buckets(),
            members: self.table.take_changes(),
        }
    }

    /// Returns a sync with the sender of a digest if that peer is ahead.
    #[must_use]
    pub fn pull(&self, digest: &Digest) -> Option<Action> {
        let ahead = digest.generation > self.history.generation();
        ahead.then(|| Action::Sync {
            name: digest.sender.name.clone(),
            address: digest.sender.address,
        })
    }

    /// Returns syncs with [`Self::FANOUT`] random peers, for use when a newer
    /// generation is known to exist but not who has it.
    pub fn sync_with_random_peers(&self, mut random: impl FnMut() -> u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.pick_peers(Self::FANOUT, &mut random, &mut actions);
        actions
    }

    /// Returns whether the process may take work.
    ///
    /// The process needs rules, and a peer must have confirmed that they are
    /// the newest it knows, so that a stale platform read after a restart does
    /// not bring back older rules. The confirmation is not needed if the
    /// platform's list was read and no peer was ever known, or after
    /// [`Self::READY_TIMEOUT`].
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        let alone = self.platform_listed && !self.had_peers;
        let waited = now.saturating_sub(self.started) >= Self::READY_TIMEOUT;
        self.history.generation() > 0 && (self.generation_confirmed || alone || waited)
    }

    /// Handles a sync from a peer and returns the response.
    pub fn handle_sync(&mut self, digest: &Digest, random: u64, now: Duration) -> Update {
        self.last_contact = now;
        self.merge(&digest.members, now);
        self.table.merge(&digest.sender, now);
        let mut members = self.table.take_changes();
        // A peer that others consider suspect or dead must be told, so that it
        // can refute that.
        if let Some(known) = self.table.get(&digest.sender.name)
            && known.supersedes(&digest.sender)
        {
            members.push(known.clone());
        }
        members.extend(self.table.repair(&digest.buckets, random));
        let behind = digest.generation < self.history.generation();
        let payload = match self.history.newest() {
            Some(newest) if behind => self
                .history
                .steps_since(digest.generation)
                .map_or_else(|| Payload::Full(newest.clone()), Payload::Steps),
            Some(_) | None => Payload::Empty,
        };
        Update {
            generation: self.history.generation(),
            payload,
            members,
        }
    }

    /// Handles the response to a sync. Returns a newer document, to be passed
    /// to [`Self::adopt`] once the caller has parsed it.
    ///
    /// Steps that do not apply are dropped, and the next digest requests the
    /// full document.
    pub fn handle_update(&mut self, update: &Update, now: Duration) -> Option<Document> {
        self.last_contact = now;
        self.merge(&update.members, now);
        self.generation_confirmed |=
            update.generation > 0 && update.generation <= self.history.generation();
        if update.generation <= self.history.generation() {
            return None;
        }
        let document = match &update.payload {
            Payload::Empty => return None,
            Payload::Steps(steps) => {
                let document = self.history.apply_steps(steps);
                self.wants_full = document.is_err();
                document.ok()?
            }
            Payload::Full(document) => {
                self.wants_full = false;
                document.clone()
            }
        };
        (document.generation > self.history.generation()).then_some(document)
    }

    /// Puts a document in force if it is newer. Returns syncs with peers to
    /// notify immediately.
    pub fn adopt(
        &mut self,
        document: Document,
        payload: Payload,
        mut random: impl FnMut() -> u64,
    ) -> Vec<Action> {
        let from_peer = payload != Payload::Empty;
        let steps = match payload {
            Payload::Steps(steps) => steps,
            Payload::Empty | Payload::Full(_) => Vec::new(),
        };
        let mut actions = Vec::new();
        // A peer that sends a document has stated its newest generation.
        self.generation_confirmed |= from_peer;
        if self.history.adopt(document, steps) {
            self.repeat_rounds = Self::REPEAT_ROUNDS;
            self.pick_peers(Self::FANOUT, &mut random, &mut actions);
        }
        actions
    }

    /// Records that a peer did not answer.
    pub fn record_failure(&mut self, name: &str, now: Duration) {
        self.table.record_failure(name, now);
    }

    /// Records that the platform answered.
    pub const fn record_platform_contact(&mut self, now: Duration) {
        self.last_contact = now;
    }

    /// Merges the platform's list of instances.
    pub fn merge_platform_list(&mut self, listed: &[Member], now: Duration) {
        self.last_contact = now;
        self.platform_listed = true;
        if !self.generation_confirmed {
            self.next_sync = now;
        }
        self.table.merge_platform_list(listed, now);
        self.had_peers |= self.table.others().next().is_some();
    }

    /// Marks the local process as leaving and returns syncs with peers to
    /// notify.
    pub fn leave(&mut self, now: Duration, mut random: impl FnMut() -> u64) -> Vec<Action> {
        self.table.leave(now);
        let mut actions = Vec::new();
        self.pick_peers(Self::FANOUT, &mut random, &mut actions);
        actions
    }

    /// Returns the connectivity of the process.
    ///
    /// A process that never had a peer has nobody to disagree with, so a
    /// platform outage does not stop its work.
    #[must_use]
    pub fn connectivity(&self, now: Duration) -> Connectivity {
        let silence = now.saturating_sub(self.last_contact);
        if !self.had_peers || silence < Self::DEGRADED_AFTER {
            Connectivity::Connected
        } else if silence < Self::ISOLATED_AFTER {
            Connectivity::Degraded
        } else {
            Connectivity::Isolated
        }
    }

    fn merge(&mut self, members: &[Member], now: Duration) {
        for member in members {
            self.table.merge(member, now);
        }
        self.had_peers |= self.table.others().next().is_some();
    }

    fn pick_peers(&self, count: u32, random: &mut impl FnMut() -> u64, actions: &mut Vec<Action>) {
        let retry_dead = random().is_multiple_of(Self::DEAD_RETRY_ONE_IN);
        let mut peers: Vec<&Member> = if retry_dead {
            self.table.dead().collect()
        } else {
            Vec::new()
        };
        if peers.is_empty() {
            peers = self.table.others().collect();
        }
        if peers.is_empty() && !self.seeds.is_empty() {
            let index = random() % self.seeds.len() as u64;
            actions.push(Action::Sync {
                name: String::new(),
                address: self.seeds[usize::try_from(index).unwrap_or_default()],
            });
        }
        for _ in 0..count {
            if peers.is_empty() {
                return;
            }
            let index = random() % peers.len() as u64;
            let peer = peers.swap_remove(usize::try_from(index).unwrap_or_default());
            actions.push(Action::Sync {
                name: peer.name.clone(),
                address: peer.address,
            });
        }
    }

    /// Returns the mean interval between reads of the rules. The combined read
    /// rate of all processes does not grow with their number.
    fn rules_read_interval(&self, now: Duration) -> Duration {
        let Some(newest) = self.history.newest() else {
            return Self::RECOVERY_READ_INTERVAL;
        };
        if now.saturating_sub(self.last_contact) >= Self::DEGRADED_AFTER {
            return Self::RECOVERY_READ_INTERVAL;
        }
        let members = u32::try_from(self.table.live().count()).unwrap_or(u32::MAX);
        let shared = Self::SHARED_READ_INTERVAL * members.max(1);
        let bytes = Duration::from_secs(newest.text.len() as u64 / Self::READ_BYTES_PER_SECOND);
        shared.max(bytes)
    }

    fn list_read_interval(&self, now: Duration) -> Duration {
        let degraded = now.saturating_sub(self.last_contact) >= Self::DEGRADED_AFTER;
        if degraded || self.table.others().next().is_none() {
            return Self::RECOVERY_READ_INTERVAL;
        }
        if self.is_watcher() {
            let members = self.table.live().count() as u64;
            let bytes = Duration::from_secs(
                members * Self::BYTES_PER_LISTED_MEMBER / Self::READ_BYTES_PER_SECOND,
            );
            return bytes.max(Self::MIN_LIST_INTERVAL);
        }
        // A process that hears of members from its peers needs no list of its
        // own.
        Self::ISOLATED_AFTER * 60
    }
}

/// Returns a duration between three quarters and five quarters of the mean.
fn jitter(mean: Duration, random: u64) -> Duration {
    mean * 3 / 4 + mean / 2 * random_fraction(random) / JITTER_STEPS
}

/// Returns a number below [`JITTER_STEPS`].
fn random_fraction(random: u64) -> u32 {
    u32::try_from(random % u64::from(JITTER_STEPS)).unwrap_or_default()
}
