//! Measures the time per step of a gate with 1,200 teams at one endpoint.
//!
//! Run it with `cargo run --release -p cicadacrank-core --example gate`.

use cicadacrank_core::admission::{
    Admission, Completion, Demand, Gate, Limits, NameHash, Policy, Ticket,
};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const TEAMS: u64 = 1_200;
const SLOTS: u32 = 64;
const STEPS: u64 = 1_000_000;

fn main() {
    let teams: Vec<NameHash> = (0..TEAMS)
        .map(|one| NameHash::new(&one.to_string()))
        .collect();
    let limits = Limits {
        cold_slots: SLOTS,
        warm_slots: SLOTS,
        warmup: Duration::ZERO,
    };
    let reservations = Vec::new();
    let mut gate = Gate::new(Policy {
        limits,
        reservations,
    });
    let mut running: VecDeque<Ticket> = VecDeque::new();
    let (mut queued, mut refused, mut rows) = (0u64, 0u64, 0);
    let began = Instant::now();
    for step in 0..STEPS {
        let now = Duration::from_micros(step);
        // Teams follow a fixed, scattered order. Two requests are released for
        // every three that arrive.
        let team = teams[usize::try_from(step * 769 % TEAMS).unwrap_or(0)];
        let demand = Demand {
            team,
            weight: 1,
            team_limit: None,
            owner: None,
            suspect: false,
            deadline: now + Duration::from_secs(4),
        };
        match gate.acquire(demand, now) {
            Ok(Admission::Admitted(ticket)) => running.push_back(ticket),
            Ok(Admission::Queued(_)) => queued += 1,
            Err(_) => refused += 1,
        }
        if step % 3 != 0
            && let Some(ticket) = running.pop_front()
        {
            let decisions = gate.release(ticket, Completion::Success, now);
            running.extend(decisions.iter().map(|decision| decision.ticket));
        }
        rows = rows.max(gate.teams());
    }
    let nanos = began.elapsed().as_nanos() / u128::from(STEPS);
    println!("{nanos} ns a step; {queued} queued, {refused} refused; {rows} rows at most");
}
