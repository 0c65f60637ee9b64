//! Carries out the operators' orders to move services to other versions.
//!
//! The decisions are those of [`Rollout`]. This module feeds it with what attempts show,
//! with the reports of other gateways and with the store, and writes to the store what it
//! decides. Nothing is written for a request.

use super::state::{OWN, State, lock};
use crate::{
    clock::milliseconds,
    platform::{self, Change, Changes, Collection, Fault, Listing, Object, Store as _},
};
use cicadacrank_core::{
    directory::Endpoint,
    event::Event,
    placement::{Fleet, Key, Track},
    rollout::{
        Bounds, Choice, Exposure, Member, Order, Outcome, Phase, Report, Rollout, Stage, View,
        Write,
    },
    version::Version,
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// Interval at which roll-outs are judged.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the numbers of a roll-out are logged.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// Time from a failed write until the next one.
const WRITE_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum time for which a watch for orders waits. Others tell of orders too.
pub const IDLE_WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The same while a roll-out runs. Each answer of the store permits to go on for some time.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that requests of a service last if the configuration names none.
const DEFAULT_DRAIN: Duration = Duration::from_secs(10);

/// Maximum time that is waited for the results that old endpoints hold.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// Name under which calls with pieces of stages are counted, which belong to several routes.
const CALLS: &str = "calls";

/// Minimum of the expected duration of a call, in seconds.
const MIN_CALL_SECONDS: f64 = 0.001;

/// Maximum number of reports of other gateways in one heartbeat.
const MAX_REPORTS: usize = 48;

/// The roll-outs that a gateway takes part in.
#[derive(Debug, Default)]
pub struct Rollouts {
    bounds: Option<Bounds>,
    /// Whether all orders are known.
    known: AtomicBool,
    all: Mutex<Vec<Entry>>,
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

/// The endpoints that an attempt may use.
#[derive(Debug, Default)]
pub struct Guide {
    choice: Choice,
    /// Endpoints that must not be selected, because they were tried or take no part in the
    /// trial.
    pub tried: Vec<Key>,
    /// Phase that the choice was made in, and whether the version was stopped.
    made: Option<(Phase, bool)>,
}

impl Guide {
    /// Returns the versions that the attempt may use.
    pub fn track(&self) -> Track<'_> {
        match &self.choice {
            Choice::Any => Track::Any,
            Choice::Only(version) | Choice::Sample(version) => Track::Only(version),
            Choice::Without(versions) => Track::Without(versions),
        }
    }

    /// Returns the guide for an attempt for which this one leaves no endpoint, if there is
    /// another.
    pub fn fallback(&self, tried: &[Key]) -> Option<Self> {
        let (Choice::Only(version) | Choice::Sample(version)) = &self.choice else {
            return None;
        };
        Some(Self {
            choice: Choice::Without(vec![version.clone()]),
            tried: tried.to_vec(),
            made: self.made,
        })
    }
}

impl Rollouts {
    /// Creates the roll-outs of a deployment with these limits, or none without limits.
    pub const fn new(bounds: Option<Bounds>) -> Self {
        Self {
            bounds,
            known: AtomicBool::new(false),
            all: Mutex::new(Vec::new()),
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

    /// Records the end of a request at an endpoint.
    pub fn end(&self, endpoint: &Endpoint, now: Duration) {
        self.with(&endpoint.service, |rollout| {
            rollout.end(&endpoint.version, now);
        });
    }
}

const fn made(rollout: &Rollout) -> (Phase, bool) {
    (rollout.phase(), rollout.is_stopped())
}

fn find(all: &[Entry], service: &str) -> Result<usize, usize> {
    all.binary_search_by(|entry| entry.rollout.order.service.as_str().cmp(service))
}

/// Returns the endpoints that the next attempt at a service may use, beside those that were
/// `tried`. If only endpoints of one version can run the request, it is `bound`. A guide
/// to use the new version takes a request from the limit of its trial.
pub fn guide(state: &State, service: &str, bound: Option<&str>, tried: &[Key]) -> Guide {
    let now = state.clock.now();
    let guide = state.rollouts.with(service, |rollout| {
        let choice = match bound {
            Some(version) if rollout.try_continue(version, now) => Choice::Any,
            Some(version) => Choice::Without(vec![version.to_owned()]),
            None => rollout.choose(now),
        };
        (choice, rollout.stage(now), made(rollout))
    });
    complete(state, service, tried, guide)
}

/// Returns the endpoints that an attempt may use beyond a trial, beside those that were
/// `tried`.
pub fn outlook(state: &State, service: &str, tried: &[Key]) -> Guide {
    let now = state.clock.now();
    let guide = state.rollouts.with(service, |rollout| {
        (rollout.outlook(now), rollout.stage(now), made(rollout))
    });
    complete(state, service, tried, guide)
}

fn complete(
    state: &State,
    service: &str,
    tried: &[Key],
    guide: Option<(Choice, Stage, (Phase, bool))>,
) -> Guide {
    let Some((mut choice, stage, made)) = guide else {
        return Guide {
            tried: tried.to_vec(),
            ..Guide::default()
        };
    };
    let mut tried = tried.to_vec();
    if choice != Choice::Any {
        let fleet = lock(&state.fleet);
        match &choice {
            Choice::Sample(version) => {
                tried.extend(left_out(state, &fleet, service, version, stage));
            }
            // Nothing else could run the request.
            Choice::Without(versions)
                if !fleet
                    .listed(service)
                    .any(|one| Track::Without(versions).allows(&one.version)) =>
            {
                choice = Choice::Any;
            }
            Choice::Any | Choice::Only(_) | Choice::Without(_) => {}
        }
    }
    Guide {
        choice,
        tried,
        made: Some(made),
    }
}

/// Returns the endpoints of a new version that take no part in its trial. They are about
/// the same for all gateways.
fn left_out(state: &State, fleet: &Fleet, service: &str, version: &str, stage: Stage) -> Vec<Key> {
    let usable = fleet.usable(service);
    let (mut new, old): (Vec<_>, Vec<_>) =
        usable.partition(|(_, row)| row.endpoint.version == version);
    let Some(bounds) = &state.rollouts.bounds else {
        return Vec::new();
    };
    let count = Exposure::endpoints(bounds, stage, old.len(), new.len());
    new.sort_by_key(|(_, row)| row.endpoint.life.digest());
    new.into_iter().skip(count).map(|(key, _)| key).collect()
}

/// Returns whether calls with pieces of stages may go to an endpoint now, for each of the
/// usable endpoints of a service.
pub fn allowed_workers(state: &State, endpoints: &[Endpoint]) -> Vec<bool> {
    let Some(service) = endpoints.first().map(|one| one.service.as_str()) else {
        return Vec::new();
    };
    let now = state.clock.now();
    let allowed = state.rollouts.with(service, |rollout| {
        let choice = rollout.outlook(now);
        let mut new: Vec<u64> = endpoints
            .iter()
            .filter(|one| rollout.is_new(&one.version))
            .map(|one| one.life.digest())
            .collect();
        new.sort_unstable();
        let old = endpoints.len() - new.len();
        let bounds = state.rollouts.bounds.filter(|_| rollout.has_room(now));
        let count = bounds.map_or(0, |bounds| {
            Exposure::endpoints(&bounds, rollout.stage(now), old, new.len())
        });
        let is_trial = rollout.phase() == Phase::Trial;
        new.truncate(if is_trial { count } else { 0 });
        let track = match &choice {
            Choice::Any => Track::Any,
            Choice::Only(version) | Choice::Sample(version) => Track::Only(version),
            Choice::Without(versions) => Track::Without(versions),
        };
        let allows = |one: &Endpoint| {
            track.allows(&one.version) || new.binary_search(&one.life.digest()).is_ok()
        };
        endpoints.iter().map(allows).collect()
    });
    let allowed: Vec<bool> = allowed.unwrap_or_default();
    // Without any other endpoint, all may be used.
    if allowed.contains(&true) {
        allowed
    } else {
        vec![true; endpoints.len()]
    }
}

/// Records the send of a request to an endpoint.
pub fn begin(state: &State, endpoint: &Endpoint) {
    let is_new = state.rollouts.with(&endpoint.service, |rollout| {
        rollout.begin(&endpoint.version);
        rollout.is_new(&endpoint.version)
    });
    if is_new == Some(true) {
        let service = [endpoint.service.as_str()];
        state.metrics.exposed.with_label_values(&service).inc();
    }
}

/// Counts a call with pieces of stages at its endpoint until it is dropped.
#[derive(Debug)]
pub struct Call {
    state: Arc<State>,
    endpoint: Endpoint,
    sent: Duration,
}

impl Call {
    /// Takes a call from the limit of a trial, if its endpoint is on trial, and records its
    /// start.
    pub fn begin(state: &Arc<State>, endpoint: Endpoint) -> Self {
        let sent = state.clock.now();
        state.rollouts.with(&endpoint.service, |rollout| {
            if rollout.phase() == Phase::Trial {
                rollout.try_continue(&endpoint.version, sent);
            }
        });
        begin(state, &endpoint);
        Self {
            state: Arc::clone(state),
            endpoint,
            sent,
        }
    }

    /// Records that the endpoint made all pieces of the call.
    pub fn record_answer(&self, pieces: usize) {
        let config = self.state.config();
        let service = config
            .as_ref()
            .map(|config| config.service(&self.endpoint.service));
        let Some(worker) = service.flatten().and_then(|service| service.worker) else {
            return;
        };
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        let expected = worker.call_time + worker.piece_time * pieces;
        let took = self.took();
        let took = took.div_f64(expected.as_secs_f64().max(MIN_CALL_SECONDS));
        let is_cold = {
            let fleet = lock(&self.state.fleet);
            let row = fleet.row_of(&self.endpoint.life);
            row.is_some_and(|row| self.sent < row.cold_until)
        };
        record_answer(&self.state, CALLS, &self.endpoint, took, is_cold);
    }

    /// Records that the endpoint did not make all pieces of the call.
    pub fn record_failure(&self) {
        record_failure(&self.state, CALLS, &self.endpoint, self.took());
    }

    fn took(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.sent)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        self.state.rollouts.end(&self.endpoint, now);
    }
}

/// Records that an endpoint answered after `took` per unit of its work.
pub fn record_answer(state: &State, route: &str, endpoint: &Endpoint, took: Duration, cold: bool) {
    let now = state.clock.now();
    record(state, endpoint, route, took, |rollout| {
        let digest = endpoint.life.digest();
        rollout.record_answer(route, &endpoint.version, digest, took, cold, now)
    });
}

/// Records that a request was abandoned at an endpoint that had not answered after `took`
/// per unit of its work.
pub fn record_wait(state: &State, route: &str, endpoint: &Endpoint, took: Duration, cold: bool) {
    let now = state.clock.now();
    record(state, endpoint, route, took, |rollout| {
        let digest = endpoint.life.digest();
        rollout.record_wait(route, &endpoint.version, digest, took, cold, now)
    });
}

/// Records that an endpoint failed a request after `took`.
pub fn record_failure(state: &State, route: &str, endpoint: &Endpoint, took: Duration) {
    let now = state.clock.now();
    record(state, endpoint, route, took, |rollout| {
        let digest = endpoint.life.digest();
        rollout.record(route, &endpoint.version, digest, Outcome::Bad, now);
        Outcome::Bad
    });
}

fn record(
    state: &State,
    endpoint: &Endpoint,
    route: &str,
    took: Duration,
    act: impl FnOnce(&mut Rollout) -> Outcome,
) {
    let outcome = state.rollouts.with(&endpoint.service, |rollout| {
        let outcome = act(rollout);
        (outcome, rollout.is_new(&endpoint.version))
    });
    if outcome == Some((Outcome::Bad, true)) {
        let service = [endpoint.service.as_str()];
        state.metrics.bad_answers.with_label_values(&service).inc();
        Event::AnswerJudged.log(format_args!(
            "service={} version={} endpoint={} born={:?} route={route} took_ms={}",
            endpoint.service,
            endpoint.version,
            endpoint.life.id,
            endpoint.life.born,
            took.as_millis(),
        ));
    }
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
    let rollout = Rollout::new(order, bounds, exposure, elapsed, now);
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

/// Starts judging roll-outs, if the deployment carries them out.
pub fn start(state: &Arc<State>) {
    if state.rollouts.is_enabled() {
        tokio::spawn(run(Arc::clone(state)));
    }
}

async fn run(state: Arc<State>) {
    let mut period = time::interval(STEP_INTERVAL);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let services: Vec<String> = {
            let all = lock(&state.rollouts.all);
            let services = all.iter().map(|entry| entry.rollout.order.service.clone());
            services.collect()
        };
        for service in services {
            if let Some((order, write, elapsed)) = step(&state, &service) {
                tokio::spawn(execute(Arc::clone(&state), order, write, elapsed));
            }
        }
    }
}

/// Judges a roll-out. Returns what is to be written to the store now.
fn step(state: &State, service: &str) -> Option<(Order, Write, Duration)> {
    let now = state.clock.now();
    let (others, is_controller) = {
        let roster = lock(&state.roster);
        let live: Vec<String> = roster.live(now).map(|one| one.instance.clone()).collect();
        let others = roster.others().filter(|one| !one.leaving);
        let others: Vec<_> = others
            .map(|one| {
                (
                    one.instance.clone(),
                    one.incarnation,
                    live.contains(&one.instance),
                )
            })
            .collect();
        (others, roster.reserve_held(service, now).is_some())
    };
    let others: Vec<Member<'_>> = others
        .iter()
        .map(|(instance, incarnation, is_live)| Member {
            instance,
            incarnation: *incarnation,
            is_live: *is_live,
        })
        .collect();
    let to = state
        .rollouts
        .with(service, |rollout| rollout.order.to.clone())?;
    let (new, old) = {
        let fleet = lock(&state.fleet);
        let usable = fleet.usable(service);
        let (new, old): (Vec<_>, Vec<_>) = usable.partition(|(_, row)| row.endpoint.version == to);
        (new.len(), old.len())
    };
    let (drain, linger) = times(state, service);
    let view = View {
        is_controller,
        others: &others,
        old,
        new,
        drain,
        linger,
    };
    let mut all = lock(&state.rollouts.all);
    let index = find(&all, service).ok()?;
    let entry = &mut all[index];
    let (before, was_stopped) = made(&entry.rollout);
    let write = entry.rollout.step(&view, now);
    log_phase(&entry.rollout, before, OWN);
    log_stop(&entry.rollout, was_stopped, OWN, now);
    if now >= entry.counted + COUNT_INTERVAL && !entry.rollout.phase().is_final() {
        entry.counted = now;
        log_counts(Event::RolloutCounted, &entry.rollout, OWN, now);
    }
    let phase = entry.rollout.phase() as i64;
    state
        .metrics
        .rollout_phase
        .with_label_values(&[service])
        .set(phase);
    let write = write.filter(|_| !entry.writing && now >= entry.write_after)?;
    entry.writing = true;
    let elapsed = entry.rollout.elapsed(now);
    Some((entry.rollout.order.clone(), write, elapsed))
}

/// Returns the time that requests to a service last at most, and the time for which its
/// endpoints hold results.
fn times(state: &State, service: &str) -> (Duration, Duration) {
    let Some(config) = state.config() else {
        return (DEFAULT_DRAIN, Duration::ZERO);
    };
    let routes = config.routes.iter().filter(|route| {
        let is_target = route.targets.iter().any(|target| target.service == service);
        is_target || route.stages.iter().any(|stage| stage.service == service)
    });
    let drain = routes.map(|route| route.timeout).max();
    let worker = config.service(service).and_then(|service| service.worker);
    let linger = worker.map_or(Duration::ZERO, |worker| worker.result_life.min(MAX_LINGER));
    (drain.unwrap_or(DEFAULT_DRAIN), linger)
}

/// Writes to the store, and applies what that shows.
async fn execute(state: Arc<State>, order: Order, write: Write, elapsed: Duration) {
    let written = match write {
        Write::Progress(phase) => write_progress(&state, &order, phase, elapsed).await,
        Write::Status(phase) => write_status(&state, &order, phase).await,
    };
    let now = state.clock.now();
    let mut all = lock(&state.rollouts.all);
    let Ok(index) = find(&all, &order.service) else {
        return;
    };
    let entry = &mut all[index];
    entry.writing = false;
    let is_same = entry.rollout.order.is_same(&order);
    let before = entry.rollout.phase();
    match written {
        Ok(Written::Done(version)) if is_same => {
            Event::RolloutWritten.log(format_args!(
                "service={} to={} write={write:?} era={} revision={}",
                order.service, order.to, version.era, version.revision
            ));
            if matches!(write, Write::Status(_)) {
                entry.rollout.order.seen = version.max(entry.rollout.order.seen);
            }
            entry.rollout.record_write(write, now);
        }
        Ok(Written::Known(phase, before)) if is_same => {
            entry.rollout.record_write(Write::Progress(phase), now);
            entry.rollout.record_elapsed(before, now);
            entry.rollout.follow(phase, now);
        }
        Ok(_) => {}
        Err(fault) => {
            entry.write_after = now + WRITE_BACKOFF;
            Event::RolloutUnwritten.log(format_args!(
                "service={} to={} write={write:?} era={} revision={} fault={fault}",
                order.service, order.to, order.seen.era, order.seen.revision
            ));
        }
    }
    log_phase(&entry.rollout, before, "store");
}

/// What a write to the store led to.
enum Written {
    /// It took effect at this version of the object.
    Done(Version),
    /// The store knows the phase already, with the time since the order.
    Known(Phase, Duration),
}

/// Writes the status, under the condition that nothing else has changed the order.
async fn write_status(state: &State, order: &Order, phase: Phase) -> Result<Written, Fault> {
    let status = platform::rollout::encode_status(phase, &order.to);
    let collection = Collection::Rollouts;
    state.metrics.store_calls.inc();
    let written = state
        .store
        .update_status(collection, &order.service, &order.seen, &status)
        .await;
    if written.is_err() {
        // The order may have changed, or a call without an answer may have taken effect.
        state.metrics.store_calls.inc();
        if let Ok(object) = state.store.get(collection, &order.service).await {
            apply(state, &object);
        }
    }
    written.map(Written::Done)
}

/// Writes the start and the phase of a roll-out, unless the store knows them.
async fn write_progress(
    state: &State,
    order: &Order,
    phase: Phase,
    elapsed: Duration,
) -> Result<Written, Fault> {
    let collection = Collection::Progress;
    let content = |elapsed: Duration| {
        let began = state.clock.unix_ms().saturating_sub(milliseconds(elapsed));
        json!({
            "to": order.to,
            "durationMs": milliseconds(order.duration),
            "created": order.created,
            "began": began,
            "full": phase == Phase::Full,
        })
    };
    state.metrics.store_calls.inc();
    let known = match state.store.get(collection, &order.service).await {
        Ok(known) => known,
        Err(Fault::Missing) => {
            state.metrics.store_calls.inc();
            let created = state
                .store
                .create(collection, &order.service, content(elapsed));
            return created.await.map(Written::Done);
        }
        Err(fault) => return Err(fault),
    };
    let progress = decode_progress(&known.spec, order, state.clock.unix_ms());
    if let Some((known_phase, known_elapsed)) = progress
        && (known_phase >= phase)
    {
        return Ok(Written::Known(known_phase, known_elapsed.max(elapsed)));
    }
    let elapsed = progress.map_or(elapsed, |(_, known)| known.max(elapsed));
    state.metrics.store_calls.inc();
    let updated = state
        .store
        .update(collection, &order.service, &known.version, content(elapsed));
    updated.await.map(Written::Done)
}

/// Decodes the phase of a roll-out and the time since its order, or returns `None` if the
/// object belongs to another order.
fn decode_progress(spec: &Value, order: &Order, unix_now: u64) -> Option<(Phase, Duration)> {
    let is_same = spec["to"] == json!(order.to)
        && spec["durationMs"] == json!(milliseconds(order.duration))
        && spec["created"] == json!(order.created);
    let began = spec["began"].as_u64().filter(|_| is_same)?;
    let phase = if spec["full"] == json!(true) {
        Phase::Full
    } else {
        Phase::Trial
    };
    Some((phase, Duration::from_millis(unix_now.saturating_sub(began))))
}
