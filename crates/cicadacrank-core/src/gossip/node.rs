//! The part of one process in the spread of configuration and membership.

use super::{Document, History, Step};
use crate::membership::{Buckets, Member, Table, is_watcher};
use std::{net::SocketAddr, time::Duration};

/// Parts that a random share of a time is counted in.
const JITTER_STEPS: u32 = 1024;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Exchange what both know.
    Sync {
        /// Name of the peer.
        name: String,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Read the rules from the platform once.
    ReadRules,
    /// Read the platform's list of instances once.
    ReadInstances,
}

/// What the sender of a sync knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The sender, as it states itself.
    pub sender: Member,
    /// Generation it has in force.
    pub generation: u64,
    /// Hashes over its table.
    pub buckets: Buckets,
    /// Members that changed lately.
    pub members: Vec<Member>,
}

/// A newer configuration in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The sender of the sync is not behind.
    Empty,
    /// The way from the generation that the sender named.
    Steps(Vec<Step>),
    /// The whole.
    Full(Document),
}

/// What the receiver of a sync adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Generation the receiver has in force.
    pub generation: u64,
    /// The newer configuration, if the sender is behind.
    pub payload: Payload,
    /// Members that changed lately, and those of buckets that differ.
    pub members: Vec<Member>,
}

/// With whom a process is in contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// The platform or a peer answered lately.
    Connected,
    /// Neither did; work goes on under the configuration in force.
    Degraded,
    /// Neither did for so long that new work is refused.
    Isolated,
}

