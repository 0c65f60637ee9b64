//! Rosters: liveness, ownership and shares of gateways.

use cicadacrank_core::{
    roster::{Catchup, Gateway, LIVE_TIMEOUT, RETENTION, Request, Room, Roster},
    version::Version,
};
use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

fn gateway(instance: &str) -> Gateway {
    Gateway {
        instance: instance.to_owned(),
        incarnation: 1,
        address: format!("{instance}:1"),
        leaving: false,
        heartbeats: 0,
        reads_digests: false,
        room: Room::default(),
    }
}

fn roster(me: &str, others: &[&str]) -> Roster {
    let mut roster = Roster::new(gateway(me));
    for other in others {
        roster.record_contact(gateway(other), Duration::ZERO);
    }
    roster
}

fn owner(roster: &Roster, service: usize, now: Duration) -> String {
    let owner = roster.owner(service, now).unwrap_or_else(|| roster.local());
    owner.instance.clone()
}

#[test]
fn owner_is_the_same_for_all_that_see_the_same() {
    let names = ["a", "b", "c", "d"];
    for service in 0..9 {
        let owners: Vec<String> = names
            .iter()
            .map(|me| {
                let others: Vec<&str> = names.iter().filter(|one| *one != me).copied().collect();
                owner(&roster(me, &others), service, Duration::ZERO)
            })
            .collect();
        assert!(owners.iter().all(|one| *one == owners[0]), "{owners:?}");
    }
}

#[test]
fn owner_is_never_silent_or_leaving() {
    let mut roster = roster("b", &["a"]);
    assert_eq!(owner(&roster, 0, Duration::ZERO), "a");
    assert_eq!(owner(&roster, 0, LIVE_TIMEOUT), "b");
    roster.record_contact(
        Gateway {
            leaving: true,
            ..gateway("a")
        },
        LIVE_TIMEOUT,
    );
    assert_eq!(owner(&roster, 0, LIVE_TIMEOUT), "b");
}

#[test]
fn restarted_gateway_is_not_leaving_any_more() {
    let mut roster = roster("b", &[]);
    let leaving = Gateway {
        leaving: true,
        ..gateway("a")
    };
    roster.record_contact(leaving, Duration::ZERO);
    // Outdated gossip does not undo an announcement of the same incarnation.
    roster.learn(gateway("a"), Duration::ZERO);
    assert_eq!(owner(&roster, 0, Duration::ZERO), "b");
    let restarted = Gateway {
        incarnation: 2,
        ..gateway("a")
    };
    roster.record_contact(restarted, Duration::ZERO);
    assert_eq!(owner(&roster, 0, Duration::ZERO), "a");
}

#[test]
fn shares_count_silent_gateways_until_they_are_forgotten() {
    let mut roster = roster("b", &["a", "c"]);
    assert_eq!(roster.shares(LIVE_TIMEOUT * 3), (3, 1));
    assert_eq!(roster.shares(RETENTION), (1, 0));
}

#[test]
fn record_failure_reports_a_loss_once() {
    let mut roster = roster("b", &["a"]);
    assert!(roster.record_failure("a", Duration::ZERO));
    assert!(!roster.record_failure("a", Duration::ZERO));
    assert!(roster.record_contact(gateway("a"), Duration::ZERO));
}

/// Interval between the heartbeats of a simulated gateway, in milliseconds.
const INTERVAL_MS: u64 = 250;

/// Number of gateways that a simulated gateway exchanges each heartbeat with.
const FAN_OUT: usize = 8;

/// Gateways that exchange their heartbeats with random others.
struct Simulation {
    rosters: Vec<Roster>,
    phases_ms: Vec<u64>,
    stopped: Option<usize>,
    random: Xoshiro256PlusPlus,
    /// Losses of a running gateway that another one reported.
    false_losses: usize,
    /// Gateways that reported the loss of the stopped one.
    aware: Vec<usize>,
}

impl Simulation {
    fn new(size: usize, seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let names: Vec<String> = (0..size).map(|index| format!("g-{index:04}")).collect();
        let rosters = (0..size)
            .map(|index| {
                let mut roster = Roster::new(gateway(&names[index]));
                for (_, other) in names
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other != index)
                {
                    roster.record_contact(gateway(other), Duration::ZERO);
                }
                roster
            })
            .collect();
        let phases_ms = (0..size)
            .map(|_| random.random_range(0..INTERVAL_MS))
            .collect();
        Self {
            rosters,
            phases_ms,
            stopped: None,
            random,
            false_losses: 0,
            aware: Vec::new(),
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in from_ms..until_ms {
            for index in 0..self.rosters.len() {
                let is_due = now_ms % INTERVAL_MS == self.phases_ms[index];
                if is_due && self.stopped != Some(index) {
                    self.beat(index, Duration::from_millis(now_ms));
                }
            }
        }
    }

