//! Client of the platform's object store.
//!
//! Each call has a timeout and its own connection, so that no call waits on a
//! connection that has gone silent. The faults distinguish calls that certainly
//! had no effect from calls that may have had one.

use super::{
    Change, Changes, Collection, Fault, Listing, Object, Store, Version,
    page::{self, Page},
};
use crate::outbound::{self, CallError};
use bytes::Bytes;
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Maximum number of pages of a list, which is about half a million objects.
const MAX_PAGES: usize = 1_000;

/// Maximum size of a response, in bytes. A page of a list is about a megabyte.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time that a watch call waits for a change before it is repeated. It is the
/// maximum that the platform allows.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of an object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

#[derive(Serialize)]
struct WireObject<'a> {
    metadata: Metadata<'a>,
    specification: &'a Value,
}

#[derive(Serialize)]
struct Metadata<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
}

/// A client of the object store of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client whose calls time out after `timeout`.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Waits for changes to a collection after a version, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns a fault if the call failed. After [`Fault::Expired`] the collection
    /// must be listed again.
    pub async fn changes(
        &self,
        collection: Collection,
        after: &Version,
        wait: Duration,
    ) -> Result<Changes, Fault> {
        let path = format!(
            "/objects/{}?watch={}&waitMs={}",
            collection.as_str(),
            after.number(),
            wait.as_millis()
        );
        let bytes = self
            .call(Method::GET, &path, None, wait + self.timeout)
            .await?;
        page::decode_changes(collection, &bytes)
    }

    /// Creates an object, or replaces it if it exists.
    ///
    /// # Errors
    ///
    /// Returns a fault if the object may not have been written.
    pub async fn put(&self, collection: Collection, name: &str, spec: Value) -> Result<(), Fault> {
        match self
            .write(Method::POST, collection, name, None, &spec)
            .await
        {
            Err(Fault::Conflict) => {
                let put = self.write(Method::PUT, collection, name, None, &spec);
                put.await.map(drop)
            }
            other => other.map(drop),
        }
    }

    async fn fetch_page(&self, collection: Collection, after: Option<&str>) -> Result<Page, Fault> {
        let kind = collection.as_str();
        let path = after.map_or_else(
            || format!("/objects/{kind}"),
            |name| format!("/objects/{kind}?after={name}"),
        );
        let bytes = self.call(Method::GET, &path, None, self.timeout).await?;
        page::decode_page(collection, &bytes)
    }

    async fn write(
        &self,
        method: Method,
        collection: Collection,
        name: &str,
        version: Option<&Version>,
        spec: &Value,
    ) -> Result<Version, Fault> {
        let object = WireObject {
            metadata: Metadata {
                name,
                revision: version.map(Version::number),
            },
            specification: spec,
        };
        let body =
            serde_json::to_vec(&object).map_err(|error| Fault::Invalid(error.to_string()))?;
        let kind = collection.as_str();
        let path = if method == Method::POST {
            format!("/objects/{kind}")
        } else {
            format!("/objects/{kind}/{name}")
        };
        let body = Some(Bytes::from(body));
        let bytes = self.call(method, &path, body, self.timeout).await?;
        page::decode_object(collection, &bytes).map(|written| written.version)
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
        let answer = outbound::call(self.address, request, timeout, MAX_ANSWER_BYTES).await;
        let answer = answer.map_err(|error| match error {
            CallError::Unconnected(reason) => Fault::Unreachable(reason),
            CallError::Lost(reason) => Fault::Lost(reason),
        })?;
        match answer.status() {
            status if status.is_success() => Ok(answer.into_body()),
            StatusCode::GONE => Err(Fault::Expired),
            StatusCode::CONFLICT => Err(Fault::Conflict),
            StatusCode::NOT_FOUND => Err(Fault::Missing),
            // Both statuses mean that the call had no effect.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Fault::Throttled)
            }
            status if status.is_client_error() => Err(Fault::Invalid(format!("status {status}"))),
            status => Err(Fault::Lost(format!("status {status}"))),
        }
    }
}

impl Store for Client {
    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Object, Fault>> {
        async move {
            let path = format!("/objects/{}/{name}", collection.as_str());
            let bytes = self.call(Method::GET, &path, None, self.timeout).await?;
            page::decode_object(collection, &bytes)
        }
        .boxed()
    }

    fn create<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        async move {
            let created = self.write(Method::POST, collection, name, None, &spec);
            created.await.map_err(|fault| match fault {
                Fault::Conflict => Fault::Exists,
                other => other,
            })
        }
        .boxed()
    }

    fn update<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
        spec: Value,
    ) -> BoxFuture<'a, Result<Version, Fault>> {
        async move {
            self.write(Method::PUT, collection, name, Some(version), &spec)
                .await
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<(), Fault>> {
        async move {
            let path = format!(
                "/objects/{}/{name}?revision={}",
                collection.as_str(),
                version.number()
            );
            let deleted = self.call(Method::DELETE, &path, None, self.timeout);
            deleted.await.map(drop)
        }
        .boxed()
    }

    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        async move {
            let mut page = self.fetch_page(collection, None).await?;
            // The pages are read one after the other. A watch that starts at the
            // version of the first page reports the changes between the reads.
            let version = Version::from(page.revision);
            let mut objects: Vec<Object> = Vec::new();
            for _ in 0..MAX_PAGES {
                objects.extend(page.objects);
                match objects.last() {
                    Some(last) if page.has_more => {
                        page = self.fetch_page(collection, Some(&last.name)).await?;
                    }
                    _ => return Ok(Listing { objects, version }),
                }
            }
            Err(Fault::Invalid(format!(
                "the list has more than {MAX_PAGES} pages"
            )))
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        collection: Collection,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>> {
        let watch = Watch {
            client: *self,
            collection,
            version: version.clone(),
            pending: Vec::new().into_iter(),
            failed: false,
        };
        let changes = stream::unfold(watch, |mut watch| async move {
            watch.next().await.map(|change| (change, watch))
        });
        std::future::ready(Ok(changes.boxed())).boxed()
    }
}

/// A watch stream, which repeats the watch call until one fails.
struct Watch {
    client: Client,
    collection: Collection,
    version: Version,
    pending: std::vec::IntoIter<Change>,
    failed: bool,
}

impl Watch {
    /// Returns the next change, or `None` after a failure.
    async fn next(&mut self) -> Option<Result<Change, Fault>> {
        loop {
            if let Some(change) = self.pending.next() {
                return Some(Ok(change));
            }
            if self.failed {
                return None;
            }
            let changes = self
                .client
                .changes(self.collection, &self.version, WATCH_TIMEOUT)
                .await;
            match changes {
                Ok(changes) => {
                    self.version = changes.version;
                    self.pending = changes.changes.into_iter();
                }
                Err(fault) => {
                    self.failed = true;
                    return Some(Err(fault));
                }
            }
        }
    }
}
