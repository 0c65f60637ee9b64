//! Judges roll-outs in short intervals, and writes their progress to the store.

use super::{apply, find, log_counts, log_phase, log_stop, made};
use crate::{
    clock::milliseconds,
    gateway::state::{OWN, State, lock},
    platform::{self, Collection, Fault, Store as _},
};
use cicadacrank_core::{
    event::Event,
    rollout::{Member, Order, Phase, View, Write},
    version::Version,
};
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Interval at which roll-outs are judged.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the numbers of a roll-out are logged.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// Time from a failed write until the next one.
const WRITE_BACKOFF: Duration = Duration::from_millis(400);

/// Time that requests of a service last if the configuration names none.
const DEFAULT_DRAIN: Duration = Duration::from_secs(10);

/// Maximum time that is waited for the results that old endpoints hold.
const MAX_LINGER: Duration = Duration::from_secs(5);

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
        // One that leaves completes its requests as long as it is live.
        let others = roster
            .others()
            .filter(|one| !one.leaving || live.contains(&one.instance));
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
