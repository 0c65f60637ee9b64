//! Client of the platform's object store.
//!
//! Each call has a timeout and its own connection, so that no call waits on a
//! connection that has gone silent. The faults distinguish calls that certainly
//! had no effect from calls that may have had one.
//!
//! Each answer names the era of the store. What an answer of one era begins, no answer
//! of another era continues: see [`Client::changes`] and [`Client::list`]. No call is
//! sent with a version of an era before the newest that the client has seen, because
//! the store may have given out the same revision again for another state.

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
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, header};
use http_body_util::Full;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::Serialize;
use serde_json::Value;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::watch;

/// Characters of names that are encoded in paths and queries: all that RFC 3986 does not
/// leave unreserved.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Maximum number of pages of a list, which is about half a million objects.
const MAX_PAGES: usize = 1_000;

/// Maximum size of a response, in bytes. A page of a list is about a megabyte.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time that a watch call waits for a change before it is repeated. It is the
/// maximum that the platform allows.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of times that the store has come back from a copy, in all its answers.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Maximum size of an object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

#[derive(Serialize)]
struct WireObject<'a> {
    metadata: Metadata<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    specification: Option<&'a Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<&'a Value>,
}

#[derive(Serialize)]
struct Metadata<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
}

/// An answer with success, and the era that it names.
struct Answer {
    era: u64,
    bytes: Bytes,
}

/// A client of the object store of the platform. Clones share the era that they have
/// seen.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    /// Newest era that an answer has named.
    era: Arc<watch::Sender<u64>>,
}

