//! The process's part in the exchange.

use super::{Link, codec};
use crate::{
    clock::Clock,
    configuration::{Holder, Ruleset},
    metrics::Metrics,
    platform::Store,
    quarantine::Suspects,
};
use cicadacrank_core::{
    event::Event,
    gossip::{Action, Connectivity, Document, Node, Payload},
    membership::Member,
};
use cicadacrank_wire::wire;
use std::{
    mem,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{mpsc, watch};

/// Suspected requests in one message.
const SUSPECTS: usize = 8;

/// Who watches the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watching {
    /// A few processes of each data centre.
    Chosen,
    /// Every process; for comparison.
    Everyone,
}

/// What the service is made of.
pub struct Parts {
    /// The process itself.
    pub me: Member,
    /// Peers to ask while the platform's list is not known.
    pub seeds: Vec<SocketAddr>,
    /// Mean time between two syncs.
    pub pause: Duration,
    /// Who watches the platform.
    pub watching: Watching,
    /// Clock of the process.
    pub clock: Clock,
    /// The configuration in force.
    pub holder: Arc<Holder>,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// The way to peers.
    pub link: Arc<dyn Link>,
    /// Suspected requests, carried along with each sync.
    pub suspects: Arc<Suspects>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Exchanges configuration, membership and suspects with peers.
pub struct Service {
    pub(super) parts: Parts,
    node: Mutex<Node>,
    members: watch::Sender<u64>,
    pub(super) watches: watch::Sender<bool>,
    actions: mpsc::UnboundedSender<Action>,
    pub(super) queue: Mutex<Option<mpsc::UnboundedReceiver<Action>>>,
}

impl Service {
    /// Creates the service; [`run`](super::run) drives it.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let (actions, queue) = mpsc::unbounded_channel();
        let now = parts.clock.now();
        let node = Node::new(parts.me.clone(), now)
            .with_seeds(parts.seeds.clone())
            .with_sync_interval(parts.pause);
        parts.holder.suspend(true);
        Self {
            parts,
            node: Mutex::new(node),
            members: watch::Sender::new(0),
            watches: watch::Sender::new(false),
            actions,
            queue: Mutex::new(Some(queue)),
        }
    }

    /// Returns the members that are not dead, this process included.
    #[must_use]
    pub fn live(&self) -> Vec<Member> {
        self.node().table().live().cloned().collect()
    }

    /// Returns a view that wakes when members change.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<u64> {
        self.members.subscribe()
    }

    /// Returns with whom the process is in contact.
    #[must_use]
    pub fn contact(&self) -> Connectivity {
        self.node().connectivity(self.parts.clock.now())
    }

    /// Returns whether the process watches the platform.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        *self.watches.borrow()
    }

    /// Returns whether every change of members has been sent on often enough.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.node().table().is_quiescent()
    }

    /// Tells peers that this process wants no new work.
    pub fn leave(&self) {
        let now = self.parts.clock.now();
        let actions = self.node().leave(now, rand::random);
        self.queue_up(actions);
    }

    /// Answers a peer's sync.
    ///
    /// `None` means that the peer's message could not be read.
    #[must_use]
    pub fn answer(&self, mut message: wire::Digest) -> Option<wire::Update> {
        let now = self.parts.clock.now();
        self.parts.suspects.merge(&mem::take(&mut message.suspects));
        let digest = codec::read_digest(message)?;
        let (update, pull) = {
            let mut node = self.node();
            let update = node.handle_sync(&digest, rand::random(), now);
            (update, node.pull(&digest))
        };
        self.queue_up(pull.into_iter().collect());
        self.tell();
        let mut message = codec::update(&update);
        message.suspects = self.some_suspects();
        Some(message)
    }

    pub(super) fn digest(&self) -> wire::Digest {
        let mut message = codec::digest(&self.node().digest());
        message.suspects = self.some_suspects();
        message
    }

    pub(super) fn absorb(&self, mut message: wire::Update) {
        self.parts.suspects.merge(&mem::take(&mut message.suspects));
        let update = codec::read_update(message);
        let document = self.node().handle_update(&update, self.parts.clock.now());
        if let Some(document) = document {
            self.adopt(document, update.payload);
        }
        self.tell();
    }

    /// Puts a document in force if it is newer and can be read.
    pub(super) fn adopt(&self, document: Document, payload: Payload) {
        let ruleset = Ruleset {
            generation: document.generation,
            rules: document.text.to_string(),
        };
        if document.generation > self.parts.holder.generation()
            && !self.parts.holder.offer(ruleset)
            && document.generation > self.parts.holder.generation()
        {
            return;
        }
        let generation = i64::try_from(self.parts.holder.generation()).unwrap_or(i64::MAX);
        self.parts.metrics.generation.set(generation);
        let actions = self.node().adopt(document, payload, rand::random);
        self.queue_up(actions);
    }

    pub(super) fn fail(&self, name: &str) {
        let state = |node: &Node| node.table().get(name).map(|member| member.state);
        let now = self.parts.clock.now();
        let mut node = self.node();
        let before = state(&node);
        node.record_failure(name, now);
        let after = state(&node);
        drop(node);
        if before != after {
            Event::MemberChanged.log(format_args!("{name}: {before:?} to {after:?}"));
        }
        self.tell();
    }

    /// Does what is due and returns whether there may be work.
    pub(super) fn tick(&self) {
        let now = self.parts.clock.now();
        let (actions, works, watches) = {
            let mut node = self.node();
            let actions = node.tick(now, rand::random);
            let works = node.is_ready(now) && node.connectivity(now) != Connectivity::Isolated;
            let all = self.parts.watching == Watching::Everyone;
            (actions, works, all || node.is_watcher())
        };
        self.parts.holder.suspend(!works);
        self.watches.send_if_modified(|known| {
            let changed = *known != watches;
            *known = watches;
            changed
        });
        self.queue_up(actions);
        self.tell();
    }

    pub(super) fn queue_up(&self, actions: Vec<Action>) {
        for action in actions {
            // The queue ends only with the process.
            drop(self.actions.send(action));
        }
    }

    pub(super) fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn tell(&self) {
        let revision = self.node().table().revision();
        self.members.send_if_modified(|known| {
            let changed = *known != revision;
            *known = revision;
            changed
        });
    }

    /// Returns suspects for one message, from a random place on, so that in time
    /// all are sent.
    fn some_suspects(&self) -> Vec<wire::Suspect> {
        let mut suspects = self.parts.suspects.all();
        if suspects.len() > SUSPECTS {
            let start = rand::random_range(0..suspects.len());
            suspects.rotate_left(start);
            suspects.truncate(SUSPECTS);
        }
        suspects
    }
}
