//! The configuration in force in this process.
//!
//! A [`Holder`] keeps the newest ruleset seen. A ruleset with an older or equal
//! generation is ignored.

use cicadacrank_core::{
    event::Event,
    generation::{self, Generation},
    rules::{self, Definitions},
};
use serde::{Deserialize, Serialize};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, time};

/// Name of the platform object that holds the rules.
pub const RULESET_NAME: &str = "current";

/// The part of the ruleset object that serving needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ruleset {
    /// Generation of the rules, which increases by one with each accepted change.
    pub generation: u64,
    /// Text of the rule file.
    pub rules: String,
}

/// A configuration that can be put in force.
#[derive(Debug)]
pub struct Configuration {
    /// Generation of the rules.
    pub generation: u64,
    /// Definitions parsed from the rules.
    pub definitions: Definitions,
    /// Ruleset that the definitions were parsed from.
    pub ruleset: Ruleset,
}

/// The newest configuration that the process has seen.
pub type Newest = generation::Latest<Arc<Configuration>>;

/// Holds the newest configuration and notifies subscribers of changes.
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

    /// Returns the configuration for new work, if there is one.
    ///
    /// There is none while the process is [suspended](Self::set_suspended), so that
    /// code that accepts new work needs no check of its own.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Configuration>> {
        if self.suspended.load(Ordering::SeqCst) {
            return None;
        }
        self.newest()
    }

    /// Returns the newest configuration, even while suspended.
    #[must_use]
    pub fn newest(&self) -> Option<Arc<Configuration>> {
        self.sender.borrow().get().cloned()
    }

    /// Sets whether the configuration may not be used for new work, because the
    /// process is not ready or has been isolated for too long.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::SeqCst);
    }

    /// Records that another process has this generation in force. Subscribers of
    /// [`hints`](Self::hints) are notified if it is newer than any known so far,
    /// so that it is fetched at once.
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

    /// Returns a receiver that is notified of each hint at a newer generation.
    #[must_use]
    pub fn hints(&self) -> watch::Receiver<u64> {
        self.hint.subscribe()
    }

    /// Returns the newest generation, or zero if there is none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.sender.borrow().generation().unwrap_or_default().0
    }

    /// Returns a receiver that is notified of each new configuration.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Newest> {
        self.sender.subscribe()
    }

    /// Applies a ruleset if it is newer than the current one and returns whether
    /// it was applied.
    ///
    /// Rules that cannot be parsed are logged, and the current ones stay in force.
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

    /// Waits up to `timeout` for a generation of at least `generation` and returns
    /// whether it was reached.
    pub async fn wait(&self, generation: u64, timeout: Duration) -> bool {
        let mut view = self.sender.subscribe();
        let reached = view.wait_for(|newest| {
            let current = newest.generation();
            current.is_some_and(|current| current.0 >= generation)
        });
        matches!(time::timeout(timeout, reached).await, Ok(Ok(_)))
    }
}

impl Default for Holder {
    fn default() -> Self {
        Self::new()
    }
}
