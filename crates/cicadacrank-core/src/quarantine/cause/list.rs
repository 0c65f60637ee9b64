//! The possible causes of crashes that one process knows.

use super::{
    Cause, Change, Crash, Suspect,
    group::{Group, MAX_CRASHES_KEPT, crashes_in_a_row},
    responses::Responses,
};
use crate::quarantine::{MAX_SUSPECTS, RETENTION};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Maximum number of causes that are kept.
const MAX_CAUSES: usize = 1 << 16;

/// Time between two searches for entries that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Number of crashes, as a multiple of the limit of a cause, from which on another
/// cause with as many no longer explains them.
const TIE_LIMIT_FACTOR: usize = 4;

/// Number of causes, companions included, from which on a group is large.
const LARGE_GROUP: usize = 64;

/// Maximum number of causes of large groups in a report, companions included.
const MAX_LARGE_CAUSES: usize = 2_048;

/// Index of a group in the arena of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key(u32);

/// How a merge affects causes that are the same in all respects until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Effect {
    /// Group of the causes, if they are known.
    group: Option<Key>,
    is_part: bool,
    /// Crashes of the merge that a response clears, a bit for each.
    cleared: u64,
}

/// The possible causes of crashes that one process knows.
///
/// Merging is a union of crashes and an intersection of companions, and a
/// clearance wins, so the order and the number of reports do not matter.
#[derive(Clone, Debug, Default)]
pub struct List {
    groups: Vec<Option<Group>>,
    vacant: Vec<Key>,
    /// The group of each cause. A crash may add a thousand, so that a sorted vector would
    /// have to move many.
    by_cause: HashMap<Cause, Key>,
    responses: Responses,
    expired_at: Duration,
    /// Position among the large groups from which the next report goes on.
    turn: usize,
}

impl List {
    /// Records a crash with a request in flight to which the endpoint had not
    /// begun to respond.
    pub fn record_crash(&mut self, causes: &[Cause], crash: Crash, now: Duration) {
        let mut causes = causes.to_vec();
        causes.sort_unstable();
        causes.dedup();
        let together: Arc<[Cause]> = causes.as_slice().into();
        self.apply(&causes, &together, &[crash], now);
    }

    /// Merges an entry of another process, whose times were converted to those of
    /// this process.
    pub fn merge(&mut self, suspect: &Suspect, now: Duration) {
        let mut together = suspect.causes.clone();
        together.extend_from_slice(&suspect.companions);
        together.sort_unstable();
        together.dedup();
        self.apply(&suspect.causes, &together.into(), &suspect.crashes, now);
    }

    /// Adds crashes that implicate causes, whose requests have all causes in `together`.
    fn apply(
        &mut self,
        causes: &[Cause],
        together: &Arc<[Cause]>,
        crashes: &[Crash],
        now: Duration,
    ) {
        let oldest = now.saturating_sub(RETENTION);
        let crashes = crashes.iter().filter(|crash| crash.at >= oldest);
        let crashes: Vec<Crash> = crashes.copied().take(MAX_CRASHES_KEPT).collect();
        if crashes.is_empty() {
            return;
        }
        self.expire(now);
        let mut effects: BTreeMap<Effect, Vec<Cause>> = BTreeMap::new();
        for cause in causes {
            let effect = self.effect(cause, &crashes);
            effects.entry(effect).or_default().push(*cause);
        }
        let mut intersections = Intersections::new(together);
        for (effect, causes) in effects {
            let key = match effect.group {
                Some(key) => self.isolate(key, causes),
                None => Some(self.insert(Group {
                    causes,
                    together: Arc::clone(together),
                    crashes: Vec::new(),
                    changed: now,
                    quarantined: false,
                })),
            };
            let Some(group) = key.and_then(|key| self.group_mut(key)) else {
                continue;
            };
            let mut changed = false;
            for (number, crash) in crashes.iter().enumerate() {
                changed |= group.add(Crash {
                    cleared: crash.cleared || effect.cleared >> number & 1 == 1,
                    ..*crash
                });
            }
            let left = intersections.with(&group.together);
            if changed || left.len() != group.together.len() {
                group.changed = now;
            }
            group.together = left;
        }
        self.evict();
    }

