//! Requests that wait for a slot.

use super::{NameHash, Shares};
use std::time::Duration;

/// Names one request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub(super) u64);

/// What a request asks of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Team that asks.
    pub team: NameHash,
    /// Share of the team, relative to other teams.
    pub weight: u32,
    /// Most requests of the team at the endpoint, waiting or in flight.
    pub team_limit: Option<u32>,
    /// Owner whose reservation the team draws on.
    pub owner: Option<NameHash>,
    /// Whether the request is suspected of crashing endpoints.
    pub suspect: bool,
    /// When the request must have ended.
    pub deadline: Duration,
}

/// A request with its ticket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) demand: Demand,
}

/// Requests that wait, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
}

impl Queue {
    pub(super) fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.waiters.len()).unwrap_or(u32::MAX)
    }

    /// Takes one waiter out.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let index = self
            .waiters
            .binary_search_by_key(&ticket, |waiter| waiter.ticket)
            .ok()?;
        Some(self.waiters.remove(index))
    }

    /// Returns the next waiter: one with a reserved slot free before any other,
    /// then the one whose team is next, then the first to come.
    pub(super) fn next(
        &self,
        shares: &Shares,
        has_free_reservation: impl Fn(&Demand) -> bool,
    ) -> Option<Ticket> {
        let rank = |waiter: &&Waiter| {
            let demand = &waiter.demand;
            (
                !has_free_reservation(demand),
                shares.virtual_start(demand.team),
            )
        };
        // `min_by_key` keeps the first of equals.
        self.waiters
            .iter()
            .min_by_key(rank)
            .map(|waiter| waiter.ticket)
    }

    /// Returns the waiters whose deadline has passed.
    pub(super) fn expired(&self, now: Duration) -> Vec<Ticket> {
        let expired = self.waiters.iter();
        expired
            .filter(|waiter| waiter.demand.deadline <= now)
            .map(|waiter| waiter.ticket)
            .collect()
    }

    /// Returns every waiter.
    pub(super) fn tickets(&self) -> Vec<Ticket> {
        self.waiters.iter().map(|waiter| waiter.ticket).collect()
    }

    /// Returns how many waiters pass the test.
    pub(super) fn count(&self, test: impl Fn(&Demand) -> bool) -> u32 {
        let matching = self.waiters.iter().filter(|waiter| test(&waiter.demand));
        u32::try_from(matching.count()).unwrap_or(u32::MAX)
    }
}