impl Client {
    /// Creates a client whose calls time out after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            era: Arc::default(),
        }
    }

    /// Returns the newest era of the store that an answer has named.
    #[must_use]
    pub fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Waits until an answer has named a newer era than `era`, and returns it.
    pub async fn newer_era(&self, era: u64) -> u64 {
        let mut newest = self.era.subscribe();
        // The sender exists as long as the client.
        drop(newest.wait_for(|newest| *newest > era).await);
        self.era()
    }

    /// Waits for changes to a collection after a version, for at most `wait`. The wait
    /// ends when any call of the client sees a newer era than that of the version.
    ///
    /// # Errors
    ///
    /// Returns a fault if the call failed. After [`Fault::Expired`] the collection
    /// must be listed again; so it must after an answer of another era than that of
    /// the version.
    pub async fn changes(
        &self,
        collection: Collection,
        after: &Version,
        wait: Duration,
    ) -> Result<Changes, Fault> {
        let path = format!(
            "{}?watch={}&waitMs={}",
            path(collection),
            after.revision,
            wait.as_millis()
        );
        let answer = tokio::select! {
            biased;
            _ = self.newer_era(after.era) => return Err(Fault::Expired),
            answer = self.call(Method::GET, &path, None, wait + self.timeout) => answer?,
        };
        if answer.era != after.era {
            return Err(Fault::Expired);
        }
        page::decode_changes(collection, answer.era, &answer.bytes)
    }

    /// Creates an object, or replaces it if it exists. Returns its version.
    ///
    /// # Errors
    ///
    /// Returns a fault if the object may not have been written.
    pub async fn put(
        &self,
        collection: Collection,
        name: &str,
        spec: Value,
    ) -> Result<Version, Fault> {
        match self
            .write(Method::POST, collection, name, None, &spec)
            .await
        {
            Err(Fault::Conflict) => {
                let put = self.write(Method::PUT, collection, name, None, &spec);
                put.await
            }
            other => other,
        }
    }

    /// Replaces the status of an object if it still has the version, and returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns a fault if the status may not have been written.
    pub async fn update_status(
        &self,
        collection: Collection,
        name: &str,
        version: &Version,
        status: &Value,
    ) -> Result<Version, Fault> {
        let object = WireObject {
            metadata: Metadata {
                name,
                revision: Some(version.revision),
            },
            specification: None,
            status: Some(status),
        };
        let path = format!("{}/status", object_path(collection, name));
        self.send(Method::PUT, &path, collection, Some(version), &object)
            .await
    }

    async fn fetch_page(
        &self,
        collection: Collection,
        after: Option<&str>,
    ) -> Result<(u64, Page), Fault> {
        let path = match after {
            Some(name) => format!("{}?after={}", path(collection), encode(name)),
            None => path(collection),
        };
        let answer = self.call(Method::GET, &path, None, self.timeout).await?;
        let page = page::decode_page(collection, answer.era, &answer.bytes)?;
        Ok((answer.era, page))
    }

    /// Fails if the version is of an era before the newest seen.
    fn check_era(&self, version: &Version) -> Result<(), Fault> {
        if version.era < self.era() {
            return Err(Fault::Conflict);
        }
        Ok(())
    }

    /// Fails if a conditional call was answered in another era than that of its
    /// version. The revision may then have been that of another state.
    fn check_answer(version: &Version, answer: &Answer) -> Result<(), Fault> {
        if version.era != answer.era {
            return Err(Fault::Lost(format!(
                "the answer is of era {} instead of {}",
                answer.era, version.era
            )));
        }
        Ok(())
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
                revision: version.map(|version| version.revision),
            },
            specification: Some(spec),
            status: None,
        };
        let path = if method == Method::POST {
            path(collection)
        } else {
            object_path(collection, name)
        };
        self.send(method, &path, collection, version, &object).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        collection: Collection,
        version: Option<&Version>,
        object: &WireObject<'_>,
    ) -> Result<Version, Fault> {
        let body = serde_json::to_vec(object).map_err(|error| Fault::Invalid(error.to_string()))?;
        if let Some(version) = version {
            self.check_era(version)?;
        }
        let body = Some(Bytes::from(body));
        let answer = self.call(method, path, body, self.timeout).await?;
        if let Some(version) = version {
            Self::check_answer(version, &answer)?;
        }
        let written = page::decode_object(collection, answer.era, &answer.bytes)?;
        Ok(written.version)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeout: Duration,
    ) -> Result<Answer, Fault> {
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
        let era = parse_era(answer.headers())?;
        self.record_era(era);
        match answer.status() {
            status if status.is_success() => Ok(Answer {
                era,
                bytes: answer.into_body(),
            }),
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

/// Returns the path of a collection.
fn path(collection: Collection) -> String {
    format!("/objects/{}", collection.as_str())
}

/// Returns the path of an object.
fn object_path(collection: Collection, name: &str) -> String {
    format!("{}/{}", path(collection), encode(name))
}

/// Encodes a name for a path or a query. Other writers choose some names.
fn encode(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, ENCODED)
}

/// Returns the era that an answer names, or zero if it names none.
fn parse_era(headers: &HeaderMap) -> Result<u64, Fault> {
    let Some(value) = headers.get(&ERA) else {
        return Ok(0);
    };
    let era = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    era.ok_or_else(|| Fault::Lost(format!("invalid era {value:?}")))
}

impl Store for Client {
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
            let path = object_path(collection, name);
            let answer = self.call(Method::GET, &path, None, self.timeout).await?;
            page::decode_object(collection, answer.era, &answer.bytes)
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
                "{}?revision={}",
                object_path(collection, name),
                version.revision
            );
            self.check_era(version)?;
            let deleted = self.call(Method::DELETE, &path, None, self.timeout);
            Self::check_answer(version, &deleted.await?)
        }
        .boxed()
    }

    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        async move {
            let (era, mut page) = self.fetch_page(collection, None).await?;
            // The pages are read one after the other. A watch that starts at the
            // version of the first page reports the changes between the reads.
            let version = Version::new(era, page.revision);
            let mut objects: Vec<Object> = Vec::new();
            for _ in 0..MAX_PAGES {
                // The answer may have been delayed until the store had come back.
                if era < self.era() {
                    return Err(Fault::Expired);
                }
                objects.extend(page.objects);
                match objects.last() {
                    Some(last) if page.has_more => {
                        let (next, following) =
                            self.fetch_page(collection, Some(&last.name)).await?;
                        if next != era {
                            return Err(Fault::Expired);
                        }
                        page = following;
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
            client: self.clone(),
            collection,
            version: *version,
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
