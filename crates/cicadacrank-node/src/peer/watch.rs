//! Watches the rules on the platform while the process is a watcher.

use super::Service;
use crate::{
    configuration::{RULESET_NAME, document},
    platform::{Change, Collection, Fault, Version},
};
use cicadacrank_core::{event::Event, gossip::Payload};
use futures_util::StreamExt as _;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Base of the delay between two attempts to start a watch: half of it, plus the
/// jitter.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bound of the random part of that delay, in milliseconds.
const MAX_JITTER_MS: u64 = 2_000;

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
            if fault == Fault::Expired {
                version = None;
            }
            let jitter = rand::random::<u64>() % MAX_JITTER_MS;
            time::sleep(RETRY_INTERVAL / 2 + Duration::from_millis(jitter)).await;
        }
    }
}

async fn watch_once(service: &Service, version: &mut Option<Version>) -> Result<(), Fault> {
    let (store, calls) = (&service.parts.store, &service.parts.metrics.platform_calls);
    let start = if let Some(version) = *version {
        version
    } else {
        calls.inc();
        let object = store.get(Collection::Rulesets, RULESET_NAME).await?;
        adopt(service, object.spec);
        object.version
    };
    *version = Some(start);
    calls.inc();
    let mut changes = store.watch(Collection::Rulesets, &start).await?;
    while let Some(change) = changes.next().await {
        match change? {
            Change::Put(object) => {
                *version = Some(object.version);
                if object.name == RULESET_NAME {
                    adopt(service, object.spec);
                }
            }
            Change::Deleted(object) => *version = Some(object.version),
        }
    }
    Ok(())
}

fn adopt(service: &Service, spec: serde_json::Value) {
    service
        .node()
        .record_platform_contact(service.parts.clock.now());
    match document(spec) {
        Ok(document) => service.adopt(document, Payload::Empty),
        Err(error) => Event::GenerationRejected.log(format_args!("{error}")),
    }
}
