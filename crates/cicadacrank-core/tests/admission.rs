//! Tests of admission control.

use cicadacrank_core::{
    admission::{
        Admission, ColdReason, Completion, Decision, Demand, Gate, Health, Limits, NameHash, Phase,
        Policy, Reservation, Ticket, Warmup,
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

fn fixed(slots: u32, reservations: Vec<Reservation>) -> Gate {
    Gate::new(Policy {
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
        team: NameHash::new(team),
        weight,
        team_limit: None,
        owner: None,
        suspect: false,
        deadline: NEVER,
    }
}

fn owned(team: &str, owner: &str) -> Demand {
    Demand {
        owner: Some(NameHash::new(owner)),
        ..demand(team, 1)
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn acquire(gate: &mut Gate, demand: Demand) -> Admission {
    gate.acquire(demand, Duration::ZERO)
        .expect("the request is admitted or queued")
}

fn ticket(admission: Admission) -> Ticket {
    match admission {
        Admission::Admitted(ticket) | Admission::Queued(ticket) => ticket,
    }
}

#[test]
fn slots_rise_by_time_and_by_successes() {
    // Successes at second 0, later successes, the second of the later
    // successes, expected slots and phase.
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
        let mut warmup = Warmup::new(limits());
        for _ in 0..first {
            warmup.record_success(warmup.epoch(), Duration::ZERO);
        }
        for _ in 0..more {
            warmup.record_success(warmup.epoch(), secs(at));
        }
        let case = format!("{first} and {more} after {at} s");
        assert_eq!((warmup.slots(), warmup.phase()), (slots, phase), "{case}");
    }
}

#[test]
fn observe_detects_a_cold_start_from_the_reports() {
    let health = |incarnation, cold| Some(Health { incarnation, cold });
    // Reports in order, the reason returned for the last one, and the slots of
    // an endpoint that was warm before them.
    let cases = [
        (vec![health(1, false), health(1, false)], None, 8),
        (
            vec![health(1, false), health(2, false)],
            Some(ColdReason::Incarnation),
            2,
        ),
        (
            vec![health(2, false), health(1, false)],
            Some(ColdReason::ReportWentBack),
            2,
        ),
        (
            vec![health(1, false), health(1, true)],
            Some(ColdReason::ReportedCold),
            2,
        ),
        (vec![health(1, false), None], None, 8),
        (
            vec![health(1, false), None, None],
            Some(ColdReason::ReportStopped),
            2,
        ),
        (vec![health(1, false), None, None, None], None, 2),
        (vec![None, None, None], None, 8),
        (vec![health(1, true)], None, 2),
    ];
    for (reports, reason, slots) in cases {
        let mut gate = warm();
        let last = reports.iter().map(|report| gate.observe(*report)).last();
        assert_eq!(
            (last.flatten(), gate.slots()),
            (reason, slots),
            "{reports:?}"
        );
    }
}

/// Returns a gate that has served enough requests to be warm.
fn warm() -> Gate {
    let mut gate = Gate::new(Policy {
        limits: limits(),
        reservations: Vec::new(),
    });
    for at in 0..20 {
        let admission = gate
            .acquire(demand("a", 1), secs(at))
            .expect("a slot is free");
        gate.release(ticket(admission), Completion::Success, secs(at));
    }
    assert_eq!(gate.phase(), Phase::Warm);
    gate
}

#[test]
fn record_success_ignores_work_from_before_the_cold_start() {
    let mut warmup = Warmup::new(limits());
    let before = warmup.epoch();
    warmup.mark_cold();
    (0..100).for_each(|at| warmup.record_success(before, secs(at)));
    assert_eq!(warmup.slots(), COLD);
}

#[test]
fn release_marks_cold_once_for_simultaneous_failures() {
    let mut gate = fixed(4, Vec::new());
    let tickets: Vec<_> = (0..4)
        .map(|_| ticket(acquire(&mut gate, demand("a", 1))))
        .collect();
    gate.release(tickets[0], Completion::Cold(ColdReason::Refused), secs(1));
    let fresh = ticket(acquire(&mut gate, demand("a", 1)));
    gate.release(tickets[1], Completion::Cold(ColdReason::Refused), secs(2));
    gate.release(fresh, Completion::Success, secs(3));
    assert_eq!(gate.phase(), Phase::Warm);
}

#[test]
fn record_first_part_marks_a_restarted_engine_cold() {
    for (took, phase) in [(80, Phase::Warm), (90, Phase::Cold)] {
        let mut gate = fixed(1, Vec::new());
        for at in (0..170).step_by(10) {
            let now = Duration::from_millis(at);
            let admission = gate.acquire(demand("a", 1), now).expect("a slot is free");
            let now = now + Duration::from_millis(10);
            gate.record_first_part(ticket(admission), now);
            gate.release(ticket(admission), Completion::Success, now);
        }
        let now = secs(1);
        let admission = gate.acquire(demand("a", 1), now).expect("a slot is free");
        let now = now + Duration::from_millis(took);
        gate.record_first_part(ticket(admission), now);
        assert_eq!(gate.phase(), phase, "{took} ms");
    }
}

#[test]
fn acquire_shares_by_weight() {
    let mut gate = fixed(1, Vec::new());
    let mut running = ticket(acquire(&mut gate, demand("other", 1)));
    let mut heavy = Vec::new();
    for _ in 0..2 {
        heavy.push(ticket(acquire(&mut gate, demand("heavy", 3))));
        acquire(&mut gate, demand("light", 1));
    }
    let mut won = 0;
    for _ in 0..80 {
        let decisions = gate.release(running, Completion::Neutral, secs(1));
        running = decisions[0].ticket;
        let team = if heavy.contains(&running) {
            "heavy"
        } else {
            "light"
        };
        let weight = if team == "heavy" { 3 } else { 1 };
        let next = ticket(acquire(&mut gate, demand(team, weight)));
        if team == "heavy" {
            won += 1;
            heavy.push(next);
        }
    }
    assert_eq!(won, 60);
}

#[test]
fn acquire_rejects_only_the_team_at_its_limit() {
    let mut gate = fixed(8, Vec::new());
    let limited = Demand {
        team_limit: Some(1),
        ..demand("a", 1)
    };
    acquire(&mut gate, limited);
    assert_eq!(gate.acquire(limited, Duration::ZERO), Err(Kind::TeamLimit));
    acquire(&mut gate, demand("b", 1));
}

#[test]
fn acquire_lends_idle_reserved_slots_and_the_owner_gets_the_next() {
    let reservation = Reservation {
        owner: NameHash::new("o"),
        slots: 1,
    };
    let mut gate = fixed(2, vec![reservation]);
    let lent: Vec<_> = (0..2).map(|_| acquire(&mut gate, demand("b", 9))).collect();
    assert!(
        lent.iter()
            .all(|admission| matches!(admission, Admission::Admitted(_)))
    );
    acquire(&mut gate, demand("b", 9));
    let Admission::Queued(own) = acquire(&mut gate, owned("a", "o")) else {
        panic!("the request preempted running work");
    };
    let decisions = gate.release(ticket(lent[0]), Completion::Neutral, secs(1));
    let expected = Decision {
        ticket: own,
        result: Ok(()),
    };
    assert_eq!(decisions, [expected]);
}

#[test]
fn acquire_queues_reserved_work_when_the_queue_is_full() {
    let reservation = Reservation {
        owner: NameHash::new("o"),
        slots: 1,
    };
    let mut gate = fixed(1, vec![reservation]);
    for _ in 0..5 {
        acquire(&mut gate, demand("b", 1));
    }
    let refused = gate.acquire(demand("b", 1), Duration::ZERO);
    assert_eq!(refused, Err(Kind::Overloaded));
    acquire(&mut gate, owned("a", "o"));
    let second = gate.acquire(owned("a", "o"), Duration::ZERO);
    assert_eq!(second, Err(Kind::Overloaded));
}

#[test]
fn acquire_rejects_a_request_that_cannot_meet_its_deadline() {
    let mut gate = fixed(1, Vec::new());
    let first = ticket(acquire(&mut gate, demand("a", 1)));
    gate.release(first, Completion::Success, secs(2));
    gate.acquire(demand("a", 1), secs(2))
        .expect("a slot is free");
    // There is one slot and the mean service time is two seconds, so a request
    // waits for two seconds and runs for two.
    for (remaining, accepted) in [(3, false), (4, true)] {
        let hurried = Demand {
            deadline: secs(2 + remaining),
            ..demand("b", 1)
        };
        let is_accepted = gate.acquire(hurried, secs(2)).is_ok();
        assert_eq!(is_accepted, accepted, "{remaining} s");
    }
}

#[test]
fn acquire_admits_one_suspect_at_a_time() {
    let mut gate = fixed(8, Vec::new());
    let suspect = Demand {
        suspect: true,
        ..demand("a", 1)
    };
    let first = ticket(acquire(&mut gate, suspect));
    assert_eq!(gate.acquire(suspect, secs(0)), Err(Kind::Overloaded));
    acquire(&mut gate, demand("a", 1));
    gate.release(first, Completion::Success, secs(1));
    acquire(&mut gate, suspect);
}

#[test]
fn leave_rejects_queued_requests() {
    let mut gate = fixed(1, Vec::new());
    acquire(&mut gate, demand("a", 1));
    let Admission::Queued(waiting) = acquire(&mut gate, demand("a", 1)) else {
        panic!("the request was admitted to an occupied slot");
    };
    let expected = Decision {
        ticket: waiting,
        result: Err(Kind::Leaving),
    };
    assert_eq!(gate.leave(), [expected]);
    assert_eq!(gate.acquire(demand("a", 1), secs(0)), Err(Kind::Leaving));
}

#[derive(Clone, Debug)]
enum Step {
    Acquire(u8, u64),
    End(usize, u8),
    Cancel(usize),
    MarkCold,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..6, 1u64..30).prop_map(|(team, left)| Step::Acquire(team, left)),
        5 => (any::<usize>(), 0u8..10).prop_map(|(which, how)| Step::End(which, how)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::MarkCold),
        3 => (1u64..3_000).prop_map(Step::Wait),
    ]
}

/// Drives a gate and tracks independently which requests run and which are
/// queued.
struct Model {
    gate: Gate,
    now: Duration,
    running: Vec<Ticket>,
    waiting: Vec<Ticket>,
}

impl Model {
    fn new() -> Self {
        let reservation = Reservation {
            owner: NameHash::new("0"),
            slots: 2,
        };
        let policy = Policy {
            limits: limits(),
            reservations: vec![reservation],
        };
        Self {
            gate: Gate::new(policy),
            now: Duration::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn take(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            self.waiting.retain(|ticket| *ticket != decision.ticket);
            if decision.result.is_ok() {
                self.admitted(decision.ticket);
            }
        }
    }

    fn admitted(&mut self, ticket: Ticket) {
        self.running.push(ticket);
        assert!(self.running.len() <= self.gate.slots() as usize);
    }

    fn end(&mut self, which: usize, completion: Completion) {
        if !self.running.is_empty() {
            let ticket = self.running.remove(which % self.running.len());
            let decisions = self.gate.release(ticket, completion, self.now);
            self.take(decisions);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Acquire(team, left) => {
                let name = team.to_string();
                let demand = Demand {
                    deadline: self.now + secs(left),
                    suspect: team == 5,
                    ..owned(&name, if team < 2 { "0" } else { "1" })
                };
                match self.gate.acquire(demand, self.now) {
                    Ok(Admission::Admitted(ticket)) => self.admitted(ticket),
                    Ok(Admission::Queued(ticket)) => self.waiting.push(ticket),
                    Err(kind) => assert_eq!(kind, Kind::Overloaded),
                }
            }
            Step::End(which, 0) => self.end(which, Completion::Cold(ColdReason::Refused)),
            Step::End(which, 1) => self.end(which, Completion::Neutral),
            Step::End(which, _) => self.end(which, Completion::Success),
            Step::Cancel(_) if self.waiting.is_empty() => {}
            Step::Cancel(which) => {
                let ticket = self.waiting.remove(which % self.waiting.len());
                self.gate.cancel(ticket);
            }
            Step::MarkCold => self.gate.mark_cold(ColdReason::Incarnation),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                let decisions = self.gate.tick(self.now);
                self.take(decisions);
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
fn gate_serves_all_queued_requests_and_then_holds_no_state() {
    run(256, |steps| {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
        }
        let decisions = model.gate.tick(model.now);
        model.take(decisions);
        while !model.running.is_empty() {
            model.end(0, Completion::Neutral);
        }
        prop_assert!(model.waiting.is_empty());
        prop_assert_eq!(model.gate.teams(), 0);
        Ok(())
    });
}
