//! Batches changes to the claims of one shard into conditional updates.

use super::{observe_era, pages::Pages};
use crate::{
    clock::Clock,
    platform::{Collection, Fault, Store, Version},
};
use cicadacrank_core::{
    event::Event,
    id,
    once::{Claim, Entry, Name, Outcome, Page, Recent, Recovery, Shard, State, Verdict},
};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
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

/// Upper bound of the random delay before lost claims are written again, in
/// milliseconds.
const MAX_RESTORE_JITTER_MS: u64 = 500;

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
    /// The platform has come back from a copy, and other holders may still write lost
    /// claims again.
    Recovering,
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

/// A shard with the claims that the store has lost.
struct Restored {
    shard: Shard,
    /// Number of claims that were added or changed.
    count: usize,
    /// Era of the store in which the shard was read.
    era: u64,
}

/// Task that writes one shard; each process has at most one for a shard.
pub(super) struct Writer {
    store: Arc<dyn Store>,
    clock: Clock,
    object: String,
    snapshot: Option<Snapshot>,
    pages: Pages,
    interval: Duration,
    recovery: Arc<Mutex<Recovery>>,
    recent: Recent,
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
    pub(super) fn new(
        store: Arc<dyn Store>,
        clock: Clock,
        recovery: Arc<Mutex<Recovery>>,
        object: String,
    ) -> Self {
        Self {
            pages: Pages::new(Arc::clone(&store)),
            store,
            clock,
            object,
            snapshot: None,
            interval: MIN_COMMIT_INTERVAL,
            recovery,
            recent: Recent::new(),
        }
    }

    /// Commits requests in batches until all senders are dropped.
    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Request>) {
        let mut eras = self.store.eras();
        loop {
            let era = *eras.borrow_and_update();
            let has_lost = self.recent.lost(era).next().is_some();
            let jitter_ms = rand::random_range(0..MAX_RESTORE_JITTER_MS);
            let mut requests = Vec::new();
            tokio::select! {
                first = receiver.recv() => match first {
                    Some(first) => requests.push(first),
                    None => return,
                },
                () = time::sleep(Duration::from_millis(jitter_ms)), if has_lost => {
                    self.snapshot = None;
                }
                Ok(()) = eras.changed() => continue,
            }
            let mut bytes = requests.iter().map(Request::bytes).sum::<usize>();
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
        let restored = self.restore(&snapshot).await?;
        let mut draft = self.draft(&snapshot, &restored, requests).await?;
        let written = own_claims(&draft.shard, requests);
        if !draft.changed {
            self.remember(written, restored.era);
            self.snapshot = Some(snapshot);
            return Ok(draft.replies);
        }
        self.spill(&mut draft).await;
        let spec = serde_json::to_value(&draft.shard)
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        let committed = match &snapshot.version {
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
        match committed {
            // A creation is not conditional on a version. The store may have come back
            // from a copy since the shard was read.
            Ok(version) if version.era != restored.era => Err(Fault::Lost(format!(
                "the shard was created in era {} instead of {}",
                version.era, restored.era
            ))),
            Ok(version) => {
                self.remember(written, version.era);
                if restored.count > 0 {
                    let (object, count) = (&self.object, restored.count);
                    Event::ClaimsRestored.log(format_args!("{object}: {count} claims"));
                }
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

    /// Returns the shard with the recent claims that the store has lost.
    async fn restore(&mut self, snapshot: &Snapshot) -> Result<Restored, Fault> {
        let era = match &snapshot.version {
            Some(version) => version.era,
            None => *self.store.eras().borrow(),
        };
        let mut shard = snapshot.shard.clone();
        let mut count = 0;
        let now = self.clock.unix_ms();
        for entry in self.recent.lost(era) {
            if entry.claim.is_ended(now) {
                continue;
            }
            let is_paged = shard.get(entry.name).is_none()
                && self.pages.find_in(&shard, entry.name, now).await?.is_some();
            if !is_paged && shard.restore(entry) {
                count += 1;
            }
        }
        Ok(Restored { shard, count, era })
    }

    /// Remembers claims that are in the store in this era, beside all earlier ones.
    fn remember(&mut self, written: Vec<Entry>, era: u64) {
        let now = self.clock.now();
        self.recent.forget_old(now);
        for entry in written {
            self.recent.record(entry, now);
        }
        self.recent.confirm(era);
    }

    async fn draft(
        &mut self,
        current: &Snapshot,
        restored: &Restored,
        requests: &[Request],
    ) -> Result<Draft, Fault> {
        let now = self.clock.unix_ms();
        let era = *self.store.eras().borrow();
        let is_recovering = observe_era(&self.recovery, era, self.clock);
        let mut base = current.shard.clone();
        base.sweep(now);
        let mut shard = restored.shard.clone();
        let expired_pages = shard.sweep(now);
        let mut replies = Vec::with_capacity(requests.len());
        for request in requests {
            let reply = match &request.operation {
                Operation::Claim(wanted) => {
                    let name = request.name;
                    match self.find_in_pages(&shard, name, now).await? {
                        Some(claim) => Reply::Verdict(claim.verdict(wanted)),
                        None if is_recovering && may_run(&shard, name, wanted) => Reply::Recovering,
                        None => shard
                            .claim(name, wanted)
                            .map_or(Reply::Full, Reply::Verdict),
                    }
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

    /// Returns the claim with this name if a page holds it.
    async fn find_in_pages(
        &mut self,
        shard: &Shard,
        name: Name,
        now_unix_ms: u64,
    ) -> Result<Option<Claim>, Fault> {
        if shard.get(name).is_some() {
            return Ok(None);
        }
        self.pages.find_in(shard, name, now_unix_ms).await
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

/// Returns the claims in the shard that the holders of the requests have.
fn own_claims(shard: &Shard, requests: &[Request]) -> Vec<Entry> {
    let own = requests.iter().filter_map(|request| {
        let holder = match &request.operation {
            Operation::Claim(wanted) => wanted.holder,
            Operation::Settle { holder, .. } => *holder,
        };
        let claim = shard.get(request.name)?;
        let name = request.name;
        (claim.holder == holder).then(|| Entry {
            name,
            claim: claim.clone(),
        })
    });
    own.collect()
}

/// Returns whether the shard would let the prospective holder run the work.
fn may_run(shard: &Shard, name: Name, wanted: &Claim) -> bool {
    shard.get(name).is_none_or(|claim| {
        let verdict = claim.verdict(wanted);
        matches!(verdict, Verdict::Run | Verdict::TakeOver)
    })
}
