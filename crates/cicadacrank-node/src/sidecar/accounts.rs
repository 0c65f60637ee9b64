//! Storage of the accounts of a sidecar's endpoints in the platform.
//!
//! Each incarnation of a sidecar writes its own objects, and no other process
//! writes them. Accounts are cumulative, so a failed write is not retried: the
//! next one includes its time.

use super::Service;
use crate::platform::{Collection, Fault, Version};
use cicadacrank_core::{accounting::Account, event::Event};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time between two samples of the number of slots.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the accounts of one sidecar.
pub struct Accounts {
    service: Arc<Service>,
    /// Last known version of the object of each account, in the order of
    /// [`Service::accounts`].
    versions: Vec<Option<Version>>,
}

impl Accounts {
    /// Creates the writer without storing anything.
    #[must_use]
    pub const fn new(service: Arc<Service>) -> Self {
        Self {
            service,
            versions: Vec::new(),
        }
    }

    /// Samples the slots every second, or every `interval` if that is shorter,
    /// and writes the accounts every `interval`. Never returns.
    pub async fn run(mut self, interval: Duration) {
        let sample_interval = SAMPLE_INTERVAL.min(interval);
        let mut next_write = time::Instant::now() + interval;
        loop {
            time::sleep(sample_interval).await;
            self.service.count_slots();
            if time::Instant::now() >= next_write {
                self.write().await;
                next_write = time::Instant::now() + interval;
            }
        }
    }

    /// Writes the accounts up to now. A failed write is logged.
    pub async fn write(&mut self) {
        let accounts = self.service.accounts();
        self.versions.resize(accounts.len(), None);
        for (index, account) in accounts.iter().enumerate() {
            match self.upsert(account, self.versions[index].as_ref()).await {
                Ok(version) => self.versions[index] = Some(version),
                Err(fault) => {
                    // If only the answer was lost, the write has changed the
                    // version, so the next write reads the version again.
                    self.versions[index] = None;
                    Event::PlatformFailed.log(format_args!("storing an account: {fault}"));
                }
            }
        }
    }

    async fn upsert(&self, account: &Account, version: Option<&Version>) -> Result<Version, Fault> {
        let (store, kind) = (&self.service.parts.store, Collection::Accounts);
        let name = account.name();
        let spec =
            serde_json::to_value(account).map_err(|error| Fault::Invalid(error.to_string()))?;
        if let Some(version) = version {
            return store.update(kind, &name, version, spec).await;
        }
        match store.create(kind, &name, spec.clone()).await {
            Err(Fault::Exists) => {
                let stored = store.get(kind, &name).await?;
                store.update(kind, &name, &stored.version, spec).await
            }
            result => result,
        }
    }
}