    fn effect(&self, cause: &Cause, crashes: &[Crash]) -> Effect {
        let began = self.responses.last(cause);
        let clears = |crash: &Crash| began.is_some_and(|began| crash.at < began);
        let bits = crashes.iter().enumerate();
        Effect {
            group: self.by_cause.get(cause).copied(),
            is_part: cause.is_part(),
            cleared: bits.fold(0, |bits, (number, crash)| {
                bits | u64::from(clears(crash)) << number
            }),
        }
    }

    /// Clears causes of the crashes before `began`, because the response to a
    /// request with these causes began then and went on. Returns whether there were
    /// such crashes.
    pub fn clear(&mut self, causes: &[Cause], began: Duration, now: Duration) -> bool {
        self.responses.record(causes, began, now);
        let mut by_group: BTreeMap<Key, Vec<Cause>> = BTreeMap::new();
        for cause in causes {
            let Some(key) = self.by_cause.get(cause) else {
                continue;
            };
            let is_implicated = |group: &Group| group.uncleared().any(|crash| crash.at < began);
            if self.group(*key).is_some_and(is_implicated) {
                by_group.entry(*key).or_default().push(*cause);
            }
        }
        let changed = !by_group.is_empty();
        for (key, mut causes) in by_group {
            causes.sort_unstable();
            causes.dedup();
            let key = self.isolate(key, causes);
            if let Some(group) = key.and_then(|key| self.group_mut(key)) {
                for crash in group.crashes.iter_mut().filter(|crash| crash.at < began) {
                    crash.cleared = true;
                }
                group.changed = now;
            }
        }
        changed
    }

    /// Returns the cause for which a request with these causes is refused.
    #[must_use]
    pub fn find_quarantined(&self, causes: &[Cause]) -> Option<Cause> {
        let mut checked: Vec<(Key, bool)> = Vec::new();
        let mut sorted = Vec::new();
        for cause in causes {
            let Some(key) = self.by_cause.get(cause).copied() else {
                continue;
            };
            let known = checked.iter().find(|(one, _)| *one == key);
            let is_refused = known.map(|(_, is_refused)| *is_refused);
            let is_refused = is_refused.unwrap_or_else(|| {
                let refused = self.group(key).is_some_and(|group| {
                    if !self.is_quarantined(group) {
                        return false;
                    }
                    if sorted.is_empty() {
                        sorted = causes.to_vec();
                        sorted.sort_unstable();
                    }
                    !self.needs_companion(group, &sorted)
                });
                checked.push((key, refused));
                refused
            });
            if is_refused {
                return Some(*cause);
            }
        }
        None
    }

