//! What gateways pass on of the store: configuration, endpoints and evacuations.

use super::FETCH_TIMEOUT;
use crate::{
    gateway::state::{State, lock},
    metrics::gateway::{Direction, Purpose},
};
use cicadacrank_core::{event::Event, roster, version::Version};
use cicadacrank_wire::{
    Message as _,
    wire::{Knowledge, Versions},
};
use std::sync::Arc;
use tokio::time;
use tonic::Status;

/// Returns the versions of what this gateway knows of the store.
pub(super) fn versions(state: &State) -> Versions {
    let (endpoints, evacuation) = state.versions();
    Versions {
        config: state.config().map_or(0, |config| config.version),
        endpoints: endpoints.revision,
        evacuation: evacuation.revision,
        endpoints_era: endpoints.era,
        evacuation_era: evacuation.era,
        config_era: state.config_era(),
        ..Versions::default()
    }
}

/// Returns the version of the configuration, which operators number, and the era of
/// the store that held it last.
const fn config_version(versions: &Versions) -> (u64, u64) {
    (versions.config, versions.config_era)
}

/// Returns the version of the list of endpoints.
const fn endpoints_version(versions: &Versions) -> Version {
    Version::new(versions.endpoints_era, versions.endpoints)
}

/// Returns the version of the list of evacuated data centres.
const fn evacuation_version(versions: &Versions) -> Version {
    Version::new(versions.evacuation_era, versions.evacuation)
}

/// Fetches what the gateway at `address` knows of the store if its versions are newer.
pub(super) fn follow(state: &Arc<State>, theirs: &Versions, address: String) {
    let own = versions(state);
    let is_newer = config_version(theirs) > config_version(&own)
        || endpoints_version(theirs) > endpoints_version(&own)
        || evacuation_version(theirs) > evacuation_version(&own);
    if !is_newer {
        return;
    }
    let has_store = !lock(&state.tracker).is_unavailable();
    let request = lock(&state.catchup).begin(
        endpoints_version(&own),
        endpoints_version(theirs),
        has_store,
        state.clock.now(),
    );
    if let Some(request) = request {
        let own = Versions {
            reads_changes: true,
            changes_only: request == roster::Request::Changes,
            ..own
        };
        tokio::spawn(fetch(Arc::clone(state), address, own));
    }
}

/// Fetches the state that is newer than `own` from another gateway and applies it.
async fn fetch(state: Arc<State>, address: String, own: Versions) {
    if let Ok(mut client) = state.links.client(&address) {
        let answer = time::timeout(FETCH_TIMEOUT, client.fetch(own)).await;
        if let Ok(Ok(knowledge)) = answer {
            adopt(&state, knowledge.into_inner(), &address);
        }
    }
    lock(&state.catchup).end();
}

fn adopt(state: &State, knowledge: Knowledge, address: &str) {
    let size = knowledge.encoded_len();
    let metrics = &state.metrics;
    metrics.record_traffic(Purpose::Knowledge, Direction::Received, size);
    let Knowledge {
        config,
        endpoints,
        evacuation,
        config_era,
        endpoint_changes,
    } = knowledge;
    if let Some(config) = parse_json(&config, address) {
        state.adopt_config(config, config_era, address);
    }
    let now = state.clock.now();
    if let Some(snapshot) = parse_json(&endpoints, address)
        && lock(&state.tracker).adopt(snapshot, now)
    {
        state.adopt_endpoints(address);
    }
    if let Some(changes) = parse_json(&endpoint_changes, address)
        && lock(&state.tracker).apply(changes, now)
    {
        state.adopt_endpoints(address);
    }
    if let Some(evacuation) = parse_json(&evacuation, address) {
        state.adopt_evacuation(evacuation, address);
    }
}

/// Returns what is newer than the versions of another gateway.
///
/// # Errors
///
/// Returns a status if something cannot be encoded.
pub(super) fn newer_than(state: &State, theirs: &Versions) -> Result<Knowledge, Status> {
    let mut knowledge = Knowledge::default();
    let config_era = state.config_era();
    if let Some(config) = state.config()
        && (config.version, config_era) > config_version(theirs)
    {
        knowledge.config = to_json(&*config)?;
        knowledge.config_era = config_era;
    }
    let (endpoints, _) = state.versions();
    let held = endpoints_version(theirs);
    if endpoints > held {
        let tracker = lock(&state.tracker);
        let changes = tracker.changes_since(held).filter(|_| theirs.reads_changes);
        if let Some(changes) = changes {
            knowledge.endpoint_changes = to_json(&changes)?;
        } else if !theirs.changes_only
            && let Some(snapshot) = tracker.shareable()
        {
            knowledge.endpoints = to_json(&snapshot)?;
        }
    }
    if let Some(evacuation) = state.evacuation()
        && evacuation.version > evacuation_version(theirs)
    {
        knowledge.evacuation = to_json(&evacuation)?;
    }
    let size = knowledge.encoded_len();
    let metrics = &state.metrics;
    metrics.record_traffic(Purpose::Knowledge, Direction::Sent, size);
    Ok(knowledge)
}

/// Parses JSON from another gateway. Returns `None` if `bytes` is empty, which
/// means that nothing was newer, or if parsing fails.
fn parse_json<T: serde::de::DeserializeOwned>(bytes: &[u8], address: &str) -> Option<T> {
    if bytes.is_empty() {
        return None;
    }
    serde_json::from_slice(bytes)
        .inspect_err(|error| {
            Event::ConfigRejected.log(format_args!("source={address} error={error}"));
        })
        .ok()
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>, Status> {
    serde_json::to_vec(value).map_err(|error| Status::internal(error.to_string()))
}
