//! The gate before one endpoint.

use super::{
    ColdReason, Demand, Epoch, Health, Limits, Monitor, NameHash, Phase, Shares, Ticket, Warmup,
    queue::{Queue, Waiter},
};
use crate::error::Kind;
use std::time::Duration;

/// Most requests that wait for each slot the endpoint bears.
const QUEUE_PER_SLOT: u32 = 4;

/// Part of a new service time that enters the mean: one in this many.
const MEAN_WEIGHT: u32 = 8;

/// First parts of a warm endpoint that make their usual time known.
const MIN_FIRST_PARTS: u32 = 16;

/// A first part that takes this many times the usual is a sign of a cold start.
const SLOW_FIRST_PART_FACTOR: u32 = 8;

/// Slots of an endpoint kept for an owner's teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Owner whose teams they are kept for.
    pub owner: NameHash,
    /// How many.
    pub slots: u32,
}

/// What the rules say of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// What it bears.
    pub limits: Limits,
    /// What is kept for whom.
    pub reservations: Vec<Reservation>,
}

/// The answer to a demand that was not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot.
    Admitted(Ticket),
    /// The request waits; a [`Decision`] will decide.
    Queued(Ticket),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub ticket: Ticket,
    /// Admitted, or why not.
    pub result: Result<(), Kind>,
}

/// How work that held a slot ended, as far as the gate is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The endpoint answered whole.
    Success,
    /// Nothing about the endpoint was learnt.
    Neutral,
    /// The endpoint seems to have turned cold.
    Cold(ColdReason),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    demand: Demand,
    epoch: Epoch,
    since: Duration,
}

/// Admits no more work than one endpoint bears, and keeps the rest in order.
///
/// The count is the gate's own, so no lagging report can let in too much.
/// After a sign of a cold start nothing is admitted until the work in flight is
/// below the cold limit: what was admitted before the sign is the only excess.
#[derive(Clone, Debug)]
pub struct Gate {
    warmup: Warmup,
    monitor: Monitor,
    reservations: Vec<Reservation>,
    running: Vec<Running>,
    queue: Queue,
    shares: Shares,
    mean_service_time: Duration,
    mean_first_part: Duration,
    first_parts: u32,
    leaving: bool,
    next: u64,
}

