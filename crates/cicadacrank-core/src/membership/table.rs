//! The members that a process knows of.

use super::{Member, State};
use std::time::Duration;

/// Number of buckets that two tables are compared by.
pub const BUCKETS: usize = 16;

/// Hash of the live members in each bucket.
pub type Buckets = [u32; BUCKETS];

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    hash: u32,
    changed: Duration,
    sends: u32,
    listed: bool,
}

/// All members that a process knows of, itself included, sorted by name.
#[derive(Clone, Debug)]
pub struct Table {
    me: String,
    rows: Vec<Row>,
    revision: u64,
}

impl Table {
    /// Time a suspect has to refute.
    pub const SUSPICION: Duration = Duration::from_secs(4);

    /// Time a dead member is remembered, so that older words on it do not
    /// bring it back.
    pub const TOMBSTONE: Duration = Duration::from_secs(120);

    /// Changed members in one message.
    pub const HOT: usize = 8;

    /// Members in one message when two tables differ.
    pub const REPAIR: usize = 64;

    /// Creates the table of a process that knows only itself.
    #[must_use]
    pub fn new(me: Member) -> Self {
        let name = me.name.clone();
        let mut table = Self {
            me: name,
            rows: Vec::new(),
            revision: 0,
        };
        table.put(me, Duration::ZERO);
        table
    }

    /// Returns the process itself.
    ///
    /// # Panics
    ///
    /// Never: a table holds its own process from the start.
    #[must_use]
    pub fn me(&self) -> &Member {
        let index = self.find(&self.me).expect("a table holds its own process");
        &self.rows[index].member
    }

    /// Returns a number that rises with each change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all members that are remembered, in order of name.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.rows.iter().map(|row| &row.member)
    }

    /// Returns all members that are not dead, in order of name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state != State::Dead)
    }

    /// Returns all members that are dead and still remembered.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state == State::Dead)
    }

    /// Returns all members but the process itself that are not dead.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| member.name != self.me)
    }

    /// Returns what is known of one process.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|index| &self.rows[index].member)
    }

    /// Says that the process itself is leaving.
    pub fn leave(&mut self, now: Duration) {
        let mut me = self.me().clone();
        me.incarnation += 1;
        me.state = State::Leaving;
        self.put(me, now);
    }

    /// Takes up a word on a process; returns whether it was news.
    ///
    /// A word against the process itself is refuted with a higher incarnation.
    pub fn merge(&mut self, word: &Member, now: Duration) -> bool {
        if word.name == self.me {
            return self.refute(word, now);
        }
        match self.find(&word.name) {
            Ok(index) if !word.supersedes(&self.rows[index].member) => false,
            // Nothing is to be learned from the end of a stranger.
            Err(_) if word.state == State::Dead => false,
            Ok(_) | Err(_) => {
                self.put(word.clone(), now);
                true
            }
        }
    }

    /// Takes up the platform's list, which may lag: it brings in processes not
    /// heard of yet and says which are leaving, but ends none.
    pub fn list(&mut self, listed: &[Member], now: Duration) {
        for row in &mut self.rows {
            row.listed = false;
        }
        for word in listed {
            if let Ok(index) = self.find(&word.name) {
                self.rows[index].listed = true;
                let known = &self.rows[index].member;
                if word.state == State::Leaving && known.state == State::Alive {
                    let member = Member {
                        state: State::Leaving,
                        ..known.clone()
                    };
                    self.merge(&member, now);
                }
                if known_only_by_list(&self.rows[index].member, word) {
                    self.put(word.clone(), now);
                }
            } else if word.name != self.me {
                self.put(word.clone(), now);
                if let Ok(index) = self.find(&word.name) {
                    self.rows[index].listed = true;
                }
            }
        }
    }

    /// Notes that a process did not answer; of itself a process knows better.
    pub fn fail(&mut self, name: &str, now: Duration) {
        if name == self.me {
            return;
        }
        let Ok(index) = self.find(name) else {
            return;
        };
        let known = &self.rows[index].member;
        let state = match known.state {
            State::Alive => State::Suspect,
            // Who said that it would leave and is silent has left.
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let member = Member {
            state,
            ..known.clone()
        };
        self.put(member, now);
    }

    /// Ends suspicion that was not refuted and forgets what is long dead.
    pub fn tick(&mut self, now: Duration) {
        let ended =
            |row: &Row| row.member.state == State::Suspect && now >= row.changed + Self::SUSPICION;
        while let Some(index) = self.rows.iter().position(ended) {
            let member = Member {
                state: State::Dead,
                ..self.rows[index].member.clone()
            };
            self.put(member, now);
        }
        self.rows.retain(|row| {
            row.member.state != State::Dead || row.listed || now < row.changed + Self::TOMBSTONE
        });
    }

    /// Takes members that changed lately, for the next message; each is sent a
    /// number of times that rises with the logarithm of the table.
    pub fn take_hot(&mut self) -> Vec<Member> {
        let limit = self.limit();
        let mut hot: Vec<usize> = (0..self.rows.len())
            .filter(|index| self.rows[*index].sends < limit)
            .collect();
        hot.sort_by_key(|index| self.rows[*index].sends);
        hot.truncate(Self::HOT);
        let mut members = Vec::with_capacity(hot.len());
        for index in hot {
            let row = &mut self.rows[index];
            row.sends += 1;
            members.push(row.member.clone());
        }
        members
    }

    /// Returns whether no change is left to be sent.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.rows.iter().all(|row| row.sends >= self.limit())
    }

    fn limit(&self) -> u32 {
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

    /// Returns members of the buckets that differ, at most [`Self::REPAIR`],
    /// from a random place on.
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
        let turned = members.iter().cycle().skip(start);
        let count = members.len().min(Self::REPAIR);
        turned.take(count).map(|member| (*member).clone()).collect()
    }

    fn refute(&mut self, word: &Member, now: Duration) -> bool {
        let me = self.me();
        if !word.supersedes(me) {
            return false;
        }
        let mut me = me.clone();
        me.incarnation = word.incarnation + 1;
        self.put(me, now);
        true
    }

    fn put(&mut self, member: Member, now: Duration) {
        self.revision += 1;
        let row = Row {
            hash: member.hash(),
            changed: now,
            sends: 0,
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

/// Returns whether the platform's newer word replaces its older one.
fn known_only_by_list(known: &Member, word: &Member) -> bool {
    known.incarnation == 0
        && known.state == State::Alive
        && (known.address != word.address || known.endpoints != word.endpoints)
}

fn bucket(name: &str) -> usize {
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0]) % BUCKETS
}
