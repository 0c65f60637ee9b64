//! Objects, versions and injected faults of the mock platform.

use cicadacrank_node::platform::{Change, Collection, Listing, Object, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::{sync::broadcast, time::Instant};

/// Number of changes by which a slow watch may lag before it ends.
const WATCH_BUFFER: usize = 4096;

/// Number of past changes kept for watches that start at an older version.
const MAX_CHANGES: usize = 4096;

/// Number of snapshots kept for each collection.
const MAX_SNAPSHOTS: usize = 64;

/// Revision of an empty store. The revisions of the real platform also start
/// above zero.
const FIRST_REVISION: u64 = 1;

/// Period over which writes are limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// Every call is rejected as exceeding the rate limit.
    pub throttled: bool,
    /// Number of writes accepted per second; further writes are rejected. Zero
    /// means no limit.
    pub writes_per_second: u32,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Number of next writes that are lost: they have no effect and get no
    /// answer.
    pub lose_calls: u32,
    /// Age of the state that lists return, in milliseconds.
    pub list_lag_ms: u64,
    /// Maximum number of objects on a page of a list. Zero means no limit.
    pub page_items: usize,
    /// Watches deliver no changes.
    pub mute_watches: bool,
    /// Number of next changes that watches drop.
    pub drop_events: u32,
}

/// Numbers of calls by verb; a watch counts once, when it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of single objects.
    pub gets: u64,
    /// Lists of collections.
    pub lists: u64,
    /// Watches started.
    pub watches: u64,
    /// Creations, updates and deletions, including rejected ones.
    pub writes: u64,
}

/// Reason for which the store rejects a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// An object with the name already exists.
    Exists,
    /// The object has a different version.
    Conflict,
    /// No object has the name.
    Missing,
}

/// A change of an object, with its revision.
#[derive(Clone, Debug)]
pub struct Step {
    /// Revision of the store after the change.
    pub revision: u64,
    /// Collection of the object.
    pub collection: Collection,
    /// Change of the object.
    pub change: Change,
}

impl Step {
    /// Returns the change as a later era of the store shows it.
    fn in_era(&self, era: u64) -> Self {
        Self {
            change: match &self.change {
                Change::Put(object) => Change::Put(in_era(object, era)),
                Change::Deleted(object) => Change::Deleted(in_era(object, era)),
            },
            ..self.clone()
        }
    }
}

/// Contents of a collection from an instant until the next snapshot.
#[derive(Debug)]
struct Snapshot {
    since: Instant,
    revision: u64,
    objects: Vec<Arc<Object>>,
}

/// Objects of one collection, sorted by name, with past snapshots.
#[derive(Debug)]
struct Table {
    collection: Collection,
    objects: Vec<Arc<Object>>,
    history: VecDeque<Snapshot>,
}

/// Copy of what the store holds, from which it can come back.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    shelves: Vec<Vec<Arc<Object>>>,
    steps: VecDeque<Step>,
}

