//! Keeps an entry's table of endpoints up to date.

use super::Instance;
use crate::{
    entry,
    platform::{Collection, Store},
};
use cicadacrank_core::event::Event;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Keeps an entry's table at the platform's instance list and the rules.
pub async fn refresh(service: Arc<entry::Service>, store: Arc<dyn Store>, pause: Duration) {
    loop {
        match store.list(Collection::Instances).await {
            Ok(listing) => {
                let instances = listing.objects.into_iter();
                let instances: Vec<Instance> = instances
                    .filter_map(|object| serde_json::from_value(object.spec).ok())
                    .collect();
                take_up(&service, &instances);
            }
            Err(fault) => Event::PlatformFailed.log(format_args!("listing instances: {fault}")),
        }
        time::sleep(pause).await;
    }
}

fn take_up(service: &entry::Service, instances: &[Instance]) {
    let Some(configuration) = service.parts().holder.current() else {
        return;
    };
    let book = &configuration.book;
    let mut table = service.table();
    let mut seen: Vec<&str> = Vec::new();
    for instance in instances.iter().filter(|instance| !instance.leaving) {
        for name in &instance.endpoints {
            let Some(key) = book.endpoint(name).filter(|key| !book.is_taken_out(*key)) else {
                continue;
            };
            let pool = &book[book[key].pool].name;
            let data_centre = &book[book[key].data_centre].name;
            table.insert(name, pool, data_centre, instance.address);
            seen.push(name);
        }
    }
    seen.sort_unstable();
    table.retain(|endpoint| seen.binary_search(&endpoint).is_ok());
    service.set_listed();
}
