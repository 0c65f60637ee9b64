//! Keeps each limiter at the rules in force and at what its endpoint reports.

use super::limiter::Limiter;
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
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two looks for the report of an endpoint that has never made
/// one.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);

/// Configurations as they come into force.
pub(super) type Configurations = watch::Receiver<Newest>;

/// Keeps a limiter at the configuration in force, also without any job.
pub(super) async fn follow_rules(limiter: Arc<Limiter>, mut configurations: Configurations) {
    loop {
        let current = configurations.borrow_and_update().get().cloned();
        if let Some(configuration) = current
            && let Some(endpoint) = configuration.definitions.endpoint(&limiter.name)
        {
            apply_rules(&limiter, endpoint, &configuration);
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

/// Looks at an endpoint's report for as long as the process has a
/// configuration to follow.
pub(super) async fn poll_health(
    limiter: Arc<Limiter>,
    port: Arc<dyn Port>,
    suspects: Arc<Suspects>,
    configurations: Configurations,
) {
    while configurations.has_changed().is_ok() {
        apply_health(&limiter, port.health(limiter.address).await, &suspects);
        let interval = if limiter.has_never_reported() {
            DISCOVERY_INTERVAL
        } else {
            HEALTH_INTERVAL
        };
        time::sleep(interval).await;
    }
}

/// Takes up a report and marks the jobs that a restart has cut.
pub(super) fn apply_health(limiter: &Limiter, health: Option<Health>, suspects: &Suspects) {
    for cut in limiter.observe(health) {
        suspects.record_crash(cut.fingerprint, cut.attempt);
    }
}

/// Takes up what a configuration says of a limiter's endpoint.
pub(super) fn apply_rules(
    limiter: &Arc<Limiter>,
    endpoint: EndpointKey,
    configuration: &Configuration,
) {
    if limiter.has_adopted(configuration.generation) {
        return;
    }
    let definitions = &configuration.definitions;
    let policy = policy_of(definitions, endpoint);
    limiter.adopt(
        configuration.generation,
        policy,
        definitions.is_taken_out(endpoint),
    );
}

fn policy_of(definitions: &Definitions, endpoint: EndpointKey) -> Policy {
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
