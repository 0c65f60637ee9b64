//! Exchanges of heartbeats in fleets of 8 to 300 gateways.

use cicadacrank_core::roster::{Gateway, LIVE_TIMEOUT, Room, Roster, Sign, fan_out};
use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// Interval between the heartbeats of a gateway, in milliseconds.
const INTERVAL_MS: u64 = 250;

/// Maximum number of gateways in an answer whose reader lacks them.
const MAX_LACKING: usize = 64;

/// Approximate size of an entry of a digest, in bytes.
const SIGN_BYTES: usize = 7;

/// Approximate size of the row of a gateway, in bytes.
const ROW_BYTES: usize = 60;

fn gateway(index: usize, incarnation: u64) -> Gateway {
    Gateway {
        instance: format!("gateway-{index:04}"),
        incarnation,
        address: format!("gateway-{index:04}:1"),
        leaving: false,
        heartbeats: 0,
        reads_digests: true,
        room: Room::default(),
    }
}

/// Gateways that exchange heartbeats over links that lose some of them.
struct Fleet {
    rosters: Vec<Roster>,
    phases_ms: Vec<u64>,
    is_running: Vec<bool>,
    /// Gateways below this index do not reach the others.
    cut: usize,
    loss: f64,
    random: Xoshiro256PlusPlus,
    /// Reports of a running gateway as lost.
    false_losses: usize,
    sent_bytes: usize,
    largest_bytes: usize,
}

