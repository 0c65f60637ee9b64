//! Gossip of configuration: line differences, history, and a seeded search over
//! interleavings of many nodes simulated in one process.

use cicadacrank_core::{
    gossip::{
        Action, Connectivity, Digest, Document, History, Node, Payload, Update, apply, difference,
    },
    membership::{Member, Role, State},
};
use proptest::{
    prelude::{ProptestConfig, any, prop, proptest},
    test_runner::RngSeed,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{net::SocketAddr, sync::Arc, time::Duration};

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn apply_reproduces_the_new_text(old in prop::collection::vec(0..6u8, 0..40), new in prop::collection::vec(0..6u8, 0..40), end in any::<bool>()) {
        let text = |lines: &[u8]| {
            let lines: Vec<String> = lines.iter().map(|line| format!("line {line}")).collect();
            lines.join("\n") + if end { "\n" } else { "" }
        };
        let (old, new) = (text(&old), text(&new));
        assert_eq!(apply(&old, &difference(&old, &new)), Ok(new));
    }
}

fn text(generation: u64) -> Arc<str> {
    let lines = (0..50).map(|line| {
        let changed = if generation % 50 == line {
            generation
        } else {
            0
        };
        format!("line {line} {changed}\n")
    });
    lines.collect::<String>().into()
}

fn document(generation: u64) -> Document {
    Document {
        generation,
        text: text(generation),
    }
}

#[test]
fn history_returns_small_steps_that_can_be_applied() {
    let mut ahead = History::default();
    for generation in 1..=70 {
        ahead.adopt(document(generation), Vec::new());
    }
    for (held, steps) in [
        (69, Some(1)),
        (60, Some(10)),
        (6, Some(64)),
        (5, None),
        (70, None),
    ] {
        let known = ahead.steps_since(held);
        assert_eq!(known.as_ref().map(Vec::len), steps, "{held}");
        let Some(known) = known else { continue };
        let mut behind = History::default();
        behind.adopt(document(held), Vec::new());
        let document = behind.apply_steps(&known).expect("the steps apply");
        assert_eq!(document.text, text(70));
        assert!(behind.adopt(document, known));
        assert_eq!(behind.steps_since(held).is_some(), steps.is_some());
    }
}

#[test]
fn history_rejects_steps_of_another_text_and_older_documents() {
    let (mut ahead, mut other) = (History::default(), History::default());
    ahead.adopt(document(1), Vec::new());
    ahead.adopt(document(2), Vec::new());
    let unrelated = Document {
        generation: 1,
        text: "line\n".repeat(50).into(),
    };
    other.adopt(unrelated, Vec::new());
    assert!(
        other
            .apply_steps(&ahead.steps_since(1).expect("the steps are kept"))
            .is_err()
    );
    assert!(!ahead.adopt(document(2), Vec::new()));
    assert!(!ahead.adopt(document(1), Vec::new()));
}

fn member(index: usize, incarnation: u64) -> Member {
    let port = u16::try_from(index).expect("the node index fits in a port") + 1;
    Member {
        name: format!("node-{index:03}"),
        incarnation,
        state: State::Alive,
        role: Role::Sidecar,
        data_centre: format!("dc-{}", index % 3),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        operator_address: SocketAddr::from(([127, 0, 0, 1], port)),
        endpoints: Vec::new(),
    }
}

#[test]
fn connectivity_is_lost_only_without_peers_and_platform() {
    let seconds = Duration::from_secs;
    let mut node = Node::new(member(0, 1), Duration::ZERO);
    assert_eq!(
        node.connectivity(seconds(1_000)),
        Connectivity::Connected,
        "a node without peers stays connected"
    );
    node.merge_platform_list(&[member(1, 0)], seconds(0));
    let cases = [
        (9, Connectivity::Connected),
        (10, Connectivity::Degraded),
        (59, Connectivity::Degraded),
        (60, Connectivity::Isolated),
    ];
    for (second, contact) in cases {
        assert_eq!(node.connectivity(seconds(second)), contact, "{second}");
    }
    let update = Update {
        generation: 0,
        payload: Payload::Empty,
        members: Vec::new(),
    };
    node.handle_update(&update, seconds(70));
    assert_eq!(
        node.connectivity(seconds(75)),
        Connectivity::Connected,
        "an answer from a peer restores connectivity"
    );
    node.record_platform_contact(seconds(90));
    assert_eq!(
        node.connectivity(seconds(95)),
        Connectivity::Connected,
        "an answer from the platform restores connectivity"
    );
}

#[test]
fn is_ready_waits_for_a_peer_after_a_stale_read() {
    let seconds = Duration::from_secs;
    let mut node = Node::new(member(0, 1), Duration::ZERO);
    node.merge_platform_list(&[member(1, 0)], seconds(0));
    node.adopt(document(3), Payload::Empty, || 0);
    assert!(!node.is_ready(seconds(1)), "the platform read may be stale");
    let mut peer = Node::new(member(1, 1), Duration::ZERO);
    peer.adopt(document(5), Payload::Empty, || 0);
    let update = peer.handle_sync(&node.digest(), 0, seconds(1));
    let newest = node
        .handle_update(&update, seconds(1))
        .expect("the peer is ahead");
    node.adopt(newest, update.payload, || 0);
    assert!(node.is_ready(seconds(1)));
    assert_eq!(node.history().generation(), 5);
}

