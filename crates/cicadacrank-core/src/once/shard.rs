//! Shards: platform objects that hold many claims each.

use super::{Claim, Name, Outcome, Page, State, Verdict};
use crate::id;
use serde::{Deserialize, Serialize};

/// Size above which completed claims move from the shard to a page, in bytes.
pub const SPILL_BYTES: usize = 64 << 10;

/// Largest size of a shard, in bytes; a claim that would exceed it is not added.
pub const SHARD_BYTES: usize = 900 << 10;

/// Estimated size of a claim without its outcome, in bytes of JSON.
const CLAIM_BYTES: usize = 320;

/// Estimated size of a page reference without its marks, in bytes of JSON.
const PAGE_BYTES: usize = 100;

/// A claim with its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the claim.
    pub name: Name,
    /// The claim.
    #[serde(flatten)]
    pub claim: Claim,
}

impl Entry {
    /// Returns an estimate of the entry's size, in bytes of JSON, on the high
    /// side.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let outcome = match &self.claim.state {
            State::Open | State::Unsent => 0,
            State::Done { outcome } => match outcome {
                Outcome::Answer { output } => escaped_len(output),
                Outcome::Oversized => 0,
                Outcome::Refused { context } => escaped_len(context),
            },
        };
        CLAIM_BYTES + outcome
    }
}

/// Returns an upper bound of the text's length as a JSON string without its
/// quotes: each control character counts as a six-byte escape sequence.
fn escaped_len(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}

/// Claims whose names belong to one shard.
///
/// A shard is one platform object, and a change to it is one conditional
/// update, however many claims it changes. Open claims stay in the shard. When
/// the shard grows, completed claims move to immutable pages, and the shard
/// keeps a short mark of each name in a page. Expired claims and pages are
/// removed with the next change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Claims, sorted by name.
    entries: Vec<Entry>,
    /// References to the pages of completed claims, oldest first.
    #[serde(default)]
    pages: Vec<Page>,
    /// Estimated size of the shard, in bytes of JSON.
    #[serde(skip)]
    size: usize,
}

impl Shard {
    /// Creates an empty shard.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
            pages: Vec::new(),
            size: 0,
        }
    }

    /// Returns the shard with its size computed.
    ///
    /// The size is not serialized, so this is needed after decoding.
    #[must_use]
    pub fn with_size(mut self) -> Self {
        self.size = self.bytes();
        self
    }

    /// Returns the claims in the shard itself, sorted by name.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the pages that may hold the name.
    pub fn pages_for(&self, name: Name) -> impl Iterator<Item = &Page> {
        self.pages.iter().filter(move |page| page.may_hold(name))
    }

    /// Returns the claim with this name in the shard itself.
    #[must_use]
    pub fn get(&self, name: Name) -> Option<&Claim> {
        let index = self.find(name).ok()?;
        Some(&self.entries[index].claim)
    }

    /// Adds the claim unless one with this name exists, and returns what the
    /// prospective holder must do. A claim that may be taken over is replaced.
    ///
    /// The caller must first search the pages that may hold the name. Returns
    /// `None` if the shard is full.
    pub fn claim(&mut self, name: Name, wanted: &Claim) -> Option<Verdict> {
        match self.find(name) {
            Ok(index) => {
                let found = &mut self.entries[index].claim;
                let verdict = found.verdict(wanted);
                if verdict == Verdict::TakeOver {
                    *found = wanted.clone();
                    return Some(Verdict::Run);
                }
                Some(verdict)
            }
            Err(_) if self.size + CLAIM_BYTES > SHARD_BYTES => None,
            Err(index) => {
                let claim = wanted.clone();
                self.entries.insert(index, Entry { name, claim });
                self.size += CLAIM_BYTES;
                Some(Verdict::Run)
            }
        }
    }

    /// Sets the state of the holder's claim if it is open, and returns whether
    /// `holder` has the claim.
    ///
    /// If the outcome does not fit into the shard, [`Outcome::Oversized`] is
    /// recorded instead.
    pub fn settle(
        &mut self,
        name: Name,
        holder: id::Holder,
        state: &State,
        ends_unix_ms: u64,
    ) -> bool {
        let Ok(index) = self.find(name) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if entry.claim.holder != holder || entry.claim.state != State::Open {
            return entry.claim.holder == holder;
        }
        entry.claim.ends_unix_ms = ends_unix_ms;
        entry.claim.state = state.clone();
        let more = entry.bytes() - CLAIM_BYTES;
        if self.size + more > SHARD_BYTES {
            entry.claim.state = State::Done {
                outcome: Outcome::Oversized,
            };
        } else {
            self.size += more;
        }
        true
    }

    /// Adds a claim that the store has lost, or the newer state of one that it shows.
    /// Returns whether the shard changed.
    ///
    /// The caller must first search the pages that may hold the name.
    pub fn restore(&mut self, entry: &Entry) -> bool {
        let mut entry = entry.clone();
        if self.size + entry.bytes() > SHARD_BYTES {
            entry.drop_output();
        }
        match self.find(entry.name) {
            Ok(index) => {
                let found = &self.entries[index].claim;
                let is_same_holder = found.holder == entry.claim.holder;
                let is_older = match (&found.state, &entry.claim.state) {
                    (State::Done { .. }, _) | (State::Unsent, State::Unsent) => false,
                    // A holder is followed by another only after it released the claim,
                    // which it then remembers.
                    (State::Open, State::Open) => !is_same_holder,
                    (State::Open, State::Unsent) => is_same_holder,
                    (State::Open | State::Unsent, _) => true,
                };
                if is_older {
                    self.size -= self.entries[index].bytes();
                    self.size += entry.bytes();
                    self.entries[index] = entry;
                }
                is_older
            }
            Err(index) => {
                self.size += entry.bytes();
                self.entries.insert(index, entry);
                true
            }
        }
    }

    /// Removes expired claims and pages, and returns the pages removed.
    pub fn sweep(&mut self, now_unix_ms: u64) -> Vec<Page> {
        self.entries
            .retain(|entry| !entry.claim.is_ended(now_unix_ms));
        let ended = |page: &mut Page| page.ends_unix_ms <= now_unix_ms;
        let dropped = self.pages.extract_if(.., ended).collect();
        self.size = self.bytes();
        dropped
    }

    /// Returns the completed claims to move to a page; none if the shard's
    /// claims take at most [`SPILL_BYTES`].
    #[must_use]
    pub fn spill(&self) -> Vec<Entry> {
        let size: usize = self.entries.iter().map(Entry::bytes).sum();
        if size <= SPILL_BYTES {
            return Vec::new();
        }
        let settled = self.entries.iter();
        let settled = settled.filter(|entry| matches!(entry.claim.state, State::Done { .. }));
        settled.cloned().collect()
    }

    /// Replaces completed claims with a reference to the page that holds them.
    pub fn replace_with_page(&mut self, page: Page) {
        self.entries.retain(|entry| {
            let moved = page.may_hold(entry.name);
            !(moved && matches!(entry.claim.state, State::Done { .. }))
        });
        self.pages.push(page);
        self.size = self.bytes();
    }

    fn bytes(&self) -> usize {
        let entries: usize = self.entries.iter().map(Entry::bytes).sum();
        let pages = self.pages.iter().map(|page| PAGE_BYTES + page.marks.len());
        entries + pages.sum::<usize>()
    }

    fn find(&self, name: Name) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&name, |entry| entry.name)
    }
}
