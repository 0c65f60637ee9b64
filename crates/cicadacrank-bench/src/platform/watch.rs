//! Watches on the mock platform.

use super::state::{State, Step};
use cicadacrank_node::platform::{Collection, Version};
use futures_util::{
    StreamExt as _,
    stream::{self, BoxStream},
};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::broadcast::{Receiver, error::RecvError};

/// Watches the changes of a collection after a version. Returns `None` if the store
/// has not reached that version.
///
/// The faults that are set when a change is delivered apply to that change.
/// The stream ends if it lags too far behind the changes, and when the store comes
/// back from a copy.
#[must_use]
pub fn steps(
    state: &Arc<Mutex<State>>,
    collection: Collection,
    version: Version,
) -> Option<BoxStream<'static, Step>> {
    let (past, receiver) = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.counts.watches += 1;
        if !state.has(version) {
            return None;
        }
        state.watch(collection, version.revision)
    };
    let state = Arc::clone(state);
    let steps = stream::iter(past)
        .chain(stream::unfold(receiver, move |receiver| {
            next_step(receiver, collection)
        }))
        .filter(move |_| {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let deliver = state.deliver_event();
            async move { deliver }
        })
        .boxed();
    Some(steps)
}

/// Returns the next change of the collection, or `None` if the receiver lags or
/// the store is gone.
async fn next_step(
    mut receiver: Receiver<Step>,
    collection: Collection,
) -> Option<(Step, Receiver<Step>)> {
    loop {
        match receiver.recv().await {
            Ok(step) if step.collection == collection => return Some((step, receiver)),
            Ok(_) => {}
            Err(RecvError::Lagged(_) | RecvError::Closed) => return None,
        }
    }
}
