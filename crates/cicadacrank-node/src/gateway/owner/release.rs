//! Gives up results that nobody needs any more.

use super::{ANSWER_BYTES, Batcher};
use crate::{
    gateway::{
        stages::Product,
        state::{State, lock},
    },
    outbound,
    platform::stage,
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Longest time that results wait to be given up together.
const RELEASE_PERIOD: Duration = Duration::from_millis(30);

/// Longest time for giving results up; they end by themselves if it fails.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Gives up results of services whose calls this gateway forms.
pub fn release(state: &State, products: &[Product]) {
    for product in products {
        if let Some(batcher) = state.pools.find(&product.service) {
            release_here(&batcher, std::slice::from_ref(product));
        }
    }
}

pub(super) fn release_here(batcher: &Batcher, products: &[Product]) {
    let mut inner = lock(&batcher.inner);
    for product in products {
        inner.pool.free(&product.endpoint, product.bytes);
        inner
            .released
            .push((product.endpoint.clone(), product.handle.clone()));
    }
}

/// Tells endpoints which results are given up, several at a time.
pub(super) async fn run_releases(batcher: Arc<Batcher>) {
    loop {
        time::sleep(RELEASE_PERIOD).await;
        let calls: Vec<_> = {
            let mut inner = lock(&batcher.inner);
            let mut released = std::mem::take(&mut inner.released);
            released.sort();
            released
                .chunk_by(|one, other| one.0 == other.0)
                .filter_map(|group| {
                    let life = &group[0].0;
                    let handles: Vec<String> = group.iter().map(|one| one.1.clone()).collect();
                    let (address, _) = inner.address(life)?;
                    Some((address, life.id.clone(), handles))
                })
                .collect()
        };
        if !calls.is_empty() {
            batcher.wake.notify_one();
        }
        for (address, id, handles) in calls {
            tokio::spawn(async move {
                let Ok(request) = stage::encode_free(address, &id, &handles) else {
                    return;
                };
                let answer = outbound::call(address, request, RELEASE_TIMEOUT, ANSWER_BYTES).await;
                if let Err(broken) = answer {
                    log::debug!("results at {id} end by themselves: {broken:?}");
                }
            });
        }
    }
}
