//! Queue of requests that wait for a slot.

use super::{NameHash, Shares};
use std::time::Duration;

/// Identifies one request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub(super) u64);

/// Parameters of a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Team that sent the request.
    pub team: NameHash,
    /// Weight of the team in the fair queue, relative to other teams.
    pub weight: u32,
    /// Maximum number of requests of the team at the endpoint, queued or in
    /// flight.
    pub team_limit: Option<u32>,
    /// Owner whose reservation the team may use.
    pub owner: Option<NameHash>,
    /// Whether the request is suspected of crashing endpoints.
    pub suspect: bool,
    /// Deadline of the request, as the time since the origin of the clock.
    pub deadline: Duration,
}

/// Queued request with its ticket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) demand: Demand,
}

/// Queued requests in order of arrival.
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

    /// Removes and returns the waiter with the given ticket, if it is queued.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let index = self
            .waiters
            .binary_search_by_key(&ticket, |waiter| waiter.ticket)
            .ok()?;
        Some(self.waiters.remove(index))
    }

    /// Returns the ticket of the waiter to admit next.
    ///
    /// Waiters with a free reserved slot come first, then those of the team
    /// with the lowest virtual start, then the earliest arrival.
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
        // `min_by_key` returns the first of several equal elements.
        self.waiters
            .iter()
            .min_by_key(rank)
            .map(|waiter| waiter.ticket)
    }

    /// Returns the tickets of the waiters whose deadline has passed.
    pub(super) fn expired(&self, now: Duration) -> Vec<Ticket> {
        let expired = self.waiters.iter();
        expired
            .filter(|waiter| waiter.demand.deadline <= now)
            .map(|waiter| waiter.ticket)
            .collect()
    }

    /// Returns the tickets of all waiters.
    pub(super) fn tickets(&self) -> Vec<Ticket> {
        self.waiters.iter().map(|waiter| waiter.ticket).collect()
    }

    /// Returns the number of waiters that match the predicate.
    pub(super) fn count(&self, test: impl Fn(&Demand) -> bool) -> u32 {
        let matching = self.waiters.iter().filter(|waiter| test(&waiter.demand));
        u32::try_from(matching.count()).unwrap_or(u32::MAX)
    }
}
