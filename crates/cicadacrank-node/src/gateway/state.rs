//! State that the parts of a gateway share.

use super::{
    Settings, connection::Connections, lifetime, origin, owner::Pools, peers::Links,
    rollout::Rollouts,
};
pub(super) use crate::sync::lock;
use crate::{
    clock::Clock,
    memory::Memory,
    metrics::gateway::Metrics,
    platform::{self, answer::Answer},
    quarantine::Causes,
    step::Step,
};
use cicadacrank_core::{
    config::Config,
    directory::{Evacuation, Incarnation, Tracker, evacuation},
    event::Event,
    placement::{Fleet, Key, Limit, Row},
    roster::{Catchup, Gateway, Roster},
    share::{Budget, Throttle},
    version::Version,
};
use std::{
    cmp,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Timeout of a call to the store, in addition to the time that a watch waits.
/// The store usually answers within milliseconds.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Divisor of the memory of the process. The quotient is the memory that request
/// bodies may use until no endpoint can need them any more.
const BODY_MEMORY_DIVISOR: u64 = 2;

/// Divisor of the memory of the process. The quotient is the memory that answers of plain
/// endpoints may use until their callers have taken them.
const ANSWER_MEMORY_DIVISOR: u64 = 8;

/// Divisor of the memory of the process. The quotient is the memory that incomplete events
/// may use.
const EVENT_MEMORY_DIVISOR: u64 = 16;

/// Divisor of the memory of the process. The quotient is left free for gaps between
/// allocations.
const MARGIN_DIVISOR: u64 = 8;

/// Memory of a process without connections and requests, in bytes.
const PROCESS_BYTES: u64 = 24 << 20;

/// Source of statements that this gateway has read itself, for logs.
pub(super) const OWN: &str = "own";

/// State and counters of one gateway.
#[derive(Debug)]
pub struct State {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    pub(super) store: platform::Client,
    pub(super) metrics: Metrics,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) tracker: Mutex<Tracker>,
    pub(super) roster: Mutex<Roster>,
    pub(super) causes: Causes,
    pub(super) pools: Pools,
    pub(super) rollouts: Rollouts,
    pub(super) links: Links,
    pub(super) catchup: Mutex<Catchup>,
    /// Origins of streams that callers may take up again.
    pub(super) streams: origin::Memory,
    pub(super) end_checks: lifetime::Checks,
    /// Connections from callers.
    pub(super) callers: Arc<Connections>,
    /// Memory for connections from callers, and for all bodies and answers.
    pub(super) memory: Memory,
    /// Memory for bodies of requests.
    pub(super) bodies: Memory,
    /// Memory for answers of plain endpoints.
    pub(super) answers: Memory,
    /// Memory for events that have not arrived completely.
    pub(super) events: Memory,
    config: Mutex<Option<Adopted>>,
    evacuation: Mutex<evacuation::Tracker>,
    listed: AtomicBool,
    services: Mutex<Vec<Service>>,
    drain: OnceLock<Drain>,
    /// Cancelled when the time for open requests is over.
    pub(super) expired: CancellationToken,
    /// Whether the gateways that the store lists are known.
    gateways_listed: AtomicBool,
    /// Whether another gateway has told what it knows, or none was found to do so.
    introduced: AtomicBool,
    ready: AtomicBool,
    in_flight: AtomicUsize,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time until which the load balancer may still send requests, because it has
    /// not noticed the shutdown yet.
    pub noticed: Instant,
    /// Time at which the process ends all open requests.
    pub ends: Instant,
}

impl Drain {
    /// Returns whether a request that arrived at `arrived` is accepted. From
    /// `noticed` on, that requires a deadline no later than `ends`.
    #[must_use]
    pub fn accepts(&self, arrived: Instant, deadline: Instant) -> bool {
        arrived < self.noticed || deadline <= self.ends
    }
}

/// The configuration in force.
#[derive(Debug)]
struct Adopted {
    config: Arc<Config>,
    /// Era of the store that held it last.
    era: u64,
}

#[derive(Debug)]
struct Service {
    name: String,
    repeats: Budget,
    /// Number of requests that wait until an endpoint's limit allows one more.
    waiting: usize,
}