    fn beat(&mut self, index: usize, now: Duration) {
        self.rosters[index].count_heartbeat();
        for silent in self.rosters[index].take_silent(now) {
            let lost = self.position(&silent);
            if self.stopped == Some(lost) {
                self.aware.push(index);
            } else {
                self.false_losses += 1;
            }
        }
        let count = self.rosters.len();
        for peer in (0..count)
            .filter(|peer| *peer != index)
            .sample(&mut self.random, FAN_OUT)
        {
            if self.stopped != Some(peer) {
                self.pass_on(index, peer, now);
                self.pass_on(peer, index, now);
            }
        }
    }

    fn pass_on(&mut self, from: usize, to: usize, now: Duration) {
        let sender = self.rosters[from].local().clone();
        let others: Vec<Gateway> = self.rosters[from].live(now).cloned().collect();
        self.rosters[to].record_contact(sender, now);
        for other in others {
            self.rosters[to].learn(other, now);
        }
    }

    fn position(&self, instance: &str) -> usize {
        self.rosters
            .iter()
            .position(|roster| roster.local().instance == instance)
            .expect("the gateway is simulated")
    }
}

/// With random direct contacts only, a gateway of 42 hears nothing of another one for a
/// second with a chance of 0.18.
#[test]
fn quiet_fleet_loses_no_gateway_and_a_stopped_one_is_lost_by_all() {
    for (size, seed) in [(2, 1), (13, 2), (42, 3), (42, 4), (90, 5)] {
        let mut simulation = Simulation::new(size, seed);
        simulation.run(0, 8_000);
        assert_eq!(simulation.false_losses, 0, "{size} gateways");
        simulation.stopped = Some(size / 2);
        simulation.run(8_000, 10_000);
        assert_eq!(simulation.false_losses, 0, "{size} gateways");
        assert_eq!(
            simulation.aware.len(),
            size - 1,
            "all of {size} gateways know within two seconds"
        );
    }
}

#[test]
fn grantor_is_the_same_for_all_and_differs_by_endpoint() {
    let names = ["a", "b", "c", "d"];
    let mut grantors = Vec::new();
    for endpoint in 0..40 {
        let endpoint = format!("i-{endpoint}");
        let seen: Vec<String> = names
            .iter()
            .map(|local| {
                let others: Vec<&str> = names.iter().filter(|one| *one != local).copied().collect();
                let roster = roster(local, &others);
                let grantor = roster.grantor(&endpoint, Duration::ZERO);
                grantor.unwrap_or(roster.local()).instance.clone()
            })
            .collect();
        assert!(seen.iter().all(|one| *one == seen[0]), "{seen:?}");
        grantors.push(seen[0].clone());
    }
    grantors.sort();
    grantors.dedup();
    assert_eq!(grantors, names);
}

fn is_heavier(heavy: &str, light: &str, endpoint: &str) -> bool {
    roster(light, &[heavy])
        .grantor(endpoint, Duration::ZERO)
        .is_some()
}

/// Returns an endpoint whose reserve `heavy` keeps, and `light` after it.
fn endpoint_of(heavy: &str, light: &str) -> String {
    let mut endpoints = (0..).map(|number| format!("i-{number}"));
    let found = endpoints.find(|endpoint| is_heavier(heavy, light, endpoint));
    found.expect("an endpoint")
}

/// A gateway granted the whole reserve of a limit right after another one had.
#[test]
fn reserve_held_counts_from_the_loss_of_the_gateway_before() {
    let at = Duration::from_millis;
    let endpoint = endpoint_of("a", "b");
    let mut roster = roster("b", &["a"]);
    roster.record_contact(gateway("a"), at(10_000));
    assert_eq!(roster.reserve_held(&endpoint, at(10_100)), None);
    let lost = at(10_000) + LIVE_TIMEOUT;
    assert_eq!(roster.reserve_held(&endpoint, lost), Some(Duration::ZERO));
    assert_eq!(roster.reserve_held(&endpoint, lost + at(5)), Some(at(5)));
    roster.record_contact(gateway("a"), at(20_000));
    assert_eq!(roster.reserve_held(&endpoint, at(20_000)), None, "regained");
    roster.record_failure("a", at(20_100));
    assert_eq!(roster.reserve_held(&endpoint, at(20_300)), Some(at(200)));
    roster.learn(
        Gateway {
            heartbeats: 9,
            ..gateway("a")
        },
        at(20_400),
    );
    assert_eq!(
        roster.reserve_held(&endpoint, at(20_500)),
        None,
        "heard of again"
    );
}

#[test]
fn reserve_held_counts_from_the_word_of_a_leaving_gateway() {
    let at = Duration::from_millis;
    let endpoint = endpoint_of("a", "b");
    let mut roster = roster("b", &["a"]);
    roster.record_contact(gateway("a"), at(10_000));
    let leaving = Gateway {
        leaving: true,
        ..gateway("a")
    };
    roster.record_contact(leaving.clone(), at(10_200));
    roster.record_contact(leaving, at(11_000));
    assert_eq!(roster.reserve_held(&endpoint, at(11_100)), Some(at(900)));
    roster.leave();
    assert_eq!(roster.reserve_held(&endpoint, at(11_100)), None);
}

