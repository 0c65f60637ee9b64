//! Serves the stand-in over HTTP.

use super::{
    state::{Answer, Counts, Faults, State, Step},
    watch,
};
use crate::socket;
use bytes::Bytes;
use cicadacrank_node::{
    membership::Instance,
    platform::{Change, Collection, Object, Version, http::OBJECT_BYTES},
};
use futures_util::StreamExt as _;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{Method, StatusCode},
    writing::Json,
};
use serde_json::{Value, json};
use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{task::JoinHandle, time};

/// Path of the collections.
const BASE: &str = "apis/cicadacrank.io/v1/namespaces/default";

/// Largest body, in bytes.
const BODY_BYTES: usize = (1 << 20) + (64 << 10);

/// Time that a lost answer keeps its caller waiting.
const LOST_WAIT: Duration = Duration::from_secs(3_600);

/// A running stand-in; dropping it ends it.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a stand-in on a port of the system's choice.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn start() -> io::Result<Self> {
        let acceptor = socket::bind(socket::ANY)?;
        let address = acceptor.local_addr()?;
        let state = Arc::new(Mutex::new(State::new()));
        let api = Api {
            state: Arc::clone(&state),
        };
        let router = Router::new()
            .push(Router::with_path(format!("{BASE}/{{plural}}")).goal(api.clone()))
            .push(Router::with_path(format!("{BASE}/{{plural}}/{{name}}")).goal(api));
        let task = tokio::spawn(salvo::Server::new(acceptor).serve(router));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Gives access to what the stand-in holds.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the stand-in what to do wrong from here on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Puts an instance on the platform's list.
    pub fn set_instance(&self, name: &str, instance: &Instance) {
        let spec = serde_json::to_value(instance).unwrap_or_default();
        self.state().put(Collection::Instances, name, spec);
    }

    /// Takes an instance off the platform's list.
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
        if faults.down {
            return refuse(
                response,
                StatusCode::SERVICE_UNAVAILABLE,
                "ServiceUnavailable",
            );
        }
        if faults.throttled {
            return refuse(response, StatusCode::TOO_MANY_REQUESTS, "TooManyRequests");
        }
        let plural = request.param::<String>("plural").unwrap_or_default();
        let collection = Collection::ALL
            .into_iter()
            .find(|one| one.as_str() == plural);
        let Some(collection) = collection else {
            return refuse(response, StatusCode::NOT_FOUND, "NotFound");
        };
        let name = request.param::<String>("name");
        match (request.method().clone(), name) {
            (Method::GET, Some(name)) => self.get(response, collection, &name),
            (Method::GET, None) if request.query::<bool>("watch") == Some(true) => {
                self.watch(request, response, collection);
            }
            (Method::GET, None) => self.list(response, collection),
            (method, name) => {
                self.write(request, response, collection, method, name)
                    .await;
            }
        }
    }
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, response: &mut Response, collection: Collection, name: &str) {
        let mut state = self.lock();
        state.counts.gets += 1;
        match state.get(collection, name) {
            Some(object) => response.render(Json(resource(&object))),
            None => refuse(response, StatusCode::NOT_FOUND, "NotFound"),
        }
    }

    fn list(&self, response: &mut Response, collection: Collection) {
        let mut state = self.lock();
        state.counts.lists += 1;
        let listing = state.list(collection);
        let items: Vec<Value> = listing.objects.iter().map(resource).collect();
        response.render(Json(json!({
            "apiVersion": "cicadacrank.io/v1",
            "metadata": { "resourceVersion": listing.version.0 },
            "items": items,
        })));
    }

    fn watch(&self, request: &mut Request, response: &mut Response, collection: Collection) {
        let since = request.query::<u64>("resourceVersion").unwrap_or_default();
        let seconds = request.query::<u64>("timeoutSeconds").unwrap_or(60);
        let steps = watch::steps(&self.state, collection, since);
        let lines = steps
            .map(|step| Ok::<_, Infallible>(line(&step)))
            .take_until(time::sleep(Duration::from_secs(seconds)));
        response.stream(lines);
    }

    async fn write(
        &self,
        request: &mut Request,
        response: &mut Response,
        collection: Collection,
        method: Method,
        name: Option<String>,
    ) {
        let Ok(body) = request.payload_with_max_size(BODY_BYTES).await else {
            return refuse(
                response,
                StatusCode::PAYLOAD_TOO_LARGE,
                "RequestEntityTooLarge",
            );
        };
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let spec = body["spec"].clone();
        if spec.to_string().len() > OBJECT_BYTES {
            return refuse(
                response,
                StatusCode::PAYLOAD_TOO_LARGE,
                "RequestEntityTooLarge",
            );
        }
        let text = |value: &Value| Version(value.as_str().unwrap_or_default().to_owned());
        if !self.lock().count_write() {
            return refuse(response, StatusCode::TOO_MANY_REQUESTS, "TooManyRequests");
        }
        if self.lock().lose_call() {
            time::sleep(LOST_WAIT).await;
        }
        let (result, lost) = {
            let mut state = self.lock();
            let result = match (method, name) {
                (Method::POST, None) => {
                    let name = body["metadata"]["name"].as_str().unwrap_or_default();
                    state
                        .create(collection, name, spec)
                        .map(|object| resource(&object))
                }
                (Method::PUT, Some(name)) => {
                    let version = text(&body["metadata"]["resourceVersion"]);
                    state
                        .update(collection, &name, &version, spec)
                        .map(|object| resource(&object))
                }
                (Method::DELETE, Some(name)) => {
                    let version = text(&body["preconditions"]["resourceVersion"]);
                    state
                        .delete(collection, &name, &version)
                        .map(|()| json!({ "status": "Success" }))
                }
                _ => {
                    drop(state);
                    return refuse(response, StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed");
                }
            };
            (result, state.lose_answer())
        };
        if lost {
            time::sleep(LOST_WAIT).await;
        }
        match result {
            Ok(object) => response.render(Json(object)),
            Err(Answer::Exists) => refuse(response, StatusCode::CONFLICT, "AlreadyExists"),
            Err(Answer::Conflict) => refuse(response, StatusCode::CONFLICT, "Conflict"),
            Err(Answer::Missing) => refuse(response, StatusCode::NOT_FOUND, "NotFound"),
        }
    }
}

fn line(step: &Step) -> Bytes {
    let (kind, object) = match &step.change {
        Change::Put(object) => ("MODIFIED", object),
        Change::Deleted(object) => ("DELETED", object),
    };
    Bytes::from(format!(
        "{}\n",
        json!({ "type": kind, "object": resource(object) })
    ))
}

fn resource(object: &Object) -> Value {
    json!({
        "apiVersion": "cicadacrank.io/v1",
        "metadata": { "name": object.name, "resourceVersion": object.version.0 },
        "spec": object.spec,
    })
}

fn refuse(response: &mut Response, status: StatusCode, reason: &str) {
    response.status_code(status);
    response.render(Json(
        json!({ "kind": "Status", "reason": reason, "message": reason }),
    ));
}
