//! Admission control for one endpoint.

use super::{
    ColdReason, Demand, Epoch, Health, Limits, Monitor, NameHash, Phase, Shares, Ticket, Warmup,
    queue::{Queue, Waiter},
};
use crate::error::Kind;
use std::time::Duration;

/// Maximum number of queued requests per slot of the endpoint.
const QUEUE_PER_SLOT: u32 = 4;

/// Inverse weight of a new sample in the moving averages: a sample counts for
/// one part in this many.
const MEAN_WEIGHT: u32 = 8;

/// Number of first parts from a warm endpoint that must be measured before
/// their mean time is used to detect a cold start.
const MIN_FIRST_PARTS: u32 = 16;

/// Ratio of the time to the first part to its mean above which the endpoint is
/// considered cold.
const SLOW_FIRST_PART_FACTOR: u32 = 8;

/// Slots of an endpoint reserved for the teams of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Owner whose teams may use the reservation.
    pub owner: NameHash,
    /// Number of reserved slots.
    pub slots: u32,
}

/// Admission rules of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Concurrency limits.
    pub limits: Limits,
    /// Slots reserved for owners.
    pub reservations: Vec<Reservation>,
}

/// Result of a slot request that was not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot.
    Admitted(Ticket),
    /// The request is queued; a later [`Decision`] admits or rejects it.
    Queued(Ticket),
}

/// Outcome for a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// `Ok` if the request was admitted, otherwise the kind of failure.
    pub result: Result<(), Kind>,
}

/// How admitted work ended, as reported to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The endpoint returned a complete answer.
    Success,
    /// The result says nothing about the state of the endpoint.
    Neutral,
    /// The result suggests that the endpoint is cold again.
    Cold(ColdReason),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    demand: Demand,
    epoch: Epoch,
    since: Duration,
}

/// Limits the concurrency of one endpoint and queues the requests that exceed
/// it.
///
/// The gate counts the requests in flight itself, so a delayed load report
/// cannot cause it to admit too many. After a cold start is detected, nothing
/// is admitted until the number of requests in flight drops below the cold
/// limit; only requests admitted before the detection can exceed that limit.
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
    /// Creates a gate for an endpoint that is cold.
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

    /// Replaces the limits and reservations with those of newer rules.
    pub fn set_policy(&mut self, policy: Policy) {
        self.warmup.set_limits(policy.limits);
        self.reservations = policy.reservations;
    }

    /// Marks the endpoint as cold, which restarts the warm-up and the
    /// measurement of first parts.
    pub const fn mark_cold(&mut self, _reason: ColdReason) {
        self.warmup.mark_cold();
        self.first_parts = 0;
    }

    /// Processes a health report of the engine, or `None` if the report failed.
    ///
    /// Returns the reason if the endpoint is considered cold again.
    pub fn observe(&mut self, health: Option<Health>) -> Option<ColdReason> {
        let reason = self.monitor.observe(health);
        if let Some(reason) = reason {
            self.mark_cold(reason);
        }
        self.warmup.hold(self.monitor.is_cold());
        reason
    }

    /// Returns the incarnation that the engine last reported, if any.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.monitor.incarnation()
    }

    /// Requests a slot; the request is admitted at once or queued.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Leaving`] if the gate takes no new work,
    /// [`Kind::TeamLimit`] if the team is at its limit, and
    /// [`Kind::Overloaded`] if the request is suspect and another suspect is
    /// queued or in flight, if the queue is full, or if the deadline is too
    /// close. The request is then neither admitted nor queued.
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

    /// Removes a queued request, for example because its caller disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiter) = self.queue.remove(ticket) {
            self.shares.dequeue(waiter.demand.team);
        }
    }

    /// Frees the slot of a request and returns the decisions for queued
    /// requests.
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

    /// Records that the first part of an answer arrived.
    ///
    /// On a warm endpoint, a first part that takes far longer than the mean
    /// indicates that the engine was restarted, and the endpoint is marked
    /// cold.
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

    /// Rejects queued requests whose deadline has passed, admits as many others
    /// as there are free slots, and returns these decisions.
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

    /// Stops admission permanently and rejects all queued requests.
    pub fn leave(&mut self) -> Vec<Decision> {
        self.leaving = true;
        self.reject_queued(Kind::Leaving)
    }

    /// Rejects all queued requests with the given kind of failure.
    pub fn reject_queued(&mut self, kind: Kind) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for ticket in self.queue.tickets() {
            self.reject(ticket, kind, &mut decisions);
        }
        decisions
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len()
    }

    /// Returns the current limit on requests in flight.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.warmup.slots()
    }

    /// Returns the warm-up phase, or [`Phase::Leaving`] once admission has
    /// stopped.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.leaving {
            Phase::Leaving
        } else {
            self.warmup.phase()
        }
    }

    /// Returns the number of teams for which the gate holds state.
    #[must_use]
    pub const fn teams(&self) -> usize {
        self.shares.len()
    }

    /// Estimates how long the request would be queued if it arrived now.
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

    /// Returns whether the owner of the request has fewer requests in flight
    /// than reserved slots.
    fn has_free_reservation(&self, demand: &Demand) -> bool {
        self.running_count(demand.owner) < self.reserved_slots(demand.owner)
    }

    /// Returns whether the reservation has room for the request in addition to
    /// the requests of its owner that are already in flight or queued.
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
