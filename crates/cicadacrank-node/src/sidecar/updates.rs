//! Background tasks that apply configurations and health reports to limiters.

use super::limiter::{Cut, Limiter};
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

/// Time between two health requests to an endpoint.
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two health requests to an endpoint that has never answered one
/// with a report.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);

/// Receiver of the configurations that come into force.
pub(super) type Configurations = watch::Receiver<Newest>;

/// Applies each new configuration to a limiter, even if no job arrives, until
/// the sender of the configurations is dropped.
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

/// Requests health reports from an endpoint and applies them, until the sender
/// of the configurations is dropped.
pub(super) async fn poll_health(
    limiter: Arc<Limiter>,
    port: Arc<dyn Port>,
    suspects: Arc<Suspects>,
    configurations: Configurations,
) {
    while configurations.has_changed().is_ok() {
        apply_health(&limiter, port.health(limiter.address).await, &suspects);
        limiter.mark_observed();
        let interval = if limiter.has_never_reported() {
            DISCOVERY_INTERVAL
        } else {
            HEALTH_INTERVAL
        };
        time::sleep(interval).await;
    }
}

/// Applies a health report to a limiter, and records a crash for each job whose
/// connection was broken by a restart of the endpoint.
pub(super) fn apply_health(limiter: &Limiter, health: Option<Health>, suspects: &Suspects) {
    for cut in limiter.observe(health) {
        record_crash(&cut, suspects);
    }
}

/// Records that the endpoint crashed when a connection was cut.
pub(super) fn record_crash(cut: &Cut, suspects: &Suspects) {
    suspects.causes().record_crash(&cut.causes, cut.crash);
    suspects.record_crash(cut.fingerprint, cut.attempt);
}

/// Applies the rules of a limiter's endpoint, unless the limiter has already
/// adopted this generation or a newer one.
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
