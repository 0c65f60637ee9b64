//! The object API over HTTP, as a Kubernetes API server serves custom
//! resources.

use super::{Change, Collection, Fault, Listing, Object, Store, Version};
use bytes::{Buf as _, Bytes, BytesMut};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use reqwest::{Method, RequestBuilder, Response, StatusCode, redirect, retry};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Group and version of the system's own resources.
const API_VERSION: &str = "cicadacrank.io/v1";

/// Time a watch stays open before it is made anew.
const WATCH_SECONDS: u64 = 60;

/// Largest object the platform holds, in bytes.
pub const OBJECT_BYTES: usize = 1 << 20;

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Metadata {
    name: String,
    resource_version: String,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Resource {
    #[serde(default)]
    api_version: String,
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Debug, Deserialize)]
struct ResourceList {
    metadata: Metadata,
    items: Vec<Resource>,
}

#[derive(Debug, Deserialize)]
struct Step {
    #[serde(rename = "type")]
    kind: String,
    object: Resource,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Status {
    reason: String,
    message: String,
}

impl From<Resource> for Object {
    fn from(resource: Resource) -> Self {
        let Metadata {
            name,
            resource_version,
        } = resource.metadata;
        Self {
            name,
            version: Version(resource_version),
            spec: resource.spec,
        }
    }
}

/// Client of the object API.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    timeout: Duration,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client for the API at an address.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Invalid`] if the HTTP client cannot be set up.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, Fault> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .connect_timeout(timeout)
            .build()
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        let base = format!("http://{address}/apis/{API_VERSION}/namespaces/default");
        Ok(Self {
            base,
            timeout,
            http,
        })
    }

    fn call(&self, method: Method, collection: Collection, name: Option<&str>) -> RequestBuilder {
        let base = &self.base;
        let plural = collection.as_str();
        let url = name.map_or_else(
            || format!("{base}/{plural}"),
            |name| format!("{base}/{plural}/{name}"),
        );
        self.http.request(method, url)
    }

    async fn fetch<T: for<'de> Deserialize<'de>>(&self, call: RequestBuilder) -> Result<T, Fault> {
        let response = call
            .timeout(self.timeout)
            .send()
            .await
            .map_err(|error| fault(&error))?;
        let response = check(response).await?;
        response
            .json()
            .await
            .map_err(|error| Fault::Lost(error.to_string()))
    }
}

impl Store for Client {
    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Object, Fault>> {
        async move {
            let call = self.call(Method::GET, collection, Some(name));
            self.fetch::<Resource>(call).await.map(Object::from)
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
            let resource = resource(name, &Version::default(), spec);
            let call = self.call(Method::POST, collection, None).json(&resource);
            self.fetch::<Resource>(call)
                .await
                .map(|made| Object::from(made).version)
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
            let resource = resource(name, version, spec);
            let call = self
                .call(Method::PUT, collection, Some(name))
                .json(&resource);
            self.fetch::<Resource>(call)
                .await
                .map(|made| Object::from(made).version)
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
            let body = serde_json::json!({ "preconditions": { "resourceVersion": version.0 } });
            let call = self
                .call(Method::DELETE, collection, Some(name))
                .json(&body);
            self.fetch::<Value>(call).await.map(drop)
        }
        .boxed()
    }

    fn list(&self, collection: Collection) -> BoxFuture<'_, Result<Listing, Fault>> {
        async move {
            let call = self.call(Method::GET, collection, None);
            let list: ResourceList = self.fetch(call).await?;
            Ok(Listing {
                objects: list.items.into_iter().map(Object::from).collect(),
                version: Version(list.metadata.resource_version),
            })
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        collection: Collection,
        version: &'a Version,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<Change, Fault>>, Fault>> {
        async move {
            let query = format!(
                "?watch=true&resourceVersion={}&timeoutSeconds={WATCH_SECONDS}",
                version.0
            );
            let url = format!("{}/{}{query}", self.base, collection.as_str());
            let send = self.http.get(url).send();
            let response = tokio::time::timeout(self.timeout, send)
                .await
                .map_err(|_| Fault::Lost("no answer to a watch".to_owned()))?
                .map_err(|error| fault(&error))?;
            Ok(steps(check(response).await?))
        }
        .boxed()
    }
}

fn resource(name: &str, version: &Version, spec: Value) -> Resource {
    Resource {
        api_version: API_VERSION.to_owned(),
        metadata: Metadata {
            name: name.to_owned(),
            resource_version: version.0.clone(),
        },
        spec,
    }
}

fn fault(error: &reqwest::Error) -> Fault {
    if error.is_connect() {
        Fault::Unreachable(error.to_string())
    } else {
        Fault::Lost(error.to_string())
    }
}

async fn check(response: Response) -> Result<Response, Fault> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body: Status = response.json().await.unwrap_or_default();
    Err(match status {
        StatusCode::NOT_FOUND => Fault::Missing,
        StatusCode::CONFLICT if body.reason == "AlreadyExists" => Fault::Exists,
        StatusCode::CONFLICT => Fault::Conflict,
        StatusCode::GONE => Fault::Expired,
        StatusCode::TOO_MANY_REQUESTS => Fault::Throttled,
        status if status.is_client_error() => Fault::Invalid(body.message),
        status => Fault::Lost(format!("status {status}")),
    })
}

/// Cuts the body of a watch into its lines, one step each.
fn steps(response: Response) -> BoxStream<'static, Result<Change, Fault>> {
    let state = (response.bytes_stream().boxed(), BytesMut::new());
    stream::unfold(state, |(mut body, mut buffer)| async move {
        loop {
            if let Some(line) = take_line(&mut buffer) {
                return Some((step(&line), (body, buffer)));
            }
            match body.next().await? {
                Ok(part) => buffer.extend_from_slice(&part),
                Err(error) => {
                    buffer.clear();
                    return Some((
                        Err(Fault::Lost(error.to_string())),
                        (stream::empty().boxed(), buffer),
                    ));
                }
            }
        }
    })
    .boxed()
}

fn take_line(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = buffer.split_to(end);
    buffer.advance(1);
    Some(line.freeze())
}

fn step(line: &[u8]) -> Result<Change, Fault> {
    let step: Step =
        serde_json::from_slice(line).map_err(|error| Fault::Invalid(error.to_string()))?;
    match step.kind.as_str() {
        "ADDED" | "MODIFIED" => Ok(Change::Put(step.object.into())),
        "DELETED" => Ok(Change::Deleted(step.object.into())),
        _ => Err(Fault::Expired),
    }
}