/// One process among its peers.
///
/// Time is since an origin of the caller's choice; random numbers are drawn by
/// the caller.
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
    /// Mean time between two syncs that a process begins.
    pub const SYNC_INTERVAL: Duration = Duration::from_secs(1);

    /// Peers told at once of a newer generation.
    pub const FANOUT: u32 = 3;

    /// Rounds after that in which as many are told again.
    pub const REPEAT_ROUNDS: u32 = 1;

    /// Mean time between two reads of the rules over all processes.
    pub const SHARED_READ_INTERVAL: Duration = Duration::from_secs(1);

    /// Bytes a second that a process's own part of those reads may cost.
    pub const READ_BYTES_PER_SECOND: u64 = 1 << 10;

    /// Mean time between two reads of a process without contact or rules.
    pub const RECOVERY_READ_INTERVAL: Duration = Duration::from_secs(5);

    /// Time without an answer from peers or platform until contact is lost.
    pub const DEGRADED_AFTER: Duration = Duration::from_secs(10);

    /// Time without an answer until new work is refused.
    pub const ISOLATED_AFTER: Duration = Duration::from_secs(60);

    /// Longest time that a starting process waits for a peer's word on the
    /// newest generation, when it has rules from the platform already.
    pub const READY_TIMEOUT: Duration = Duration::from_secs(10);

    /// Bytes of the platform's list for each member.
    const BYTES_PER_LISTED_MEMBER: u64 = 400;

    /// Least time between two looks of a watcher at the list of instances.
    const MIN_LIST_INTERVAL: Duration = Duration::from_secs(10);

    /// Share of syncs, one in so many, that try a dead member again.
    const DEAD_RETRY_ONE_IN: u64 = 8;

    /// Creates the part of a process that knows only itself.
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

    /// Gives addresses to ask while no peer is known, for a start while the
    /// platform is down.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Gives another mean time between two syncs than [`Self::SYNC_INTERVAL`].
    #[must_use]
    pub const fn with_sync_interval(mut self, sync_interval: Duration) -> Self {
        self.sync_interval = sync_interval;
        self
    }

    /// Returns the members.
    #[must_use]
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the configuration and the way to it.
    #[must_use]
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// Returns whether the process watches the platform for others.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        is_watcher(&self.table)
    }

    /// Returns what is due now. `random` draws random numbers.
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
        // The pause is worked out anew each time, as a process that has just
        // begun knows few of the others that share the reads.
        if now
            >= self.rules_read
                + self.rules_read_interval(now) * 2 * self.rules_fraction / JITTER_STEPS
        {
            // Over the whole of twice the mean, so that processes that began
            // together do not read together.
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

    /// Returns what to send with a sync.
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

    /// Returns the sync that a peer's digest calls for, when the peer is ahead.
    #[must_use]
    pub fn pull(&self, digest: &Digest) -> Option<Action> {
        let ahead = digest.generation > self.history.generation();
        ahead.then(|| Action::Sync {
            name: digest.sender.name.clone(),
            address: digest.sender.address,
        })
    }

    /// Returns syncs with as many peers as a newer generation is pushed to, for
    /// when a generation is generation_confirmed of without its source.
    pub fn sync_with_random_peers(&self, mut random: impl FnMut() -> u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.pick_peers(Self::FANOUT, &mut random, &mut actions);
        actions
    }

    /// Returns whether the process may take work: it has rules, and a peer has
    /// told it which generation is the newest it knows, so that a stale read of
    /// the platform after a restart does not bring back older rules.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        let alone = self.platform_listed && !self.had_peers;
        let waited = now.saturating_sub(self.started) >= Self::READY_TIMEOUT;
        self.history.generation() > 0 && (self.generation_confirmed || alone || waited)
    }

    /// Takes up a sync from a peer and returns the answer.
    pub fn handle_sync(&mut self, digest: &Digest, random: u64, now: Duration) -> Update {
        self.last_contact = now;
        self.merge(&digest.members, now);
        self.table.merge(&digest.sender, now);
        let mut members = self.table.take_changes();
        // A peer that others hold for dead or suspect must hear of it.
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

    /// Takes up an answer; returns a newer document for [`Self::adopt`] once
    /// the caller could read it.
    ///
    /// Steps that do not fit are dropped, and the next digest asks for the whole.
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

    /// Puts a document in force if it is newer; returns peers to tell at once.
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
        // The sender of news has told its newest.
        self.generation_confirmed |= from_peer;
        if self.history.adopt(document, steps) {
            self.repeat_rounds = Self::REPEAT_ROUNDS;
            self.pick_peers(Self::FANOUT, &mut random, &mut actions);
        }
        actions
    }

    /// Notes that a peer did not answer.
    pub fn record_failure(&mut self, name: &str, now: Duration) {
        self.table.record_failure(name, now);
    }

    /// Notes that the platform answered.
    pub const fn record_platform_contact(&mut self, now: Duration) {
        self.last_contact = now;
    }

    /// Takes up the platform's list of instances.
    pub fn merge_platform_list(&mut self, listed: &[Member], now: Duration) {
        self.last_contact = now;
        self.platform_listed = true;
        if !self.generation_confirmed {
            self.next_sync = now;
        }
        self.table.merge_platform_list(listed, now);
        self.had_peers |= self.table.others().next().is_some();
    }

    /// Says that the process itself is leaving, and returns peers to tell.
    pub fn leave(&mut self, now: Duration, mut random: impl FnMut() -> u64) -> Vec<Action> {
        self.table.leave(now);
        let mut actions = Vec::new();
        self.pick_peers(Self::FANOUT, &mut random, &mut actions);
        actions
    }

    /// Returns with whom the process is in contact.
    ///
    /// A process that never had a peer has nobody to differ from, so that an
    /// outage of the platform does not end its work.
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

    /// Time to the next read of the rules: all processes together read at a
    /// rate that does not grow with their number.
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
        // A process that hears of peers needs no list of its own.
        Self::ISOLATED_AFTER * 60
    }
}

/// Returns a time between three quarters and five quarters of the mean.
fn jitter(mean: Duration, random: u64) -> Duration {
    mean * 3 / 4 + mean / 2 * random_fraction(random) / JITTER_STEPS
}

/// Returns a number below [`JITTER_STEPS`].
fn random_fraction(random: u64) -> u32 {
    u32::try_from(random % u64::from(JITTER_STEPS)).unwrap_or_default()
}
