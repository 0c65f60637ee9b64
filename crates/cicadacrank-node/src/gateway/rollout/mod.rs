//! Carries out the operators' orders to move services to other versions.
//!
//! The decisions are those of [`Rollout`]. This module feeds it with what attempts show,
//! with the reports of other gateways and with the store, and writes to the store what it
//! decides. Nothing is written for a request.

mod count;
mod guide;
mod store;

pub use self::{
    count::{Call, begin, record_answer, record_failure, record_wait},
    guide::{Guide, allowed_workers, guide, outlook},
    store::start,
};

use super::state::{State, lock};
use crate::platform::{self, Change, Changes, Listing, Object};
use cicadacrank_core::{
    directory::Endpoint,
    event::Event,
    rollout::{Bounds, Exposure, Order, Phase, Report, Rollout},
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Maximum time for which a watch for orders waits. Others tell of orders too.
pub const IDLE_WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The same while a roll-out runs. Each answer of the store permits to go on for some time.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of reports of other gateways in one heartbeat.
const MAX_REPORTS: usize = 48;

/// The roll-outs that a gateway takes part in.
#[derive(Debug, Default)]
pub struct Rollouts {
    bounds: Option<Bounds>,
    /// Whether all orders are known.
    known: AtomicBool,
    all: Mutex<Vec<Entry>>,
    in_flight: Mutex<Vec<InFlight>>,
}

/// Requests in flight at the endpoints of a service with one version of the software.
#[derive(Debug)]
struct InFlight {
    service: String,
    version: String,
    count: u32,
}

#[derive(Debug)]
struct Entry {
    rollout: Rollout,
    /// Whether a write to the store is on its way.
    writing: bool,
    /// Time before which nothing is written after a failure.
    write_after: Duration,
    counted: Duration,
}

impl Rollouts {
    /// Creates the roll-outs of a deployment with these limits, or none without limits.
    pub const fn new(bounds: Option<Bounds>) -> Self {
        Self {
            bounds,
            known: AtomicBool::new(false),
            all: Mutex::new(Vec::new()),
            in_flight: Mutex::new(Vec::new()),
        }
    }

    /// Returns whether the deployment carries out roll-outs.
    pub const fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Returns whether all orders are known, as far as the deployment has any.
    pub fn is_known(&self) -> bool {
        !self.is_enabled() || self.known.load(Ordering::Relaxed)
    }

    /// Returns whether a roll-out runs.
    pub fn is_active(&self) -> bool {
        let all = lock(&self.all);
        let mut all = all.iter();
        all.any(|entry| !entry.rollout.phase().is_final())
    }

    /// Returns whether there is an order for a service.
    pub fn concerns(&self, service: &str) -> bool {
        self.with(service, |_| ()).is_some()
    }

    fn with<T>(&self, service: &str, act: impl FnOnce(&mut Rollout) -> T) -> Option<T> {
        self.bounds?;
        let mut all = lock(&self.all);
        let index = find(&all, service).ok()?;
        Some(act(&mut all[index].rollout))
    }

    /// Returns whether a guide still holds.
    pub fn is_current(&self, service: &str, guide: &Guide) -> bool {
        self.with(service, |rollout| made(rollout)) == guide.made
    }

    /// Counts a request that begins or ends at an endpoint, also without an order.
    fn count(&self, endpoint: &Endpoint, count: impl FnOnce(u32) -> u32, now: Duration) {
        if !self.is_enabled() {
            return;
        }
        let mut all = lock(&self.in_flight);
        let key = (endpoint.service.as_str(), endpoint.version.as_str());
        let found =
            all.binary_search_by(|one| (one.service.as_str(), one.version.as_str()).cmp(&key));
        let index = found.unwrap_or_else(|index| {
            let none = InFlight {
                service: endpoint.service.clone(),
                version: endpoint.version.clone(),
                count: 0,
            };
            all.insert(index, none);
            index
        });
        all[index].count = count(all[index].count);
        if all[index].count == 0 {
            all.remove(index);
        }
        drop(all);
        self.with(&endpoint.service, |rollout| {
            self.update_old_in_flight(rollout, now);
        });
    }

    fn update_old_in_flight(&self, rollout: &mut Rollout, now: Duration) {
        let all = lock(&self.in_flight);
        let old = all
            .iter()
            .filter(|one| one.service == rollout.order.service && !rollout.is_new(&one.version));
        rollout.set_old_in_flight(old.map(|one| one.count).sum(), now);
    }

    /// Records the end of a request at an endpoint.
    pub fn end(&self, endpoint: &Endpoint, now: Duration) {
        self.count(endpoint, |count| count.saturating_sub(1), now);
    }
}

const fn made(rollout: &Rollout) -> (Phase, bool) {
    (rollout.phase(), rollout.is_stopped())
}

fn find(all: &[Entry], service: &str) -> Result<usize, usize> {
    all.binary_search_by(|entry| entry.rollout.order.service.as_str().cmp(service))
}

/// Applies all orders that the store holds.
pub fn apply_list(state: &State, listing: &Listing) {
    for object in &listing.objects {
        apply(state, object);
    }
    let mut all = lock(&state.rollouts.all);
    let now = state.clock.now();
    for entry in all.iter_mut() {
        let order = &entry.rollout.order;
        let is_listed = listing.objects.iter().any(|one| one.name == order.service);
        if !is_listed && order.seen < listing.version {
            withdraw(entry, now);
        }
    }
    drop(all);
    set_known(state);
}

/// Applies changes of orders.
pub fn apply_changes(state: &State, changes: &Changes) {
    for change in &changes.changes {
        match change {
            Change::Put(object) => apply(state, object),
            Change::Deleted(object) => {
                let now = state.clock.now();
                let mut all = lock(&state.rollouts.all);
                if let Ok(index) = find(&all, &object.name) {
                    withdraw(&mut all[index], now);
                }
            }
        }
    }
}

/// Records that the store answered, so that what this gateway knows of orders is not old.
pub fn record_contact(state: &State) {
    let now = state.clock.now();
    for entry in lock(&state.rollouts.all).iter_mut() {
        entry.rollout.record_contact(now);
    }
}

/// Records that all orders are known.
pub fn set_known(state: &State) {
    if !state.rollouts.known.swap(true, Ordering::Relaxed) {
        state.check_ready();
    }
}

fn withdraw(entry: &mut Entry, now: Duration) {
    let before = entry.rollout.phase();
    entry.rollout.withdraw(now);
    log_phase(&entry.rollout, before, "store");
}

fn apply(state: &State, object: &Object) {
    let (order, status) = match platform::rollout::decode(object) {
        Ok(decoded) => decoded,
        Err(error) => {
            return Event::ConfigRejected.log(format_args!(
                "object={} revision={} error={error}",
                object.name, object.version.revision
            ));
        }
    };
    let now = state.clock.now();
    // What is listed first was ordered before this process started.
    let elapsed = (!state.rollouts.is_known()).then_some(now);
    let mut all = lock(&state.rollouts.all);
    let entry = adopt(
        state,
        &mut all,
        order.clone(),
        elapsed.unwrap_or_default(),
        now,
    );
    if entry.rollout.order.seen > order.seen {
        return;
    }
    let before = entry.rollout.phase();
    entry.rollout.apply(order, status, now);
    log_phase(&entry.rollout, before, "store");
}

/// Returns the roll-out of an order, which is begun if it is unknown. An order that is
/// older than the known one of the same service is ignored.
fn adopt<'a>(
    state: &State,
    all: &'a mut Vec<Entry>,
    order: Order,
    elapsed: Duration,
    now: Duration,
) -> &'a mut Entry {
    let found = find(all, &order.service);
    if let Ok(index) = found {
        let known = &all[index].rollout.order;
        if known.is_same(&order) || known.seen >= order.seen {
            return &mut all[index];
        }
    }
    let bounds = state.rollouts.bounds.unwrap_or(Bounds {
        share: 0.0,
        tolerance: 0.0,
        rollback: Duration::ZERO,
    });
    // An earlier process of this instance may have used its part of the tolerance.
    let exposure = if elapsed < now {
        let (processes, position) = lock(&state.roster).shares(now);
        Exposure::new(&bounds, processes, position)
    } else {
        Exposure::default()
    };
    Event::RolloutBegan.log(format_args!(
        "service={} to={} duration_ms={} created={} era={} revision={} elapsed_ms={}",
        order.service,
        order.to,
        order.duration.as_millis(),
        order.created,
        order.seen.era,
        order.seen.revision,
        elapsed.as_millis(),
    ));
    let mut rollout = Rollout::new(order, bounds, exposure, elapsed, now);
    state.rollouts.update_old_in_flight(&mut rollout, now);
    let index = match found {
        Ok(index) => {
            let rollout = rollout.succeeding(&all[index].rollout);
            all[index] = Entry::new(rollout, now);
            index
        }
        Err(index) => {
            all.insert(index, Entry::new(rollout, now));
            index
        }
    };
    &mut all[index]
}

