//! Commits many claims and outcomes of one shard by one conditional update.

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

/// Pause between two commits of a shard.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two commits while the platform turns them away.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Most orders of one commit.
const ORDERS: usize = 512;

/// Bytes of outcomes above which a commit takes no more orders.
const OUTCOME_BYTES: usize = 256 << 10;

/// Rounds of a commit that meets other writers.
const ROUNDS: u64 = 8;

/// Longest pause of the first round, in milliseconds; it grows by as much with
/// each further round.
const ROUND_MS: u64 = 10;

/// What to do about one claim.
#[derive(Clone, Debug)]
pub(super) enum Act {
    /// Make it.
    Claim(Claim),
    /// Settle it, if the holder has it.
    Settle {
        holder: id::Holder,
        state: State,
        ends_unix_ms: u64,
    },
}

/// What became of an act.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// What the one that wants the claim must do.
    Verdict(Verdict),
    /// Whether the holder had it.
    Settled(bool),
    /// The shard holds no more claims.
    Full,
}

/// One act, and who waits for its reply.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) name: Name,
    pub(super) act: Act,
    /// Look at the platform, not at what is known.
    pub(super) fresh: bool,
    pub(super) reply: oneshot::Sender<Result<Reply, Fault>>,
}

impl Order {
    fn bytes(&self) -> usize {
        match &self.act {
            Act::Settle {
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
struct Known {
    /// `None` if the platform has no such object.
    version: Option<Version>,
    shard: Shard,
}

/// The one task of this process that writes a shard.
pub(super) struct Writer {
    store: Arc<dyn Store>,
    clock: Clock,
    object: String,
    known: Option<Known>,
    pages: Pages,
    pause: Duration,
}

/// A commit that was worked out but not written.
struct Draft {
    shard: Shard,
    replies: Vec<Reply>,
    changed: bool,
    dropped: Vec<Page>,
    spilled: Option<Page>,
}

impl Writer {
    /// Creates the writer of one object.
    pub(super) fn new(store: Arc<dyn Store>, clock: Clock, object: String) -> Self {
        Self {
            pages: Pages::new(Arc::clone(&store)),
            store,
            clock,
            object,
            known: None,
            pause: PAUSE,
        }
    }

    /// Commits orders until nobody can send more.
    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Order>) {
        while let Some(first) = receiver.recv().await {
            let mut bytes = first.bytes();
            let mut orders = vec![first];
            while orders.len() < ORDERS
                && bytes < OUTCOME_BYTES
                && let Ok(order) = receiver.try_recv()
            {
                bytes += order.bytes();
                orders.push(order);
            }
            self.commit(orders).await;
            time::sleep(self.pause).await;
        }
    }

    async fn commit(&mut self, orders: Vec<Order>) {
        if orders.iter().any(|order| order.fresh) {
            self.known = None;
        }
        for round in 1..=ROUNDS {
            match self.round(&orders).await {
                Ok(replies) => {
                    self.pause = (self.pause / 2).max(PAUSE);
                    for (order, reply) in orders.into_iter().zip(replies) {
                        // One that waits no longer has given up.
                        drop(order.reply.send(Ok(reply)));
                    }
                    return;
                }
                Err(Fault::Conflict | Fault::Exists | Fault::Missing) if round < ROUNDS => {
                    self.known = None;
                    let pause = rand::random_range(0..=ROUND_MS * round);
                    time::sleep(Duration::from_millis(pause)).await;
                }
                Err(fault) => return self.fail(orders, &fault),
            }
        }
    }

    fn fail(&mut self, orders: Vec<Order>, fault: &Fault) {
        Event::PlatformFailed.log(format_args!("claims {}: {fault}", self.object));
        self.known = None;
        if *fault == Fault::Throttled {
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        }
        for order in orders {
            drop(order.reply.send(Err(fault.clone())));
        }
    }

    /// Tries a commit once; a conflict means that what is known is out of date.
    async fn round(&mut self, orders: &[Order]) -> Result<Vec<Reply>, Fault> {
        let known = self.load().await?;
        let mut draft = self.draft(&known.shard, orders).await?;
        if !draft.changed {
            self.known = Some(known);
            return Ok(draft.replies);
        }
        self.spill(&mut draft).await;
        let spec = serde_json::to_value(&draft.shard)
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        let written = match &known.version {
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
                self.known = Some(Known {
                    version: Some(version),
                    shard: draft.shard,
                });
                self.pages.delete(draft.dropped);
                Ok(draft.replies)
            }
            Err(fault) => {
                // After a lost answer the page may be in use.
                if !fault.may_have_effect() {
                    self.pages.delete(draft.spilled.into_iter().collect());
                }
                Err(fault)
            }
        }
    }

    async fn load(&mut self) -> Result<Known, Fault> {
        if let Some(known) = self.known.take() {
            return Ok(known);
        }
        match self.store.get(Collection::Claims, &self.object).await {
            Ok(object) => {
                let shard: Shard = serde_json::from_value(object.spec)
                    .map_err(|error| Fault::Invalid(error.to_string()))?;
                Ok(Known {
                    version: Some(object.version),
                    shard: shard.with_size(),
                })
            }
            Err(Fault::Missing) => Ok(Known {
                version: None,
                shard: Shard::new(),
            }),
            Err(fault) => Err(fault),
        }
    }

    async fn draft(&mut self, known: &Shard, orders: &[Order]) -> Result<Draft, Fault> {
        let now = self.clock.unix_ms();
        let mut base = known.clone();
        let dropped = base.sweep(now);
        let mut shard = base.clone();
        let mut replies = Vec::with_capacity(orders.len());
        for order in orders {
            let reply = match &order.act {
                Act::Claim(wanted) => self.claim(&mut shard, order.name, wanted, now).await?,
                Act::Settle {
                    holder,
                    state,
                    ends_unix_ms,
                } => Reply::Settled(shard.settle(order.name, *holder, state, *ends_unix_ms)),
            };
            replies.push(reply);
        }
        let changed = shard != base;
        Ok(Draft {
            shard,
            replies,
            changed,
            dropped,
            spilled: None,
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

    /// Moves settled claims to a page if the shard has grown; a page that
    /// cannot be written leaves them where they are.
    async fn spill(&self, draft: &mut Draft) {
        let settled: Vec<Entry> = draft.shard.spill();
        if settled.is_empty() {
            return;
        }
        if let Ok(page) = self.pages.create(&self.object, &settled).await {
            draft.shard.replace_with_page(page.clone());
            draft.spilled = Some(page);
        }
    }
}