    /// Returns the causes whose quarantine began or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let quarantined: Vec<bool> = self
            .groups
            .iter()
            .map(|group| group.as_ref().is_some_and(|one| self.is_quarantined(one)))
            .collect();
        let groups = self.groups.iter_mut().zip(quarantined);
        let groups = groups.filter_map(|(group, quarantined)| Some((group.as_mut()?, quarantined)));
        groups
            .filter(|(group, quarantined)| group.quarantined != *quarantined)
            .filter_map(|(group, quarantined)| {
                group.quarantined = quarantined;
                Some(Change {
                    cause: *group.causes.first()?,
                    count: group.causes.len(),
                    quarantined,
                    crashes: group.uncleared().count(),
                })
            })
            .collect()
    }

    /// Returns the entries to report to another process: those that are quarantined
    /// and those that changed within `recent`, with at most `most` causes. Drops expired
    /// entries.
    ///
    /// Large groups are reported in turn, so that they do not crowd out the others.
    pub fn report(&mut self, now: Duration, recent: Duration, most: usize) -> Vec<Suspect> {
        self.responses.expire(now);
        self.expire(now);
        let mut groups: Vec<&Group> = self.groups().collect();
        groups.retain(|group| group.quarantined || group.changed + recent > now);
        groups.sort_by_key(|group| (!group.quarantined, Reverse(group.changed)));
        let is_small = |group: &&Group| group.together.len() < LARGE_GROUP;
        let (small, mut large): (Vec<&Group>, Vec<&Group>) = groups.into_iter().partition(is_small);
        let turn = self.turn.checked_rem(large.len()).unwrap_or(0);
        large.rotate_left(turn);
        let mut report = fitting(&small, most, |group| group.causes.len());
        let small = report.len();
        report.append(&mut fitting(&large, MAX_LARGE_CAUSES, |group| {
            group.together.len()
        }));
        self.turn = turn + report.len() - small;
        report
    }

    /// Returns the number of causes that are quarantined.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        let quarantined = self.groups().filter(|group| group.quarantined);
        quarantined.map(|group| group.causes.len()).sum()
    }

    /// Returns whether the crashes that no other cause explains as well reach the
    /// limit of a cause. A cause with more crashes is the better explanation. One with
    /// as many leaves it open, unless it is a companion, which always comes with it.
    fn is_quarantined(&self, group: &Group) -> bool {
        let limit = group.crash_limit();
        // The crashes in a row are some of these.
        let count = group.uncleared().count();
        if count < limit || crashes_in_a_row(group.uncleared()) < limit {
            return false;
        }
        let explains = |other: &&Group| {
            let others = other.uncleared().count();
            let is_tie = others == count
                && count < limit * TIE_LIMIT_FACTOR
                && !group.is_accompanied_by(other);
            others > count || is_tie
        };
        let others: Vec<&Group> = self.groups().filter(explains).collect();
        let unexplained = group.uncleared().filter(|crash| {
            !others
                .iter()
                .any(|other| other.is_uncleared_of(crash.endpoint))
        });
        crashes_in_a_row(unexplained) >= limit
    }

    /// Returns whether another cause, which `causes` lacks, came with those of the group
    /// in each crash and is as likely. A request with only one of them shows which it
    /// is. `causes` is sorted.
    fn needs_companion(&self, group: &Group, causes: &[Cause]) -> bool {
        let count = group.uncleared().count();
        let lacking = |cause: &&Cause| causes.binary_search(cause).is_err();
        let mut lacking = group.together.iter().filter(lacking);
        lacking.any(|companion| {
            let other = self.by_cause.get(companion);
            let other = other.and_then(|key| self.group(*key));
            other.is_some_and(|other| other.uncleared().count() >= count)
        })
    }

    fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.iter().flatten()
    }

    fn group(&self, key: Key) -> Option<&Group> {
        self.groups.get(key.0 as usize)?.as_ref()
    }

    fn group_mut(&mut self, key: Key) -> Option<&mut Group> {
        self.groups.get_mut(key.0 as usize)?.as_mut()
    }

    /// Makes some causes of a group, which are sorted, a group of their own. Returns its
    /// key.
    fn isolate(&mut self, key: Key, causes: Vec<Cause>) -> Option<Key> {
        let group = self.group_mut(key)?;
        if causes.len() == group.causes.len() {
            return Some(key);
        }
        let part = group.split_off(causes);
        Some(self.insert(part))
    }

    fn insert(&mut self, group: Group) -> Key {
        let key = self.vacant.pop().unwrap_or_else(|| {
            self.groups.push(None);
            Key(u32::try_from(self.groups.len() - 1).unwrap_or(u32::MAX))
        });
        if self.by_cause.is_empty() {
            // Growing later would move all entries in one step.
            self.by_cause.reserve(MAX_CAUSES);
        }
        for cause in &group.causes {
            self.by_cause.insert(*cause, key);
        }
        self.groups[key.0 as usize] = Some(group);
        key
    }

    fn remove(&mut self, key: Key) {
        if let Some(group) = self.groups[key.0 as usize].take() {
            for cause in &group.causes {
                self.by_cause.remove(cause);
            }
            self.vacant.push(key);
        }
    }

    /// Removes the groups that changed least recently if there is too much, large ones first
    /// and quarantined ones last. Several are removed at a time, since that takes a search.
    fn evict(&mut self) {
        if self.groups_kept() <= MAX_SUSPECTS && self.by_cause.len() <= MAX_CAUSES {
            return;
        }
        let entries = self.entries();
        let order = entries.map(|(key, group)| {
            let is_small = group.together.len() < LARGE_GROUP;
            (group.quarantined, is_small, group.changed, key)
        });
        let mut order: Vec<_> = order.collect();
        order.sort_unstable();
        for (.., key) in order {
            let room = self.groups_kept() <= MAX_SUSPECTS / 8 * 7;
            if room && self.by_cause.len() <= MAX_CAUSES / 8 * 7 {
                break;
            }
            self.remove(key);
        }
    }

    /// Drops crashes that are too old, and the groups without others.
    fn expire(&mut self, now: Duration) {
        if now < self.expired_at + EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let oldest = now.saturating_sub(RETENTION);
        for group in self.groups.iter_mut().flatten() {
            group.crashes.retain(|crash| crash.at >= oldest);
        }
        let empty = self.entries().filter(|(_, group)| group.crashes.is_empty());
        let empty: Vec<Key> = empty.map(|(key, _)| key).collect();
        empty.into_iter().for_each(|key| self.remove(key));
    }

    const fn groups_kept(&self) -> usize {
        self.groups.len() - self.vacant.len()
    }

    fn entries(&self) -> impl Iterator<Item = (Key, &Group)> {
        let groups = self.groups.iter().zip(0..);
        groups.filter_map(|(group, index)| Some((Key(index), group.as_ref()?)))
    }
}

