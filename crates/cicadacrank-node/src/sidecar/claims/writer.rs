//! Batches changes to the claims of one shard into conditional updates.

use super::pages::Pages;
use crate::{
    clock::Clock,
    platform::{Collection, Fault, Store, Version},
};
use cicadacrank_core::{
    event::Event,
    id,
    once::{Claim, Entry, Name, Outcome, Page, Shard, State, Verdict},
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// Minimum pause between two commits of a shard.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum pause between two commits while the platform throttles them.
const MAX_COMMIT_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum number of requests in one commit.
const MAX_BATCH_REQUESTS: usize = 512;

/// Size of the outcomes in a commit from which on no more requests are added,
/// in bytes.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Maximum number of tries of a commit that conflicts with other writers.
const MAX_COMMIT_TRIES: u64 = 8;

/// Maximum random backoff after the first conflict, in milliseconds; each
/// further conflict adds as much.
const CONFLICT_BACKOFF_MS: u64 = 10;

/// Change to one claim.
#[derive(Clone, Debug)]
pub(super) enum Operation {
    /// Create the claim.
    Claim(Claim),
    /// Set the state and expiry time of the claim, if `holder` has it.
    Settle {
        holder: id::Holder,
        state: State,
        ends_unix_ms: u64,
    },
}

/// Result of an operation.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// What the prospective holder must do.
    Verdict(Verdict),
    /// Whether the holder has the claim.
    Settled(bool),
    /// The shard has no room for another claim.
    Full,
}

/// Operation on a claim, with the channel for its reply.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) name: Name,
    pub(super) operation: Operation,
    /// Whether to read the shard from the platform instead of the cache.
    pub(super) reload: bool,
    pub(super) reply: oneshot::Sender<Result<Reply, Fault>>,
}

