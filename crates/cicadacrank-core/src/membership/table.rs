//! The table of members that a process knows.

use super::{Member, State};
use std::time::Duration;

/// Number of hash buckets by which two tables are compared.
pub const BUCKETS: usize = 16;

/// Hash of the live members in each bucket.
pub type Buckets = [u32; BUCKETS];

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    hash: u32,
    changed_at: Duration,
    send_count: u32,
    listed: bool,
}

/// All known members, including the local process, sorted by name.
#[derive(Clone, Debug)]
pub struct Table {
    local_name: String,
    rows: Vec<Row>,
    revision: u64,
}

impl Table {
    /// Time for which a suspect can refute the suspicion.
    pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

    /// Time for which a dead member is kept, so that older updates do not
    /// revive it.
    pub const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

    /// Maximum number of changed members in one message.
    pub const MAX_CHANGES: usize = 8;

    /// Maximum number of members sent to repair a table that differs.
    pub const MAX_REPAIR: usize = 64;

    /// Creates a table that contains only the local process.
    #[must_use]
    pub fn new(local: Member) -> Self {
        let local_name = local.name.clone();
        let mut table = Self {
            local_name,
            rows: Vec::new(),
            revision: 0,
        };
        table.upsert(local, Duration::ZERO);
        table
    }

    /// Returns the local process.
    ///
    /// # Panics
    ///
    /// Never panics: the table contains the local process from its creation.
    #[must_use]
    pub fn local(&self) -> &Member {
        let index = self
            .find(&self.local_name)
            .expect("the table contains the local process");
        &self.rows[index].member
    }

