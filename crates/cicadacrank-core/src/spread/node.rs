//! The part of one process in the spread of configuration and membership.

use super::{Document, History, Step};
use crate::membership::{Buckets, Member, Table, is_watcher};
use std::{net::SocketAddr, time::Duration};

/// Parts that a random share of a time is counted in.
const PARTS: u32 = 1024;

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
    pub me: Member,
    /// Generation it has in force.
    pub generation: u64,
    /// Hashes over its table.
    pub buckets: Buckets,
    /// Members that changed lately.
    pub members: Vec<Member>,
}

/// A newer configuration in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// The sender of the sync is not behind.
    Nothing,
    /// The way from the generation that the sender named.
    Steps(Vec<Step>),
    /// The whole.
    Whole(Document),
}

/// What the receiver of a sync adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Generation the receiver has in force.
    pub generation: u64,
    /// The newer configuration, if the sender is behind.
    pub news: News,
    /// Members that changed lately, and those of buckets that differ.
    pub members: Vec<Member>,
}

/// With whom a process is in contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The platform or a peer answered lately.
    Held,
    /// Neither did; work goes on under the configuration in force.
    Lost,
    /// Neither did for so long that new work is refused.
    Ended,
}

/// One process among its peers.
///
/// Time is since an origin of the caller's choice; random numbers are drawn by
/// the caller.
#[derive(Clone, Debug)]
pub struct Node {
    table: Table,
    history: History,
    hot: u32,
    next_sync: Duration,
    rules_read: Duration,
    rules_part: u32,
    next_instances: Duration,
    contact: Duration,
    had_peers: bool,
    seeds: Vec<SocketAddr>,
    pause: Duration,
    began: Duration,
    listed: bool,
    heard: bool,
    wants_whole: bool,
}

impl Node {
    /// Mean time between two syncs that a process begins.
    pub const SYNC: Duration = Duration::from_secs(1);

    /// Peers told at once of a newer generation.
    pub const FANOUT: u32 = 3;

    /// Rounds after that in which as many are told again.
    pub const HEAT: u32 = 1;

    /// Mean time between two reads of the rules over all processes.
    pub const SHARED_READ: Duration = Duration::from_secs(1);

    /// Bytes a second that a process's own part of those reads may cost.
    pub const READ_BYTES: u64 = 1 << 10;

    /// Mean time between two reads of a process without contact or rules.
    pub const LONELY_READ: Duration = Duration::from_secs(5);

    /// Time without an answer from peers or platform until contact is lost.
    pub const LOST: Duration = Duration::from_secs(10);

    /// Time without an answer until new work is refused.
    pub const ENDED: Duration = Duration::from_secs(60);

    /// Longest time that a starting process waits for a peer's word on the
    /// newest generation, when it has rules from the platform already.
    pub const SETTLE: Duration = Duration::from_secs(10);

    /// Bytes of the platform's list for each member.
    const LISTED_BYTES: u64 = 400;

    /// Least time between two looks of a watcher at the list of instances.
    const LIST: Duration = Duration::from_secs(10);

    /// Share of syncs, one in so many, that try a dead member again.
    const DEAD_TRY: u64 = 8;

    /// Creates the part of a process that knows only itself.
    #[must_use]
    pub fn new(me: Member, now: Duration) -> Self {
        Self {
            table: Table::new(me),
            history: History::default(),
            hot: 0,
            next_sync: now,
            rules_read: now,
            rules_part: 0,
            next_instances: now,
            contact: now,
            had_peers: false,
            seeds: Vec::new(),
            pause: Self::SYNC,
            began: now,
            listed: false,
            heard: false,
            wants_whole: false,
        }
    }

