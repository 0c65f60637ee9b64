//! Lists and watches the platform's store.

use super::{
    rollout,
    state::{STORE_TIMEOUT, State, lock},
};
use crate::platform::{self, Change, Changes, Collection, Fault, Listing, Object, Store as _};
use cicadacrank_core::{
    directory::{Endpoint, Evacuation},
    event::Event,
    retry,
    roster::{Gateway, Room},
    version::Version,
};
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Maximum time for which a watch waits for a change to endpoints. It is short
/// enough to notice each outage of the store in which endpoints may expire.
const ENDPOINTS_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after changes to endpoints before the next call, which gathers further
/// changes. It is a small part of the time for which a leaving endpoint still
/// accepts requests.
const GATHER_TIME: Duration = Duration::from_millis(400);

/// Backoff after the first failed call. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff between failed calls. It is well below the time within which
/// a change must be applied once the store is available again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Interval of the checks for endpoints that did not register again after an
/// outage.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// A part of the store that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resource {
    Config,
    Endpoints,
    Evacuation,
    Rollouts,
}

impl Resource {
    const ALL: [Self; 4] = [
        Self::Config,
        Self::Endpoints,
        Self::Evacuation,
        Self::Rollouts,
    ];

    const fn collection(self) -> Collection {
        match self {
            Self::Config => Collection::Config,
            Self::Endpoints => Collection::Endpoints,
            Self::Evacuation => Collection::Evacuations,
            Self::Rollouts => Collection::Rollouts,
        }
    }

    /// Returns the maximum time for which a watch waits for a change.
    ///
    /// A connection that has gone silent is replaced after this time and the timeout
    /// of a call. For resources that rarely change, that is the time within which a
    /// process has to recover.
    fn watch_timeout(self, state: &State) -> Duration {
        match self {
            Self::Rollouts if state.rollouts.is_active() => rollout::WATCH_TIMEOUT,
            Self::Rollouts => rollout::IDLE_WATCH_TIMEOUT,
            Self::Endpoints => ENDPOINTS_WATCH_TIMEOUT,
            Self::Config | Self::Evacuation => state
                .settings
                .bounds
                .recovery_time
                .saturating_sub(STORE_TIMEOUT)
                .max(ENDPOINTS_WATCH_TIMEOUT),
        }
    }
}

/// Starts watching the store and registers the gateway in it.
pub fn start(state: &Arc<State>) {
    for resource in Resource::ALL {
        if resource != Resource::Rollouts || state.rollouts.is_enabled() {
            tokio::spawn(watch(Arc::clone(state), resource));
        }
    }
    tokio::spawn(register(Arc::clone(state)));
    tokio::spawn(run_expiry(Arc::clone(state)));
}

/// Lists a collection, applies its changes, and lists it again whenever its
/// version has expired.
async fn watch(state: Arc<State>, resource: Resource) {
    let collection = resource.collection();
    let mut failures = Failures::new(collection);
    let mut names = Vec::new();
    loop {
        state.metrics.store_calls.inc();
        let mut version = match state.store.list(collection).await {
            Ok(listing) => {
                failures.record_success(&state);
                apply_list(&state, resource, &listing, &mut names);
                listing.version
            }
            // The store may know no such collection before the first order.
            Err(Fault::Missing | Fault::Invalid(_)) if resource == Resource::Rollouts => {
                failures.record_success(&state);
                rollout::set_known(&state);
                time::sleep(rollout::IDLE_WATCH_TIMEOUT).await;
                continue;
            }
            Err(fault) => {
                failures.back_off(&state, &fault).await;
                continue;
            }
        };
        loop {
            state.metrics.store_calls.inc();
            let timeout = resource.watch_timeout(&state);
            match state.store.changes(collection, &version, timeout).await {
                Ok(changes) => {
                    failures.record_success(&state);
                    apply_changes(&state, resource, &changes, &mut names);
                    version = changes.version;
                    if resource == Resource::Endpoints && !changes.changes.is_empty() {
                        time::sleep(GATHER_TIME).await;
                    }
                }
                Err(Fault::Expired) => break,
                Err(fault) => failures.back_off(&state, &fault).await,
            }
        }
    }
}

