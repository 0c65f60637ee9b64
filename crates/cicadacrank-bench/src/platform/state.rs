//! Objects, versions and faults of the stand-in.

use cicadacrank_node::platform::{Change, Collection, Listing, Object, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::{sync::broadcast, time::Instant};

/// Changes that a slow watch may fall behind.
const WATCH_BUFFER: usize = 4096;

/// Changes kept for watches that begin at an older version.
const MAX_CHANGES: usize = 4096;

/// Older listings kept of each collection.
const MAX_SNAPSHOTS: usize = 64;

/// Revision of an empty store: the platform's counter starts above zero.
const FIRST_REVISION: u64 = 1;

/// Period over which writes are limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What the stand-in does wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// Every call is turned away as over the rate.
    pub throttled: bool,
    /// Writes taken in each second; more are turned away. Zero sets no limit.
    pub writes_per_second: u32,
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes that take effect and whose answer is lost.
    pub lose_answers: u32,
    /// Number of writes that have no effect and get no answer.
    pub lose_calls: u32,
    /// Age of what a list shows, in milliseconds.
    pub list_lag_ms: u64,
    /// Watches deliver nothing.
    pub mute_watches: bool,
    /// Number of changes that watches leave out.
    pub drop_events: u32,
}

/// Calls so far, by verb; a watch counts once when it begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of a collection.
    pub lists: u64,
    /// Watches begun.
    pub watches: u64,
    /// Creations, updates and deletions, also those refused.
    pub writes: u64,
}

/// Why a call is refused, as a status and a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// An object of the name exists.
    Exists,
    /// The version differs.
    Conflict,
    /// No object has the name.
    Missing,
}

/// A change with the revision that made it.
#[derive(Clone, Debug)]
pub struct Step {
    /// Revision of the whole store.
    pub revision: u64,
    /// Collection it happened in.
    pub collection: Collection,
    /// The change.
    pub change: Change,
}

/// A collection as it was from some instant on.
#[derive(Debug)]
struct Snapshot {
    since: Instant,
    revision: u64,
    objects: Vec<Arc<Object>>,
}

#[derive(Debug)]
struct Table {
    collection: Collection,
    objects: Vec<Arc<Object>>,
    history: VecDeque<Snapshot>,
}

/// Everything the stand-in holds.
#[derive(Debug)]
pub struct State {
    revision: u64,
    shelves: Vec<Table>,
    steps: VecDeque<Step>,
    sender: broadcast::Sender<Step>,
    second: (Instant, u32),
    /// What the stand-in does wrong.
    pub faults: Faults,
    /// Calls so far.
    pub counts: Counts,
}