impl Entry {
    const fn new(rollout: Rollout, now: Duration) -> Self {
        Self {
            rollout,
            writing: false,
            write_after: Duration::ZERO,
            counted: now,
        }
    }
}

/// A roll-out as a heartbeat tells of it.
#[derive(Debug)]
pub struct News {
    /// The order.
    pub order: Order,
    /// Time since the order.
    pub elapsed: Duration,
    /// Report of the sender.
    pub own: Report,
    /// Reports of other gateways.
    pub others: Vec<Report>,
}

/// Returns what a heartbeat tells of roll-outs, and whether all orders are known.
pub fn news(state: &State) -> (Vec<News>, bool) {
    let now = state.clock.now();
    let (instance, incarnation) = identity(state);
    let mut all = lock(&state.rollouts.all);
    let news = all.iter_mut().map(|entry| {
        let own = entry.rollout.report(&instance, incarnation);
        News {
            order: entry.rollout.order.clone(),
            elapsed: entry.rollout.elapsed(now),
            own,
            others: entry
                .rollout
                .others(now)
                .take(MAX_REPORTS)
                .cloned()
                .collect(),
        }
    });
    (news.collect(), state.rollouts.is_known())
}

/// Applies what another gateway tells of roll-outs. `is_complete` states that it knows all
/// orders.
pub fn merge(state: &State, news: Vec<News>, is_complete: bool, source: &str) {
    if !state.rollouts.is_enabled() {
        return;
    }
    let now = state.clock.now();
    let (instance, incarnation) = identity(state);
    for news in news {
        let mut all = lock(&state.rollouts.all);
        let entry = adopt(state, &mut all, news.order.clone(), news.elapsed, now);
        if !entry.rollout.order.is_same(&news.order) {
            continue;
        }
        let (before, was_stopped) = made(&entry.rollout);
        entry.rollout.record_contact(now);
        entry.rollout.record_elapsed(news.elapsed, now);
        for report in [news.own].into_iter().chain(news.others) {
            if report.instance == instance && report.incarnation == incarnation {
                continue;
            }
            entry.rollout.merge(report, now);
        }
        log_phase(&entry.rollout, before, source);
        log_stop(&entry.rollout, was_stopped, source, now);
    }
    if is_complete {
        set_known(state);
    }
}

