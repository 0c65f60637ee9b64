//! Tests of the grants beyond the shares in stated limits while gateways stop, die and
//! start again, with lost heartbeats.

use cicadacrank_core::{
    directory::{Endpoint, Incarnation, Snapshot, State},
    placement::{Fleet, Key, Limit, Locality},
    roster::{Gateway, Room, Roster},
    version::Version,
};
use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const SERVICE: &str = "engine";

/// Window in which a stated limit is broken above 1.5 times the limit and 5 requests.
const WINDOW_MS: u64 = 4_000;

/// Time until all gateways have run for a window and know the limit.
const WARMUP_MS: u64 = 8_000;

const END_MS: u64 = 25_000;

const STEP_MS: u64 = 5;

const HEARTBEAT_MS: u64 = 250;

/// Number of gateways that a heartbeat is exchanged with.
const FAN_OUT: usize = 8;

/// Time from SIGTERM to the exit of a gateway.
const DRAIN_MS: u64 = 3_500;

/// Time from the exit of a gateway to its next start.
const DOWN_MS: u64 = 500;

/// How gateways end.
#[derive(Clone, Copy, Debug)]
enum End {
    /// They announce that they leave and go on for a while.
    Terminated,
    /// They are gone at once.
    Killed,
}

struct Process {
    name: String,
    starts_ms: u64,
    /// Time of the exit. The process is gone until its next start.
    ends_ms: Option<u64>,
    roster: Roster,
    fleet: Fleet,
}

fn endpoint() -> Endpoint {
    Endpoint {
        life: Incarnation {
            id: "i-1".to_owned(),
            born: Some(1),
        },
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        data_centre: "one".to_owned(),
        version: "v1".to_owned(),
        slots: 16,
        state: State::Ready,
        cold: Duration::ZERO,
        sequence: 1,
    }
}

impl Process {
    fn start(name: &str, now_ms: u64) -> Self {
        let mut fleet = Fleet::default();
        let endpoints = vec![endpoint()];
        fleet.update(
            &Snapshot::new(Version::new(0, 1), endpoints),
            Duration::ZERO,
        );
        let local = Gateway {
            instance: name.to_owned(),
            incarnation: now_ms + 1,
            address: name.to_owned(),
            leaving: false,
            heartbeats: 0,
            reads_digests: false,
            room: Room::default(),
        };
        Self {
            name: name.to_owned(),
            starts_ms: now_ms,
            ends_ms: None,
            roster: Roster::new(local),
            fleet,
        }
    }

    fn is_running(&self, now_ms: u64) -> bool {
        now_ms >= self.starts_ms && self.ends_ms.is_none_or(|end| now_ms < end)
    }

    /// Records the limit of the endpoint, whose statements are not simulated.
    fn learn_limit(&mut self, per_second: f64, at: Duration) {
        let per_second = Some(per_second);
        let limit = Limit { per_second, at };
        self.fleet.record_limit(&endpoint().life, limit);
    }

    /// Returns the time since the start of the process.
    fn clock(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms - self.starts_ms)
    }
}

struct Simulation {
    processes: Vec<Process>,
    limit: f64,
    /// Fraction of heartbeats that are lost.
    loss: f64,
    random: Xoshiro256PlusPlus,
    sends_ms: Vec<u64>,
}

impl Simulation {
    fn new(gateways: usize, limit: f64, loss: f64, seed: u64) -> Self {
        let names = (0..gateways).map(|number| format!("gateway-{number}"));
        Self {
            processes: names.map(|name| Process::start(&name, 0)).collect(),
            limit,
            loss,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            sends_ms: Vec::new(),
        }
    }