impl Gate {
    /// Creates the gate of a cold endpoint.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            warmup: Warmup::new(policy.limits),
            monitor: Monitor::default(),
            reservations: policy.reservations,
            running: Vec::new(),
            queue: Queue::default(),
            shares: Shares::default(),
            mean_service_time: Duration::ZERO,
            mean_first_part: Duration::ZERO,
            first_parts: 0,
            leaving: false,
            next: 0,
        }
    }

    /// Takes up what newer rules say.
    pub fn set_policy(&mut self, policy: Policy) {
        self.warmup.set_limits(policy.limits);
        self.reservations = policy.reservations;
    }

    /// Notes a sign that the endpoint turned cold.
    pub const fn mark_cold(&mut self, _reason: ColdReason) {
        self.warmup.mark_cold();
        self.first_parts = 0;
    }

    /// Takes up what the engine reports, or that it does not.
    pub fn observe(&mut self, health: Option<Health>) -> Option<ColdReason> {
        let reason = self.monitor.observe(health);
        if let Some(reason) = reason {
            self.mark_cold(reason);
        }
        self.warmup.hold(self.monitor.is_cold());
        reason
    }

    /// Returns the incarnation that the engine reported last.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.monitor.incarnation()
    }

    /// Asks for a slot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Leaving`], [`Kind::TeamLimit`] or [`Kind::Overloaded`];
    /// the request is neither admitted nor queued.
    pub fn acquire(&mut self, demand: Demand, now: Duration) -> Result<Admission, Kind> {
        if self.leaving {
            return Err(Kind::Leaving);
        }
        let limit = demand.team_limit.unwrap_or(u32::MAX);
        if self.shares.requests(demand.team) >= limit {
            return Err(Kind::TeamLimit);
        }
        if demand.suspect && self.has_suspect() {
            return Err(Kind::Overloaded);
        }
        let ticket = Ticket(self.next);
        let waiter = Waiter { ticket, demand };
        if self.has_slot() && self.queue.len() == 0 {
            self.next += 1;
            self.start(waiter, now);
            return Ok(Admission::Admitted(ticket));
        }
        self.check_wait(&demand, now)?;
        self.next += 1;
        self.shares.enqueue(demand.team, demand.weight);
        self.queue.push(waiter);
        Ok(Admission::Queued(ticket))
    }

    /// Takes a request that waits out of the queue; its caller went away.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiter) = self.queue.remove(ticket) {
            self.shares.dequeue(waiter.demand.team);
        }
    }

    /// Returns a slot and says who is next.
    pub fn release(
        &mut self,
        ticket: Ticket,
        completion: Completion,
        now: Duration,
    ) -> Vec<Decision> {
        let found = self
            .running
            .binary_search_by_key(&ticket, |running| running.ticket);
        if let Ok(index) = found {
            let running = self.running.remove(index);
            self.shares.release(running.demand.team);
            self.record_completion(&running, completion, now);
        }
        self.tick(now)
    }

    /// Notes that the first part of an answer came.
    ///
    /// Once the endpoint is warm, a first part that takes far longer than usual
    /// is a sign that the engine behind it started anew.
    pub fn record_first_part(&mut self, ticket: Ticket, now: Duration) {
        let mut running = self.running.iter();
        let Some(running) = running.find(|running| running.ticket == ticket) else {
            return;
        };
        let is_current = running.epoch == self.warmup.epoch();
        let took = now.saturating_sub(running.since);
        if !is_current || self.warmup.phase() != Phase::Warm {
            return;
        }
        if self.first_parts >= MIN_FIRST_PARTS
            && took > self.mean_first_part * SLOW_FIRST_PART_FACTOR
        {
            self.mark_cold(ColdReason::SlowFirstPart);
            return;
        }
        self.first_parts = self.first_parts.saturating_add(1);
        self.mean_first_part = moving_average(self.mean_first_part, took);
    }

    /// Says who is next after time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for ticket in self.queue.expired(now) {
            self.reject(ticket, Kind::Overloaded, &mut decisions);
        }
        while self.has_slot() {
            let next = self
                .queue
                .next(&self.shares, |demand| self.has_free_reservation(demand));
            let Some(waiter) = next.and_then(|ticket| self.queue.remove(ticket)) else {
                break;
            };
            self.shares.dequeue(waiter.demand.team);
            self.start(waiter, now);
            decisions.push(Decision {
                ticket: waiter.ticket,
                result: Ok(()),
            });
        }
        decisions
    }

    /// Stops new work for good and refuses what waits.
    pub fn leave(&mut self) -> Vec<Decision> {
        self.leaving = true;
        self.reject_queued(Kind::Leaving)
    }

    /// Refuses what waits.
    pub fn reject_queued(&mut self, kind: Kind) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for ticket in self.queue.tickets() {
            self.reject(ticket, kind, &mut decisions);
        }
        decisions
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len()
    }

    /// Returns the requests in flight that the endpoint bears now.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.warmup.slots()
    }

    /// Returns how warm the endpoint is.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.leaving {
            Phase::Leaving
        } else {
            self.warmup.phase()
        }
    }

    /// Returns how many teams the gate keeps state for.
    #[must_use]
    pub const fn teams(&self) -> usize {
        self.shares.len()
    }

    /// Returns how long a request of the team would wait if it came now.
    #[must_use]
    pub fn expected_wait(&self, demand: &Demand) -> Duration {
        let ahead = if self.has_free_reservation(demand) {
            self.queue.count(|other| self.has_free_reservation(other))
        } else {
            self.shares.requests_ahead(demand.team, demand.weight)
        };
        self.mean_service_time * (ahead + 1) / self.slots().max(1)
    }

    fn check_wait(&self, demand: &Demand, now: Duration) -> Result<(), Kind> {
        let bound = self.slots().saturating_mul(QUEUE_PER_SLOT);
        let is_full = self.queue.len() >= bound && !self.is_reserved(demand);
        let remaining = demand.deadline.saturating_sub(now);
        if is_full || remaining < self.expected_wait(demand) + self.mean_service_time {
            return Err(Kind::Overloaded);
        }
        Ok(())
    }

    /// Returns whether the request's owner holds less than its reservation.
    fn has_free_reservation(&self, demand: &Demand) -> bool {
        self.running_count(demand.owner) < self.reserved_slots(demand.owner)
    }

    /// Returns whether the reservation covers the request besides all that
    /// runs or waits on it already.
    fn is_reserved(&self, demand: &Demand) -> bool {
        let queued = self.queue.count(|other| other.owner == demand.owner);
        self.running_count(demand.owner) + queued < self.reserved_slots(demand.owner)
    }

    fn reserved_slots(&self, owner: Option<NameHash>) -> u32 {
        let mut reservations = self.reservations.iter();
        reservations
            .find(|one| Some(one.owner) == owner)
            .map_or(0, |one| one.slots)
    }

    fn running_count(&self, owner: Option<NameHash>) -> u32 {
        let running = self.running.iter();
        let count = running.filter(|one| one.demand.owner == owner).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn has_slot(&self) -> bool {
        self.in_flight() < self.slots()
    }

    fn has_suspect(&self) -> bool {
        self.running.iter().any(|running| running.demand.suspect)
            || self.queue.count(|demand| demand.suspect) > 0
    }

    fn start(&mut self, waiter: Waiter, now: Duration) {
        let Waiter { ticket, demand } = waiter;
        self.shares.admit(demand.team, demand.weight);
        let index = self
            .running
            .partition_point(|running| running.ticket < ticket);
        let running = Running {
            ticket,
            demand,
            epoch: self.warmup.epoch(),
            since: now,
        };
        self.running.insert(index, running);
    }

    fn reject(&mut self, ticket: Ticket, kind: Kind, decisions: &mut Vec<Decision>) {
        self.cancel(ticket);
        decisions.push(Decision {
            ticket,
            result: Err(kind),
        });
    }

    fn record_completion(&mut self, running: &Running, completion: Completion, now: Duration) {
        match completion {
            Completion::Success => {
                self.warmup.record_success(running.epoch, now);
                self.mean_service_time =
                    moving_average(self.mean_service_time, now.saturating_sub(running.since));
            }
            Completion::Cold(reason) if running.epoch == self.warmup.epoch() => {
                self.mark_cold(reason);
            }
            Completion::Cold(_) | Completion::Neutral => {}
        }
    }
}

fn moving_average(mean: Duration, took: Duration) -> Duration {
    if mean.is_zero() {
        return took;
    }
    (mean * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT
}