/// Reads the list of endpoints now and applies it.
///
/// # Errors
///
/// Returns the fault of the store.
pub async fn refresh_endpoints(state: &State) -> Result<(), Fault> {
    state.metrics.store_calls.inc();
    let listing = state.store.list(Collection::Endpoints).await?;
    apply_list(state, Resource::Endpoints, &listing, &mut Vec::new());
    Ok(())
}

/// Consecutive failures of calls for one collection.
struct Failures {
    collection: Collection,
    count: u32,
}

impl Failures {
    const fn new(collection: Collection) -> Self {
        Self {
            collection,
            count: 0,
        }
    }

    async fn back_off(&mut self, state: &State, fault: &Fault) {
        if self.count == 0 {
            Event::PlatformFailed.log(format_args!(
                "collection={:?} fault={fault}",
                self.collection
            ));
        }
        if self.collection == Collection::Endpoints {
            state.record_store(false);
        }
        let pause = retry::backoff(INITIAL_BACKOFF, MAX_BACKOFF, self.count);
        self.count += 1;
        let jitter = rand::random_range(0.5..1.0);
        time::sleep(pause.mul_f64(jitter)).await;
    }

    fn record_success(&mut self, state: &State) {
        if self.count > 0 {
            Event::PlatformRegained.log(format_args!(
                "collection={:?} failures={}",
                self.collection, self.count
            ));
            self.count = 0;
        }
        match self.collection {
            Collection::Endpoints => state.record_store(true),
            Collection::Rollouts => rollout::record_contact(state),
            _ => {}
        }
    }
}

fn apply_list(state: &State, resource: Resource, listing: &Listing, names: &mut Vec<String>) {
    match resource {
        Resource::Config => {
            for object in &listing.objects {
                apply_config(state, object);
            }
        }
        Resource::Endpoints => {
            let mut endpoints = Vec::new();
            let mut invalid = Vec::new();
            for object in &listing.objects {
                match decode_endpoint(object) {
                    Some(endpoint) => endpoints.push(endpoint),
                    None => invalid.push(object.name.as_str()),
                }
            }
            let version = listing.version;
            let mut tracker = lock(&state.tracker);
            let held = tracker.version();
            let applied = tracker.replace_all(version, endpoints, state.clock.now());
            for name in invalid {
                tracker.discard(version, name);
            }
            drop(tracker);
            if applied {
                state.adopt_endpoints("store");
            } else {
                report_ignored(resource, listing, held);
            }
        }
        Resource::Evacuation => {
            *names = listing.objects.iter().map(|one| one.name.clone()).collect();
            let (_, held) = state.versions();
            let evacuation = Evacuation::new(listing.version, names.clone());
            if !state.adopt_evacuation(evacuation, "store") && listing.version < held {
                report_ignored(resource, listing, held);
            }
        }
        Resource::Rollouts => rollout::apply_list(state, listing),
    }
}

/// Logs a list that is older than what the gateway holds.
fn report_ignored(resource: Resource, listing: &Listing, held: Version) {
    Event::ListIgnored.log(format_args!(
        "collection={:?} era={} revision={} held_era={} held_revision={}",
        resource.collection(),
        listing.version.era,
        listing.version.revision,
        held.era,
        held.revision,
    ));
}

fn apply_changes(state: &State, resource: Resource, changes: &Changes, names: &mut Vec<String>) {
    match resource {
        Resource::Config => {
            for change in &changes.changes {
                if let Change::Put(object) = change {
                    apply_config(state, object);
                }
            }
        }
        Resource::Endpoints => apply_endpoint_changes(state, changes),
        Resource::Evacuation => {
            for change in &changes.changes {
                let (Change::Put(object) | Change::Deleted(object)) = change;
                names.retain(|name| *name != object.name);
                if matches!(change, Change::Put(_)) {
                    names.push(object.name.clone());
                }
            }
            let evacuation = Evacuation::new(changes.version, names.clone());
            state.adopt_evacuation(evacuation, "store");
        }
        Resource::Rollouts => rollout::apply_changes(state, changes),
    }
}