#[test]
fn handle_update_ignores_an_answer_that_is_out_of_date() {
    let mut ahead = Node::new(member(1, 1), Duration::ZERO);
    let mut node = Node::new(member(0, 1), Duration::ZERO);
    node.adopt(document(1), Payload::Empty, || 0);
    for generation in 1..=3 {
        ahead.adopt(document(generation), Payload::Empty, || 0);
    }
    let update = ahead.handle_sync(&node.digest(), 0, Duration::ZERO);
    node.adopt(document(2), Payload::Empty, || 0);
    let newest = node
        .handle_update(&update, Duration::ZERO)
        .expect("the last step applies");
    node.adopt(newest, update.payload.clone(), || 0);
    assert_eq!(node.handle_update(&update, Duration::ZERO), None);
    assert_eq!(
        node.digest().generation,
        3,
        "the full document must not be requested"
    );
}

/// Content of a simulated message.
enum Message {
    Sync(Box<Digest>),
    Answer(Box<Update>),
    Rules(Document),
    Instances(Vec<Member>),
}

struct Envelope {
    due: Duration,
    from: usize,
    to: usize,
    /// Epoch of the receiver for which the message is meant.
    epoch: u64,
    message: Message,
}

struct Instance {
    node: Node,
    epoch: u64,
    paused_until: Duration,
    served: u64,
    /// Minimum generation that the instance may serve after a restart.
    min_generation: u64,
}

struct Simulation {
    random: Xoshiro256PlusPlus,
    now: Duration,
    accepted: u64,
    platform_down: bool,
    faults: bool,
    reads: u64,
    instances: Vec<Instance>,
    messages: Vec<Envelope>,
}

