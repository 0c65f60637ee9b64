//! The entry's state.

use super::execution;
use crate::{
    clock::Clock, configuration::Holder, link, metrics::Metrics, quarantine::Suspects,
    settings::Settings,
};
use bytes::Bytes;
use cicadacrank_core::{admission::NameHash, error::Failure, id, retry::Budgets, routing::Table};
use serde_json::Value;
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

/// Replies that may wait for a slow caller.
const REPLY_BUFFER: usize = 64;

/// What an entry is made of.
pub struct Parts {
    /// Settings of the process.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// The configuration in force.
    pub holder: Arc<Holder>,
    /// The way to sidecars.
    pub link: Arc<dyn link::Link>,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request over all its attempts.
    pub id: id::Request,
    /// Team that asks.
    pub team: String,
    /// Pipeline to walk.
    pub pipeline: String,
    /// Idempotency key; empty when there is none.
    pub key: String,
    /// Deadline, when the caller states one.
    pub deadline: Option<Duration>,
    /// Body, as JSON.
    pub body: Bytes,
}

/// One part of the answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Text of the last stage, if that stage generates.
    Chunk(Bytes),
    /// The answer is whole.
    End {
        /// The whole answer.
        answer: Value,
        /// Number of chunks before it.
        chunks: u64,
    },
    /// The request failed.
    Failure(Failure),
}

/// Takes requests from callers.
pub struct Service {
    pub(super) parts: Parts,
    table: Mutex<Table>,
    data_centre: NameHash,
    budgets: Mutex<Budgets>,
    suspects: Arc<Suspects>,
    draining: AtomicBool,
    endpoints_loaded: AtomicBool,
    tracker: TaskTracker,
}

impl Service {
    /// Creates the service without endpoints.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        Self {
            data_centre: NameHash::new(&parts.settings.data_centre),
            budgets: Mutex::default(),
            suspects: Arc::new(Suspects::new(parts.clock)),
            parts,
            table: Mutex::new(Table::default()),
            draining: AtomicBool::new(false),
            endpoints_loaded: AtomicBool::new(false),
            tracker: TaskTracker::new(),
        }
    }

    /// Starts a request and returns the parts of its answer.
    pub fn run(self: &Arc<Self>, request: Request) -> mpsc::Receiver<Reply> {
        let (sender, receiver) = mpsc::channel(REPLY_BUFFER);
        self.tracker
            .spawn(execution::run(Arc::clone(self), request, sender));
        receiver
    }

    /// Returns what the service is made of.
    #[must_use]
    pub const fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Returns the table of endpoints.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that are suspected of crashing endpoints.
    #[must_use]
    pub const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Returns the budgets of retries.
    pub(super) fn budgets(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the data centre the entry stands in.
    pub(super) const fn data_centre(&self) -> NameHash {
        self.data_centre
    }

    /// Withdraws readiness; requests are still taken.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Notes that the table holds what the rules and the instance list say.
    pub fn mark_endpoints_loaded(&self) {
        self.endpoints_loaded.store(true, Ordering::SeqCst);
    }

    /// Returns whether the balancer should send requests: rules are in force,
    /// endpoints are known and no shutdown has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::SeqCst)
            && self.endpoints_loaded.load(Ordering::SeqCst)
            && self.parts.holder.current().is_some()
    }

    /// Waits until no request is left.
    pub async fn finish(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