fn identity(state: &State) -> (String, u64) {
    let roster = lock(&state.roster);
    let local = roster.local();
    (local.instance.clone(), local.incarnation)
}

fn log_phase(rollout: &Rollout, before: Phase, source: &str) {
    let phase = rollout.phase();
    if phase != before {
        Event::RolloutChanged.log(format_args!(
            "service={} to={} phase={:?} before={:?} source={source}",
            rollout.order.service,
            rollout.order.to,
            phase.as_str(),
            before.as_str(),
        ));
    }
}

fn log_stop(rollout: &Rollout, was_stopped: bool, source: &str, now: Duration) {
    if rollout.is_stopped() && !was_stopped {
        log_counts(Event::RolloutStopped, rollout, source, now);
    }
}

fn log_counts(event: Event, rollout: &Rollout, source: &str, now: Duration) {
    let (old, new) = rollout.evidence().total();
    let exposure = rollout.exposure();
    event.log(format_args!(
        "service={} to={} phase={:?} elapsed_ms={} old_good={} old_bad={} new_good={} \
         new_bad={} own_requests={} own_exposed={} permitted={} source={source}",
        rollout.order.service,
        rollout.order.to,
        rollout.phase().as_str(),
        rollout.elapsed(now).as_millis(),
        old.good,
        old.bad,
        new.good,
        new.bad,
        exposure.requests,
        exposure.exposed,
        rollout.is_permitted(now),
    ));
}
