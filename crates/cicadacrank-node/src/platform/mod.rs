//! The users' platform: its settings file, its object store, and the words that
//! its callers, endpoints and operators use.
//!
//! Everything here translates and nothing decides. [`Store`] is the edge towards
//! the object store and [`Client`] the one client of it; the other modules turn
//! what is on the wire into types of the system, and back.

pub mod answer;
pub mod caller;
pub mod config;
pub mod endpoint;
mod objects;
pub mod settings;
pub mod stage;

pub use self::objects::{Client, MAX_OBJECT_BYTES};

use futures_util::{future::BoxFuture, stream::BoxStream};
use serde_json::Value;

/// A collection of objects of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Collection {
    /// The rules in force, with their audit trail.
    Rulesets,
    /// Older pages of the audit trail.
    Audits,
    /// Claims of work that may not be repeated.
    Claims,
    /// The platform's own list of live and leaving instances.
    Instances,
    /// Busy and idle time of endpoints.
    Accounts,
    /// The operators' configuration of a deployment.
    Config,
    /// Endpoints that registered themselves.
    Endpoints,
    /// Data centres that get no new work.
    Evacuations,
    /// Gateways of this system.
    Gateways,
}

impl Collection {
    /// Every collection.
    pub const ALL: [Self; 9] = [
        Self::Rulesets,
        Self::Audits,
        Self::Claims,
        Self::Instances,
        Self::Accounts,
        Self::Config,
        Self::Endpoints,
        Self::Evacuations,
        Self::Gateways,
    ];

    /// Returns the name used in paths.
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
        }
    }
}

/// Version of an object or a collection, opaque to readers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Version(pub String);

impl Version {
    /// Returns the number that the platform counts changes by; zero before any.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.0.parse().unwrap_or_default()
    }
}

impl From<u64> for Version {
    fn from(revision: u64) -> Self {
        Self(revision.to_string())
    }
}

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Name, unique in the collection.
    pub name: String,
    /// Version that a conditional update must name.
    pub version: Version,
    /// Content.
    pub spec: Value,
}

/// A collection at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Objects, in order of name.
    pub objects: Vec<Object>,
    /// Version from which a watch goes on.
    pub version: Version,
}

/// One step of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The object was created or updated.
    Put(Object),
    /// The object was deleted.
    Deleted(Object),
}

/// What a watch has seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Version from which a watch goes on.
    pub version: Version,
}

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An object of this name is there already.
    #[error("the object exists")]
    Exists,
    /// The object has another version than the update named.
    #[error("the object has changed")]
    Conflict,
    /// No object has this name.
    #[error("the object is missing")]
    Missing,
    /// The platform turned the call away, which had no effect.
    #[error("the platform throttles")]
    Throttled,
    /// The platform could not be reached; the call had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// No answer came; the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// The watch is too old and must begin with a new listing.
    #[error("the watch has expired")]
    Expired,
    /// The platform refused the call as invalid.
    #[error("the platform refused the call: {0}")]
    Invalid(String),
}

impl Fault {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn may_have_effect(&self) -> bool {
        matches!(self, Self::Lost(_))
    }
}

/// The object API.
pub trait Store: Send + Sync + 'static {
    /// Reads one object.
    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Object, Fault>>;

    /// Creates an object if none has its name.
    fn create<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>>;

    /// Replaces an object if it still has the version.
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

    /// Lists a collection; the list may lag.
    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>>;

    /// Watches a collection from a version on; events may be lost.
    fn watch<'a>(
        &'a self,
        collection: Collection,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>>;
}
