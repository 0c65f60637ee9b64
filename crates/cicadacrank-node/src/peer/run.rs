//! Main loop of the gossip service.

use super::{Service, restore, watch};
use crate::{
    configuration::RULESET_NAME,
    membership::Instance,
    platform::{Collection, Fault},
};
use cicadacrank_core::{event::Event, gossip::Action, membership::Role};
use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

/// Time between two checks for actions that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the gossip service for as long as the future is polled.
///
/// # Panics
///
/// Panics if it is called twice for one service.
pub async fn run(service: Arc<Service>) {
    let queue = service
        .queue
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let mut queue = queue.expect("`run` must be called only once per service");
    let mut tasks = JoinSet::new();
    tasks.spawn(watch::run(Arc::clone(&service)));
    tasks.spawn(restore::run(Arc::clone(&service)));
    let mut eras = service.parts.store.eras();
    let mut hints = service.parts.holder.hints();
    let mut crashes = service.parts.suspects.crash_count();
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => service.tick(),
            Ok(()) = hints.changed() => {
                let actions = service.node().sync_with_random_peers(rand::random);
                service.enqueue(actions);
            }
            Ok(()) = eras.changed() => {
                let era = *eras.borrow_and_update();
                Event::PlatformRestored.log(format_args!("era {era}"));
                let actions = service.node().sync_with_random_peers(rand::random);
                service.enqueue(actions);
            }
            Ok(()) = crashes.changed() => {
                tasks.spawn(notify_entries(Arc::clone(&service), *crashes.borrow_and_update()));
            }
            Some(action) = queue.recv() => {
                tasks.spawn(execute(Arc::clone(&service), action));
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn execute(service: Arc<Service>, action: Action) {
    match action {
        Action::Sync { name, address } => sync(&service, &name, address).await,
        Action::ReadRules => read_rules(&service).await,
        Action::ReadInstances => read_instances(&service).await,
    }
}

async fn sync(service: &Service, name: &str, address: SocketAddr) {
    let digest = service.digest();
    match service.parts.link.sync(address, digest).await {
        Ok(update) => service.handle_update(update),
        Err(fault) => {
            log::debug!("{fault}");
            service.record_failure(name);
        }
    }
}

/// Syncs with all other entries, which reject requests that crash endpoints, to
/// notify them of the first `crashes` crashes. Each sync carries suspects.
async fn notify_entries(service: Arc<Service>, crashes: u64) {
    let local_name = service.parts.local.name.clone();
    let entries = service
        .live()
        .into_iter()
        .filter(|peer| peer.role == Role::Entry);
    let syncs = entries.filter(|peer| peer.name != local_name).map(|peer| {
        let service = Arc::clone(&service);
        async move { sync(&service, &peer.name, peer.address).await }
    });
    syncs.collect::<JoinSet<_>>().join_all().await;
    service.parts.suspects.record_announced(crashes);
}

async fn read_rules(service: &Service) {
    service.parts.metrics.platform_calls.inc();
    let store = &service.parts.store;
    match store.get(Collection::Rulesets, RULESET_NAME).await {
        Ok(object) => service.receive(object),
        Err(Fault::Missing) => service.receive_missing(),
        Err(fault) => Event::PlatformFailed.log(format_args!("reading the rules: {fault}")),
    }
}

async fn read_instances(service: &Service) {
    service.parts.metrics.platform_calls.inc();
    match service.parts.store.list(Collection::Instances).await {
        Ok(listing) => {
            let members = listing.objects.into_iter().filter_map(|object| {
                let instance: Instance = serde_json::from_value(object.spec).ok()?;
                Some(instance.into_member(object.name))
            });
            let members: Vec<_> = members.collect();
            service
                .node()
                .merge_platform_list(&members, service.parts.clock.now());
            service.publish_members();
        }
        Err(fault) => Event::PlatformFailed.log(format_args!("listing instances: {fault}")),
    }
}
