//! Gives up results that nobody needs any more.

use super::{MAX_ANSWER_BYTES, pools::Batcher};
use crate::{
    gateway::{
        stages::{self, Output},
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
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for giving results up; they end by themselves if it fails.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Inputs of a stage that nothing else needs; they are given up when no piece
/// has yet to be given them.
#[derive(Debug)]
pub(super) struct Guard {
    state: Arc<State>,
    outputs: Vec<Output>,
}

impl Guard {
    /// Takes over the inputs; `None` if there are none.
    pub(super) fn new(state: &Arc<State>, outputs: Vec<Output>) -> Option<Arc<Self>> {
        (!outputs.is_empty()).then(|| {
            Arc::new(Self {
                state: Arc::clone(state),
                outputs,
            })
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (state, outputs) = (Arc::clone(&self.state), std::mem::take(&mut self.outputs));
        // A task of its own: pieces are dropped under the lock of their pool.
        tokio::spawn(async move { stages::release_all(&state, outputs) });
    }
}

/// Gives up results of services whose calls this gateway forms.
pub fn release(state: &State, outputs: &[Output]) {
    for outputs in outputs.chunk_by(|one, other| one.service == other.service) {
        if let Some(batcher) = state.pools.find(&outputs[0].service) {
            queue_release(&batcher, outputs);
        }
    }
}

pub(super) fn queue_release(batcher: &Batcher, outputs: &[Output]) {
    let mut inner = lock(&batcher.inner);
    for output in outputs {
        inner.pool.release(&output.endpoint, output.bytes);
        inner
            .released
            .push((output.endpoint.clone(), output.handle.clone()));
    }
    drop(inner);
    batcher.wake.notify_one();
}

/// Tells endpoints which results are given up, several at a time.
pub(super) async fn run_releases(batcher: Arc<Batcher>) {
    loop {
        time::sleep(RELEASE_INTERVAL).await;
        let incarnations: Vec<Incarnation> = {
            let mut inner = lock(&batcher.inner);
            inner.released.sort();
            let groups = inner.released.chunk_by(|one, other| one.0 == other.0);
            groups.map(|group| group[0].0.clone()).collect()
        };
        for incarnation in incarnations {
            let batcher = Arc::clone(&batcher);
            tokio::spawn(async move { send_releases(&batcher, &incarnation).await });
        }
    }
}

/// Tells an endpoint which of its results are given up.
pub(super) async fn send_releases(batcher: &Batcher, incarnation: &Incarnation) {
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
    if let Err(broken) = outbound::call(address, request, RELEASE_TIMEOUT, MAX_ANSWER_BYTES).await {
        log::debug!(
            "results at {} end by themselves: {broken:?}",
            incarnation.id
        );
    }
}
