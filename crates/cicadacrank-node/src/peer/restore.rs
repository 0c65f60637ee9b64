//! Writes the rules in force back to a platform that came back from a copy without
//! them.

use super::Service;
use crate::{
    clock,
    configuration::RULESET_NAME,
    platform::{Collection, Fault, Version},
};
use cicadacrank_core::{
    event::Event,
    generation::{Change, ChangeId, Generation, Object, Step},
    rules::edit::Request,
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Minimum delay before the rules are written back, in which peers pass on newer ones.
const MIN_DELAY: Duration = Duration::from_millis(500);

/// Upper bound of the random part of that delay, in milliseconds. One process that
/// writes suffices.
const MAX_JITTER_MS: u64 = 1_000;

/// Additional delay of a process that lacks the audit entries of the lost changes.
const NO_ENTRIES_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of tries to write the rules back. A later read of the platform
/// starts again.
const MAX_TRIES: u32 = 5;

/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Author of the change in the audit trail.
const AUTHOR: &str = "cicadacrank";

/// Writes the rules back whenever the platform is found to be behind. Never returns.
pub(super) async fn run(service: Arc<Service>) {
    loop {
        service.behind.notified().await;
        let actions = service.node().sync_with_random_peers(rand::random);
        service.enqueue(actions);
        let jitter_ms = rand::random_range(0..MAX_JITTER_MS);
        time::sleep(MIN_DELAY + Duration::from_millis(jitter_ms)).await;
        if service.entries().is_empty() {
            time::sleep(NO_ENTRIES_DELAY).await;
        }
        for _ in 0..MAX_TRIES {
            match write_back(&service).await {
                Ok(()) => break,
                Err(fault) => {
                    Event::PlatformFailed.log(format_args!("writing the rules back: {fault}"));
                    time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Writes the rules in force back if the platform still lacks them.
///
/// The update is conditional on the version that was read, so that an operator's
/// change that comes first stays in force.
async fn write_back(service: &Service) -> Result<(), Fault> {
    let (version, stored) = read(service).await?;
    service.adopt_ruleset(&stored);
    if !service.is_newer_than(&stored) {
        return Ok(());
    }
    let Some(configuration) = service.parts.holder.newest() else {
        return Ok(());
    };
    let generation = Generation(configuration.generation);
    let change = Change {
        id: ChangeId::new(rand::random()),
        request: Request {
            who: AUTHOR.to_owned(),
            why: format!(
                "write back generation {generation}, after the platform came back with {}",
                stored.generation
            ),
        },
        at_ms: clock::unix_ms(),
    };
    let rules = &configuration.ruleset.rules;
    let step = stored
        .write_back(generation, rules, &service.entries(), &change)
        .map_err(|error| Fault::Invalid(error.to_string()))?;
    write(service, version.as_ref(), &step).await?;
    Event::RulesWrittenBack.log(format_args!(
        "generation {generation} as generation {}",
        step.object.generation
    ));
    service.adopt_ruleset(&step.object);
    Ok(())
}

/// Reads the ruleset object and its version, which is missing if there is no object.
async fn read(service: &Service) -> Result<(Option<Version>, Object), Fault> {
    let (store, calls) = (&service.parts.store, &service.parts.metrics.platform_calls);
    calls.inc();
    match store.get(Collection::Rulesets, RULESET_NAME).await {
        Ok(object) => {
            let stored = Object::decode(object.spec);
            let stored = stored.map_err(|error| Fault::Invalid(error.to_string()))?;
            let version = object.version;
            Ok((Some(version), stored.with_read_era(version.era)))
        }
        Err(Fault::Missing) => {
            let era = *store.eras().borrow();
            Ok((None, Object::new().with_read_era(era)))
        }
        Err(fault) => Err(fault),
    }
}

async fn write(service: &Service, version: Option<&Version>, step: &Step) -> Result<(), Fault> {
    let (store, calls) = (&service.parts.store, &service.parts.metrics.platform_calls);
    for attachment in &step.attachments {
        calls.inc();
        let content = attachment.content.clone();
        let created = store.create(Collection::Audits, &attachment.name, content);
        match created.await {
            Ok(_) | Err(Fault::Exists) => {}
            Err(fault) => return Err(fault),
        }
    }
    calls.inc();
    let content = step.content.clone();
    let written = match version {
        Some(version) => {
            let update = store.update(Collection::Rulesets, RULESET_NAME, version, content);
            update.await
        }
        None => {
            let create = store.create(Collection::Rulesets, RULESET_NAME, content);
            create.await
        }
    };
    written.map(drop)
}