/// State of the mock platform.
#[derive(Debug)]
pub struct State {
    era: u64,
    revision: u64,
    /// One table for each collection, in the order of [`Collection::ALL`].
    shelves: Vec<Table>,
    steps: VecDeque<Step>,
    sender: broadcast::Sender<Step>,
    /// Start of the current rate window, and writes accepted in it.
    second: (Instant, u32),
    /// Faults to inject.
    pub faults: Faults,
    /// Numbers of calls so far.
    pub counts: Counts,
    /// Contents that are sent as bytes, each with the text that stands for it.
    raw: Vec<(String, Vec<u8>)>,
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
            era: 0,
            revision: FIRST_REVISION,
            shelves: Collection::ALL.into_iter().map(table).collect(),
            steps: VecDeque::new(),
            sender: broadcast::Sender::new(WATCH_BUFFER),
            second: (Instant::now(), 0),
            faults: Faults::default(),
            counts: Counts::default(),
            raw: Vec::new(),
        }
    }

    /// Returns the current revision of the store.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of times that the store has come back from a copy.
    #[must_use]
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Returns the current version of the store.
    #[must_use]
    pub const fn version(&self) -> Version {
        Version::new(self.era, self.revision)
    }

    /// Returns whether the store has reached a version. It has not, after coming back
    /// from a copy, until it has given out the revision again.
    #[must_use]
    pub const fn has(&self, version: Version) -> bool {
        version.era <= self.era && version.revision <= self.revision
    }

    /// Returns a copy of the objects, the revision and the past changes.
    #[must_use]
    pub fn save(&self) -> Copy {
        Copy {
            revision: self.revision,
            shelves: self
                .shelves
                .iter()
                .map(|table| table.objects.clone())
                .collect(),
            steps: self.steps.clone(),
        }
    }

    /// Comes back from a copy. The objects, the revision and the past changes are
    /// those of the copy, the era rises, and the running watches end.
    pub fn restore(&mut self, copy: &Copy) {
        self.era += 1;
        let era = self.era;
        self.revision = copy.revision;
        self.steps = copy.steps.iter().map(|step| step.in_era(era)).collect();
        let now = Instant::now();
        for (table, objects) in self.shelves.iter_mut().zip(&copy.shelves) {
            let objects = objects.iter().map(|object| Arc::new(in_era(object, era)));
            table.objects = objects.collect();
            table.history = VecDeque::from([Snapshot {
                since: now,
                revision: copy.revision,
                objects: table.objects.clone(),
            }]);
        }
        self.sender = broadcast::Sender::new(WATCH_BUFFER);
    }

    /// Returns an object, or `None` if no object has the name.
    #[must_use]
    pub fn get(&self, collection: Collection, name: &str) -> Option<Object> {
        let table = self.table(collection);
        table
            .find(name)
            .ok()
            .map(|index| Object::clone(&table.objects[index]))
    }

    /// Lists a collection as it was [`Faults::list_lag_ms`] ago, or as in the
    /// oldest snapshot if none is that old.
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
            || listing(Version::new(self.era, 0), &[]),
            |snapshot| listing(Version::new(self.era, snapshot.revision), &snapshot.objects),
        )
    }

    /// Creates and returns an object.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Exists`] if an object has the name.
    pub fn create(
        &mut self,
        collection: Collection,
        name: &str,
        spec: Value,
    ) -> Result<Object, Rejection> {
        let Err(index) = self.table(collection).find(name) else {
            return Err(Rejection::Exists);
        };
        let revision = self.revision + 1;
        let object = self.next_object(Object {
            name: name.to_owned(),
            created: revision,
            spec,
            ..Object::default()
        });
        self.table_mut(collection)
            .objects
            .insert(index, Arc::new(object.clone()));
        self.record_change(collection, Change::Put(object.clone()));
        Ok(object)
    }

    /// Replaces an object that has this version, and returns the new object.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] if no object has the name, and
    /// [`Rejection::Conflict`] if its version differs.
    pub fn update(
        &mut self,
        collection: Collection,
        name: &str,
        version: &Version,
        spec: Value,
    ) -> Result<Object, Rejection> {
        self.replace(collection, name, version, |object| object.spec = spec)
    }

    /// Replaces the status of an object that has this version, and returns the new object.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] if no object has the name, and
    /// [`Rejection::Conflict`] if its version differs.
    pub fn update_status(
        &mut self,
        collection: Collection,
        name: &str,
        version: &Version,
        status: Value,
    ) -> Result<Object, Rejection> {
        self.replace(collection, name, version, |object| object.status = status)
    }

    fn replace(
        &mut self,
        collection: Collection,
        name: &str,
        version: &Version,
        change: impl FnOnce(&mut Object),
    ) -> Result<Object, Rejection> {
        let index = self
            .table(collection)
            .find(name)
            .map_err(|_| Rejection::Missing)?;
        let current = &self.table(collection).objects[index];
        if current.version != *version {
            return Err(Rejection::Conflict);
        }
        let mut object = Object::clone(current);
        change(&mut object);
        let object = self.next_object(object);
        self.table_mut(collection).objects[index] = Arc::new(object.clone());
        self.record_change(collection, Change::Put(object.clone()));
        Ok(object)
    }

    /// Deletes an object that has this version.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] if no object has the name, and
    /// [`Rejection::Conflict`] if its version differs.
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

    /// Creates or replaces an object regardless of its version, as the platform
    /// does with the lists that it maintains itself.
    pub fn put(&mut self, collection: Collection, name: &str, spec: Value) {
        let known = self.get(collection, name);
        // Neither call can be rejected: the version was just read.
        let _ = match known {
            Some(object) => self.update(collection, name, &object.version, spec),
            None => self.create(collection, name, spec),
        };
    }

    /// Creates or replaces an object whose content is sent as these bytes, which need
    /// not be JSON that a parser accepts.
    pub fn put_raw(&mut self, collection: Collection, name: &str, content: Vec<u8>) {
        let text = format!("raw content {}", self.raw.len());
        self.raw.push((text.clone(), content));
        self.put(collection, name, Value::String(text));
    }

    /// Returns an answer as it is sent, with the raw contents in place.
    pub(super) fn encode(&self, answer: &Value) -> Vec<u8> {
        let text = answer.to_string();
        let mut bytes = Vec::new();
        let mut rest = text.as_str();
        // No other object contains these texts.
        while let Some((raw, start, length)) = self.next_raw(rest) {
            bytes.extend_from_slice(&rest.as_bytes()[..start]);
            bytes.extend_from_slice(raw);
            rest = &rest[start + length..];
        }
        bytes.extend_from_slice(rest.as_bytes());
        bytes
    }

    /// Returns the first raw content in `text`, with the start and the length of the
    /// quoted text that stands for it.
    fn next_raw(&self, text: &str) -> Option<(&[u8], usize, usize)> {
        let found = self.raw.iter().filter_map(|(name, content)| {
            let quoted = format!("\"{name}\"");
            let start = text.find(&quoted)?;
            Some((content.as_slice(), start, quoted.len()))
        });
        found.min_by_key(|(_, start, _)| *start)
    }

    /// Deletes an object, if it exists, regardless of its version.
    pub fn remove(&mut self, collection: Collection, name: &str) {
        if let Some(object) = self.get(collection, name) {
            // The call cannot be rejected: the version was just read.
            let _ = self.delete(collection, name, &object.version);
        }
    }

    /// Returns the past changes of a collection after a revision, and a
    /// receiver of the future changes of all collections.
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

    /// Returns whether the answer to this write is lost, and counts it against
    /// [`Faults::lose_answers`].
    pub const fn lose_answer(&mut self) -> bool {
        take_one(&mut self.faults.lose_answers)
    }

    /// Counts a write and returns whether it is within the rate limit.
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

    /// Returns whether this write is lost, and counts it against
    /// [`Faults::lose_calls`].
    pub const fn lose_call(&mut self) -> bool {
        take_one(&mut self.faults.lose_calls)
    }

    /// Returns whether a watch delivers the next change, and counts a dropped
    /// change against [`Faults::drop_events`].
    pub const fn deliver_event(&mut self) -> bool {
        !self.faults.mute_watches && !take_one(&mut self.faults.drop_events)
    }

    /// Returns an object with the next revision.
    fn next_object(&mut self, object: Object) -> Object {
        self.revision += 1;
        Object {
            version: self.version(),
            ..object
        }
    }

    /// Records a change at the current revision and sends it to the watches.
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
        // Sending fails only if there is no watch.
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

/// Returns an object as a later era of the store shows it.
fn in_era(object: &Object, era: u64) -> Object {
    Object {
        version: Version::new(era, object.version.revision),
        ..object.clone()
    }
}

fn listing(version: Version, objects: &[Arc<Object>]) -> Listing {
    Listing {
        objects: objects.iter().map(|one| Object::clone(one)).collect(),
        version,
    }
}

/// Decrements a counter and returns whether it was above zero.
const fn take_one(budget: &mut u32) -> bool {
    let taken = *budget > 0;
    *budget = budget.saturating_sub(1);
    taken
}

impl Table {
    /// Returns the index of an object, or else the index at which to insert it.
    fn find(&self, name: &str) -> Result<usize, usize> {
        debug_assert!(Collection::ALL.contains(&self.collection));
        self.objects
            .binary_search_by(|object| object.name.as_str().cmp(name))
    }
}
