//! The queued pieces of each service, with the channels for their results.

use super::{Output, release::Guard};
use crate::{
    gateway::{
        rollout,
        state::{State, lock},
    },
    memory::Reservation,
    platform::stage::Source,
};
use cicadacrank_core::{
    batch::{self, Pool, Ticket},
    config::Config,
    directory::{Endpoint, Incarnation},
    error::Kind,
    forecast::Forecasts,
    placement::Fleet,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::{Notify, mpsc};

/// Maximum time between two calls to an endpoint that states a limit.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(10);

/// The pools of all services that process stages, sorted by service name.
#[derive(Debug, Default)]
pub struct Pools {
    pub(super) batchers: Mutex<Vec<Arc<Batcher>>>,
    /// Time that tasks wait beyond their calls, by service.
    waits: Mutex<Forecasts>,
    /// Time from the send of a request to its first event, by route.
    first_events: Mutex<Forecasts>,
    pub(super) changed: Notify,
}

#[derive(Debug)]
pub(super) struct Batcher {
    pub(super) service: String,
    pub(super) inner: Mutex<Inner>,
    pub(super) wake: Notify,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pool: Pool,
    pub(super) endpoints: Vec<Endpoint>,
    /// Whether the pool holds only some of the endpoints, because of a roll-out.
    filtered: bool,
    pub(super) waiting: Vec<Waiting>,
    pub(super) next_ticket: u64,
    pub(super) next_job: u64,
    pub(super) released: Vec<(Incarnation, String)>,
    pub(super) running: bool,
}

/// A piece that has no result yet. [`Inner::waiting`] is sorted by ticket.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) piece: batch::Piece,
    pub(super) request: Arc<str>,
    pub(super) stage: u32,
    pub(super) number: u32,
    pub(super) source: Source,
    pub(super) attempts: u32,
    pub(super) spent: Option<Arc<Guard>>,
    /// Memory of all pieces of the task.
    pub(super) _memory: Arc<Reservation>,
    pub(super) reply: mpsc::UnboundedSender<(u32, Result<Output, Kind>)>,
}

impl Pools {
    /// Applies the services of a configuration. Services that remain keep their
    /// queues.
    pub fn set_config(&self, config: &Config) {
        let mut batchers = lock(&self.batchers);
        let workers = config
            .services
            .iter()
            .filter_map(|service| Some((&service.name, service.worker?)));
        let mut next: Vec<Arc<Batcher>> = Vec::new();
        for (name, worker) in workers {
            let known = batchers.iter().find(|batcher| batcher.service == *name);
            let batcher = known.cloned().unwrap_or_else(|| {
                Arc::new(Batcher {
                    service: name.clone(),
                    inner: Mutex::new(Inner::new(Pool::new(worker))),
                    wake: Notify::new(),
                })
            });
            lock(&batcher.inner).pool.set_worker(worker);
            next.push(batcher);
        }
        *batchers = next;
        drop(batchers);
        lock(&self.waits).retain(|name| config.service(name).is_some());
        let is_route = |name: &str| config.routes.iter().any(|route| route.name == name);
        lock(&self.first_events).retain(is_route);
        self.changed.notify_one();
    }

    /// Replaces the endpoints of each service by those that are usable, spaces the calls to
    /// those that state a limit, and pauses those that want no calls.
    pub fn set_endpoints(&self, fleet: &Fleet, now: Duration) {
        for batcher in lock(&self.batchers).iter() {
            let mut inner = lock(&batcher.inner);
            let usable = fleet.usable(&batcher.service);
            inner.endpoints = usable.map(|(_, row)| row.endpoint.clone()).collect();
            let Inner {
                pool, endpoints, ..
            } = &mut *inner;
            let usable = endpoints.iter();
            pool.set_endpoints(usable.map(|one| (&one.life, one.data_centre.as_str())));
            for (_, row) in fleet.usable(&batcher.service) {
                let interval = row.stated_limit().map(call_interval);
                pool.space_calls(&row.endpoint.life, interval, now);
                pool.pause(&row.endpoint.life, row.paused_until());
            }
            drop(inner);
            batcher.wake.notify_one();
        }
    }

