//! Follows the platform's store.

use super::state::{State, lock};
use crate::platform::{self, Changes, Entry, Fault, Kind, Objects};
use cicadacrank_core::{
    directory::{Endpoint, Evacuation},
    event::Event,
};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long a watch waits for a change: short enough that a connection that has
/// gone silent is noticed before the time for which silence is forgiven.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// First pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between failed calls, well below the times within which a
/// change must be in force once the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// How often endpoints that did not come back after an outage are looked for.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// Starts to follow the store.
pub fn start(state: &Arc<State>) {
    for kind in [Kind::Config, Kind::Endpoints, Kind::Evacuations] {
        tokio::spawn(follow(Arc::clone(state), kind));
    }
    tokio::spawn(register(Arc::clone(state)));
    tokio::spawn(expire(Arc::clone(state)));
}

async fn follow(state: Arc<State>, kind: Kind) {
    let mut failures = Failures::new(kind);
    let mut names = Vec::new();
    loop {
        state.metrics.store_calls.inc();
        let mut revision = match state.store.list(kind).await {
            Ok(listing) => {
                failures.end(&state);
                take_list(&state, kind, &listing, &mut names);
                listing.revision
            }
            Err(fault) => {
                failures.pause(&state, &fault).await;
                continue;
            }
        };
        loop {
            state.metrics.store_calls.inc();
            match state.store.watch(kind, revision, WATCH_WAIT).await {
                Ok(changes) => {
                    failures.end(&state);
                    revision = revision.max(changes.revision);
                    take_changes(&state, kind, &changes, &mut names);
                }
                Err(Fault::Expired) => break,
                Err(fault) => failures.pause(&state, &fault).await,
            }
        }
    }
}

/// Failures of calls for one kind, in a row.
struct Failures {
    kind: Kind,
    count: u32,
}

impl Failures {
    const fn new(kind: Kind) -> Self {
        Self { kind, count: 0 }
    }

    async fn pause(&mut self, state: &State, fault: &Fault) {
        if self.count == 0 {
            Event::PlatformFailed.log(format_args!("kind={:?} fault={fault}", self.kind));
        }
        if self.kind == Kind::Endpoints {
            lock(&state.tracker).lose(state.clock.now());
        }
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.count.min(8));
        self.count += 1;
        let jitter = rand::random_range(0.5..1.0);
        time::sleep(pause.min(LONGEST_PAUSE).mul_f64(jitter)).await;
    }

    fn end(&mut self, state: &State) {
        if self.count > 0 {
            Event::PlatformRegained
                .log(format_args!("kind={:?} failures={}", self.kind, self.count));
            self.count = 0;
        }
        if self.kind == Kind::Endpoints {
            lock(&state.tracker).regain(state.clock.now());
        }
    }
}

fn take_list(state: &State, kind: Kind, listing: &Objects, names: &mut Vec<String>) {
    match kind {
        Kind::Config => {
            for object in &listing.objects {
                take_config(state, object);
            }
        }
        Kind::Endpoints => {
            let endpoints = listing.objects.iter().filter_map(read_endpoint).collect();
            lock(&state.tracker).list(listing.revision, endpoints, state.clock.now());
            state.adopt_endpoints("store");
        }
        Kind::Evacuations => {
            *names = listing.objects.iter().map(|one| one.name.clone()).collect();
            let evacuation = Evacuation::new(listing.revision, names.clone());
            state.adopt_evacuation(evacuation, "store");
        }
        Kind::Gateways => {}
    }
}

fn take_changes(state: &State, kind: Kind, changes: &Changes, names: &mut Vec<String>) {
    match kind {
        Kind::Config => {
            for change in changes.changes.iter().filter(|change| !change.removed) {
                take_config(state, &change.object);
            }
        }
        Kind::Endpoints => take_endpoints(state, changes),
        Kind::Evacuations => {
            for change in &changes.changes {
                names.retain(|name| *name != change.object.name);
                if !change.removed {
                    names.push(change.object.name.clone());
                }
            }
            let evacuation = Evacuation::new(changes.revision, names.clone());
            state.adopt_evacuation(evacuation, "store");
        }
        Kind::Gateways => {}
    }
}

fn take_endpoints(state: &State, changes: &Changes) {
    let now = state.clock.now();
    let mut tracker = lock(&state.tracker);
    // Another gateway may have brought a newer list already.
    if changes.revision <= tracker.revision() {
        return;
    }
    for change in &changes.changes {
        let revision = changes.revision;
        match read_endpoint(&change.object) {
            Some(endpoint) if !change.removed => tracker.put(revision, endpoint),
            _ => tracker.remove(revision, &change.object.name, now),
        }
    }
    drop(tracker);
    if !changes.changes.is_empty() {
        state.adopt_endpoints("store");
    }
}

fn take_config(state: &State, object: &Entry) {
    if object.name != platform::config::NAME {
        return;
    }
    match platform::config::decode(&object.content) {
        Ok(config) => state.adopt_config(config, "store"),
        Err(error) => Event::ConfigRejected.log(format_args!(
            "object={} revision={} error={error}",
            object.name, object.revision
        )),
    }
}

fn read_endpoint(object: &Entry) -> Option<Endpoint> {
    platform::endpoint::decode(object)
        .inspect_err(|error| {
            Event::ConfigRejected.log(format_args!(
                "object={} revision={} error={error}",
                object.name, object.revision
            ));
        })
        .ok()
}

/// Names this gateway in the store and learns of those that are named there.
async fn register(state: Arc<State>) {
    let me = lock(&state.roster).me().clone();
    let content = json!({
        "address": me.address,
        "incarnation": me.incarnation,
    });
    let mut failures = Failures::new(Kind::Gateways);
    loop {
        state.metrics.store_calls.inc();
        let put = state
            .store
            .put(Kind::Gateways, &me.instance, content.clone())
            .await;
        state.metrics.store_calls.inc();
        match put {
            Ok(()) => break,
            Err(fault) => failures.pause(&state, &fault).await,
        }
    }
    loop {
        state.metrics.store_calls.inc();
        match state.store.list(Kind::Gateways).await {
            Ok(listing) => {
                failures.end(&state);
                learn(&state, &listing);
                return;
            }
            Err(fault) => failures.pause(&state, &fault).await,
        }
    }
}

fn learn(state: &State, listing: &Objects) {
    let now = state.clock.now();
    for object in &listing.objects {
        let address = object.content["address"].as_str();
        let incarnation = object.content["incarnation"].as_u64();
        let (Some(address), Some(incarnation)) = (address, incarnation) else {
            Event::ConfigRejected.log(format_args!("object={} of no gateway", object.name));
            continue;
        };
        let gateway = cicadacrank_core::roster::Gateway {
            instance: object.name.clone(),
            incarnation,
            address: address.to_owned(),
            leaving: false,
        };
        lock(&state.roster).learn(gateway, now);
    }
    state.divide();
}

async fn expire(state: Arc<State>) {
    let mut period = time::interval(EXPIRY_PERIOD);
    loop {
        period.tick().await;
        let expired = lock(&state.tracker).expire(state.clock.now());
        if expired {
            state.adopt_endpoints("expiry");
        }
    }
}