/// Returns the first groups whose sizes together are at most `room`, as they are reported.
fn fitting(groups: &[&Group], mut room: usize, size: impl Fn(&Group) -> usize) -> Vec<Suspect> {
    let mut fits = |group: &&&Group| {
        let left = room.checked_sub(size(group));
        room = left.unwrap_or(room);
        left.is_some()
    };
    let groups = groups.iter().take_while(|group| fits(group));
    groups.map(|group| group.to_suspect()).collect()
}

/// The intersections of one set of causes with those that groups share.
struct Intersections<'a> {
    set: &'a Arc<[Cause]>,
    /// By the address of the other set, which is kept too, so that its address stays its own.
    known: BTreeMap<usize, [Arc<[Cause]>; 2]>,
}

impl<'a> Intersections<'a> {
    const fn new(set: &'a Arc<[Cause]>) -> Self {
        Self {
            set,
            known: BTreeMap::new(),
        }
    }

    fn with(&mut self, other: &Arc<[Cause]>) -> Arc<[Cause]> {
        let address = Arc::as_ptr(other).cast::<()>().addr();
        let known = self.known.entry(address).or_insert_with(|| {
            let both = intersect(self.set, other);
            let both = if both.len() == other.len() {
                Arc::clone(other)
            } else {
                both.into()
            };
            [Arc::clone(other), both]
        });
        Arc::clone(&known[1])
    }
}

/// Returns the causes in both of two sorted sets.
fn intersect(one: &[Cause], other: &[Cause]) -> Vec<Cause> {
    let mut both = Vec::new();
    let mut rest = one.iter().peekable();
    for cause in other {
        while rest.next_if(|next| *next < cause).is_some() {}
        if rest.next_if_eq(&cause).is_some() {
            both.push(*cause);
        }
    }
    both
}