    /// Gives addresses to ask while no peer is known, for a start while the
    /// platform is down.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Gives another mean time between two syncs than [`Self::SYNC`].
    #[must_use]
    pub const fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
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
            self.next_sync = now + spread(self.pause, random());
            let mut count = 1;
            if self.hot > 0 {
                self.hot -= 1;
                count = Self::FANOUT;
            }
            self.pick(count, &mut random, &mut actions);
        }
        // The pause is worked out anew each time, as a process that has just
        // begun knows few of the others that share the reads.
        if now >= self.rules_read + self.read_pause(now) * 2 * self.rules_part / PARTS {
            // Over the whole of twice the mean, so that processes that began
            // together do not read together.
            self.rules_read = now;
            self.rules_part = part(random());
            actions.push(Action::ReadRules);
        }
        if now >= self.next_instances {
            let pause = self.instances_pause(now);
            self.next_instances = now + spread(pause, random());
            actions.push(Action::ReadInstances);
        }
        actions
    }

    /// Returns what to send with a sync.
    pub fn digest(&mut self) -> Digest {
        Digest {
            me: self.table.me().clone(),
            generation: if self.wants_whole {
                0
            } else {
                self.history.generation()
            },
            buckets: self.table.buckets(),
            members: self.table.take_hot(),
        }
    }

    /// Returns the sync that a peer's digest calls for, when the peer is ahead.
    #[must_use]
    pub fn pull(&self, digest: &Digest) -> Option<Action> {
        let ahead = digest.generation > self.history.generation();
        ahead.then(|| Action::Sync {
            name: digest.me.name.clone(),
            address: digest.me.address,
        })
    }

    /// Returns syncs with as many peers as a newer generation is pushed to, for
    /// when a generation is heard of without its source.
    pub fn ask(&self, mut random: impl FnMut() -> u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.pick(Self::FANOUT, &mut random, &mut actions);
        actions
    }

    /// Returns whether the process may take work: it has rules, and a peer has
    /// told it which generation is the newest it knows, so that a stale read of
    /// the platform after a restart does not bring back older rules.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        let alone = self.listed && !self.had_peers;
        let waited = now.saturating_sub(self.began) >= Self::SETTLE;
        self.history.generation() > 0 && (self.heard || alone || waited)
    }

    /// Takes up a sync from a peer and returns the answer.
    pub fn answer(&mut self, digest: &Digest, random: u64, now: Duration) -> Update {
        self.contact = now;
        self.merge(&digest.members, now);
        self.table.merge(&digest.me, now);
        let mut members = self.table.take_hot();
        // A peer that others hold for dead or suspect must hear of it.
        if let Some(known) = self.table.get(&digest.me.name)
            && known.supersedes(&digest.me)
        {
            members.push(known.clone());
        }
        members.extend(self.table.repair(&digest.buckets, random));
        let behind = digest.generation < self.history.generation();
        let news = match self.history.newest() {
            Some(newest) if behind => self
                .history
                .since(digest.generation)
                .map_or_else(|| News::Whole(newest.clone()), News::Steps),
            Some(_) | None => News::Nothing,
        };
        Update {
            generation: self.history.generation(),
            news,
            members,
        }
    }

    /// Takes up an answer; returns a newer document for [`Self::adopt`] once
    /// the caller could read it.
    ///
    /// Steps that do not fit are dropped, and the next digest asks for the whole.
    pub fn absorb(&mut self, update: &Update, now: Duration) -> Option<Document> {
        self.contact = now;
        self.merge(&update.members, now);
        self.heard |= update.generation > 0 && update.generation <= self.history.generation();
        if update.generation <= self.history.generation() {
            return None;
        }
        let document = match &update.news {
            News::Nothing => return None,
            News::Steps(steps) => {
                let document = self.history.follow(steps);
                self.wants_whole = document.is_err();
                document.ok()?
            }
            News::Whole(document) => {
                self.wants_whole = false;
                document.clone()
            }
        };
        (document.generation > self.history.generation()).then_some(document)
    }

    /// Puts a document in force if it is newer; returns peers to tell at once.
    pub fn adopt(
        &mut self,
        document: Document,
        news: News,
        mut random: impl FnMut() -> u64,
    ) -> Vec<Action> {
        let from_peer = news != News::Nothing;
        let steps = match news {
            News::Steps(steps) => steps,
            News::Nothing | News::Whole(_) => Vec::new(),
        };
        let mut actions = Vec::new();
        // The sender of news has told its newest.
        self.heard |= from_peer;
        if self.history.adopt(document, steps) {
            self.hot = Self::HEAT;
            self.pick(Self::FANOUT, &mut random, &mut actions);
        }
        actions
    }

    /// Notes that a peer did not answer.
    pub fn fail(&mut self, name: &str, now: Duration) {
        self.table.fail(name, now);
    }

    /// Notes that the platform answered.
    pub const fn reached(&mut self, now: Duration) {
        self.contact = now;
    }

    /// Takes up the platform's list of instances.
    pub fn list(&mut self, listed: &[Member], now: Duration) {
        self.contact = now;
        self.listed = true;
        if !self.heard {
            self.next_sync = now;
        }
        self.table.list(listed, now);
        self.had_peers |= self.table.others().next().is_some();
    }

    /// Says that the process itself is leaving, and returns peers to tell.
    pub fn leave(&mut self, now: Duration, mut random: impl FnMut() -> u64) -> Vec<Action> {
        self.table.leave(now);
        let mut actions = Vec::new();
        self.pick(Self::FANOUT, &mut random, &mut actions);
        actions
    }

    /// Returns with whom the process is in contact.
    ///
    /// A process that never had a peer has nobody to differ from, so that an
    /// outage of the platform does not end its work.
    #[must_use]
    pub fn contact(&self, now: Duration) -> Contact {
        let silence = now.saturating_sub(self.contact);
        if !self.had_peers || silence < Self::LOST {
            Contact::Held
        } else if silence < Self::ENDED {
            Contact::Lost
        } else {
            Contact::Ended
        }
    }

    fn merge(&mut self, members: &[Member], now: Duration) {
        for member in members {
            self.table.merge(member, now);
        }
        self.had_peers |= self.table.others().next().is_some();
    }

    fn pick(&self, count: u32, random: &mut impl FnMut() -> u64, actions: &mut Vec<Action>) {
        let dead_too = random().is_multiple_of(Self::DEAD_TRY);
        let mut peers: Vec<&Member> = if dead_too {
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
    fn read_pause(&self, now: Duration) -> Duration {
        let Some(newest) = self.history.newest() else {
            return Self::LONELY_READ;
        };
        if now.saturating_sub(self.contact) >= Self::LOST {
            return Self::LONELY_READ;
        }
        let members = u32::try_from(self.table.live().count()).unwrap_or(u32::MAX);
        let shared = Self::SHARED_READ * members.max(1);
        let bytes = Duration::from_secs(newest.text.len() as u64 / Self::READ_BYTES);
        shared.max(bytes)
    }

    fn instances_pause(&self, now: Duration) -> Duration {
        let lonely = now.saturating_sub(self.contact) >= Self::LOST;
        if lonely || self.table.others().next().is_none() {
            return Self::LONELY_READ;
        }
        if self.is_watcher() {
            let members = self.table.live().count() as u64;
            let bytes = Duration::from_secs(members * Self::LISTED_BYTES / Self::READ_BYTES);
            return bytes.max(Self::LIST);
        }
        // A process that hears of peers needs no list of its own.
        Self::ENDED * 60
    }
}

/// Returns a time between three quarters and five quarters of the mean.
fn spread(mean: Duration, random: u64) -> Duration {
    mean * 3 / 4 + mean / 2 * part(random) / PARTS
}

/// Returns a number below [`PARTS`].
fn part(random: u64) -> u32 {
    u32::try_from(random % u64::from(PARTS)).unwrap_or_default()
}
