//! The users' platform: its settings file, its object store, and the formats that
//! its callers, endpoints and operators use.
//!
//! This module only converts data and makes no decisions. [`Store`] is the
//! interface to the object store and [`Client`] implements it. The other modules
//! convert between wire formats and the types of the system.

pub mod answer;
pub mod caller;
pub mod config;
pub mod endpoint;
mod objects;
mod page;
pub mod rollout;
pub mod settings;
pub mod stage;

pub use self::objects::{Client, MAX_OBJECT_BYTES};
pub use cicadacrank_core::version::Version;

use futures_util::{future::BoxFuture, stream::BoxStream};
use serde_json::Value;
use tokio::sync::watch;

/// A collection of objects of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Collection {
    /// Rules in force, with their audit trail.
    Rulesets,
    /// Older pages of the audit trail.
    Audits,
    /// Claims on work that must not run twice.
    Claims,
    /// The platform's list of live and leaving instances.
    Instances,
    /// Accounts of the busy and idle time of endpoints.
    Accounts,
    /// Operators' configuration of a deployment.
    Config,
    /// Registrations of endpoints.
    Endpoints,
    /// Data centres that receive no new work.
    Evacuations,
    /// Gateways of the system.
    Gateways,
    /// Software versions of the engines of services, and when they left.
    Releases,
    /// Operators' orders to move services to other versions, and their outcomes.
    Rollouts,
    /// Starts and phases of roll-outs.
    Progress,
}

impl Collection {
    /// All collections.
    pub const ALL: [Self; 12] = [
        Self::Rulesets,
        Self::Audits,
        Self::Claims,
        Self::Instances,
        Self::Accounts,
        Self::Config,
        Self::Endpoints,
        Self::Evacuations,
        Self::Gateways,
        Self::Releases,
        Self::Rollouts,
        Self::Progress,
    ];

    /// Returns the name of the collection in request paths.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rulesets => "cicadacrank-rulesets",
            Self::Audits => "cicadacrank-audits",
            Self::Claims => "cicadacrank-claims",
            Self::Instances => "cicadacrank-instances",
            Self::Accounts => "cicadacrank-accounts",
            Self::Config => "config",
            Self::Endpoints => "servers",
            Self::Evacuations => "evacuations",
            Self::Gateways => "cicadacrank-gateways",
            Self::Releases => "cicadacrank-releases",
            Self::Rollouts => "rollouts",
            Self::Progress => "cicadacrank-rollouts",
        }
    }
}

/// An object of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Object {
    /// Name, unique in the collection.
    pub name: String,
    /// Version that a conditional update must state.
    pub version: Version,
    /// Revision at which the object was created, or 0 if the platform doesn't tell.
    pub created: u64,
    /// Content of the object.
    pub spec: Value,
    /// What the system wrote about the object, or null.
    pub status: Value,
}

/// A collection at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Objects, sorted by name.
    pub objects: Vec<Object>,
    /// Version from which a watch continues.
    pub version: Version,
}

/// One change reported by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The object was created or updated.
    Put(Object),
    /// The object was deleted.
    Deleted(Object),
}

/// Changes reported by one watch call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Version from which a watch continues.
    pub version: Version,
}

/// Reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An object with this name already exists.
    #[error("the object already exists")]
    Exists,
    /// The version of the object is not the one that the update stated.
    #[error("the object has changed")]
    Conflict,
    /// No object with this name exists.
    #[error("the object does not exist")]
    Missing,
    /// The platform throttled the call, which had no effect.
    #[error("the platform throttled the call")]
    Throttled,
    /// No connection to the platform was made; the call had no effect.
    #[error("failed to connect to the platform: {0}")]
    Unreachable(String),
    /// No valid response arrived; the call may have taken effect.
    #[error("no valid response from the platform: {0}")]
    Lost(String),
    /// The version is too old or of another era of the store, so the collection must
    /// be listed again.
    #[error("the version has expired")]
    Expired,
    /// The call is invalid, or the platform rejected it.
    #[error("invalid call to the platform: {0}")]
    Invalid(String),
}

impl Fault {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn may_have_effect(&self) -> bool {
        matches!(self, Self::Lost(_))
    }
}

/// The object API of the platform.
pub trait Store: Send + Sync + 'static {
    /// Returns a receiver of the newest known era of the store.
    fn eras(&self) -> watch::Receiver<u64>;

    /// Records an era that another process has seen.
    fn record_era(&self, era: u64);

    /// Returns an object.
    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Object, Fault>>;

    /// Creates an object if none with this name exists, and returns its version.
    fn create<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>>;

    /// Replaces an object if it still has the version, and returns the new version.
    fn update<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>>;

    /// Deletes an object if it still has the version.
    fn delete<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<(), Fault>>;

    /// Lists a collection. The list may be stale.
    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>>;

    /// Watches a collection for changes after a version. Changes may be lost.
    fn watch<'a>(
        &'a self,
        collection: Collection,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>>;
}
