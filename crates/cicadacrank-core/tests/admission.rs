//! Tests of admission.

use cicadacrank_core::{
    admission::{
        Ask, Demand, Ended, Gate, Health, Limits, Phase, Reserved, Sign, Tag, Terms, Ticket, Turn,
        Warmth,
    },
    error::Kind,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::time::Duration;

const COLD: u32 = 2;
const WARM: u32 = 8;
const WARMUP: Duration = Duration::from_secs(10);
const NEVER: Duration = Duration::from_secs(1_000_000);

fn limits() -> Limits {
    Limits {
        cold_slots: COLD,
        warm_slots: WARM,
        warmup: WARMUP,
    }
}

fn fixed(slots: u32, reservations: Vec<Reserved>) -> Gate {
    Gate::new(Terms {
        limits: Limits {
            cold_slots: slots,
            warm_slots: slots,
            warmup: Duration::ZERO,
        },
        reservations,
    })
}

fn demand(team: &str, weight: u32) -> Demand {
    Demand {
        team: Tag::new(team),
        weight,
        team_limit: None,
        owner: None,
        suspect: false,
        deadline: NEVER,
    }
}

fn owned(team: &str, owner: &str) -> Demand {
    Demand {
        owner: Some(Tag::new(owner)),
        ..demand(team, 1)
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ask(gate: &mut Gate, demand: Demand) -> Ask {
    gate.ask(demand, Duration::ZERO)
        .expect("the demand is taken")
}

fn ticket(ask: Ask) -> Ticket {
    match ask {
        Ask::Admitted(ticket) | Ask::Queued(ticket) => ticket,
    }
}

#[test]
fn slots_rise_by_time_and_by_successes() {
    // Successes at second 0, successes after so many seconds, slots, phase.
    let cases = [
        (0, 0, 0, 2, Phase::Cold),
        (100, 0, 0, 2, Phase::Cold),
        (100, 100, 9, 2, Phase::Cold),
        (100, 0, 1_000, 2, Phase::Cold),
        (1, 1, 10, 3, Phase::Warming),
        (1, 5, 10, 7, Phase::Warming),
        (1, 100, 10, 8, Phase::Warm),
        (0, 100, 1_000, 2, Phase::Cold),
    ];
    for (first, more, at, slots, phase) in cases {
        let mut warmth = Warmth::new(limits());
        for _ in 0..first {
            warmth.succeed(warmth.epoch(), Duration::ZERO);
        }
        for _ in 0..more {
            warmth.succeed(warmth.epoch(), secs(at));
        }
        let case = format!("{first} and {more} after {at} s");
        assert_eq!((warmth.slots(), warmth.phase()), (slots, phase), "{case}");
    }
}

#[test]
fn observe_tells_a_cold_start_from_the_report() {
    let health = |incarnation, cold| Some(Health { incarnation, cold });
    // Reports in order; the sign at the last; slots of an endpoint warm before.
    let cases = [
        (vec![health(1, false), health(1, false)], None, 8),
        (
            vec![health(1, false), health(2, false)],
            Some(Sign::Incarnation),
            2,
        ),
        (
            vec![health(2, false), health(1, false)],
            Some(Sign::ReportWentBack),
            2,
        ),
        (
            vec![health(1, false), health(1, true)],
            Some(Sign::ReportedCold),
            2,
        ),
        (vec![health(1, false), None], None, 8),
        (
            vec![health(1, false), None, None],
            Some(Sign::ReportStopped),
            2,
        ),
        (vec![health(1, false), None, None, None], None, 2),
        (vec![None, None, None], None, 8),
        (vec![health(1, true)], None, 2),
    ];
    for (reports, sign, slots) in cases {
        let mut gate = warm();
        let last = reports.iter().map(|report| gate.observe(*report)).last();
        assert_eq!((last.flatten(), gate.slots()), (sign, slots), "{reports:?}");
    }
}

/// Returns a gate that has served long enough to be warm.
fn warm() -> Gate {
    let mut gate = Gate::new(Terms {
        limits: limits(),
        reservations: Vec::new(),
    });
    for at in 0..20 {
        let ask = gate.ask(demand("a", 1), secs(at)).expect("a slot is free");
        gate.release(ticket(ask), Ended::Success, secs(at));
    }
    assert_eq!(gate.phase(), Phase::Warm);
    gate
}

#[test]
fn succeed_ignores_work_from_before_the_sign() {
    let mut warmth = Warmth::new(limits());
    let before = warmth.epoch();
    warmth.chill();
    (0..100).for_each(|at| warmth.succeed(before, secs(at)));
    assert_eq!(warmth.slots(), COLD);
}

#[test]
fn release_chills_once_for_all_that_fails_together() {
    let mut gate = fixed(4, Vec::new());
    let tickets: Vec<_> = (0..4)
        .map(|_| ticket(ask(&mut gate, demand("a", 1))))
        .collect();
    gate.release(tickets[0], Ended::Cold(Sign::Refused), secs(1));
    let fresh = ticket(ask(&mut gate, demand("a", 1)));
    gate.release(tickets[1], Ended::Cold(Sign::Refused), secs(2));
    gate.release(fresh, Ended::Success, secs(3));
    assert_eq!(gate.phase(), Phase::Warm);
}

#[test]
fn first_part_of_a_cold_engine_chills() {
    for (took, phase) in [(80, Phase::Warm), (90, Phase::Cold)] {
        let mut gate = fixed(1, Vec::new());
        for at in (0..170).step_by(10) {
            let now = Duration::from_millis(at);
            let ask = gate.ask(demand("a", 1), now).expect("a slot is free");
            let now = now + Duration::from_millis(10);
            gate.first_part(ticket(ask), now);
            gate.release(ticket(ask), Ended::Success, now);
        }
        let now = secs(1);
        let ask = gate.ask(demand("a", 1), now).expect("a slot is free");
        let now = now + Duration::from_millis(took);
        gate.first_part(ticket(ask), now);
        assert_eq!(gate.phase(), phase, "{took} ms");
    }
}

#[test]
fn ask_shares_by_weight() {
    let mut gate = fixed(1, Vec::new());
    let mut running = ticket(ask(&mut gate, demand("other", 1)));
    let mut heavy = Vec::new();
    for _ in 0..2 {
        heavy.push(ticket(ask(&mut gate, demand("heavy", 3))));
        ask(&mut gate, demand("light", 1));
    }
    let mut won = 0;
    for _ in 0..80 {
        let turns = gate.release(running, Ended::Neutral, secs(1));
        running = turns[0].ticket;
        let team = if heavy.contains(&running) {
            "heavy"
        } else {
            "light"
        };
        let weight = if team == "heavy" { 3 } else { 1 };
        let next = ticket(ask(&mut gate, demand(team, weight)));
        if team == "heavy" {
            won += 1;
            heavy.push(next);
        }
    }
    assert_eq!(won, 60);
}

#[test]
fn ask_refuses_the_team_at_its_limit_only() {
    let mut gate = fixed(8, Vec::new());
    let limited = Demand {
        team_limit: Some(1),
        ..demand("a", 1)
    };
    ask(&mut gate, limited);
    assert_eq!(gate.ask(limited, Duration::ZERO), Err(Kind::TeamLimit));
    ask(&mut gate, demand("b", 1));
}

#[test]
fn ask_lends_idle_reserved_slots_and_the_owner_gets_the_next() {
    let kept = Reserved {
        owner: Tag::new("o"),
        slots: 1,
    };
    let mut gate = fixed(2, vec![kept]);
    let lent: Vec<_> = (0..2).map(|_| ask(&mut gate, demand("b", 9))).collect();
    assert!(lent.iter().all(|ask| matches!(ask, Ask::Admitted(_))));
    ask(&mut gate, demand("b", 9));
    let Ask::Queued(own) = ask(&mut gate, owned("a", "o")) else {
        panic!("running work is not preempted");
    };
    let turns = gate.release(ticket(lent[0]), Ended::Neutral, secs(1));
    let expected = Turn {
        ticket: own,
        verdict: Ok(()),
    };
    assert_eq!(turns, [expected]);
}

#[test]
fn ask_takes_reserved_work_though_the_queue_is_full() {
    let kept = Reserved {
        owner: Tag::new("o"),
        slots: 1,
    };
    let mut gate = fixed(1, vec![kept]);
    for _ in 0..5 {
        ask(&mut gate, demand("b", 1));
    }
    let refused = gate.ask(demand("b", 1), Duration::ZERO);
    assert_eq!(refused, Err(Kind::Overloaded));
    ask(&mut gate, owned("a", "o"));
    let second = gate.ask(owned("a", "o"), Duration::ZERO);
    assert_eq!(second, Err(Kind::Overloaded));
}

#[test]
fn ask_refuses_what_cannot_end_in_time() {
    let mut gate = fixed(1, Vec::new());
    let first = ticket(ask(&mut gate, demand("a", 1)));
    gate.release(first, Ended::Success, secs(2));
    gate.ask(demand("a", 1), secs(2)).expect("a slot is free");
    // One slot, two seconds a piece: two to wait and two to run.
    for (remaining, taken) in [(3, false), (4, true)] {
        let hurried = Demand {
            deadline: secs(2 + remaining),
            ..demand("b", 1)
        };
        let taken_in = gate.ask(hurried, secs(2)).is_ok();
        assert_eq!(taken_in, taken, "{remaining} s");
    }
}

#[test]
fn ask_admits_one_suspect_at_a_time() {
    let mut gate = fixed(8, Vec::new());
    let suspect = Demand {
        suspect: true,
        ..demand("a", 1)
    };
    let first = ticket(ask(&mut gate, suspect));
    assert_eq!(gate.ask(suspect, secs(0)), Err(Kind::Overloaded));
    ask(&mut gate, demand("a", 1));
    gate.release(first, Ended::Success, secs(1));
    ask(&mut gate, suspect);
}

#[test]
fn leave_refuses_what_waits() {
    let mut gate = fixed(1, Vec::new());
    ask(&mut gate, demand("a", 1));
    let Ask::Queued(waiting) = ask(&mut gate, demand("a", 1)) else {
        panic!("the slot is taken");
    };
    let expected = Turn {
        ticket: waiting,
        verdict: Err(Kind::Leaving),
    };
    assert_eq!(gate.leave(), [expected]);
    assert_eq!(gate.ask(demand("a", 1), secs(0)), Err(Kind::Leaving));
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u8, u64),
    End(usize, u8),
    Cancel(usize),
    Chill,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..6, 1u64..30).prop_map(|(team, left)| Step::Ask(team, left)),
        5 => (any::<usize>(), 0u8..10).prop_map(|(which, how)| Step::End(which, how)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::Chill),
        3 => (1u64..3_000).prop_map(Step::Wait),
    ]
}

