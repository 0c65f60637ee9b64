//! Keeps each door at the rules in force and at what its endpoint reports.

use super::door::Door;
use crate::{
    configuration::{Configuration, Newest},
    endpoint::Port,
    quarantine::Suspects,
};
use cicadacrank_core::{
    admission::{Health, Limits, NameHash, Policy, Reservation},
    rules::{Definitions, EndpointKey},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time};

/// Time between two looks at an endpoint's report.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two looks for the report of an endpoint that has never made
/// one.
const SEARCH_INTERVAL: Duration = Duration::from_secs(5);

/// Configurations as they come into force.
pub(super) type Configurations = watch::Receiver<Newest>;

/// Keeps a door at the configuration in force, also without any job.
pub(super) async fn rules(door: Arc<Door>, mut configurations: Configurations) {
    loop {
        let current = configurations.borrow_and_update().get().cloned();
        if let Some(configuration) = current
            && let Some(endpoint) = configuration.definitions.endpoint(&door.name)
        {
            adopt(&door, endpoint, &configuration);
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

/// Looks at an endpoint's report for as long as the process has a
/// configuration to follow.
pub(super) async fn health(
    door: Arc<Door>,
    port: Arc<dyn Port>,
    suspects: Arc<Suspects>,
    configurations: Configurations,
) {
    while configurations.has_changed().is_ok() {
        explain(&door, port.health(door.address).await, &suspects);
        let pause = if door.is_mute() {
            SEARCH_INTERVAL
        } else {
            LOOK_INTERVAL
        };
        time::sleep(pause).await;
    }
}

/// Takes up a report and marks the jobs that a restart has cut.
pub(super) fn explain(door: &Door, health: Option<Health>, suspects: &Suspects) {
    for cut in door.observe(health) {
        suspects.mark(cut.fingerprint, cut.attempt);
    }
}

/// Takes up what a configuration says of a door's endpoint.
pub(super) fn adopt(door: &Arc<Door>, endpoint: EndpointKey, configuration: &Configuration) {
    if door.is_at(configuration.generation) {
        return;
    }
    let definitions = &configuration.definitions;
    let terms = terms_of(definitions, endpoint);
    door.adopt(
        configuration.generation,
        terms,
        definitions.is_taken_out(endpoint),
    );
}

fn terms_of(definitions: &Definitions, endpoint: EndpointKey) -> Policy {
    let endpoint = &definitions[endpoint];
    let reservations = definitions.reservations.iter();
    Policy {
        limits: Limits {
            cold_slots: endpoint.cold_slots,
            warm_slots: endpoint.warm_slots,
            warmup: Duration::from_millis(endpoint.warmup_ms),
        },
        reservations: reservations
            .filter(|one| one.pool == endpoint.pool)
            .map(|one| Reservation {
                owner: NameHash::new(&definitions[one.owner].name),
                slots: one.slots,
            })
            .collect(),
    }
}