    /// Ends a gateway each `gap_ms`, all of them in turn, again and again, and returns the
    /// times of all sends.
    fn run(mut self, end: End, gap_ms: u64) -> Vec<u64> {
        let mut next = 0;
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            if now_ms >= WARMUP_MS && (now_ms - WARMUP_MS).is_multiple_of(gap_ms) {
                let process = &mut self.processes[next];
                if process.ends_ms.is_none() {
                    match end {
                        End::Terminated => {
                            process.roster.leave();
                            process.ends_ms = Some(now_ms + DRAIN_MS);
                        }
                        End::Killed => process.ends_ms = Some(now_ms),
                    }
                }
                next = (next + 1) % self.processes.len();
            }
            for process in &mut self.processes {
                if process.ends_ms.is_some_and(|end| now_ms >= end + DOWN_MS) {
                    let name = process.name.clone();
                    *process = Process::start(&name, now_ms);
                }
            }
            for index in 0..self.processes.len() {
                let phase = (index as u64 * 37 + now_ms) % HEARTBEAT_MS;
                if phase < STEP_MS && self.processes[index].is_running(now_ms) {
                    self.beat(index, now_ms);
                }
            }
            self.send(now_ms);
        }
        self.sends_ms
    }

    fn beat(&mut self, index: usize, now_ms: u64) {
        self.processes[index].roster.count_heartbeat();
        let peers = (0..self.processes.len()).filter(|peer| *peer != index);
        for peer in peers.sample(&mut self.random, FAN_OUT) {
            if !self.processes[peer].is_running(now_ms) {
                let (clock, name) = (
                    self.processes[index].clock(now_ms),
                    self.processes[peer].name.clone(),
                );
                self.processes[index].roster.record_failure(&name, clock);
                continue;
            }
            for (from, to) in [(index, peer), (peer, index)] {
                if !self.random.random_bool(self.loss) {
                    self.pass_on(from, to, now_ms);
                }
            }
        }
        let process = &mut self.processes[index];
        let (processes, position) = process.roster.shares(process.clock(now_ms));
        process.fleet.set_processes(processes, position);
    }

    fn pass_on(&mut self, from: usize, to: usize, now_ms: u64) {
        let sender = &self.processes[from];
        let local = sender.roster.local().clone();
        let others: Vec<Gateway> = sender.roster.live(sender.clock(now_ms)).cloned().collect();
        let receiver = &mut self.processes[to];
        let now = receiver.clock(now_ms);
        receiver.roster.record_contact(local, now);
        for other in others {
            receiver.roster.learn(other, now);
        }
        receiver.learn_limit(self.limit, now);
    }

    /// Lets a random gateway send a request, if the limits allow it.
    fn send(&mut self, now_ms: u64) {
        let running = (0..self.processes.len()).filter(|one| {
            let process = &self.processes[*one];
            process.is_running(now_ms) && process.clock(now_ms) > Duration::from_secs(1)
        });
        let Some(index) = running.sample(&mut self.random, 1).first().copied() else {
            return;
        };
        let now = self.processes[index].clock(now_ms);
        let locality = Locality::default();
        let fleet = &mut self.processes[index].fleet;
        if let Some(key) = fleet.choose_plain(SERVICE, &locality, now) {
            fleet.begin(key, 0, now);
            self.processes[index].fleet.end(key);
            return self.sends_ms.push(now_ms);
        }
        let Some(key) = fleet.choose_plain_beyond_share(SERVICE, &locality, now) else {
            return;
        };
        if self.grant(index, key, now_ms) {
            self.sends_ms.push(now_ms);
        }
    }

    fn grant(&mut self, asker: usize, key: Key, now_ms: u64) -> bool {
        let process = &self.processes[asker];
        let life = process
            .fleet
            .row(key)
            .expect("listed")
            .endpoint
            .life
            .clone();
        let grantor = process.roster.grantor(&life.id, process.clock(now_ms));
        let name = grantor
            .map_or(&process.name, |grantor| &grantor.instance)
            .clone();
        let mut processes = self.processes.iter_mut();
        let grantor = processes.find(|process| process.name == name);
        let grantor = grantor.expect("the grantor is simulated");
        if !grantor.is_running(now_ms) {
            return false;
        }
        let now = grantor.clock(now_ms);
        grantor.learn_limit(self.limit, now);
        let held = grantor.roster.reserve_held(&life.id, now);
        held.is_some_and(|held| grantor.fleet.try_grant(&life, None, held, now))
    }
}

fn most_in_a_window(times_ms: &[u64]) -> usize {
    let counts = times_ms.iter().enumerate().map(|(index, start)| {
        let window = times_ms[index..].iter();
        window.take_while(|at| **at < start + WINDOW_MS).count()
    });
    counts.max().unwrap_or(0)
}

/// Each gateway that took over the reserve of a limit granted the whole of it: with restarts
/// 1.5 s apart, three of them within four seconds.
#[test]
fn gateways_that_end_in_turn_grant_no_more_than_the_limit_allows() {
    for end in [End::Terminated, End::Killed] {
        for (gateways, loss) in [(4, 0.0), (4, 0.1), (13, 0.05)] {
            for (limit, gap_ms) in [(0.5, 1_000), (1.0, 1_500), (1.4, 1_500), (4.0, 700)] {
                for seed in 0..2 {
                    let simulation = Simulation::new(gateways, limit, loss, seed);
                    let sends = simulation.run(end, gap_ms);
                    let allowed = (limit * 1.5).mul_add(WINDOW_MS as f64 / 1_000.0, 5.0);
                    let most = most_in_a_window(&sends);
                    let case = format!("{end:?} {gateways} loss {loss} limit {limit} seed {seed}");
                    assert!(most as f64 <= allowed, "{case}: {most} in four seconds");
                    let seconds = END_MS as f64 / 1_000.0;
                    assert!(
                        sends.len() as f64 >= limit * seconds * 0.25,
                        "{case}: only {} in {seconds} s",
                        sends.len()
                    );
                }
            }
        }
    }
}
