//! Watches of the stand-in.

use super::state::{State, Step};
use cicadacrank_node::platform::Collection;
use futures_util::{
    StreamExt as _,
    stream::{self, BoxStream},
};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::broadcast::{Receiver, error::RecvError};

/// Begins a watch of the changes after a revision; it shows the faults that
/// are set when each change is due.
#[must_use]
pub fn steps(
    state: &Arc<Mutex<State>>,
    collection: Collection,
    revision: u64,
) -> BoxStream<'static, Step> {
    let (past, receiver) = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.counts.watches += 1;
        state.watch(collection, revision)
    };
    let state = Arc::clone(state);
    stream::iter(past)
        .chain(stream::unfold(receiver, move |receiver| {
            next_step(receiver, collection)
        }))
        .filter(move |_| {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let deliver = state.deliver_event();
            async move { deliver }
        })
        .boxed()
}

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
