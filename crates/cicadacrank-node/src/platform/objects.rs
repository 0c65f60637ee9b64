//! The client of the platform's object store.
//!
//! Each call has a connection of its own, so that none waits on a connection
//! that has gone silent, and a timeout. The faults tell apart what surely did
//! not take effect from what may have.

use super::Fault;
use crate::outbound::{self, Broken};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Pages that one list may have: about half a million objects.
const MOST_PAGES: usize = 1_000;

/// Most bytes of an answer: a page of a list is about a megabyte.
const ANSWER_BYTES: usize = 16 << 20;

/// Kinds of objects that the platform itself knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// Endpoints that registered themselves.
    Endpoints,
    /// Data centres that get no new work.
    Evacuations,
    /// Gateways of this system.
    Gateways,
}

impl Kind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "servers",
            Self::Evacuations => "evacuations",
            Self::Gateways => "cicadacrank-gateways",
        }
    }
}

/// An object with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Name, unique in its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// What its writer put into it.
    pub content: Value,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects, in order of name.
    pub objects: Vec<Object>,
    /// Revision of the store from which a watch goes on.
    pub revision: u64,
}

/// One change that a watch tells of.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The object after the change, or as it was when it was removed.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// What a watch has seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Revision of the store from which a watch goes on.
    pub revision: u64,
}

#[derive(Deserialize, Serialize)]
struct WireObject {
    metadata: Metadata,
    #[serde(default)]
    specification: Value,
}

#[derive(Deserialize, Serialize)]
struct Metadata {
    name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage {
    items: Vec<WireObject>,
    #[serde(default)]
    has_more: bool,
    /// The store's revision, not an object's.
    at: u64,
}

#[derive(Deserialize)]
struct WireEvent {
    object: WireObject,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct WireEvents {
    events: Vec<WireEvent>,
    /// The store's revision, not an object's.
    at: u64,
}

impl From<WireObject> for Object {
    fn from(wire: WireObject) -> Self {
        Self {
            name: wire.metadata.name,
            revision: wire.metadata.revision.unwrap_or_default(),
            content: wire.specification,
        }
    }
}

/// A client of the object store.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client whose calls take no longer than `timeout`.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Lists all objects of a kind.
    ///
    /// # Errors
    ///
    /// Says why there is no list.
    pub async fn list(&self, kind: Kind) -> Result<Listing, Fault> {
        let mut listing = Listing::default();
        let mut after = String::new();
        for _ in 0..MOST_PAGES {
            let path = match after.as_str() {
                "" => format!("/objects/{}", kind.as_str()),
                name => format!("/objects/{}?after={name}", kind.as_str()),
            };
            let bytes = self.call(Method::GET, &path, None, self.timeout).await?;
            let page: WirePage = decode(&bytes)?;
            // Pages are read one after the other: a change between two of them
            // is seen by a watch that goes on from the first.
            if after.is_empty() {
                listing.revision = page.at;
            }
            listing
                .objects
                .extend(page.items.into_iter().map(Object::from));
            match listing.objects.last() {
                Some(last) if page.has_more => after.clone_from(&last.name),
                _ => return Ok(listing),
            }
        }
        Err(Fault::Invalid(format!(
            "a list has over {MOST_PAGES} pages"
        )))
    }

    /// Waits for changes of a kind after a revision, for `wait` at most.
    ///
    /// # Errors
    ///
    /// Says why there is no answer; [`Fault::Expired`] asks for a new list.
    pub async fn watch(&self, kind: Kind, after: u64, wait: Duration) -> Result<Changes, Fault> {
        let path = format!(
            "/objects/{}?watch={after}&waitMs={}",
            kind.as_str(),
            wait.as_millis()
        );
        let bytes = self
            .call(Method::GET, &path, None, wait + self.timeout)
            .await?;
        let events: WireEvents = decode(&bytes)?;
        let change = |event: WireEvent| Change {
            object: event.object.into(),
            removed: event.deleted,
        };
        Ok(Changes {
            changes: events.events.into_iter().map(change).collect(),
            revision: events.at,
        })
    }

    /// Writes an object, whether it is there already or not.
    ///
    /// # Errors
    ///
    /// Says why the object may not be as asked.
    pub async fn put(&self, kind: Kind, name: &str, content: Value) -> Result<(), Fault> {
        let object = WireObject {
            metadata: Metadata {
                name: name.to_owned(),
                revision: None,
            },
            specification: content,
        };
        let body =
            serde_json::to_vec(&object).map_err(|error| Fault::Invalid(error.to_string()))?;
        let body = Bytes::from(body);
        let kind = kind.as_str();
        let path = format!("/objects/{kind}");
        let created = self
            .call(Method::POST, &path, Some(body.clone()), self.timeout)
            .await;
        match created {
            Err(Fault::Conflict) => {
                let path = format!("/objects/{kind}/{name}");
                self.call(Method::PUT, &path, Some(body), self.timeout)
                    .await?;
                Ok(())
            }
            other => other.map(drop),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeout: Duration,
    ) -> Result<Bytes, Fault> {
        let has_body = body.is_some();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if has_body {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body.unwrap_or_default()))
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        let answer = outbound::call(self.address, request, timeout, ANSWER_BYTES).await;
        let answer = answer.map_err(|broken| match broken {
            Broken::Unconnected(reason) => Fault::Unreachable(reason),
            Broken::Lost(reason) => Fault::Lost(reason),
        })?;
        match answer.status() {
            status if status.is_success() => Ok(answer.into_body()),
            StatusCode::GONE => Err(Fault::Expired),
            StatusCode::CONFLICT => Err(Fault::Conflict),
            StatusCode::NOT_FOUND => Err(Fault::Missing),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Fault::Throttled)
            }
            status => Err(Fault::Invalid(format!("status {status}"))),
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|error| Fault::Lost(format!("unreadable: {error}")))
}
