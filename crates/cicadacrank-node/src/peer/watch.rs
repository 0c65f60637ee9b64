//! Watches the rules in the platform while the process is one of the chosen.

use super::Service;
use crate::{
    configuration::{RULESET_NAME, document},
    platform::{Change, Collection, Fault, Version},
};
use cicadacrank_core::{event::Event, gossip::Payload};
use futures_util::StreamExt as _;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Mean time between two tries to begin a watch.
const RETRY: Duration = Duration::from_secs(2);

/// Longest part of a second try's pause that is left to chance, in
/// milliseconds.
const JITTER_MS: u64 = 2_000;

pub(super) async fn run(service: Arc<Service>) {
    let mut chosen = service.watches.subscribe();
    loop {
        if chosen.wait_for(|chosen| *chosen).await.is_err() {
            return;
        }
        let gone = async {
            // The sender lives as long as the service.
            drop(chosen.wait_for(|chosen| !chosen).await);
        };
        tokio::select! {
            () = watch(&service) => {}
            () = gone => {}
        }
    }
}

/// Watches for ever; a watch that ended goes on where it was, without a read.
async fn watch(service: &Service) {
    let mut version = None;
    loop {
        if let Err(fault) = follow(service, &mut version).await {
            Event::PlatformFailed.log(format_args!("watching the rules: {fault}"));
            if fault == Fault::Expired {
                version = None;
            }
            let jitter = rand::random::<u64>() % JITTER_MS;
            time::sleep(RETRY / 2 + Duration::from_millis(jitter)).await;
        }
    }
}

async fn follow(service: &Service, version: &mut Option<Version>) -> Result<(), Fault> {
    let (store, calls) = (&service.parts.store, &service.parts.metrics.platform_calls);
    let since = if let Some(version) = version {
        version.clone()
    } else {
        calls.inc();
        let object = store.get(Collection::Rulesets, RULESET_NAME).await?;
        take_up(service, object.spec);
        object.version
    };
    *version = Some(since.clone());
    calls.inc();
    let mut steps = store.watch(Collection::Rulesets, &since).await?;
    while let Some(step) = steps.next().await {
        match step? {
            Change::Put(object) => {
                *version = Some(object.version);
                if object.name == RULESET_NAME {
                    take_up(service, object.spec);
                }
            }
            Change::Deleted(object) => *version = Some(object.version),
        }
    }
    Ok(())
}

fn take_up(service: &Service, spec: serde_json::Value) {
    service
        .node()
        .record_platform_contact(service.parts.clock.now());
    match document(spec) {
        Ok(document) => service.adopt(document, Payload::Empty),
        Err(error) => Event::GenerationRejected.log(format_args!("{error}")),
    }
}