const STEP: Duration = Duration::from_millis(50);

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let instance = |index| Instance {
            node: Node::new(member(index, 1), Duration::ZERO),
            epoch: 1,
            paused_until: Duration::ZERO,
            served: 0,
            min_generation: 0,
        };
        Self {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Duration::ZERO,
            accepted: 1,
            platform_down: false,
            faults: true,
            reads: 0,
            instances: (0..count).map(instance).collect(),
            messages: Vec::new(),
        }
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.faults && self.random.random_range(0..one_in) == 0
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && self.chance(5) {
            return;
        }
        let epoch = self.instances[to].epoch;
        let longest = if self.chance(20) { 3_000 } else { 100 };
        let due = self.now + Duration::from_millis(self.random.random_range(0..longest));
        self.messages.push(Envelope {
            due,
            from,
            to,
            epoch,
            message,
        });
    }

    fn run_actions(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Sync { address, .. } => {
                    let to = usize::from(address.port()) - 1;
                    let digest = self.instances[from].node.digest();
                    self.send(from, to, Message::Sync(Box::new(digest)));
                }
                Action::ReadRules | Action::ReadInstances if self.platform_down => {}
                Action::ReadRules => {
                    self.reads += 1;
                    let stale = if self.chance(3) {
                        self.random.random_range(0..4)
                    } else {
                        0
                    };
                    let generation = self.accepted.saturating_sub(stale).max(1);
                    self.send(from, from, Message::Rules(document(generation)));
                }
                Action::ReadInstances => {
                    let list = (0..self.instances.len())
                        .map(|index| member(index, 0))
                        .collect();
                    self.send(from, from, Message::Instances(list));
                }
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            epoch,
            message,
            ..
        } = envelope;
        if self.instances[to].epoch != epoch && !matches!(message, Message::Sync(_)) {
            return;
        }
        let now = self.now;
        let random = self.random.random();
        let node = &mut self.instances[to].node;
        match message {
            Message::Sync(digest) => {
                let update = node.handle_sync(&digest, random, now);
                let pull = node.pull(&digest);
                self.send(to, from, Message::Answer(Box::new(update)));
                self.run_actions(to, pull.into_iter().collect());
            }
            Message::Answer(update) => {
                if let Some(document) = node.handle_update(&update, now) {
                    self.adopt(to, document, update.payload);
                }
            }
            Message::Rules(document) => {
                node.record_platform_contact(now);
                self.adopt(to, document, Payload::Empty);
            }
            Message::Instances(list) => node.merge_platform_list(&list, now),
        }
    }

    fn adopt(&mut self, at: usize, document: Document, payload: Payload) {
        let random = &mut self.random;
        let actions = self.instances[at]
            .node
            .adopt(document, payload, || random.random());
        self.run_actions(at, actions);
    }

    fn inject_faults(&mut self) {
        if self.chance(20) {
            self.accepted += self.random.random_range(1..4);
        }
        if self.chance(100) {
            self.platform_down = !self.platform_down;
        }
        let at = self.random.random_range(0..self.instances.len());
        if self.chance(40) {
            self.instances[at].paused_until =
                self.now + Duration::from_millis(self.random.random_range(0..20_000));
        }
        if self.chance(60) {
            self.restart(at);
        }
        if self.chance(10) {
            let name = format!(
                "node-{:03}",
                self.random.random_range(0..self.instances.len())
            );
            self.instances[at].node.record_failure(&name, self.now);
        }
    }

    fn restart(&mut self, at: usize) {
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != at);
        // After a restart, the instance must not serve a generation below the
        // minimum that all others hold.
        let held = others
            .map(|(_, instance)| instance.node.history().generation())
            .min();
        let now = self.now;
        let instance = &mut self.instances[at];
        instance.epoch += 1;
        instance.min_generation = instance.served.min(held.unwrap_or_default());
        instance.served = 0;
        instance.paused_until = now;
        instance.node = Node::new(member(at, instance.epoch * 1_000), now)
            .with_seeds(vec![member((at + 1) % 7, 0).address]);
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faults {
            self.inject_faults();
        }
        for at in 0..self.instances.len() {
            if self.instances[at].paused_until <= self.now {
                let random = &mut self.random;
                let actions = self.instances[at].node.tick(self.now, || random.random());
                self.run_actions(at, actions);
            }
        }
        let (now, instances) = (self.now, &self.instances);
        let due: Vec<Envelope> = self
            .messages
            .extract_if(.., |message| {
                message.due <= now && instances[message.to].paused_until <= now
            })
            .collect();
        for envelope in due {
            self.deliver(envelope);
        }
        self.check();
    }

    fn check(&mut self) {
        let now = self.now;
        for instance in &mut self.instances {
            let Some(newest) = instance.node.history().newest() else {
                assert_eq!(instance.served, 0, "the rules in force were lost");
                continue;
            };
            assert_eq!(
                newest.text,
                text(newest.generation),
                "the text does not match its generation"
            );
            assert!(
                newest.generation <= self.accepted,
                "the generation was never accepted"
            );
            assert!(
                newest.generation >= instance.served,
                "the generation decreased"
            );
            if instance.node.is_ready(now) {
                let is_stale = instance.served == 0 && newest.generation < instance.min_generation;
                assert!(
                    !is_stale,
                    "a restarted instance serves older rules than all its peers hold"
                );
                instance.served = newest.generation;
            }
        }
    }

    fn describe(&self) -> String {
        let instances = self.instances.iter().map(|instance| {
            let (node, name) = (&instance.node, &instance.node.table().local().name);
            let states = node
                .table()
                .all()
                .map(|one| format!("{}{:?}", one.incarnation, one.state));
            let states: Vec<String> = states.collect();
            format!(
                "{name} {} {}",
                node.history().generation(),
                states.join(" ")
            )
        });
        format!(
            "accepted {}\n{}",
            self.accepted,
            instances.collect::<Vec<_>>().join("\n")
        )
    }

    fn is_converged(&self) -> bool {
        let matches_first = |instance: &Instance| {
            instance.node.history().generation() == self.accepted
                && instance.node.table().others().count() == self.instances.len() - 1
                && instance.node.table().buckets() == self.instances[0].node.table().buckets()
        };
        self.instances.iter().all(matches_first)
    }
}

/// Number of seeds that the search covers.
const SEEDS: u64 = 40;

#[test]
fn node_never_reverts_and_all_converge() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(
            7 + usize::try_from(seed % 3).expect("the seed is small") * 6,
            seed,
        );
        for _ in 0..1_200 {
            simulation.step();
        }
        simulation.faults = false;
        simulation.platform_down = seed % 4 == 3;
        if simulation.platform_down {
            // At least one process must have the newest accepted generation.
            simulation.adopt(0, document(simulation.accepted), Payload::Empty);
        }
        let end = simulation.now + Duration::from_secs(40);
        while !simulation.is_converged() {
            assert!(
                simulation.now < end,
                "seed {seed}: {}",
                simulation.describe()
            );
            simulation.step();
        }
    }
}

#[test]
fn node_reads_do_not_grow_with_the_fleet() {
    for count in [8, 32, 64] {
        let mut simulation = Simulation::new(count, 1);
        simulation.faults = false;
        for _ in 0..400 {
            simulation.step();
        }
        let first = simulation.reads - u64::try_from(count).expect("the count fits in u64");
        assert!(
            first <= 45,
            "{count}: {first} reads in 20 s besides one per node"
        );
        for _ in 0..600 {
            simulation.step();
        }
        let start = simulation.reads;
        for _ in 0..1_200 {
            simulation.step();
        }
        let reads = simulation.reads - start;
        assert!((40..=90).contains(&reads), "{count}: {reads} reads in 60 s");
    }
}
