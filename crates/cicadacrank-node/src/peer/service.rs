//! State of the gossip service.

use super::{Link, codec};
use crate::{
    clock::Clock,
    configuration::{Holder, Ruleset},
    metrics::Metrics,
    platform::{self, Store},
    quarantine::Suspects,
};
use cicadacrank_core::{
    event::Event,
    generation::{self, Entry},
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
use tokio::sync::{Notify, mpsc, watch};

/// Time for which a changed cause of crashes is reported. It spans some syncs.
const CAUSES_REPORT_TIME: Duration = Duration::from_secs(5);

/// Maximum number of causes of crashes in one message.
const MAX_CAUSES: usize = 16;

/// Maximum number of suspected requests in one message.
const MAX_SUSPECTS: usize = 8;

/// Which processes watch the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watching {
    /// A few processes of each data centre.
    Chosen,
    /// Every process, for comparison in benchmarks.
    Everyone,
}

/// Dependencies of the service.
pub struct Parts {
    /// The member that describes this process.
    pub local: Member,
    /// Addresses of peers to sync with while the platform's list is not known.
    pub seeds: Vec<SocketAddr>,
    /// Mean time between two syncs.
    pub sync_interval: Duration,
    /// Which processes watch the platform.
    pub watching: Watching,
    /// Clock of the process.
    pub clock: Clock,
    /// The configuration in force.
    pub holder: Arc<Holder>,
    /// Client of the platform.
    pub store: Arc<dyn Store>,
    /// Link to peers.
    pub link: Arc<dyn Link>,
    /// Suspected requests, a sample of which is sent with each sync.
    pub suspects: Arc<Suspects>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Gossip service for configuration, membership and suspected requests.
pub struct Service {
    pub(super) parts: Parts,
    node: Mutex<Node>,
    members: watch::Sender<u64>,
    pub(super) watches: watch::Sender<bool>,
    actions: mpsc::UnboundedSender<Action>,
    pub(super) queue: Mutex<Option<mpsc::UnboundedReceiver<Action>>>,
    /// Notified when the platform holds older rules than this process, after coming
    /// back from a copy.
    pub(super) behind: Notify,
    trail: Mutex<Trail>,
}

/// Audit entries that the platform held beside the rules in force.
#[derive(Default)]
struct Trail {
    generation: u64,
    entries: Vec<Entry>,
}

impl Service {
    /// Creates a service and suspends the configuration holder. The service is
    /// driven by [`run`](super::run).
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let (actions, queue) = mpsc::unbounded_channel();
        let now = parts.clock.now();
        let node = Node::new(parts.local.clone(), now)
            .with_seeds(parts.seeds.clone())
            .with_sync_interval(parts.sync_interval);
        parts.holder.set_suspended(true);
        Self {
            parts,
            node: Mutex::new(node),
            members: watch::Sender::new(0),
            watches: watch::Sender::new(false),
            actions,
            queue: Mutex::new(Some(queue)),
            behind: Notify::new(),
            trail: Mutex::default(),
        }
    }

    /// Returns the members that are not dead, including this process.
    #[must_use]
    pub fn live(&self) -> Vec<Member> {
        self.node().table().live().cloned().collect()
    }