impl State {
    /// Creates the state of a gateway from its settings, without configuration
    /// and endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let clock = Clock::new();
        let roster = Roster::new(Gateway {
            instance: settings.instance.clone(),
            incarnation: clock.unix_ms(),
            address: settings.listen.to_string(),
            leaving: false,
            heartbeats: 0,
            reads_digests: true,
            room: settings.room,
        });
        let bytes = settings.memory_bytes;
        let memory = Memory::new(bytes - bytes / MARGIN_DIVISOR - PROCESS_BYTES.min(bytes / 2));
        let part = |divisor| Memory::new(bytes / divisor).with_whole(&memory);
        Self {
            callers: Arc::default(),
            store: platform::Client::new(settings.store, STORE_TIMEOUT),
            fleet: Mutex::default(),
            tracker: Mutex::default(),
            roster: Mutex::new(roster),
            causes: Causes::new(clock),
            metrics: Metrics::new(),
            pools: Pools::default(),
            rollouts: Rollouts::new(settings.bounds.rollout),
            links: Links::default(),
            catchup: Mutex::default(),
            streams: origin::Memory::default(),
            end_checks: lifetime::Checks::default(),
            bodies: part(BODY_MEMORY_DIVISOR),
            answers: part(ANSWER_MEMORY_DIVISOR),
            events: part(EVENT_MEMORY_DIVISOR),
            memory,
            config: Mutex::default(),
            evacuation: Mutex::default(),
            listed: AtomicBool::new(false),
            services: Mutex::default(),
            drain: OnceLock::new(),
            expired: CancellationToken::new(),
            gateways_listed: AtomicBool::new(false),
            introduced: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            clock,
            settings,
        }
    }

    /// Returns the current configuration, if any.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        let current = lock(&self.config);
        current.as_ref().map(|current| Arc::clone(&current.config))
    }

    /// Returns the era of the store that held the current configuration last.
    pub(super) fn config_era(&self) -> u64 {
        lock(&self.config).as_ref().map_or(0, |current| current.era)
    }

    /// Applies a configuration that the store held in an era. Ignores it if its
    /// version is lower than that of the current one, because operators number the
    /// versions themselves. The same version is applied if it is of a later era and
    /// has another content.
    pub fn adopt_config(&self, config: Config, era: u64, source: &str) {
        let mut current = lock(&self.config);
        let mut before = 0;
        if let Some(current) = &mut *current {
            before = current.config.version;
            match config.version.cmp(&before) {
                cmp::Ordering::Less => {
                    Event::OlderConfigHeld.log(format_args!(
                        "version={} held_version={before} era={era} source={source}",
                        config.version
                    ));
                    return;
                }
                cmp::Ordering::Equal if era <= current.era => return,
                cmp::Ordering::Equal if config == *current.config => {
                    current.era = era;
                    return;
                }
                cmp::Ordering::Equal | cmp::Ordering::Greater => {}
            }
        }
        Event::ConfigAdopted.log(format_args!(
            "version={} before={before} era={era} source={source} routes={} teams={} \
             idle_timeout_ms={}",
            config.version,
            config.routes.len(),
            config.teams.len(),
            config.limits.idle.as_millis()
        ));
        self.metrics.config_version.set(as_i64(config.version));
        let _step = Step::new("adopt_config", config.routes.len());
        let config = Arc::new(config);
        *current = Some(Adopted {
            config: Arc::clone(&config),
            era,
        });
        drop(current);
        self.pools.set_config(&config);
        self.streams.recheck();
        self.refresh_pools();
        self.check_ready();
    }

    /// Applies the tracked list of endpoints.
    pub fn adopt_endpoints(&self, source: &str) {
        let snapshot = lock(&self.tracker).snapshot();
        Event::DirectoryChanged.log(format_args!(
            "era={} revision={} endpoints={} source={source}",
            snapshot.version.era,
            snapshot.version.revision,
            snapshot.endpoints.len()
        ));
        let _step = Step::new("adopt_endpoints", snapshot.endpoints.len());
        let now = self.clock.now();
        lock(&self.fleet).update(&snapshot, now);
        self.streams.follow(&snapshot, self);
        self.listed.store(true, Ordering::Relaxed);
        self.refresh_pools();
        self.check_ready();
    }

    /// Records whether the store responded.
    pub(super) fn record_store(&self, has_responded: bool) {
        let now = self.clock.now();
        if has_responded {
            lock(&self.tracker).mark_available(now);
            lock(&self.evacuation).mark_available(now);
        } else {
            lock(&self.tracker).mark_unavailable(now);
            lock(&self.evacuation).mark_unavailable(now);
        }
    }

    /// Applies a list of evacuated data centres. Ignores it if it is not newer
    /// than the current one. Returns whether it was applied.
    pub fn adopt_evacuation(&self, evacuation: Evacuation, source: &str) -> bool {
        let now = self.clock.now();
        self.update_evacuation(source, |tracker| tracker.adopt(evacuation, now))
    }

    /// Ends the evacuations that have not been written again since the store came
    /// back from a copy.
    pub(super) fn expire_evacuation(&self) {
        let now = self.clock.now();
        self.update_evacuation("expiry", |tracker| tracker.expire(now));
    }

    /// Updates the evacuated data centres, and logs and applies a change. Returns the
    /// result of the update, which states whether there may be a change.
    fn update_evacuation(
        &self,
        source: &str,
        update: impl FnOnce(&mut evacuation::Tracker) -> bool,
    ) -> bool {
        let mut tracker = lock(&self.evacuation);
        let before = tracker.in_force();
        let updated = update(&mut tracker);
        let in_force = tracker.in_force();
        drop(tracker);
        let Some(in_force) = in_force.filter(|_| updated) else {
            return updated;
        };
        if before.map(|before| before.data_centres).as_ref() != Some(&in_force.data_centres) {
            Event::EvacuationChanged.log(format_args!(
                "era={} revision={} data_centres={:?} source={source}",
                in_force.version.era, in_force.version.revision, in_force.data_centres
            ));
        }
        lock(&self.fleet).set_evacuation(in_force);
        self.refresh_pools();
        self.check_ready();
        true
    }

    /// Returns the list of evacuated data centres, if it is known.
    #[must_use]
    pub fn evacuation(&self) -> Option<Evacuation> {
        lock(&self.evacuation).current().cloned()
    }

    /// Returns the versions of the list of endpoints and of the list of evacuated
    /// data centres, which are zero if unknown.
    #[must_use]
    pub fn versions(&self) -> (Version, Version) {
        let evacuation = lock(&self.evacuation);
        let evacuation = evacuation.current().map(|one| one.version);
        let evacuation = evacuation.unwrap_or_default();
        (lock(&self.tracker).version(), evacuation)
    }

    /// Returns whether the load balancer may send callers to this gateway.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && self.draining().is_none()
    }

    /// Records that the gateways which the store lists are known.
    pub(super) fn record_gateways_listed(&self) {
        self.gateways_listed.store(true, Ordering::Relaxed);
    }

    pub(super) fn are_gateways_listed(&self) -> bool {
        self.gateways_listed.load(Ordering::Relaxed)
    }

    /// Records that another gateway has told what it knows, or that none was found to do so.
    pub(super) fn record_introduction(&self) {
        self.introduced.store(true, Ordering::Relaxed);
        self.check_ready();
    }

    /// Returns whether the configuration, the endpoints and the evacuated data
    /// centres are known, and what other gateways know.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the times of the shutdown, if one has begun.
    #[must_use]
    pub fn draining(&self) -> Option<&Drain> {
        self.drain.get()
    }

    /// Begins a graceful shutdown: withdraws readiness and marks the gateway as
    /// leaving. Accepted requests continue.
    pub fn drain(&self, drain: Drain) {
        self.drain.get_or_init(|| drain);
        lock(&self.roster).leave();
    }

    /// Returns the number of requests whose answer is not complete yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub(super) fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Records that a caller disconnected after it was sent `events` events.
    pub(super) fn record_caller_left(&self, id: &str, age: Duration, events: u64) {
        self.metrics.left.inc();
        Event::CallerLeft.log(format_args!(
            "id={id} age_ms={} events={events}",
            age.as_millis()
        ));
    }

    /// Records what an endpoint states about itself in its own answer, which has just
    /// arrived.
    pub(super) fn record_statements(&self, endpoint: &Incarnation, answer: &Answer) {
        let at = self.clock.now();
        let per_second = answer.limit;
        self.record_limit(endpoint, Limit { per_second, at }, OWN);
        if let Some(load) = answer.load {
            lock(&self.fleet).record_occupancy(endpoint, load, at);
        }
        if answer.leaving {
            self.record_leaving(endpoint, OWN);
        }
        if let Some(pause) = answer.pause {
            self.record_pause(endpoint, pause);
        }
    }

    /// Records that an endpoint wants no requests from this gateway for `pause`.
    fn record_pause(&self, endpoint: &Incarnation, pause: Duration) {
        let now = self.clock.now();
        let Some(until) = lock(&self.fleet).record_pause(endpoint, pause, now) else {
            return;
        };
        self.metrics.pauses.inc();
        Event::EndpointPaused.log(format_args!(
            "endpoint={} born={:?} for_ms={} until_ms={} source={OWN}",
            endpoint.id,
            endpoint.born,
            until.saturating_sub(now).as_millis(),
            u128::from(self.clock.unix_ms()) + until.saturating_sub(now).as_millis(),
        ));
        self.refresh_pools();
    }

    /// Records the limit that an endpoint states, according to `source`.
    pub(super) fn record_limit(&self, endpoint: &Incarnation, limit: Limit, source: &str) {
        if lock(&self.fleet).record_limit(endpoint, limit) {
            Event::LimitChanged.log(format_args!(
                "endpoint={} born={:?} per_second={:?} age_ms={} source={source}",
                endpoint.id,
                endpoint.born,
                limit.per_second,
                self.clock.now().saturating_sub(limit.at).as_millis(),
            ));
            self.refresh_pools();
        }
    }

    /// Records that an endpoint states that it leaves, according to `source`.
    pub(super) fn record_leaving(&self, endpoint: &Incarnation, source: &str) {
        if lock(&self.fleet).record_leaving(endpoint, self.clock.now()) {
            self.metrics.departures.inc();
            Event::EndpointLeaving.log(format_args!(
                "endpoint={} born={:?} source={source}",
                endpoint.id, endpoint.born,
            ));
            self.refresh_pools();
        }
    }

    /// Divides the limits among the known gateways.
    pub(super) fn update_shares(&self) {
        let (processes, position) = lock(&self.roster).shares(self.clock.now());
        lock(&self.fleet).set_processes(processes, position);
    }

    /// Returns the incarnation of an endpoint, or `None` if it has left the directory.
    pub(super) fn incarnation(&self, key: Key) -> Option<Incarnation> {
        let fleet = lock(&self.fleet);
        fleet.row(key).map(|row| row.endpoint.life.clone())
    }

    /// Grants one request of the gateway `asker` to an endpoint, if this gateway keeps the
    /// reserves of the endpoint's limits and they allow it.
    pub(super) fn try_grant(&self, endpoint: &Incarnation, asker: &str) -> bool {
        let Some(config) = self.config() else {
            return false;
        };
        let now = self.clock.now();
        let held = lock(&self.roster).reserve_held(&endpoint.id, now);
        let mut fleet = lock(&self.fleet);
        let service = fleet.row_of(endpoint).map(|row| &row.endpoint.service);
        let service = service.and_then(|service| config.service(service));
        let bounds = &self.settings.bounds;
        let cold = service
            .map(|service| service.cold_rate)
            .filter(|rate| *rate > 0.0)
            .map(|rate| {
                Throttle::reserve(rate, rate.mul_add(bounds.cold_ratio, bounds.cold_extra))
            });
        let granted = held.is_some_and(|held| fleet.try_grant(endpoint, cold, held, now));
        let row = fleet.row_of(endpoint);
        Event::GrantDecided.log(format_args!(
            "endpoint={} born={:?} asker={asker} granted={granted} grants={:?} limit={:?} \
             held_ms={:?}",
            endpoint.id,
            endpoint.born,
            row.map(|row| row.recent_grants(now)),
            row.and_then(Row::stated_limit),
            held.map(|held| held.as_millis()),
        ));
        granted
    }

    /// Records a request to a service, which earns a fraction of a retry.
    pub(super) fn earn_retry(&self, service: &str) {
        let now = self.clock.now();
        self.with_service(service, |service| service.repeats.record_request(now));
    }

    /// Takes one retry from the budget of a service. Returns whether one was left.
    pub(super) fn try_take_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let (processes, _) = lock(&self.roster).shares(now);
        self.with_service(service, |service| service.repeats.try_take(processes, now))
    }

    /// Returns whether a retry is left in the budget of a service.
    pub(super) fn has_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let (processes, _) = lock(&self.roster).shares(now);
        self.with_service(service, |service| service.repeats.has_retry(processes, now))
    }

    /// Counts a request as waiting for an endpoint of a service until the returned
    /// value is dropped. Also returns the number of requests that waited before.
    pub(super) fn begin_waiting(self: &Arc<Self>, service: &str) -> (Waiter, usize) {
        let ahead = self.with_service(service, |service| {
            service.waiting += 1;
            service.waiting - 1
        });
        let waiter = Waiter {
            state: Arc::clone(self),
            service: service.to_owned(),
        };
        (waiter, ahead)
    }

    /// Calls `update` with the counts of a service, creating them if they are missing.
    fn with_service<T>(&self, name: &str, update: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = lock(&self.services);
        let found = services.binary_search_by(|service| service.name.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            let bounds = &self.settings.bounds;
            let (ratio, extra) = (bounds.retry_ratio, bounds.retry_extra);
            let service = Service {
                name: name.to_owned(),
                repeats: Budget::new(ratio, extra, bounds.retry_window),
                waiting: 0,
            };
            services.insert(index, service);
            index
        });
        update(&mut services[index])
    }

    fn refresh_pools(&self) {
        let fleet = lock(&self.fleet);
        self.pools.set_endpoints(&fleet, self.clock.now());
    }

    /// Updates whether the gateway is initialized, and logs a change.
    pub(super) fn check_ready(&self) {
        let ready = lock(&self.config).is_some()
            && lock(&self.evacuation).current().is_some()
            && self.listed.load(Ordering::Relaxed)
            && self.introduced.load(Ordering::Relaxed)
            && self.rollouts.is_known();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            Event::ReadyChanged.log(format_args!("ready={ready}"));
        }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight(Arc<State>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one request as waiting for an endpoint until it is dropped.
#[derive(Debug)]
pub(super) struct Waiter {
    state: Arc<State>,
    service: String,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let end = |service: &mut Service| service.waiting = service.waiting.saturating_sub(1);
        self.state.with_service(&self.service, end);
    }
}

fn as_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