impl Fleet {
    /// Creates gateways of one incarnation that know all others from the store.
    fn new(size: usize, incarnation: u64, seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let rosters = (0..size).map(|index| {
            let mut roster = Roster::new(gateway(index, incarnation));
            for other in (0..size).filter(|other| *other != index) {
                roster.learn(gateway(other, 1), Duration::ZERO);
            }
            roster
        });
        let rosters = rosters.collect();
        let phases = (0..size).map(|_| random.random_range(0..INTERVAL_MS));
        Self {
            rosters,
            phases_ms: phases.collect(),
            is_running: vec![true; size],
            cut: 0,
            loss: 0.0,
            random,
            false_losses: 0,
            sent_bytes: 0,
            largest_bytes: 0,
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in from_ms..until_ms {
            for index in 0..self.rosters.len() {
                if now_ms % INTERVAL_MS == self.phases_ms[index] && self.is_running[index] {
                    self.beat(index, Duration::from_millis(now_ms));
                }
            }
        }
    }

    fn beat(&mut self, index: usize, now: Duration) {
        self.rosters[index].count_heartbeat();
        for silent in self.rosters[index].take_silent(now) {
            let lost = position(&silent);
            if self.is_running[lost] && self.reaches(index, lost) {
                self.false_losses += 1;
            }
        }
        for receiver in self.receivers(index, now) {
            let is_lost = self.random.random_bool(self.loss);
            if is_lost || !self.is_running[receiver] || !self.reaches(index, receiver) {
                let instance = self.rosters[receiver].local().instance.clone();
                self.rosters[index].record_failure(&instance, now);
                continue;
            }
            let digest = self.rosters[index].digest(now);
            self.deliver(index, receiver, &digest, Vec::new(), now);
            let reader = &self.rosters[index].local().instance;
            let lacking = self.rosters[receiver].lacking(&digest, reader, MAX_LACKING, now);
            let lacking = lacking.into_iter().cloned().collect();
            let digest = self.rosters[receiver].digest(now);
            self.deliver(receiver, index, &digest, lacking, now);
        }
    }

    fn receivers(&mut self, index: usize, now: Duration) -> Vec<usize> {
        let roster = &self.rosters[index];
        let known: Vec<usize> = roster.others().map(|one| position(&one.instance)).collect();
        let partners = roster.partners(now);
        let partners = partners.into_iter().map(|one| position(&one.instance));
        let partners: Vec<usize> = partners.collect();
        let count = fan_out(known.len());
        let mut chosen = if partners.len() < known.len() {
            partners.into_iter().sample(&mut self.random, count - 1)
        } else {
            Vec::new()
        };
        let others = known.into_iter().filter(|one| !chosen.contains(one));
        let others = others.sample(&mut self.random, count - chosen.len());
        chosen.extend(others);
        chosen
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        digest: &[Sign],
        rows: Vec<Gateway>,
        now: Duration,
    ) {
        let bytes = (rows.len() + 1) * ROW_BYTES + digest.len() * SIGN_BYTES;
        self.sent_bytes += bytes;
        self.largest_bytes = self.largest_bytes.max(bytes);
        let sender = self.rosters[from].local().clone();
        let roster = &mut self.rosters[to];
        roster.record_contact(sender, now);
        for row in rows {
            roster.learn(row, now);
        }
        roster.merge(digest, now);
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        (one < self.cut) == (other < self.cut)
    }

    /// Returns whether each running gateway has as many live others as it can reach.
    fn is_agreed(&self, now_ms: u64) -> bool {
        let now = Duration::from_millis(now_ms);
        let size = self.rosters.len();
        let running = (0..size).filter(|index| self.is_running[*index]);
        let mut running = running.map(|index| {
            let reached = (0..size).filter(|other| {
                *other != index && self.is_running[*other] && self.reaches(index, *other)
            });
            (index, reached.count())
        });
        running.all(|(index, reached)| self.rosters[index].live(now).count() == reached)
    }

    /// Runs until all agree, and returns when they do. Panics after `until_ms`.
    fn run_until_agreed(&mut self, from_ms: u64, until_ms: u64) -> u64 {
        let mut now_ms = from_ms;
        while !self.is_agreed(now_ms) {
            assert!(now_ms < until_ms, "{} gateways", self.rosters.len());
            self.run(now_ms, now_ms + 100);
            now_ms += 100;
        }
        now_ms
    }

    /// Returns the bytes a second that a gateway sends between two times.
    fn bytes_per_second(&mut self, from_ms: u64, until_ms: u64) -> usize {
        self.sent_bytes = 0;
        self.run(from_ms, until_ms);
        self.sent_bytes * 1_000 / (until_ms - from_ms) as usize / self.rosters.len()
    }
}

fn position(instance: &str) -> usize {
    let number = instance.rsplit('-').next().expect("a number");
    number.parse().expect("a number")
}

/// All processes start at once, after the store has listed processes of before.
#[test]
fn all_gateways_know_one_another_within_three_seconds_of_a_total_kill() {
    for (size, seed) in [(8, 1), (30, 2), (100, 3), (300, 4)] {
        let mut fleet = Fleet::new(size, 2, seed);
        let agreed_ms = fleet.run_until_agreed(1, 3_000);
        println!("{size} gateways: {agreed_ms} ms after a start of all");
    }
}

/// Each heartbeat named all gateways, with some 60 bytes for each.
#[test]
fn calm_fleet_loses_no_gateway_and_its_messages_stay_small() {
    for (size, seed) in [(8, 1), (30, 2), (100, 3), (300, 4)] {
        let mut fleet = Fleet::new(size, 1, seed);
        fleet.run(0, 2_500);
        fleet.false_losses = 0;
        fleet.largest_bytes = 0;
        let bytes = fleet.bytes_per_second(2_500, 4_500);
        println!(
            "{size} gateways: {bytes} bytes a second, {} at most",
            fleet.largest_bytes
        );
        assert_eq!(fleet.false_losses, 0, "{size} gateways");
        assert!(fleet.largest_bytes <= 2 * ROW_BYTES + size * SIGN_BYTES);
    }
}

#[test]
fn lossy_links_lose_few_gateways() {
    for (size, seed) in [(30, 1), (100, 2)] {
        let mut fleet = Fleet::new(size, 1, seed);
        fleet.run(0, 4_000);
        fleet.false_losses = 0;
        fleet.loss = 0.05;
        fleet.run(4_000, 8_000);
        println!("{size} gateways: {} false losses", fleet.false_losses);
        // Of all pairs, at each heartbeat.
        assert!(fleet.false_losses < size * size * 16 / 1_000);
    }
}

#[test]
fn stopped_gateways_are_lost_by_all_within_two_and_a_half_seconds() {
    for (size, seed) in [(8, 1), (30, 2), (100, 3), (300, 4)] {
        let mut fleet = Fleet::new(size, 1, seed);
        fleet.run(0, 2_500);
        // A third, as if a data centre were lost.
        for index in 0..size / 3 {
            fleet.is_running[index] = false;
        }
        let lost_ms = fleet.run_until_agreed(2_500, 5_000) - 2_500;
        println!("{size} gateways: {lost_ms} ms until the loss of a third is known");
    }
}

#[test]
fn parts_that_were_cut_off_meet_again() {
    for (size, seed) in [(30, 1), (100, 2)] {
        let mut fleet = Fleet::new(size, 1, seed);
        fleet.run(0, 4_000);
        fleet.cut = size / 3;
        let parted_ms = fleet.run_until_agreed(4_000, 6_500);
        fleet.run(parted_ms, 7_000);
        fleet.cut = 0;
        let met_ms = fleet.run_until_agreed(7_000, 10_000) - 7_000;
        println!("{size} gateways: {met_ms} ms until all have met again");
    }
}

#[test]
fn announcement_to_leave_reaches_all_within_its_live_timeout() {
    let mut fleet = Fleet::new(300, 1, 6);
    fleet.run(0, 2_500);
    fleet.rosters[7].leave();
    let end = 2_500 + LIVE_TIMEOUT.as_millis() as u64;
    fleet.run(2_500, end);
    let knows = |roster: &Roster| {
        let mut others = roster.others();
        others.any(|one| one.instance == "gateway-0007" && one.leaving)
    };
    let knowing = fleet.rosters.iter().filter(|one| knows(one)).count();
    assert_eq!(knowing, 299);
}

#[test]
fn merge_keeps_the_newest_heartbeat_and_digest_carries_announcements() {
    let mut one = Roster::new(gateway(0, 1));
    let mut other = Roster::new(gateway(1, 1));
    let third = Gateway {
        heartbeats: 5,
        ..gateway(2, 1)
    };
    one.record_contact(third.clone(), Duration::ZERO);
    other.learn(gateway(2, 1), Duration::ZERO);
    let digest = one.digest(Duration::ZERO);
    assert_eq!(other.merge(&digest, Duration::ZERO), ["gateway-0002"]);
    assert!(other.merge(&digest, Duration::ZERO).is_empty());
    let leaving = Gateway {
        leaving: true,
        heartbeats: 6,
        ..third
    };
    one.record_contact(leaving, Duration::ZERO);
    let digest = one.digest(Duration::ZERO);
    let sign = digest[0];
    assert_eq!(Sign::new(sign.id, sign.count()), sign);
    other.merge(&digest, Duration::ZERO);
    assert!(other.others().all(|one| one.leaving && one.heartbeats == 6));
}

/// The digest of a process names its incarnation, so that a heartbeat of the process before
/// it says nothing of the new one.
#[test]
fn merge_ignores_heartbeats_of_another_incarnation() {
    let mut old = Roster::new(gateway(0, 1));
    old.record_contact(
        Gateway {
            heartbeats: 9,
            ..gateway(2, 1)
        },
        Duration::ZERO,
    );
    let mut new = Roster::new(gateway(1, 1));
    new.learn(gateway(2, 2), Duration::ZERO);
    let digest = old.digest(Duration::ZERO);
    assert!(new.merge(&digest, Duration::ZERO).is_empty());
    assert_eq!(new.live(Duration::ZERO).count(), 0);
    let lacking = new.lacking(&digest, "gateway-0000", MAX_LACKING, Duration::ZERO);
    assert!(lacking.is_empty(), "it isn't live there");
}