impl State {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        let table = |collection| Table {
            collection,
            objects: Vec::new(),
            history: VecDeque::from([Snapshot {
                since: Instant::now(),
                revision: FIRST_REVISION,
                objects: Vec::new(),
            }]),
        };
        Self {
            revision: FIRST_REVISION,
            shelves: Collection::ALL.into_iter().map(table).collect(),
            steps: VecDeque::new(),
            sender: broadcast::Sender::new(WATCH_BUFFER),
            second: (Instant::now(), 0),
            faults: Faults::default(),
            counts: Counts::default(),
        }
    }

    /// Returns the revision of the whole store.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads one object.
    #[must_use]
    pub fn get(&self, collection: Collection, name: &str) -> Option<Object> {
        let table = self.table(collection);
        table
            .find(name)
            .ok()
            .map(|index| Object::clone(&table.objects[index]))
    }

    /// Lists a collection as it was some time ago.
    #[must_use]
    pub fn list(&self, collection: Collection) -> Listing {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let history = &self.table(collection).history;
        let now = Instant::now();
        let old = history
            .iter()
            .rev()
            .find(|snapshot| now.duration_since(snapshot.since) >= lag);
        let old = old.or_else(|| history.front());
        old.map_or_else(
            || listing(0, &[]),
            |snapshot| listing(snapshot.revision, &snapshot.objects),
        )
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Exists`] if the name is taken.
    pub fn create(
        &mut self,
        collection: Collection,
        name: &str,
        spec: Value,
    ) -> Result<Object, Rejection> {
        let Err(index) = self.table(collection).find(name) else {
            return Err(Rejection::Exists);
        };
        let object = self.new_object(name, spec);
        self.table_mut(collection)
            .objects
            .insert(index, Arc::new(object.clone()));
        self.record_change(collection, Change::Put(object.clone()));
        Ok(object)
    }

    /// Replaces an object of a known version.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] or [`Rejection::Conflict`].
    pub fn update(
        &mut self,
        collection: Collection,
        name: &str,
        version: &Version,
        spec: Value,
    ) -> Result<Object, Rejection> {
        let index = self
            .table(collection)
            .find(name)
            .map_err(|_| Rejection::Missing)?;
        if self.table(collection).objects[index].version != *version {
            return Err(Rejection::Conflict);
        }
        let object = self.new_object(name, spec);
        self.table_mut(collection).objects[index] = Arc::new(object.clone());
        self.record_change(collection, Change::Put(object.clone()));
        Ok(object)
    }

    /// Deletes an object of a known version.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] or [`Rejection::Conflict`].
    pub fn delete(
        &mut self,
        collection: Collection,
        name: &str,
        version: &Version,
    ) -> Result<(), Rejection> {
        let index = self
            .table(collection)
            .find(name)
            .map_err(|_| Rejection::Missing)?;
        if self.table(collection).objects[index].version != *version {
            return Err(Rejection::Conflict);
        }
        self.revision += 1;
        let object = self.table_mut(collection).objects.remove(index);
        self.record_change(collection, Change::Deleted(Object::clone(&object)));
        Ok(())
    }

    /// Creates or replaces an object whatever its version, as the platform
    /// itself does with its own lists.
    pub fn put(&mut self, collection: Collection, name: &str, spec: Value) {
        let known = self.get(collection, name);
        // Both calls name what is there, so neither can be refused.
        let _ = match known {
            Some(object) => self.update(collection, name, &object.version, spec),
            None => self.create(collection, name, spec),
        };
    }

    /// Deletes an object whatever its version.
    pub fn remove(&mut self, collection: Collection, name: &str) {
        if let Some(object) = self.get(collection, name) {
            // The version was read under the same lock.
            let _ = self.delete(collection, name, &object.version);
        }
    }

    /// Returns the changes after a revision and those to come.
    #[must_use]
    pub fn watch(
        &self,
        collection: Collection,
        revision: u64,
    ) -> (Vec<Step>, broadcast::Receiver<Step>) {
        let past = self.steps.iter();
        let past = past.filter(|step| step.collection == collection && step.revision > revision);
        (past.cloned().collect(), self.sender.subscribe())
    }

    /// Takes one lost answer from the budget; returns whether there was one.
    pub const fn lose_answer(&mut self) -> bool {
        take_one(&mut self.faults.lose_answers)
    }

    /// Counts a write; returns whether the rate bears it.
    pub fn count_write(&mut self) -> bool {
        self.counts.writes += 1;
        let (window_start, accepted) = &mut self.second;
        if window_start.elapsed() >= RATE_WINDOW {
            (*window_start, *accepted) = (Instant::now(), 0);
        }
        let limit = self.faults.writes_per_second;
        if limit > 0 && *accepted >= limit {
            return false;
        }
        *accepted += 1;
        true
    }

    /// Takes one lost call from the budget; returns whether there was one.
    pub const fn lose_call(&mut self) -> bool {
        take_one(&mut self.faults.lose_calls)
    }

    /// Returns whether a watch delivers the next change.
    pub const fn deliver_event(&mut self) -> bool {
        !self.faults.mute_watches && !take_one(&mut self.faults.drop_events)
    }

    fn new_object(&mut self, name: &str, spec: Value) -> Object {
        self.revision += 1;
        Object {
            name: name.to_owned(),
            version: Version(self.revision.to_string()),
            spec,
        }
    }

    fn record_change(&mut self, collection: Collection, change: Change) {
        let revision = self.revision;
        let table = self.table_mut(collection);
        let now = Instant::now();
        if table
            .history
            .back()
            .is_some_and(|snapshot| snapshot.since == now)
        {
            table.history.pop_back();
        }
        table.history.push_back(Snapshot {
            since: now,
            revision,
            objects: table.objects.clone(),
        });
        if table.history.len() > MAX_SNAPSHOTS {
            table.history.pop_front();
        }
        let step = Step {
            revision,
            collection,
            change,
        };
        if self.steps.len() == MAX_CHANGES {
            self.steps.pop_front();
        }
        self.steps.push_back(step.clone());
        // Nobody may be watching.
        let _ = self.sender.send(step);
    }

    fn table(&self, collection: Collection) -> &Table {
        &self.shelves[collection as usize]
    }

    fn table_mut(&mut self, collection: Collection) -> &mut Table {
        &mut self.shelves[collection as usize]
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

fn listing(revision: u64, objects: &[Arc<Object>]) -> Listing {
    Listing {
        objects: objects.iter().map(|one| Object::clone(one)).collect(),
        version: Version(revision.to_string()),
    }
}

/// Takes one from a budget; returns whether there was one.
const fn take_one(budget: &mut u32) -> bool {
    let taken = *budget > 0;
    *budget = budget.saturating_sub(1);
    taken
}

impl Table {
    fn find(&self, name: &str) -> Result<usize, usize> {
        debug_assert!(Collection::ALL.contains(&self.collection));
        self.objects
            .binary_search_by(|object| object.name.as_str().cmp(name))
    }
}