#[test]
fn reserve_held_counts_from_the_start_without_a_gateway_before() {
    let at = Duration::from_millis;
    let endpoint = endpoint_of("a", "b");
    assert_eq!(
        roster("a", &["b"]).reserve_held(&endpoint, at(700)),
        Some(at(700))
    );
}

/// A gateway that had stood still took what it knew for what all know.
#[test]
fn is_in_touch_only_while_all_that_stay_are_live() {
    let mut roster = roster("b", &["a", "c"]);
    let now = Duration::from_millis(1);
    assert!(roster.is_in_touch(now));
    assert!(!roster.is_in_touch(LIVE_TIMEOUT), "after it stood still");
    roster.record_contact(gateway("a"), LIVE_TIMEOUT);
    assert!(!roster.is_in_touch(LIVE_TIMEOUT));
    let leaving = Gateway {
        leaving: true,
        ..gateway("c")
    };
    roster.learn(leaving, LIVE_TIMEOUT);
    assert!(
        roster.is_in_touch(LIVE_TIMEOUT),
        "one has said that it leaves"
    );
}

#[test]
fn witnesses_include_gateways_that_are_not_live() {
    let mut roster = roster("b", &["a", "c", "d"]);
    roster.record_contact(gateway("c"), LIVE_TIMEOUT);
    let names = |count| {
        let witnesses = roster.witnesses("key", count, LIVE_TIMEOUT);
        let names = witnesses.into_iter().map(|one| one.instance.as_str());
        names.collect::<Vec<_>>()
    };
    assert_eq!(names(8), ["c", "a", "d"]);
    assert_eq!(names(1), ["c"]);
}

/// Each heartbeat that named a newer revision had the whole list fetched.
#[test]
fn catchup_asks_one_gateway_at_a_time_and_for_all_endpoints_only_when_late() {
    let at = Duration::from_millis;
    let (own, theirs) = (Version::new(0, 3), Version::new(0, 5));
    let mut catchup = Catchup::default();
    let begin = |catchup: &mut Catchup, own, ms| catchup.begin(own, theirs, true, at(ms));
    assert_eq!(begin(&mut catchup, own, 0), Some(Request::Changes));
    assert_eq!(begin(&mut catchup, own, 300), None, "one is under way");
    assert_eq!(begin(&mut catchup, own, 400), Some(Request::Changes));
    catchup.end();
    assert_eq!(begin(&mut catchup, own, 500), None, "one was made just now");
    assert_eq!(begin(&mut catchup, own, 2_000), Some(Request::Whole));
    catchup.end();
    assert_eq!(begin(&mut catchup, theirs, 2_500), Some(Request::Changes));
    catchup.end();
    let without_store = catchup.begin(own, theirs, false, at(3_000));
    assert_eq!(without_store, Some(Request::Whole));
}

/// The calls of a service met at the gateway that was first by name, with a fourteenth of a
/// core and a link of 10 Mbit/s.
#[test]
fn owner_is_one_of_those_with_most_room_if_all_are_known() {
    let sized = |instance: &str, millicores, link_mbps| Gateway {
        room: Room {
            millicores,
            link_mbps,
        },
        ..gateway(instance)
    };
    let now = Duration::ZERO;
    let mut roster = Roster::new(sized("a", 68, 10));
    roster.record_contact(sized("b", 500, 200), now);
    roster.record_contact(sized("c", 500, 200), now);
    roster.record_contact(sized("d", 500, 25), now);
    let owners: Vec<String> = (0..4).map(|service| owner(&roster, service, now)).collect();
    assert_eq!(owners, ["b", "c", "b", "c"]);
    // An older process doesn't say what it has, and chooses among all.
    roster.record_contact(gateway("e"), now);
    let owners: Vec<String> = (0..5).map(|service| owner(&roster, service, now)).collect();
    assert_eq!(owners, ["a", "b", "c", "d", "e"]);
}

#[test]
fn rank_orders_the_live_gateways_that_stay() {
    let names = ["a", "b", "c"];
    let roster_of = |me: &str| {
        let others: Vec<&str> = names.iter().filter(|one| **one != me).copied().collect();
        roster(me, &others)
    };
    let rank = |me: &str| roster_of(me).rank("llm", Duration::ZERO).expect("it stays");
    let mut ranks: Vec<(usize, &str)> = names.iter().map(|me| (rank(me), *me)).collect();
    ranks.sort_unstable();
    assert!(ranks.iter().map(|one| one.0).eq(0..3), "{ranks:?}");
    let last = ranks[2].1;
    let mut without_first = roster_of(last);
    let first = Gateway {
        leaving: true,
        ..gateway(ranks[0].1)
    };
    without_first.record_contact(first, Duration::ZERO);
    assert_eq!(without_first.rank("llm", Duration::ZERO), Some(1));
    assert_eq!(without_first.rank("llm", LIVE_TIMEOUT), Some(0));
    without_first.leave();
    assert_eq!(without_first.rank("llm", LIVE_TIMEOUT), None);
}
