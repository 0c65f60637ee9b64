//! Stores the accounts of a sidecar's endpoints in the platform.
//!
//! Each incarnation writes objects of its own, and nobody else writes them.
//! Accounts are cumulative, so a write that failed needs no repetition: the
//! next one holds its time as well.

use super::Service;
use crate::platform::{Collection, Fault, Version};
use cicadacrank_core::{accounting::Account, event::Event};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time between two looks at the number of slots.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the accounts of one sidecar.
pub struct Accounts {
    service: Arc<Service>,
    /// Version of each account's object, in the order of the limiters.
    versions: Vec<Option<Version>>,
}

impl Accounts {
    /// Creates the writer; nothing is stored yet.
    #[must_use]
    pub const fn new(service: Arc<Service>) -> Self {
        Self {
            service,
            versions: Vec::new(),
        }
    }

    /// Counts slots each second and writes the accounts each `interval`, for ever.
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

    /// Writes the accounts up to now.
    pub async fn write(&mut self) {
        let accounts = self.service.accounts();
        self.versions.resize(accounts.len(), None);
        for (index, account) in accounts.iter().enumerate() {
            match self.upsert(account, self.versions[index].as_ref()).await {
                Ok(version) => self.versions[index] = Some(version),
                Err(fault) => {
                    // The version may have moved with a write whose answer was
                    // lost, so the next write reads it anew.
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
