//! Releases results that are no longer needed.

use super::{MAX_ANSWER_BYTES, pools::Batcher};
use crate::{
    gateway::{
        stages::{self, Output},
        state::{OWN, State, lock},
    },
    outbound,
    platform::{answer::Answer, stage},
};
use cicadacrank_core::directory::Incarnation;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Interval at which releases are sent, several results at a time. It is shorter
/// than a call; an endpoint is also sent its releases before each call.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a release. If it fails, the results expire at their endpoint.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Inputs that only one stage needs, shared by its pieces. They are released when
/// the last of the pieces drops the value.
#[derive(Debug)]
pub(super) struct Guard {
    state: Arc<State>,
    outputs: Vec<Output>,
}

impl Guard {
    /// Creates a guard of the inputs, or `None` if there are none.
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
        // Runs in a separate task, since pieces are dropped while the lock of
        // their pool is held.
        tokio::spawn(async move { stages::release_all(&state, outputs) });
    }
}

/// Queues results for release at their endpoints. Results of services without
/// stages are ignored.
pub fn release(state: &State, outputs: &[Output]) {
    for outputs in outputs.chunk_by(|one, other| one.service == other.service) {
        if let Some(batcher) = state.pools.find(&outputs[0].service) {
            queue_release(&batcher, outputs);
        }
    }
}

/// Queues results of one service for release, and frees their memory in the pool
/// of the service.
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

/// Periodically sends the queued releases of one service, grouped by endpoint.
pub(super) async fn run_releases(state: Arc<State>, batcher: Arc<Batcher>) {
    loop {
        time::sleep(RELEASE_INTERVAL).await;
        let incarnations: Vec<Incarnation> = {
            let mut inner = lock(&batcher.inner);
            inner.released.sort();
            let groups = inner.released.chunk_by(|one, other| one.0 == other.0);
            groups.map(|group| group[0].0.clone()).collect()
        };
        for incarnation in incarnations {
            let (state, batcher) = (Arc::clone(&state), Arc::clone(&batcher));
            tokio::spawn(async move { send_releases(&state, &batcher, &incarnation).await });
        }
    }
}

/// Sends the queued releases of one endpoint, unless it wants nothing for some time.
pub(super) async fn send_releases(state: &State, batcher: &Batcher, incarnation: &Incarnation) {
    let (address, handles) = {
        let mut inner = lock(&batcher.inner);
        if inner.pool.is_paused(incarnation, state.clock.now()) {
            return;
        }
        let released = inner.released.extract_if(.., |one| one.0 == *incarnation);
        let handles: Vec<String> = released.map(|one| one.1).collect();
        (inner.address(incarnation), handles)
    };
    let Some((address, _)) = address.filter(|_| !handles.is_empty()) else {
        return;
    };
    let request = match stage::encode_release(address, &incarnation.id, &handles) {
        Ok(request) => request,
        Err(error) => {
            return log::error!(
                "failed to encode the release of results at {}: {error}",
                incarnation.id
            );
        }
    };
    match outbound::call(address, request, RELEASE_TIMEOUT, MAX_ANSWER_BYTES).await {
        Ok(answer) => {
            let answer = Answer::decode(answer.status(), answer.headers());
            if answer.leaving && !answer.misdirected {
                state.record_leaving(incarnation, OWN);
            }
        }
        Err(broken) => log::debug!(
            "failed to release results at {}, which expire by themselves: {broken:?}",
            incarnation.id
        ),
    }
}
