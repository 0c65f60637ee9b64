//! Watches the rules on the platform while the process is a watcher.

use super::Service;
use crate::{
    configuration::RULESET_NAME,
    platform::{Change, Collection, Fault, Version},
};
use cicadacrank_core::event::Event;
use futures_util::StreamExt as _;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Base of the delay between two attempts to start a watch: half of it, plus the
/// jitter.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bound of the random part of that delay, in milliseconds.
const MAX_JITTER_MS: u64 = 2_000;

/// Upper bound of the delay before the rules are read again because the version of the
/// watch has expired, in milliseconds.
const MAX_EXPIRED_JITTER_MS: u64 = 500;

pub(super) async fn run(service: Arc<Service>) {
    let mut selected = service.watches.subscribe();
    loop {
        if selected.wait_for(|selected| *selected).await.is_err() {
            return;
        }
        let deselected = async {
            // The sender exists as long as the service.
            drop(selected.wait_for(|selected| !selected).await);
        };
        tokio::select! {
            () = watch_forever(&service) => {}
            () = deselected => {}
        }
    }
}

/// Watches the rules without end. A watch that ended is resumed at its last
/// version without a read, unless that version has expired.
async fn watch_forever(service: &Service) {
    let mut version = None;
    loop {
        if let Err(fault) = watch_once(service, &mut version).await {
            Event::PlatformFailed.log(format_args!("watching the rules: {fault}"));
            let delay = if fault == Fault::Expired || is_of_earlier_era(service, version) {
                version = None;
                Duration::from_millis(rand::random_range(0..MAX_EXPIRED_JITTER_MS))
            } else {
                let jitter_ms = rand::random_range(0..MAX_JITTER_MS);
                RETRY_INTERVAL / 2 + Duration::from_millis(jitter_ms)
            };
            time::sleep(delay).await;
        }
    }
}

/// Returns whether the platform has come back from a copy since it gave out a version.
fn is_of_earlier_era(service: &Service, version: Option<Version>) -> bool {
    let era = *service.parts.store.eras().borrow();
    version.is_some_and(|version| version.era < era)
}

async fn watch_once(service: &Service, version: &mut Option<Version>) -> Result<(), Fault> {
    let (store, calls) = (&service.parts.store, &service.parts.metrics.platform_calls);
    let start = if let Some(version) = *version {
        version
    } else {
        calls.inc();
        let object = store.get(Collection::Rulesets, RULESET_NAME).await?;
        let version = object.version;
        service.receive(object);
        version
    };
    *version = Some(start);
    calls.inc();
    let mut changes = store.watch(Collection::Rulesets, &start).await?;
    while let Some(change) = changes.next().await {
        match change? {
            Change::Put(object) => {
                *version = Some(object.version);
                if object.name == RULESET_NAME {
                    service.receive(object);
                }
            }
            Change::Deleted(object) => *version = Some(object.version),
        }
    }
    Ok(())
}