fn apply_endpoint_changes(state: &State, changes: &Changes) {
    let now = state.clock.now();
    let version = changes.version;
    let mut tracker = lock(&state.tracker);
    // A newer list may already have been fetched from another gateway. Changes of a
    // later era follow a list of that era.
    if version <= tracker.version() || version.era != tracker.version().era {
        return;
    }
    for change in &changes.changes {
        let (Change::Put(object) | Change::Deleted(object)) = change;
        match change {
            Change::Put(_) => match decode_endpoint(object) {
                Some(endpoint) => tracker.put(version, endpoint),
                None => tracker.discard(version, &object.name),
            },
            Change::Deleted(_) => tracker.remove(version, &object.name, now),
        }
    }
    drop(tracker);
    if !changes.changes.is_empty() {
        state.adopt_endpoints("store");
    }
}

fn apply_config(state: &State, object: &Object) {
    if object.name != platform::config::NAME {
        return;
    }
    match platform::config::decode(&object.spec) {
        Ok(config) => state.adopt_config(config, object.version.era, "store"),
        Err(error) => Event::ConfigRejected.log(format_args!(
            "object={} revision={} error={error}",
            object.name, object.version.revision
        )),
    }
}

fn decode_endpoint(object: &Object) -> Option<Endpoint> {
    platform::endpoint::decode(object)
        .inspect_err(|error| {
            Event::ConfigRejected.log(format_args!(
                "object={} revision={} error={error}",
                object.name, object.version.revision
            ));
        })
        .ok()
}

/// Keeps this gateway registered in the store: at the start, and again whenever the
/// store has come back from a copy, which may lack the registration.
async fn register(state: Arc<State>) {
    let mut failures = Failures::new(Collection::Gateways);
    let mut era = register_once(&state, &mut failures).await;
    loop {
        let before = era;
        era = state.store.newer_era(before).await;
        Event::PlatformRestored.log(format_args!("era={era} before={before}"));
        era = register_once(&state, &mut failures).await;
    }
}

/// Registers this gateway in the store, then adds the gateways registered there to
/// the roster. Returns an era of the store that holds the registration.
async fn register_once(state: &State, failures: &mut Failures) -> u64 {
    let local = lock(&state.roster).local().clone();
    let content = json!({
        "address": local.address,
        "incarnation": local.incarnation,
        "millicores": local.room.millicores,
        "linkMbps": local.room.link_mbps,
    });
    let put = || {
        // One call to create the object, and one to replace it if it exists.
        state.metrics.store_calls.inc_by(2);
        state
            .store
            .put(Collection::Gateways, &local.instance, content.clone())
    };
    let era = loop {
        match put().await {
            Ok(version) => break version.era,
            Err(fault) => failures.back_off(state, &fault).await,
        }
    };
    loop {
        state.metrics.store_calls.inc();
        match state.store.list(Collection::Gateways).await {
            Ok(listing) => {
                failures.record_success(state);
                record_gateways(state, &listing);
                state.record_gateways_listed();
                return era;
            }
            Err(fault) => failures.back_off(state, &fault).await,
        }
    }
}

fn record_gateways(state: &State, listing: &Listing) {
    let now = state.clock.now();
    for object in &listing.objects {
        let address = object.spec["address"].as_str();
        let incarnation = object.spec["incarnation"].as_u64();
        let (Some(address), Some(incarnation)) = (address, incarnation) else {
            Event::ConfigRejected.log(format_args!(
                "object={} lacks the address or incarnation of a gateway",
                object.name
            ));
            continue;
        };
        let gateway = Gateway {
            instance: object.name.clone(),
            incarnation,
            address: address.to_owned(),
            leaving: false,
            heartbeats: 0,
            // An older process says otherwise when it is contacted.
            reads_digests: true,
            // Older processes don't state theirs.
            room: Room {
                millicores: number(&object.spec["millicores"]),
                link_mbps: number(&object.spec["linkMbps"]),
            },
        };
        // The store shows no heartbeats.
        lock(&state.roster).learn(gateway, now);
    }
    state.update_shares();
}

fn number(value: &Value) -> u32 {
    let number = value.as_u64().unwrap_or_default();
    u32::try_from(number).unwrap_or(u32::MAX)
}

async fn run_expiry(state: Arc<State>) {
    let mut period = time::interval(EXPIRY_INTERVAL);
    loop {
        period.tick().await;
        let expired = lock(&state.tracker).expire(state.clock.now());
        if expired {
            state.adopt_endpoints("expiry");
        }
        state.expire_evacuation();
    }
}
