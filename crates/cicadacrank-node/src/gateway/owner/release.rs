//! Gives up results that nobody needs any more.

use super::{ANSWER_BYTES, pools::Batcher};
use crate::{
    gateway::{
        stages::{self, Product},
        state::{State, lock},
    },
    outbound,
    platform::stage,
};
use cicadacrank_core::directory::Incarnation;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Longest time that results wait to be given up together; less than a call
/// takes, before which its endpoint is told in any case.
const RELEASE_PERIOD: Duration = Duration::from_millis(100);

/// Longest time for giving results up; they end by themselves if it fails.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Inputs of a stage that nothing else needs; they are given up when no piece
/// has yet to be given them.
#[derive(Debug)]
pub(super) struct Spent {
    state: Arc<State>,
    products: Vec<Product>,
}

impl Spent {
    /// Takes over the inputs; `None` if there are none.
    pub(super) fn new(state: &Arc<State>, products: Vec<Product>) -> Option<Arc<Self>> {
        (!products.is_empty()).then(|| {
            Arc::new(Self {
                state: Arc::clone(state),
                products,
            })
        })
    }
}

impl Drop for Spent {
    fn drop(&mut self) {
        let (state, products) = (Arc::clone(&self.state), std::mem::take(&mut self.products));
        // A task of its own: pieces are dropped under the lock of their pool.
        tokio::spawn(async move { stages::release_all(&state, products) });
    }
}

/// Gives up results of services whose calls this gateway forms.
pub fn release(state: &State, products: &[Product]) {
    for products in products.chunk_by(|one, other| one.service == other.service) {
        if let Some(batcher) = state.pools.find(&products[0].service) {
            release_here(&batcher, products);
        }
    }
}

pub(super) fn release_here(batcher: &Batcher, products: &[Product]) {
    let mut inner = lock(&batcher.inner);
    for product in products {
        inner.pool.release(&product.endpoint, product.bytes);
        inner
            .released
            .push((product.endpoint.clone(), product.handle.clone()));
    }
    drop(inner);
    batcher.wake.notify_one();
}

/// Tells endpoints which results are given up, several at a time.
pub(super) async fn run_releases(batcher: Arc<Batcher>) {
    loop {
        time::sleep(RELEASE_PERIOD).await;
        let incarnations: Vec<Incarnation> = {
            let mut inner = lock(&batcher.inner);
            inner.released.sort();
            let groups = inner.released.chunk_by(|one, other| one.0 == other.0);
            groups.map(|group| group[0].0.clone()).collect()
        };
        for incarnation in incarnations {
            let batcher = Arc::clone(&batcher);
            tokio::spawn(async move { tell(&batcher, &incarnation).await });
        }
    }
}

/// Tells an endpoint which of its results are given up.
pub(super) async fn tell(batcher: &Batcher, incarnation: &Incarnation) {
    let (address, handles) = {
        let mut inner = lock(&batcher.inner);
        let released = inner.released.extract_if(.., |one| one.0 == *incarnation);
        let handles: Vec<String> = released.map(|one| one.1).collect();
        (inner.address(incarnation), handles)
    };
    let Some((address, _)) = address.filter(|_| !handles.is_empty()) else {
        return;
    };
    let request = match stage::encode_free(address, &incarnation.id, &handles) {
        Ok(request) => request,
        Err(error) => return log::error!("results at {} cannot be named: {error}", incarnation.id),
    };
    if let Err(broken) = outbound::call(address, request, RELEASE_TIMEOUT, ANSWER_BYTES).await {
        log::debug!(
            "results at {} end by themselves: {broken:?}",
            incarnation.id
        );
    }
}
