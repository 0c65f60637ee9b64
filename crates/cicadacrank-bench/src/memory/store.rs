//! In-memory platform.

use crate::platform::{self, Rejection, State};
use cicadacrank_node::platform::{
    Change, Collection, Fault, Listing, Object, Store as Interface, Version,
};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use serde_json::Value;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, time};

/// Time after which a call whose answer is lost fails.
const LOST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// In-memory platform; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// Newest era that a call has seen.
    era: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Creates an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks and returns the objects, faults and call counts.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the faults that are set to a call: waits for the delay, then
    /// fails if the platform is down or throttled.
    async fn apply_faults(&self) -> Result<(), Fault> {
        let delay = Duration::from_millis(self.state().faults.delay_ms);
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let era = self.state().era();
        self.record_era(era);
        let faults = &self.state().faults;
        if faults.down {
            return Err(Fault::Lost("status 503".to_owned()));
        }
        if faults.throttled {
            return Err(Fault::Throttled);
        }
        Ok(())
    }

    /// Performs a write, subject to the faults that are set.
    async fn write<T>(
        &self,
        operation: impl FnOnce(&mut State) -> Result<T, Rejection> + Send,
    ) -> Result<T, Fault> {
        self.apply_faults().await?;
        let (result, lost) = {
            let mut state = self.state();
            if !state.count_write() {
                return Err(Fault::Throttled);
            }
            if state.lose_call() {
                (None, true)
            } else {
                (Some(operation(&mut state)), state.lose_answer())
            }
        };
        match result {
            Some(result) if !lost => result.map_err(fault),
            _ => {
                time::sleep(LOST_ANSWER_TIMEOUT).await;
                Err(Fault::Lost("no answer in time".to_owned()))
            }
        }
    }
}

impl Interface for Store {
    fn eras(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    fn record_era(&self, era: u64) {
        self.era.send_if_modified(|newest| {
            let is_newer = era > *newest;
            *newest = era.max(*newest);
            is_newer
        });
    }

    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Object, Fault>> {
        async move {
            self.apply_faults().await?;
            let mut state = self.state();
            state.counts.gets += 1;
            state.get(collection, name).ok_or(Fault::Missing)
        }
        .boxed()
    }

    fn create<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        self.write(move |state| {
            let object = state.create(collection, name, spec);
            object.map(|object| object.version)
        })
        .boxed()
    }

    fn update<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        self.write(move |state| {
            let object = state.update(collection, name, version, spec);
            object.map(|object| object.version)
        })
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<(), Fault>> {
        self.write(move |state| state.delete(collection, name, version))
            .boxed()
    }

    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        async move {
            self.apply_faults().await?;
            let mut state = self.state();
            state.counts.lists += 1;
            Ok(state.list(collection))
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        collection: Collection,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>> {
        async move {
            self.apply_faults().await?;
            let steps = if version.era == self.state().era() {
                platform::steps(&self.state, collection, *version)
            } else {
                None
            };
            let changes = stream::iter(steps).flatten();
            let changes = changes.map(|step| Ok(step.change));
            Ok(changes
                .chain(stream::once(async { Err(Fault::Expired) }))
                .boxed())
        }
        .boxed()
    }
}

const fn fault(rejection: Rejection) -> Fault {
    match rejection {
        Rejection::Exists => Fault::Exists,
        Rejection::Conflict => Fault::Conflict,
        Rejection::Missing => Fault::Missing,
    }
}
