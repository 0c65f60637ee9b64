//! HTTP server of the mock platform.

use super::{
    state::{Counts, Faults, Rejection, State, Step},
    watch,
};
use crate::socket;
use cicadacrank_node::{
    membership::Instance,
    platform::{Change, Collection, MAX_OBJECT_BYTES, Object, Version},
};
use futures_util::{FutureExt as _, StreamExt as _};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE},
    writing::Json,
};
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{task::JoinHandle, time};

/// Path under which the collections are served.
const BASE_PATH: &str = "objects";

/// Header that states the era of the store.
const ERA_HEADER: &str = "Store-Era";

/// Largest request body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = (1 << 20) + (64 << 10);

/// Delay of an answer that counts as lost.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(3_600);

/// A running mock platform, stopped when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a server on a port chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound.
    pub async fn start() -> io::Result<Self> {
        let acceptor = socket::bind(socket::ANY)?;
        let address = acceptor.local_addr()?;
        let state = Arc::new(Mutex::new(State::new()));
        let api = Api {
            state: Arc::clone(&state),
        };
        let router = Router::new()
            .push(Router::with_path(format!("{BASE_PATH}/{{kind}}")).goal(api.clone()))
            .push(Router::with_path(format!("{BASE_PATH}/{{kind}}/{{name}}")).goal(api.clone()))
            .push(Router::with_path(format!("{BASE_PATH}/{{kind}}/{{name}}/status")).goal(api));
        let task = tokio::spawn(salvo::Server::new(acceptor).serve(router));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Locks and returns the state of the mock platform.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Adds an instance to the platform's list, or replaces it.
    pub fn set_instance(&self, name: &str, instance: &Instance) {
        let spec = serde_json::to_value(instance).unwrap_or_default();
        self.state().put(Collection::Instances, name, spec);
    }

    /// Removes an instance from the platform's list.
    pub fn remove_instance(&self, name: &str) {
        self.state().remove(Collection::Instances, name);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let faults = self.lock().faults.clone();
        time::sleep(Duration::from_millis(faults.delay_ms)).await;
        self.stamp(response);
        if faults.down {
            return reject(response, StatusCode::SERVICE_UNAVAILABLE);
        }
        if faults.throttled {
            return reject(response, StatusCode::TOO_MANY_REQUESTS);
        }
        let kind = request.param::<String>("kind").unwrap_or_default();
        let collection = Collection::ALL.into_iter().find(|one| one.as_str() == kind);
        let Some(collection) = collection else {
            return reject(response, StatusCode::NOT_FOUND);
        };
        let name = request.param::<String>("name");
        match (request.method().clone(), name) {
            (Method::GET, Some(name)) => self.get(response, collection, &name),
            (Method::GET, None) if request.query::<u64>("watch").is_some() => {
                self.watch(request, response, collection).await;
            }
            (Method::GET, None) => self.list(request, response, collection),
            (method, name) => {
                let is_status = request.uri().path().ends_with("/status");
                self.write(request, response, collection, method, name, is_status)
                    .await;
            }
        }
    }
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the era of the store to an answer.
    fn stamp(&self, response: &mut Response) {
        set_era(response, self.lock().era());
    }

    fn get(&self, response: &mut Response, collection: Collection, name: &str) {
        let mut state = self.lock();
        state.counts.gets += 1;
        set_era(response, state.era());
        match state.get(collection, name) {
            Some(object) => send(response, &state, &resource(&object)),
            None => reject(response, StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, request: &mut Request, response: &mut Response, collection: Collection) {
        let mut state = self.lock();
        state.counts.lists += 1;
        set_era(response, state.era());
        let listing = state.list(collection);
        let after = request.query::<String>("after").unwrap_or_default();
        let mut rest = listing.objects;
        rest.retain(|object| after.is_empty() || object.name > after);
        rest.sort_by(|one, other| one.name.cmp(&other.name));
        let limit = match state.faults.page_items {
            0 => rest.len(),
            limit => limit,
        };
        let items: Vec<Value> = rest.iter().take(limit).map(resource).collect();
        let page = json!({
            "items": items,
            "hasMore": rest.len() > limit,
            "at": listing.version.revision,
        });
        send(response, &state, &page);
    }

    async fn watch(&self, request: &mut Request, response: &mut Response, collection: Collection) {
        let since = request.query::<u64>("watch").unwrap_or_default();
        let wait = request.query::<u64>("waitMs").unwrap_or_default();
        let start = {
            let state = self.lock();
            set_era(response, state.era());
            Version::new(state.era(), since)
        };
        let Some(mut steps) = watch::steps(&self.state, collection, start) else {
            return reject(response, StatusCode::GONE);
        };
        let first = time::timeout(Duration::from_millis(wait), steps.next()).await;
        // Changes up to this version have been sent to the watch.
        let reached = self.lock().version();
        if matches!(first, Ok(None)) || reached.era != start.era {
            // The watch ended, because it lagged or the store came back from a copy.
            self.stamp(response);
            return reject(response, StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut seen: Vec<Step> = first.ok().flatten().into_iter().collect();
        while let Some(Some(step)) = steps.next().now_or_never() {
            seen.push(step);
        }
        let last = seen.last().map_or(since, |step| step.revision);
        let at = last.max(reached.revision);
        let events: Vec<Value> = seen.iter().map(event).collect();
        let answer = json!({ "events": events, "at": at });
        send(response, &self.lock(), &answer);
    }

    async fn write(
        &self,
        request: &mut Request,
        response: &mut Response,
        collection: Collection,
        method: Method,
        name: Option<String>,
        is_status: bool,
    ) {
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await else {
            return reject(response, StatusCode::PAYLOAD_TOO_LARGE);
        };
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let spec = body["specification"].clone();
        if spec.to_string().len() > MAX_OBJECT_BYTES {
            return reject(response, StatusCode::PAYLOAD_TOO_LARGE);
        }
        let body_revision = body["metadata"]["revision"].as_u64();
        let version = body_revision.or_else(|| request.query::<u64>("revision"));
        if !self.lock().count_write() {
            return reject(response, StatusCode::TOO_MANY_REQUESTS);
        }
        if self.lock().lose_call() {
            time::sleep(LOST_ANSWER_DELAY).await;
        }
        let (result, lost) = {
            let mut state = self.lock();
            set_era(response, state.era());
            let version = version.map(|revision| Version::new(state.era(), revision));
            let result = match (method, name) {
                (Method::POST, None) => {
                    let name = body["metadata"]["name"].as_str().unwrap_or_default();
                    state
                        .create(collection, name, spec)
                        .map(|object| resource(&object))
                }
                (Method::PUT, Some(name)) => {
                    let current = state.get(collection, &name).map(|object| object.version);
                    let version = version.or(current).unwrap_or_default();
                    let updated = if is_status {
                        let status = body["status"].clone();
                        state.update_status(collection, &name, &version, status)
                    } else {
                        state.update(collection, &name, &version, spec)
                    };
                    updated.map(|object| resource(&object))
                }
                (Method::DELETE, Some(name)) => {
                    let version = version.unwrap_or_default();
                    state
                        .delete(collection, &name, &version)
                        .map(|()| json!({}))
                }
                _ => {
                    drop(state);
                    return reject(response, StatusCode::METHOD_NOT_ALLOWED);
                }
            };
            (result, state.lose_answer())
        };
        if lost {
            time::sleep(LOST_ANSWER_DELAY).await;
        }
        match result {
            Ok(object) => response.render(Json(object)),
            Err(Rejection::Exists) => reject(response, StatusCode::CONFLICT),
            Err(Rejection::Conflict) => reject(response, StatusCode::CONFLICT),
            Err(Rejection::Missing) => reject(response, StatusCode::NOT_FOUND),
        }
    }
}

fn set_era(response: &mut Response, era: u64) {
    let value = HeaderValue::from(era);
    response.headers_mut().insert(ERA_HEADER, value);
}

fn event(step: &Step) -> Value {
    let (Change::Put(object) | Change::Deleted(object)) = &step.change;
    let deleted = matches!(step.change, Change::Deleted(_));
    json!({ "object": resource(object), "deleted": deleted })
}

fn resource(object: &Object) -> Value {
    json!({
        "metadata": {
            "name": object.name,
            "revision": object.version.revision,
            "created": object.created,
            "finalizers": [],
            "deletionPending": false,
        },
        "specification": object.spec,
        "status": object.status,
    })
}

/// Sends objects, whose contents may be raw bytes.
fn send(response: &mut Response, state: &State, answer: &Value) {
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response.body(state.encode(answer));
}

fn reject(response: &mut Response, status: StatusCode) {
    response.status_code(status);
    response.render(Json(json!({})));
}
