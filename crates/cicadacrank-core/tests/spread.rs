//! The spread of configuration: line differences, history, and a seeded search
//! over interleavings of many nodes joined in one process.

use cicadacrank_core::{
    membership::{Member, Role, State},
    spread::{Action, Contact, Digest, Document, History, News, Node, Update, apply, difference},
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
    fn apply_undoes_difference(old in prop::collection::vec(0..6u8, 0..40), new in prop::collection::vec(0..6u8, 0..40), end in any::<bool>()) {
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
fn history_sends_small_steps_and_takes_them_up() {
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
        let known = ahead.since(held);
        assert_eq!(known.as_ref().map(Vec::len), steps, "{held}");
        let Some(known) = known else { continue };
        let mut behind = History::default();
        behind.adopt(document(held), Vec::new());
        let document = behind.follow(&known).expect("steps fit");
        assert_eq!(document.text, text(70));
        assert!(behind.adopt(document, known));
        assert_eq!(behind.since(held).is_some(), steps.is_some());
    }
}

#[test]
fn history_refuses_steps_of_another_text_and_older_documents() {
    let (mut ahead, mut other) = (History::default(), History::default());
    ahead.adopt(document(1), Vec::new());
    ahead.adopt(document(2), Vec::new());
    let torn = Document {
        generation: 1,
        text: "line\n".repeat(50).into(),
    };
    other.adopt(torn, Vec::new());
    assert!(other.follow(&ahead.since(1).expect("known")).is_err());
    assert!(!ahead.adopt(document(2), Vec::new()));
    assert!(!ahead.adopt(document(1), Vec::new()));
}

fn member(index: usize, incarnation: u64) -> Member {
    let port = u16::try_from(index).expect("few nodes") + 1;
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
fn contact_ends_only_without_peers_and_platform() {
    let seconds = Duration::from_secs;
    let mut node = Node::new(member(0, 1), Duration::ZERO);
    assert_eq!(
        node.contact(seconds(1_000)),
        Contact::Held,
        "it has no peers"
    );
    node.list(&[member(1, 0)], seconds(0));
    let cases = [
        (9, Contact::Held),
        (10, Contact::Lost),
        (59, Contact::Lost),
        (60, Contact::Ended),
    ];
    for (second, contact) in cases {
        assert_eq!(node.contact(seconds(second)), contact, "{second}");
    }
    let update = Update {
        generation: 0,
        news: News::Nothing,
        members: Vec::new(),
    };
    node.absorb(&update, seconds(70));
    assert_eq!(node.contact(seconds(75)), Contact::Held, "a peer is enough");
    node.reached(seconds(90));
    assert_eq!(
        node.contact(seconds(95)),
        Contact::Held,
        "the platform is enough"
    );
}

#[test]
fn is_settled_waits_for_a_peer_after_a_stale_read() {
    let seconds = Duration::from_secs;
    let mut node = Node::new(member(0, 1), Duration::ZERO);
    node.list(&[member(1, 0)], seconds(0));
    node.adopt(document(3), News::Nothing, || 0);
    assert!(!node.is_settled(seconds(1)), "the read may be stale");
    let mut peer = Node::new(member(1, 1), Duration::ZERO);
    peer.adopt(document(5), News::Nothing, || 0);
    let update = peer.answer(&node.digest(), 0, seconds(1));
    let newest = node.absorb(&update, seconds(1)).expect("the peer is ahead");
    node.adopt(newest, update.news, || 0);
    assert!(node.is_settled(seconds(1)));
    assert_eq!(node.history().generation(), 5);
}

#[test]
fn absorb_takes_an_answer_that_was_overtaken_for_old() {
    let mut ahead = Node::new(member(1, 1), Duration::ZERO);
    let mut node = Node::new(member(0, 1), Duration::ZERO);
    node.adopt(document(1), News::Nothing, || 0);
    for generation in 1..=3 {
        ahead.adopt(document(generation), News::Nothing, || 0);
    }
    let update = ahead.answer(&node.digest(), 0, Duration::ZERO);
    node.adopt(document(2), News::Nothing, || 0);
    let newest = node
        .absorb(&update, Duration::ZERO)
        .expect("the last step fits");
    node.adopt(newest, update.news.clone(), || 0);
    assert_eq!(node.absorb(&update, Duration::ZERO), None);
    assert_eq!(node.digest().generation, 3, "the whole is not asked for");
}

/// What a message carries.
enum Mail {
    Sync(Box<Digest>),
    Answer(Box<Update>),
    Rules(Document),
    Instances(Vec<Member>),
}

struct Envelope {
    due: Duration,
    from: usize,
    to: usize,
    /// Life of the receiver that it is meant for.
    life: u64,
    mail: Mail,
}

struct Place {
    node: Node,
    life: u64,
    paused_until: Duration,
    served: u64,
    /// Generation that a new life may not serve less than.
    floor: u64,
}

struct World {
    random: Xoshiro256PlusPlus,
    now: Duration,
    accepted: u64,
    platform_down: bool,
    faults: bool,
    reads: u64,
    places: Vec<Place>,
    mail: Vec<Envelope>,
}

const STEP: Duration = Duration::from_millis(50);

impl World {
    fn new(count: usize, seed: u64) -> Self {
        let place = |index| Place {
            node: Node::new(member(index, 1), Duration::ZERO),
            life: 1,
            paused_until: Duration::ZERO,
            served: 0,
            floor: 0,
        };
        Self {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Duration::ZERO,
            accepted: 1,
            platform_down: false,
            faults: true,
            reads: 0,
            places: (0..count).map(place).collect(),
            mail: Vec::new(),
        }
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.faults && self.random.random_range(0..one_in) == 0
    }

    fn post(&mut self, from: usize, to: usize, mail: Mail) {
        if from != to && self.chance(5) {
            return;
        }
        let life = self.places[to].life;
        let longest = if self.chance(20) { 3_000 } else { 100 };
        let due = self.now + Duration::from_millis(self.random.random_range(0..longest));
        self.mail.push(Envelope {
            due,
            from,
            to,
            life,
            mail,
        });
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Sync { address, .. } => {
                    let to = usize::from(address.port()) - 1;
                    let digest = self.places[from].node.digest();
                    self.post(from, to, Mail::Sync(Box::new(digest)));
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
                    self.post(from, from, Mail::Rules(document(generation)));
                }
                Action::ReadInstances => {
                    let list = (0..self.places.len())
                        .map(|index| member(index, 0))
                        .collect();
                    self.post(from, from, Mail::Instances(list));
                }
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            life,
            mail,
            ..
        } = envelope;
        if self.places[to].life != life && !matches!(mail, Mail::Sync(_)) {
            return;
        }
        let now = self.now;
        let random = self.random.random();
        let node = &mut self.places[to].node;
        match mail {
            Mail::Sync(digest) => {
                let update = node.answer(&digest, random, now);
                let pull = node.pull(&digest);
                self.post(to, from, Mail::Answer(Box::new(update)));
                self.act(to, pull.into_iter().collect());
            }
            Mail::Answer(update) => {
                if let Some(document) = node.absorb(&update, now) {
                    self.adopt(to, document, update.news);
                }
            }
            Mail::Rules(document) => {
                node.reached(now);
                self.adopt(to, document, News::Nothing);
            }
            Mail::Instances(list) => node.list(&list, now),
        }
    }

    fn adopt(&mut self, at: usize, document: Document, news: News) {
        let random = &mut self.random;
        let actions = self.places[at]
            .node
            .adopt(document, news, || random.random());
        self.act(at, actions);
    }

    fn disturb(&mut self) {
        if self.chance(20) {
            self.accepted += self.random.random_range(1..4);
        }
        if self.chance(100) {
            self.platform_down = !self.platform_down;
        }
        let at = self.random.random_range(0..self.places.len());
        if self.chance(40) {
            self.places[at].paused_until =
                self.now + Duration::from_millis(self.random.random_range(0..20_000));
        }
        if self.chance(60) {
            self.restart(at);
        }
        if self.chance(10) {
            let name = format!("node-{:03}", self.random.random_range(0..self.places.len()));
            self.places[at].node.fail(&name, self.now);
        }
    }

    fn restart(&mut self, at: usize) {
        let others = self
            .places
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != at);
        // What all others hold, a new life cannot serve less than.
        let held = others
            .map(|(_, place)| place.node.history().generation())
            .min();
        let now = self.now;
        let place = &mut self.places[at];
        place.life += 1;
        place.floor = place.served.min(held.unwrap_or_default());
        place.served = 0;
        place.paused_until = now;
        place.node = Node::new(member(at, place.life * 1_000), now)
            .with_seeds(vec![member((at + 1) % 7, 0).address]);
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faults {
            self.disturb();
        }
        for at in 0..self.places.len() {
            if self.places[at].paused_until <= self.now {
                let random = &mut self.random;
                let actions = self.places[at].node.tick(self.now, || random.random());
                self.act(at, actions);
            }
        }
        let (now, places) = (self.now, &self.places);
        let due: Vec<Envelope> = self
            .mail
            .extract_if(.., |mail| {
                mail.due <= now && places[mail.to].paused_until <= now
            })
            .collect();
        for envelope in due {
            self.deliver(envelope);
        }
        self.check();
    }

    fn check(&mut self) {
        let now = self.now;
        for place in &mut self.places {
            let Some(newest) = place.node.history().newest() else {
                assert_eq!(place.served, 0, "rules were lost");
                continue;
            };
            assert_eq!(newest.text, text(newest.generation), "a text is not whole");
            assert!(newest.generation <= self.accepted, "it was not accepted");
            assert!(newest.generation >= place.served, "it reverted");
            if place.node.is_settled(now) {
                let waited = place.served == 0 && newest.generation < place.floor;
                assert!(
                    !waited,
                    "a new life serves older rules than all its peers hold"
                );
                place.served = newest.generation;
            }
        }
    }

    fn describe(&self) -> String {
        let places = self.places.iter().map(|place| {
            let (node, name) = (&place.node, &place.node.table().me().name);
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
            places.collect::<Vec<_>>().join("\n")
        )
    }

    fn is_converged(&self) -> bool {
        let alike = |place: &Place| {
            place.node.history().generation() == self.accepted
                && place.node.table().others().count() == self.places.len() - 1
                && place.node.table().buckets() == self.places[0].node.table().buckets()
        };
        self.places.iter().all(alike)
    }
}

/// Seeds that the search goes through.
const SEEDS: u64 = 40;

#[test]
fn node_never_reverts_and_all_converge() {
    for seed in 0..SEEDS {
        let mut world = World::new(7 + usize::try_from(seed % 3).expect("small") * 6, seed);
        for _ in 0..1_200 {
            world.step();
        }
        world.faults = false;
        world.platform_down = seed % 4 == 3;
        if world.platform_down {
            // One process at least has what was accepted last.
            world.adopt(0, document(world.accepted), News::Nothing);
        }
        let end = world.now + Duration::from_secs(40);
        while !world.is_converged() {
            assert!(world.now < end, "seed {seed}: {}", world.describe());
            world.step();
        }
    }
}

#[test]
fn node_reads_do_not_grow_with_the_fleet() {
    for count in [8, 32, 64] {
        let mut world = World::new(count, 1);
        world.faults = false;
        for _ in 0..400 {
            world.step();
        }
        let first = world.reads - u64::try_from(count).expect("few");
        assert!(
            first <= 45,
            "{count}: {first} reads in 20 s beside one each"
        );
        for _ in 0..600 {
            world.step();
        }
        let start = world.reads;
        for _ in 0..1_200 {
            world.step();
        }
        let reads = world.reads - start;
        assert!((40..=90).contains(&reads), "{count}: {reads} reads in 60 s");
    }
}