    /// Records how long a task of a service that was on time took beyond its calls.
    pub fn record_wait(&self, service: &str, wait: Duration, now: Duration) {
        lock(&self.waits).record(service, wait, now);
    }

    /// Returns how long the next task of a service takes beyond its calls.
    pub fn expected_wait(&self, service: &str, now: Duration) -> Duration {
        lock(&self.waits).expected(service, now)
    }

    /// Records the time from the send of a request of a route to its first event.
    pub fn record_first_event(&self, route: &str, took: Duration, now: Duration) {
        lock(&self.first_events).record(route, took, now);
    }

    /// Returns the time from the send of the next request of a route to its first event.
    pub fn expected_first_event(&self, route: &str, now: Duration) -> Duration {
        lock(&self.first_events).expected(route, now)
    }

    /// Returns the index of a service among those that process stages, or `None`
    /// if it does not process any.
    pub fn number(&self, service: &str) -> Option<usize> {
        index(&lock(&self.batchers), service)
    }

    pub(super) fn find(&self, service: &str) -> Option<Arc<Batcher>> {
        let batchers = lock(&self.batchers);
        index(&batchers, service).map(|index| Arc::clone(&batchers[index]))
    }
}

/// Returns the time between two calls to an endpoint that takes so many a second.
fn call_interval(per_second: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / per_second);
    interval.map_or(MAX_CALL_INTERVAL, |interval| {
        interval.min(MAX_CALL_INTERVAL)
    })
}

fn index(batchers: &[Arc<Batcher>], service: &str) -> Option<usize> {
    batchers
        .binary_search_by(|batcher| batcher.service.as_str().cmp(service))
        .ok()
}

impl Inner {
    pub(super) const fn new(pool: Pool) -> Self {
        Self {
            pool,
            endpoints: Vec::new(),
            filtered: false,
            waiting: Vec::new(),
            next_ticket: 0,
            next_job: 0,
            released: Vec::new(),
            running: false,
        }
    }

    /// Leaves out the endpoints that a roll-out of the service does not allow now.
    pub(super) fn apply_rollout(&mut self, state: &State, service: &str) {
        let is_concerned = state.rollouts.concerns(service);
        if !is_concerned && !self.filtered {
            return;
        }
        let allowed = rollout::allowed_workers(state, &self.endpoints);
        let usable = self.endpoints.iter().zip(allowed);
        let usable = usable.filter(|(_, allowed)| *allowed);
        self.pool
            .set_endpoints(usable.map(|(one, _)| (&one.life, one.data_centre.as_str())));
        self.filtered = is_concerned;
    }

    /// Returns the registration of a usable endpoint.
    pub(super) fn endpoint(&self, incarnation: &Incarnation) -> Option<&Endpoint> {
        self.endpoints.iter().find(|one| one.life == *incarnation)
    }

    /// Removes and returns the pieces with these tickets, in the same order.
    pub(super) fn dequeue(&mut self, tickets: &[Ticket]) -> Vec<Waiting> {
        let mut positions: Vec<(Ticket, usize)> = tickets.iter().copied().zip(0..).collect();
        positions.sort_unstable();
        let position = |ticket| positions.binary_search_by_key(&ticket, |one| one.0);
        let dequeued = self
            .waiting
            .extract_if(.., |one| position(one.ticket).is_ok())
            .filter_map(|one| Some((positions[position(one.ticket).ok()?].1, one)));
        let mut dequeued: Vec<(usize, Waiting)> = dequeued.collect();
        dequeued.sort_unstable_by_key(|one| one.0);
        dequeued.into_iter().map(|one| one.1).collect()
    }

    /// Queues a piece. Returns `false` if the queue is full.
    pub(super) fn enqueue(&mut self, waiting: Waiting) -> bool {
        if !self.pool.add(waiting.piece) {
            return false;
        }
        let index = self
            .waiting
            .partition_point(|one| one.ticket < waiting.ticket);
        self.waiting.insert(index, waiting);
        true
    }

    /// Returns the address and the data centre of an endpoint, or `None` if it is
    /// no longer usable.
    pub(super) fn address(&self, incarnation: &Incarnation) -> Option<(SocketAddr, String)> {
        let found = self.endpoint(incarnation)?;
        Some((found.address, found.data_centre.clone()))
    }
}