impl Request {
    fn bytes(&self) -> usize {
        match &self.operation {
            Operation::Settle {
                state:
                    State::Done {
                        outcome:
                            Outcome::Answer { output: text } | Outcome::Refused { context: text },
                    },
                ..
            } => text.len(),
            _ => 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Snapshot {
    /// Version of the object; `None` if it does not exist.
    version: Option<Version>,
    shard: Shard,
}

/// Task that writes one shard; each process has at most one for a shard.
pub(super) struct Writer {
    store: Arc<dyn Store>,
    clock: Clock,
    object: String,
    snapshot: Option<Snapshot>,
    pages: Pages,
    interval: Duration,
}

/// Prepared commit that is not written yet.
struct Draft {
    shard: Shard,
    replies: Vec<Reply>,
    changed: bool,
    expired_pages: Vec<Page>,
    new_page: Option<Page>,
}

impl Writer {
    /// Creates the writer of the shard stored in `object`.
    pub(super) fn new(store: Arc<dyn Store>, clock: Clock, object: String) -> Self {
        Self {
            pages: Pages::new(Arc::clone(&store)),
            store,
            clock,
            object,
            snapshot: None,
            interval: MIN_COMMIT_INTERVAL,
        }
    }

    /// Commits requests in batches until all senders are dropped.
    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Request>) {
        while let Some(first) = receiver.recv().await {
            let mut bytes = first.bytes();
            let mut requests = vec![first];
            while requests.len() < MAX_BATCH_REQUESTS
                && bytes < MAX_BATCH_BYTES
                && let Ok(request) = receiver.try_recv()
            {
                bytes += request.bytes();
                requests.push(request);
            }
            self.commit(requests).await;
            time::sleep(self.interval).await;
        }
    }

    async fn commit(&mut self, requests: Vec<Request>) {
        if requests.iter().any(|request| request.reload) {
            self.snapshot = None;
        }
        for attempt in 1..=MAX_COMMIT_TRIES {
            match self.try_commit(&requests).await {
                Ok(replies) => {
                    self.interval = (self.interval / 2).max(MIN_COMMIT_INTERVAL);
                    for (request, reply) in requests.into_iter().zip(replies) {
                        // The send fails if the requester has stopped waiting.
                        drop(request.reply.send(Ok(reply)));
                    }
                    return;
                }
                Err(Fault::Conflict | Fault::Exists | Fault::Missing)
                    if attempt < MAX_COMMIT_TRIES =>
                {
                    self.snapshot = None;
                    let backoff_ms = rand::random_range(0..=CONFLICT_BACKOFF_MS * attempt);
                    time::sleep(Duration::from_millis(backoff_ms)).await;
                }
                Err(fault) => return self.fail(requests, &fault),
            }
        }
    }

    fn fail(&mut self, requests: Vec<Request>, fault: &Fault) {
        Event::PlatformFailed.log(format_args!("claims {}: {fault}", self.object));
        self.snapshot = None;
        if *fault == Fault::Throttled {
            self.interval = (self.interval * 2).min(MAX_COMMIT_INTERVAL);
        }
        for request in requests {
            drop(request.reply.send(Err(fault.clone())));
        }
    }

    /// Tries a commit once; a conflict means that the cached shard is out of
    /// date.
    async fn try_commit(&mut self, requests: &[Request]) -> Result<Vec<Reply>, Fault> {
        let snapshot = self.load().await?;
        let mut draft = self.draft(&snapshot.shard, requests).await?;
        if !draft.changed {
            self.snapshot = Some(snapshot);
            return Ok(draft.replies);
        }
        self.spill(&mut draft).await;
        let spec = serde_json::to_value(&draft.shard)
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        let written = match &snapshot.version {
            None => {
                let create = self.store.create(Collection::Claims, &self.object, spec);
                create.await
            }
            Some(version) => {
                let update = self
                    .store
                    .update(Collection::Claims, &self.object, version, spec);
                update.await
            }
        };
        match written {
            Ok(version) => {
                self.snapshot = Some(Snapshot {
                    version: Some(version),
                    shard: draft.shard,
                });
                self.pages.delete(draft.expired_pages);
                Ok(draft.replies)
            }
            Err(fault) => {
                // If only the answer was lost, the shard may refer to the page.
                if !fault.may_have_effect() {
                    self.pages.delete(draft.new_page.into_iter().collect());
                }
                Err(fault)
            }
        }
    }

    async fn load(&mut self) -> Result<Snapshot, Fault> {
        if let Some(snapshot) = self.snapshot.take() {
            return Ok(snapshot);
        }
        match self.store.get(Collection::Claims, &self.object).await {
            Ok(object) => {
                let shard: Shard = serde_json::from_value(object.spec)
                    .map_err(|error| Fault::Invalid(error.to_string()))?;
                Ok(Snapshot {
                    version: Some(object.version),
                    shard: shard.with_size(),
                })
            }
            Err(Fault::Missing) => Ok(Snapshot {
                version: None,
                shard: Shard::new(),
            }),
            Err(fault) => Err(fault),
        }
    }

    async fn draft(&mut self, current: &Shard, requests: &[Request]) -> Result<Draft, Fault> {
        let now = self.clock.unix_ms();
        let mut base = current.clone();
        let expired_pages = base.sweep(now);
        let mut shard = base.clone();
        let mut replies = Vec::with_capacity(requests.len());
        for request in requests {
            let reply = match &request.operation {
                Operation::Claim(wanted) => {
                    self.claim(&mut shard, request.name, wanted, now).await?
                }
                Operation::Settle {
                    holder,
                    state,
                    ends_unix_ms,
                } => Reply::Settled(shard.settle(request.name, *holder, state, *ends_unix_ms)),
            };
            replies.push(reply);
        }
        let changed = shard != base;
        Ok(Draft {
            shard,
            replies,
            changed,
            expired_pages,
            new_page: None,
        })
    }

    async fn claim(
        &mut self,
        shard: &mut Shard,
        name: Name,
        wanted: &Claim,
        now_unix_ms: u64,
    ) -> Result<Reply, Fault> {
        if shard.get(name).is_none() {
            for page in shard.pages_for(name) {
                let found = self.pages.find(page, name).await?;
                if let Some(claim) = found.filter(|claim| !claim.is_ended(now_unix_ms)) {
                    return Ok(Reply::Verdict(claim.verdict(wanted)));
                }
            }
        }
        Ok(shard
            .claim(name, wanted)
            .map_or(Reply::Full, Reply::Verdict))
    }

    /// Moves completed claims to a new page if the shard is large. If the page
    /// cannot be created, they stay in the shard.
    async fn spill(&self, draft: &mut Draft) {
        let settled: Vec<Entry> = draft.shard.spill();
        if settled.is_empty() {
            return;
        }
        if let Ok(page) = self.pages.create(&self.object, &settled).await {
            draft.shard.replace_with_page(page.clone());
            draft.new_page = Some(page);
        }
    }
}
