//! The configuration in force in this process.
//!
//! A [`Holder`] keeps the newest ruleset seen and never goes back: what is
//! offered with an older or equal generation is ignored.

use cicadacrank_core::{
    event::Event,
    generation::{self, CodecError, Generation},
    gossip::Document,
    rules::{self, Definitions},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, time};

/// Name of the object that holds the rules.
pub const RULESET_NAME: &str = "current";

/// The content of the ruleset object that serving needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ruleset {
    /// Rises by one with each accepted change.
    pub generation: u64,
    /// Text of the rule file.
    pub rules: String,
}

/// Reads what serving needs from the platform's ruleset object.
///
/// # Errors
///
/// Returns [`CodecError::Damaged`] if the value is no ruleset object, or one of
/// a later layout.
pub fn document(spec: Value) -> Result<Document, CodecError> {
    let object = generation::Object::decode(spec)?;
    Ok(Document {
        generation: object.generation.0,
        text: object.rules.into(),
    })
}

/// Rules in force.
#[derive(Debug)]
pub struct Configuration {
    /// Generation of the rules.
    pub generation: u64,
    /// The rules, resolved.
    pub definitions: Definitions,
    /// The object the rules came from, for peers that lack it.
    pub ruleset: Ruleset,
}

/// The newest configuration that the process has seen.
pub type Newest = generation::Latest<Arc<Configuration>>;

/// Holds the newest configuration and tells others of it.
#[derive(Debug)]
pub struct Holder {
    sender: watch::Sender<Newest>,
    hint: watch::Sender<u64>,
    suspended: AtomicBool,
}

impl Holder {
    /// Creates a holder without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(Newest::new()),
            hint: watch::Sender::new(0),
            suspended: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force, if there is one.
    ///
    /// There is none while the process is [suspended](Self::set_suspended), so that
    /// whoever takes new work refuses it without a check of its own.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Configuration>> {
        if self.suspended.load(Ordering::SeqCst) {
            return None;
        }
        self.newest()
    }

    /// Returns the newest ruleset, also while suspended.
    #[must_use]
    pub fn newest(&self) -> Option<Arc<Configuration>> {
        self.sender.borrow().get().cloned()
    }

    /// Says whether the process was cut off for so long that its configuration
    /// may no longer be used for new work.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::SeqCst);
    }

    /// Notes that another process has this generation in force, so that it is
    /// fetched now if it is newer than the one here.
    pub fn hint(&self, generation: u64) {
        if generation <= self.generation() {
            return;
        }
        self.hint.send_if_modified(|hint| {
            let higher = generation > *hint;
            *hint = (*hint).max(generation);
            higher
        });
    }

    /// Returns a view that wakes with each hint at a newer generation.
    #[must_use]
    pub fn hints(&self) -> watch::Receiver<u64> {
        self.hint.subscribe()
    }

    /// Returns the generation in force; zero when there is none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.sender.borrow().generation().unwrap_or_default().0
    }

    /// Returns a view that wakes with each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Newest> {
        self.sender.subscribe()
    }

    /// Takes up a ruleset if it is newer than what is in force.
    ///
    /// Returns whether it was taken up. Rules that cannot be read are logged
    /// and leave the older in force.
    pub fn offer(&self, ruleset: Ruleset) -> bool {
        let generation = Generation(ruleset.generation);
        if !self.sender.borrow().is_newer(generation) {
            return false;
        }
        let definitions = match rules::parse(&ruleset.rules) {
            Ok(definitions) => definitions,
            Err(faults) => {
                Event::GenerationRejected.log(format_args!("generation {generation}: {faults}"));
                return false;
            }
        };
        let next = Arc::new(Configuration {
            generation: generation.0,
            definitions,
            ruleset,
        });
        let adopt = |newest: &mut Newest| newest.adopt(generation, next);
        let adopted = self.sender.send_if_modified(adopt);
        if adopted {
            Event::GenerationAdopted.log(format_args!("generation {generation}"));
        }
        adopted
    }

    /// Waits for a generation of at least `generation`, no longer than `bound`.
    ///
    /// Returns whether it is in force.
    pub async fn wait(&self, generation: u64, bound: Duration) -> bool {
        let mut view = self.sender.subscribe();
        let reached = view.wait_for(|newest| {
            let current = newest.generation();
            current.is_some_and(|current| current.0 >= generation)
        });
        matches!(time::timeout(bound, reached).await, Ok(Ok(_)))
    }
}

impl Default for Holder {
    fn default() -> Self {
        Self::new()
    }
}
