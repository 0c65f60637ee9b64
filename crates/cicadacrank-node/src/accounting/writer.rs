//! Keeps the accounts of a sidecar in the platform.

use super::Accounts;
use crate::platform::{Collection, Fault, Object, Store, Version};
use cicadacrank_core::{accounting::Statement, event::Event};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time};

/// Time between two writes.
const PAUSE: Duration = Duration::from_secs(10);

/// Writes before a conflict is left to the next turn.
const TRIES: u32 = 3;

/// Writes the accounts of one instance.
pub struct Writer {
    accounts: Arc<Accounts>,
    store: Arc<dyn Store>,
    instance: String,
    known: Mutex<Option<Known>>,
}

/// The object as this process last saw it.
struct Known {
    /// `None` while there is no object.
    version: Option<Version>,
    statement: Statement,
}

impl Writer {
    /// Creates the writer of an instance.
    #[must_use]
    pub fn new(accounts: Arc<Accounts>, store: Arc<dyn Store>, instance: &str) -> Self {
        Self {
            accounts,
            store,
            instance: instance.to_owned(),
            known: Mutex::new(None),
        }
    }

    /// Writes every ten seconds, for ever.
    pub async fn run(&self) {
        loop {
            time::sleep(PAUSE).await;
            self.write().await;
        }
    }

    /// Writes what was counted up to now; a failed write is made up for by the
    /// next.
    pub async fn write(&self) {
        let mut known = self.known.lock().await;
        for _ in 0..TRIES {
            match self.attempt(&mut known).await {
                Ok(()) => return,
                Err(Fault::Exists | Fault::Conflict | Fault::Missing) => *known = None,
                Err(fault) => {
                    // What is there now is not known.
                    *known = None;
                    Event::PlatformFailed.log(format_args!("writing the accounts: {fault}"));
                    return;
                }
            }
        }
    }

    async fn attempt(&self, known: &mut Option<Known>) -> Result<(), Fault> {
        let known = match known {
            Some(known) => known,
            None => known.insert(self.read().await?),
        };
        known.statement.merge(self.accounts.part());
        let spec = serde_json::to_value(&known.statement)
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        let version = self.put(known.version.as_ref(), spec).await?;
        known.version = Some(version);
        Ok(())
    }

    async fn read(&self) -> Result<Known, Fault> {
        match self.store.get(Collection::Accounts, &self.instance).await {
            Ok(Object { version, spec, .. }) => Ok(Known {
                version: Some(version),
                statement: serde_json::from_value(spec)
                    .map_err(|error| Fault::Invalid(error.to_string()))?,
            }),
            Err(Fault::Missing) => Ok(Known {
                version: None,
                statement: Statement::default(),
            }),
            Err(fault) => Err(fault),
        }
    }

    async fn put(&self, version: Option<&Version>, spec: Value) -> Result<Version, Fault> {
        let (store, collection) = (&self.store, Collection::Accounts);
        match version {
            Some(version) => {
                store
                    .update(collection, &self.instance, version, spec)
                    .await
            }
            None => store.create(collection, &self.instance, spec).await,
        }
    }
}