    /// Returns a receiver that is notified when members change.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<u64> {
        self.members.subscribe()
    }

    /// Returns the connectivity of the process.
    #[must_use]
    pub fn connectivity(&self) -> Connectivity {
        self.node().connectivity(self.parts.clock.now())
    }

    /// Returns whether the process watches the platform.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        *self.watches.borrow()
    }

    /// Returns whether no change of members is left to send.
    #[must_use]
    pub fn is_quiescent(&self) -> bool {
        self.node().table().is_quiescent()
    }

    /// Marks this process as leaving and notifies peers, so that it gets no new
    /// work.
    pub fn leave(&self) {
        let now = self.parts.clock.now();
        let actions = self.node().leave(now, rand::random);
        self.enqueue(actions);
    }

    /// Handles a sync from a peer and returns the response, or `None` if the
    /// digest is invalid.
    #[must_use]
    pub fn handle_sync(&self, mut message: wire::Digest) -> Option<wire::Update> {
        let now = self.parts.clock.now();
        self.merge_suspects(&message.suspects, mem::take(&mut message.crash_suspects));
        self.parts.store.record_era(message.era);
        let digest = codec::decode_digest(message)?;
        let (update, pull) = {
            let mut node = self.node();
            let update = node.handle_sync(&digest, rand::random(), now);
            (update, node.pull(&digest))
        };
        self.enqueue(pull.into_iter().collect());
        self.publish_members();
        let mut message = codec::encode_update(&update);
        message.era = *self.parts.store.eras().borrow();
        message.suspects = self.sample_suspects();
        message.crash_suspects = self
            .parts
            .suspects
            .causes()
            .report(CAUSES_REPORT_TIME, MAX_CAUSES);
        Some(message)
    }

    pub(super) fn digest(&self) -> wire::Digest {
        let mut message = codec::encode_digest(&self.node().digest());
        message.era = *self.parts.store.eras().borrow();
        message.suspects = self.sample_suspects();
        message.crash_suspects = self
            .parts
            .suspects
            .causes()
            .report(CAUSES_REPORT_TIME, MAX_CAUSES);
        message
    }

    pub(super) fn handle_update(&self, mut message: wire::Update) {
        self.merge_suspects(&message.suspects, mem::take(&mut message.crash_suspects));
        self.parts.store.record_era(message.era);
        let update = codec::decode_update(message);
        let document = self.node().handle_update(&update, self.parts.clock.now());
        if let Some(document) = document {
            self.adopt(document, update.payload);
        }
        self.publish_members();
    }

    /// Handles the ruleset object that was read from the platform.
    pub(super) fn receive(&self, object: platform::Object) {
        self.node().record_platform_contact(self.parts.clock.now());
        match generation::Object::decode(object.spec) {
            Ok(ruleset) => self.receive_ruleset(&ruleset.with_read_era(object.version.era)),
            Err(error) => Event::GenerationRejected.log(format_args!("{error}")),
        }
    }

    /// Handles that the platform holds no ruleset object.
    pub(super) fn receive_missing(&self) {
        self.node().record_platform_contact(self.parts.clock.now());
        let era = *self.parts.store.eras().borrow();
        self.receive_ruleset(&generation::Object::new().with_read_era(era));
    }

    fn receive_ruleset(&self, ruleset: &generation::Object) {
        self.log_lost_changes(ruleset);
        self.adopt_ruleset(ruleset);
        if self.is_newer_than(ruleset) {
            self.behind.notify_one();
        }
    }

    /// Returns whether the platform has come back from a copy that lacks the rules in
    /// force.
    pub(super) fn is_newer_than(&self, ruleset: &generation::Object) -> bool {
        ruleset.may_be_behind() && ruleset.generation.0 < self.parts.holder.generation()
    }

    /// Applies the rules of a ruleset object if they are newer, and keeps its audit
    /// entries if its rules are in force.
    pub(super) fn adopt_ruleset(&self, ruleset: &generation::Object) {
        let document = Document {
            generation: ruleset.generation.0,
            text: ruleset.rules.as_str().into(),
        };
        if document.generation > 0 {
            self.adopt(document, Payload::Empty);
        }
        if ruleset.generation.0 == self.parts.holder.generation() {
            *self.trail() = Trail {
                generation: ruleset.generation.0,
                entries: ruleset.audit.clone(),
            };
        }
    }

    /// Returns the audit entries of the rules in force, or none if another process
    /// passed the rules on.
    pub(super) fn entries(&self) -> Vec<Entry> {
        let trail = self.trail();
        if trail.generation == self.parts.holder.generation() {
            trail.entries.clone()
        } else {
            Vec::new()
        }
    }

    /// Logs that newer rules are not based on those in force, because the platform
    /// has lost changes.
    fn log_lost_changes(&self, ruleset: &generation::Object) {
        let Some(current) = self.parts.holder.newest() else {
            return;
        };
        let in_force = current.generation;
        let entries = &ruleset.audit;
        let is_covered = entries
            .first()
            .is_some_and(|oldest| oldest.generation.0 < in_force);
        let is_based_on = |entry: &Entry| entry.generation.0 == in_force;
        if ruleset.generation.0 > in_force
            && is_covered
            && ruleset.rules != current.ruleset.rules
            && !entries.iter().any(is_based_on)
        {
            Event::GenerationLost.log(format_args!(
                "generation {} is not based on generation {in_force}, which was in force",
                ruleset.generation
            ));
        }
    }

    fn trail(&self) -> MutexGuard<'_, Trail> {
        self.trail.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a document if it is newer and its rules can be parsed.
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
        self.enqueue(actions);
    }

    pub(super) fn record_failure(&self, name: &str) {
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
        self.publish_members();
    }

    /// Queues the actions that are due and updates the suspension of the
    /// configuration and the watcher state.
    pub(super) fn tick(&self) {
        let now = self.parts.clock.now();
        let (actions, accepts_work, watches) = {
            let mut node = self.node();
            let actions = node.tick(now, rand::random);
            let accepts_work =
                node.is_ready(now) && node.connectivity(now) != Connectivity::Isolated;
            let all = self.parts.watching == Watching::Everyone;
            (actions, accepts_work, all || node.is_watcher())
        };
        self.parts.holder.set_suspended(!accepts_work);
        self.watches.send_if_modified(|current| {
            let changed = *current != watches;
            *current = watches;
            changed
        });
        self.enqueue(actions);
        self.publish_members();
    }

    pub(super) fn enqueue(&self, actions: Vec<Action>) {
        for action in actions {
            // Sending fails only if `run` has ended, when the process stops.
            drop(self.actions.send(action));
        }
    }

    pub(super) fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn publish_members(&self) {
        let revision = self.node().table().revision();
        self.members.send_if_modified(|current| {
            let changed = *current != revision;
            *current = revision;
            changed
        });
    }

    fn merge_suspects(&self, suspects: &[wire::Suspect], causes: Vec<wire::CrashSuspect>) {
        self.parts.suspects.merge(suspects);
        self.parts.suspects.causes().merge(causes, "peer");
    }

    /// Returns the suspects for one message. If there are too many, it starts at a
    /// random one, so that all are sent over time.
    fn sample_suspects(&self) -> Vec<wire::Suspect> {
        let mut suspects = self.parts.suspects.all();
        if suspects.len() > MAX_SUSPECTS {
            let start = rand::random_range(0..suspects.len());
            suspects.rotate_left(start);
            suspects.truncate(MAX_SUSPECTS);
        }
        suspects
    }
}
