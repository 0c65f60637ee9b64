//! Serves a stand-in endpoint over HTTP.

use super::profile::Profile;
use bytes::Bytes;
use futures_util::stream;
use salvo::{
    Depot, FlowCtrl, Handler, Listener as _, Request, Response, Router, async_trait,
    conn::TcpListener, http::StatusCode, writing::Json,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{task::JoinHandle, time};

/// Largest body, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// One piece of work that reached the stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Path of the call.
    pub path: String,
    /// Attempt that the call names.
    pub attempt: String,
    /// Idempotency key that the call names.
    pub key: String,
    /// Body of the call.
    pub body: String,
    /// Whether the answer was made in full.
    pub finished: bool,
}

#[derive(Debug)]
struct State {
    name: String,
    profile: Profile,
    runs: Vec<Run>,
}

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
    pub async fn start(name: &str, profile: Profile) -> io::Result<Self> {
        let acceptor = TcpListener::new("127.0.0.1:0")
            .try_bind()
            .await
            .map_err(|error| io::Error::other(error.to_string()))?;
        let address = acceptor.local_addr()?;
        let state = State {
            name: name.to_owned(),
            profile,
            runs: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let router = Router::with_path("{**path}").goal(Api {
            state: Arc::clone(&state),
        });
        let task = tokio::spawn(salvo::Server::new(acceptor).serve(router));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Changes how the stand-in behaves from here on.
    pub fn set_profile(&self, profile: Profile) {
        self.lock().profile = profile;
    }

    /// Returns the work that reached the stand-in so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
        let path = request.uri().path().to_owned();
        let header = |name: &str| request.header::<String>(name).unwrap_or_default();
        let (attempt, key) = (header("x-attempt-id"), header("idempotency-key"));
        let Ok(body) = request.payload_with_max_size(BODY_BYTES).await else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let body = String::from_utf8_lossy(body).into_owned();
        let Ok(input) = serde_json::from_str::<Value>(&body) else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let run = Run {
            path: path.clone(),
            attempt,
            key,
            body,
            finished: false,
        };
        let (index, profile) = self.begin(run);
        time::sleep(profile.first()).await;
        match path.as_str() {
            "/v1/completions" => self.complete(response, index, profile, &input),
            _ => {
                self.finish(index);
                response.render(Json(self.answer(&path, &input)));
            }
        }
    }
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, run: Run) -> (usize, Profile) {
        let mut state = self.lock();
        state.runs.push(run);
        (state.runs.len() - 1, state.profile.clone())
    }

    fn finish(&self, index: usize) {
        self.lock().runs[index].finished = true;
    }

    fn answer(&self, path: &str, input: &Value) -> Value {
        match path {
            "/v1/embeddings" => json!({ "data": [{ "embedding": [0.25, 0.5, 0.75] }] }),
            "/v1/retrieve" => json!({ "documents": [
                { "id": 1, "text": "opening hours" }, { "id": 2, "text": "menu" },
            ]}),
            "/v1/rerank" => {
                let count = input["documents"].as_array().map_or(0, Vec::len);
                let results: Vec<Value> = (0..count)
                    .rev()
                    .map(|index| json!({ "index": index, "relevance_score": 0.5 }))
                    .collect();
                json!({ "results": results })
            }
            _ => json!({
                "service": self.lock().name, "path": path,
                "for": input["request"]["query"],
            }),
        }
    }

    fn complete(&self, response: &mut Response, index: usize, profile: Profile, input: &Value) {
        let asked = input["max_tokens"].as_u64().unwrap_or(profile.tokens);
        let count = asked.min(profile.tokens);
        drop(response.add_header("content-type", "text/event-stream", true));
        let api = self.clone();
        let events = stream::unfold(0, move |token| {
            let (api, profile) = (api.clone(), profile.clone());
            async move {
                if token > count {
                    return None;
                }
                if token > 0 {
                    time::sleep(profile.token()).await;
                }
                let text = if token == count {
                    api.finish(index);
                    "data: [DONE]\n\n".to_owned()
                } else {
                    format!(
                        "data: {}\n\n",
                        json!({ "choices": [{ "text": format!("word{token} ") }] })
                    )
                };
                Some((Ok::<_, Infallible>(Bytes::from(text)), token + 1))
            }
        });
        response.stream(events);
    }
}
