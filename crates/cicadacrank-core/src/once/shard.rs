//! Many claims in one object.

use super::{Claim, Name, Outcome, Page, State, Verdict};
use crate::id;
use serde::{Deserialize, Serialize};

/// Size above which settled claims leave the shard for a page, in bytes.
pub const SPILL_BYTES: usize = 64 << 10;

/// Largest shard, in bytes; above it no claim is added.
pub const SHARD_BYTES: usize = 900 << 10;

/// Size of a claim without its outcome, in bytes of JSON.
const CLAIM_BYTES: usize = 320;

/// Size of a page's reference without its marks, in bytes of JSON.
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
    /// Returns about how many bytes of JSON the entry takes, rather too many.
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

/// Returns the length of a text as a JSON string, control characters counted
/// in full.
fn escaped_len(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}

/// Claims whose names fall into one shard.
///
/// A shard is one object; a change to it is one conditional update, however
/// many claims it changes. Open claims stay in the shard. Settled ones move to
/// pages, which never change, when the shard grows; the shard keeps a short
/// mark of each name in a page. Ended claims and pages drop out with the next
/// change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Claims, sorted by name.
    entries: Vec<Entry>,
    /// Pages of settled claims, oldest first.
    #[serde(default)]
    pages: Vec<Page>,
    /// About how many bytes of JSON the shard takes.
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

    /// Returns the shard with its size known, after it was read.
    #[must_use]
    pub fn with_size(mut self) -> Self {
        self.size = self.bytes();
        self
    }

    /// Returns the claims that stand in the shard itself, sorted by name.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the pages that may hold the name.
    pub fn pages_for(&self, name: Name) -> impl Iterator<Item = &Page> {
        self.pages.iter().filter(move |page| page.may_hold(name))
    }

    /// Returns the claim of a name in the shard itself.
    #[must_use]
    pub fn get(&self, name: Name) -> Option<&Claim> {
        let index = self.find(name).ok()?;
        Some(&self.entries[index].claim)
    }

    /// Makes a claim if nothing stands against it, and decides what the one
    /// that wants it must do.
    ///
    /// The caller has looked into the pages that may hold the name. `None`
    /// means that the shard is full.
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

    /// Settles the claim that a holder has; returns whether the holder had it.
    ///
    /// An outcome that does not fit is left out, which a replay says.
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

    /// Drops what has ended; returns the pages dropped.
    pub fn sweep(&mut self, now_unix_ms: u64) -> Vec<Page> {
        self.entries
            .retain(|entry| !entry.claim.is_ended(now_unix_ms));
        let ended = |page: &mut Page| page.ends_unix_ms <= now_unix_ms;
        let dropped = self.pages.extract_if(.., ended).collect();
        self.size = self.bytes();
        dropped
    }

    /// Returns the settled claims that should move to a page, if the shard has
    /// grown.
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

    /// Replaces claims by the page that holds them.
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