    /// Returns a number that rises with each change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all members, in order of name.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.rows.iter().map(|row| &row.member)
    }

    /// Returns all members that are not dead, in order of name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state != State::Dead)
    }

    /// Returns the dead members that are still kept.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state == State::Dead)
    }

    /// Returns all members except the local process that are not dead.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| member.name != self.local_name)
    }

    /// Returns the member with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|index| &self.rows[index].member)
    }

    /// Marks the local process as leaving.
    pub fn leave(&mut self, now: Duration) {
        let mut local = self.local().clone();
        local.incarnation += 1;
        local.state = State::Leaving;
        self.upsert(local, now);
    }

    /// Merges an update about a process. Returns whether the table changed.
    ///
    /// The local process refutes a superseding update about itself with a
    /// higher incarnation.
    pub fn merge(&mut self, update: &Member, now: Duration) -> bool {
        if update.name == self.local_name {
            return self.refute(update, now);
        }
        match self.find(&update.name) {
            Ok(index) if !update.supersedes(&self.rows[index].member) => false,
            // The death of an unknown process carries no information.
            Err(_) if update.state == State::Dead => false,
            Ok(_) | Err(_) => {
                self.upsert(update.clone(), now);
                true
            }
        }
    }

    /// Merges the platform's list, which may lag. The list adds unknown
    /// processes and marks leaving ones, but never marks a process dead.
    pub fn merge_platform_list(&mut self, listed: &[Member], now: Duration) {
        for row in &mut self.rows {
            row.listed = false;
        }
        for update in listed {
            if let Ok(index) = self.find(&update.name) {
                self.rows[index].listed = true;
                let known = &self.rows[index].member;
                if update.state == State::Leaving && known.state == State::Alive {
                    let member = Member {
                        state: State::Leaving,
                        ..known.clone()
                    };
                    self.merge(&member, now);
                }
                if is_platform_change(&self.rows[index].member, update) {
                    self.upsert(update.clone(), now);
                }
            } else if update.name != self.local_name {
                self.upsert(update.clone(), now);
                if let Ok(index) = self.find(&update.name) {
                    self.rows[index].listed = true;
                }
            }
        }
    }

    /// Records that a process did not answer. Failures of the local process are
    /// ignored, as it knows its own state.
    pub fn record_failure(&mut self, name: &str, now: Duration) {
        if name == self.local_name {
            return;
        }
        let Ok(index) = self.find(name) else {
            return;
        };
        let known = &self.rows[index].member;
        let state = match known.state {
            State::Alive => State::Suspect,
            // A leaving process that no longer answers has stopped.
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let member = Member {
            state,
            ..known.clone()
        };
        self.upsert(member, now);
    }

    /// Marks suspects dead once the suspicion timeout has passed and removes
    /// expired tombstones that are not on the platform's list.
    pub fn tick(&mut self, now: Duration) {
        let ended = |row: &Row| {
            row.member.state == State::Suspect && now >= row.changed_at + Self::SUSPICION_TIMEOUT
        };
        while let Some(index) = self.rows.iter().position(ended) {
            let member = Member {
                state: State::Dead,
                ..self.rows[index].member.clone()
            };
            self.upsert(member, now);
        }
        self.rows.retain(|row| {
            row.member.state != State::Dead
                || row.listed
                || now < row.changed_at + Self::TOMBSTONE_TTL
        });
    }

    /// Takes recently changed members for the next message. The number of times
    /// that each change is sent grows with the logarithm of the table size.
    pub fn take_changes(&mut self) -> Vec<Member> {
        let send_limit = self.send_limit();
        let mut pending: Vec<usize> = (0..self.rows.len())
            .filter(|index| self.rows[*index].send_count < send_limit)
            .collect();
        pending.sort_by_key(|index| self.rows[*index].send_count);
        pending.truncate(Self::MAX_CHANGES);
        let mut members = Vec::with_capacity(pending.len());
        for index in pending {
            let row = &mut self.rows[index];
            row.send_count += 1;
            members.push(row.member.clone());
        }
        members
    }

    /// Returns whether every change has been sent often enough.
    #[must_use]
    pub fn is_quiescent(&self) -> bool {
        self.rows
            .iter()
            .all(|row| row.send_count >= self.send_limit())
    }

    fn send_limit(&self) -> u32 {
        2 + (self.rows.len() + 1).ilog2()
    }

    /// Returns the hash of the live members in each bucket.
    #[must_use]
    pub fn buckets(&self) -> Buckets {
        let mut buckets = Buckets::default();
        let live = self.rows.iter();
        for row in live.filter(|row| row.member.state != State::Dead) {
            buckets[bucket(&row.member.name)] ^= row.hash;
        }
        buckets
    }

    /// Returns live members of the buckets that differ, starting at a random
    /// position and at most [`Self::MAX_REPAIR`] of them.
    #[must_use]
    pub fn repair(&self, theirs: &Buckets, random: u64) -> Vec<Member> {
        let ours = self.buckets();
        if ours == *theirs {
            return Vec::new();
        }
        let differs = |member: &&Member| {
            let bucket = bucket(&member.name);
            ours[bucket] != theirs[bucket]
        };
        let members: Vec<&Member> = self.live().filter(differs).collect();
        let len = members.len().max(1) as u64;
        let start = usize::try_from(random % len).unwrap_or_default();
        let rotated = members.iter().cycle().skip(start);
        let count = members.len().min(Self::MAX_REPAIR);
        rotated
            .take(count)
            .map(|member| (*member).clone())
            .collect()
    }

    fn refute(&mut self, update: &Member, now: Duration) -> bool {
        let local = self.local();
        if !update.supersedes(local) {
            return false;
        }
        let mut local = local.clone();
        local.incarnation = update.incarnation + 1;
        self.upsert(local, now);
        true
    }

    fn upsert(&mut self, member: Member, now: Duration) {
        self.revision += 1;
        let row = Row {
            hash: member.hash(),
            changed_at: now,
            send_count: 0,
            listed: false,
            member,
        };
        match self.find(&row.member.name) {
            Ok(index) => {
                let listed = self.rows[index].listed;
                self.rows[index] = Row { listed, ..row };
            }
            Err(index) => self.rows.insert(index, row),
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.member.name.as_str().cmp(name))
    }
}

/// Returns whether an entry known only from the platform's list has changed on
/// that list.
fn is_platform_change(known: &Member, update: &Member) -> bool {
    known.incarnation == 0
        && known.state == State::Alive
        && (known.address != update.address || known.endpoints != update.endpoints)
}

fn bucket(name: &str) -> usize {
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0]) % BUCKETS
}