/// Drives a gate and keeps its own account of what runs and waits.
struct Model {
    gate: Gate,
    now: Duration,
    running: Vec<Ticket>,
    waiting: Vec<Ticket>,
}

impl Model {
    fn new() -> Self {
        let kept = Reserved {
            owner: Tag::new("0"),
            slots: 2,
        };
        let terms = Terms {
            limits: limits(),
            reservations: vec![kept],
        };
        Self {
            gate: Gate::new(terms),
            now: Duration::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn take(&mut self, turns: Vec<Turn>) {
        for turn in turns {
            self.waiting.retain(|ticket| *ticket != turn.ticket);
            if turn.verdict.is_ok() {
                self.admitted(turn.ticket);
            }
        }
    }

    fn admitted(&mut self, ticket: Ticket) {
        self.running.push(ticket);
        assert!(self.running.len() <= self.gate.slots() as usize);
    }

    fn end(&mut self, which: usize, ended: Ended) {
        if !self.running.is_empty() {
            let ticket = self.running.remove(which % self.running.len());
            let turns = self.gate.release(ticket, ended, self.now);
            self.take(turns);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Ask(team, left) => {
                let name = team.to_string();
                let demand = Demand {
                    deadline: self.now + secs(left),
                    suspect: team == 5,
                    ..owned(&name, if team < 2 { "0" } else { "1" })
                };
                match self.gate.ask(demand, self.now) {
                    Ok(Ask::Admitted(ticket)) => self.admitted(ticket),
                    Ok(Ask::Queued(ticket)) => self.waiting.push(ticket),
                    Err(kind) => assert_eq!(kind, Kind::Overloaded),
                }
            }
            Step::End(which, 0) => self.end(which, Ended::Cold(Sign::Refused)),
            Step::End(which, 1) => self.end(which, Ended::Neutral),
            Step::End(which, _) => self.end(which, Ended::Success),
            Step::Cancel(_) if self.waiting.is_empty() => {}
            Step::Cancel(which) => {
                let ticket = self.waiting.remove(which % self.waiting.len());
                self.gate.cancel(ticket);
            }
            Step::Chill => self.gate.chill(Sign::Incarnation),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                let turns = self.gate.tick(self.now);
                self.take(turns);
            }
        }
    }
}

fn run(cases: u32, test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(step(), 1..200);
    TestRunner::new_with_rng(config, random)
        .run(&steps, test)
        .unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn gate_admits_no_more_than_the_phase_allows() {
    run(512, |steps| {
        let mut model = Model::new();
        for step in steps {
            let before = model.running.len();
            model.apply(step);
            let slots = model.gate.slots() as usize;
            prop_assert!(model.running.len() <= slots.max(before));
            prop_assert_eq!(model.gate.in_flight() as usize, model.running.len());
            prop_assert_eq!(model.gate.queued() as usize, model.waiting.len());
        }
        Ok(())
    });
}

#[test]
fn gate_serves_all_that_waits_and_then_keeps_nothing() {
    run(256, |steps| {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
        }
        let turns = model.gate.tick(model.now);
        model.take(turns);
        while !model.running.is_empty() {
            model.end(0, Ended::Neutral);
        }
        prop_assert!(model.waiting.is_empty());
        prop_assert_eq!(model.gate.teams(), 0);
        Ok(())
    });
}
