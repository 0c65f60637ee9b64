//! Pauses the external calls of one simulated process.

use cicadacrank_core::admission::Health;
use cicadacrank_node::{
    endpoint::{self, Call, Parts},
    platform::{Change, Collection, Fault, Listing, Object, Store, Version},
};
use futures_util::{FutureExt as _, StreamExt as _, future::BoxFuture, stream::BoxStream};
use serde_json::Value;
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::watch;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Stopped,
}

/// Switch that pauses and resumes one simulated process.
///
/// While the process is paused, it starts no calls and receives no answers.
/// Other processes cannot distinguish a process that is never resumed from one
/// that was killed.
#[derive(Clone, Debug)]
pub struct Process {
    phase: Arc<watch::Sender<Phase>>,
}

impl Process {
    /// Creates the switch of a running process.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: Arc::new(watch::Sender::new(Phase::Running)),
        }
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.phase.send_replace(Phase::Stopped);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.phase.send_replace(Phase::Running);
    }

    /// Returns a store whose calls block while the process is paused.
    #[must_use]
    pub fn store(&self, store: Arc<dyn Store>) -> Arc<dyn Store> {
        Arc::new(Proxy {
            process: self.clone(),
            inner: store,
        })
    }

    /// Returns a port to the endpoints whose calls block while the process is
    /// paused.
    #[must_use]
    pub fn port(&self, port: Arc<dyn endpoint::Port>) -> Arc<dyn endpoint::Port> {
        Arc::new(Proxy {
            process: self.clone(),
            inner: port,
        })
    }

    /// Waits until the process is not paused.
    pub async fn wait_until_running(&self) {
        let mut phase = self.phase.subscribe();
        // The wait cannot fail, since `self` owns the sender.
        drop(phase.wait_for(|phase| *phase == Phase::Running).await);
    }

    /// Makes a call and returns its answer, waiting before and after the call
    /// while the process is paused.
    async fn run_while_running<T>(&self, call: impl Future<Output = T> + Send) -> T {
        self.wait_until_running().await;
        let answer = call.await;
        self.wait_until_running().await;
        answer
    }
}

impl Default for Process {
    fn default() -> Self {
        Self::new()
    }
}

/// External interface whose calls block while the process is paused.
struct Proxy<T: ?Sized> {
    process: Process,
    inner: Arc<T>,
}

impl Store for Proxy<dyn Store> {
    fn eras(&self) -> watch::Receiver<u64> {
        self.inner.eras()
    }

    fn record_era(&self, era: u64) {
        self.inner.record_era(era);
    }

    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Object, Fault>> {
        self.process
            .run_while_running(self.inner.get(collection, name))
            .boxed()
    }

    fn create<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        self.process
            .run_while_running(self.inner.create(collection, name, spec))
            .boxed()
    }

    fn update<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        self.process
            .run_while_running(self.inner.update(collection, name, version, spec))
            .boxed()
    }

    fn delete<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<(), Fault>> {
        self.process
            .run_while_running(self.inner.delete(collection, name, version))
            .boxed()
    }

    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        self.process
            .run_while_running(self.inner.list(collection))
            .boxed()
    }

    fn watch<'a>(
        &'a self,
        collection: Collection,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>> {
        self.process
            .run_while_running(self.inner.watch(collection, version))
            .boxed()
    }
}

impl endpoint::Port for Proxy<dyn endpoint::Port> {
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Parts, endpoint::Fault>> {
        let process = self.process.clone();
        async move {
            let parts = self
                .process
                .run_while_running(self.inner.call(call))
                .await?;
            let parts = parts.then(move |part| {
                let process = process.clone();
                async move {
                    process.wait_until_running().await;
                    part
                }
            });
            Ok(parts.boxed())
        }
        .boxed()
    }

    fn health(&self, address: SocketAddr) -> BoxFuture<'_, Option<Health>> {
        self.process
            .run_while_running(self.inner.health(address))
            .boxed()
    }

    fn is_refusing(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        self.process
            .run_while_running(self.inner.is_refusing(address))
            .boxed()
    }
}
