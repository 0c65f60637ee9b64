//! Exchanges state with other gateways that the store does not hold: which
//! gateways are live, what each has in flight and which requests crash endpoints.
//! Also passes on the content of the store to gateways that cannot read it.

mod codec;
mod heartbeat;
mod incoming;
mod knowledge;
mod link;

pub use self::link::Links;

use self::codec::{
    decode_limit, decode_output, decode_task, encode_limit, encode_output, encode_task,
};
use super::{
    owner::{self, Failure, Task},
    stages::Output,
    state::{State, lock},
};
use crate::{
    clock::milliseconds,
    daemon,
    metrics::gateway::{Direction, Purpose},
};
use cicadacrank_core::{directory::Incarnation, error::Kind, placement::Row};
use cicadacrank_wire::{
    Message as _,
    wire::{
        Beat, GrantAnswer, GrantRequest, Knowledge, Production, Released, Remembered, Results,
        StreamAnswer, StreamOrigins, StreamQuestion, Versions,
        gateway_server::{Gateway as Serve, GatewayServer},
    },
};
use miette::Result;
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};
use tonic::{Request, Response, Status, async_trait, transport::Server};

/// Timeout of a fetch of newer state, and of a release, at another gateway.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a request for a grant. It also bounds the age of a grant that is
/// used, so that sends stay within the window in which they were granted.
const GRANT_TIMEOUT: Duration = Duration::from_millis(40);

/// Silence on a connection after which a client sends a keepalive ping, and the
/// timeout of that ping.
const KEEPALIVE: Duration = Duration::from_millis(400);

/// Added to the remaining time of a task before the gateway that processes it
/// counts as failed.
const PRODUCE_TIMEOUT_EXTRA: Duration = Duration::from_millis(200);

/// Maximum size of a message in bytes. The largest messages carry the
/// configuration of a large deployment.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Maximum size of a message that another gateway sends unasked, in bytes. The largest are
/// heartbeats, which list all endpoints with requests in flight.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Maximum number of calls under way on the connection of another gateway.
const MAX_CALLS: u32 = 1_024;

/// Maximum size of the head of a call of another gateway, in bytes.
const MAX_HEAD_BYTES: u32 = 16 << 10;

/// Starts the server for other gateways and the heartbeats to them.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(state: &Arc<State>) -> Result<()> {
    let listener = daemon::bind(state.settings.listen)?;
    let service = GatewayServer::new(Handler(Arc::clone(state)))
        .max_decoding_message_size(MAX_REQUEST_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .max_concurrent_streams(MAX_CALLS)
        .http2_max_header_list_size(MAX_HEAD_BYTES)
        .http2_keepalive_interval(Some(KEEPALIVE * 4))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(service)
        .serve_with_incoming(incoming::incoming(state, listener));
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server for other gateways stopped: {error}");
        }
    });
    tokio::spawn(heartbeat::run(Arc::clone(state)));
    Ok(())
}

/// Has the pieces of a task processed by the gateway at an address. The inner
/// result is the answer of that gateway.
///
/// # Errors
///
/// Returns an error if the gateway does not answer in time or the call fails.
pub async fn produce(
    state: &Arc<State>,
    address: &str,
    task: &Task,
) -> Result<Result<Vec<Output>, Failure>, String> {
    let mut client = state.links.client(address)?;
    let task_message = encode_task(task);
    let metrics = &state.metrics;
    let size = task_message.encoded_len();
    metrics.record_traffic(Purpose::Stages, Direction::Sent, size);
    let call = client.produce(task_message);
    let results = time::timeout(task.expires + PRODUCE_TIMEOUT_EXTRA, call)
        .await
        .map_err(|_| "timed out waiting for results".to_owned())?
        .map_err(|status| status.to_string())?
        .into_inner();
    let size = results.encoded_len();
    metrics.record_traffic(Purpose::Stages, Direction::Received, size);
    if results.failure.is_empty() {
        return Ok(Ok(results.results.into_iter().map(decode_output).collect()));
    }
    Ok(Err(Failure {
        kind: Kind::from_name(&results.failure).unwrap_or(Kind::Internal),
        retry_after: Duration::from_millis(results.retry_after_ms),
    }))
}

/// Asks for a grant to send one request to an endpoint beyond the share of this
/// gateway, from the gateway that keeps the reserve of the endpoint's limit.
pub async fn grant(state: &Arc<State>, endpoint: &Incarnation) -> bool {
    let grantor = lock(&state.roster)
        .grantor(&endpoint.id, state.clock.now())
        .map(|gateway| gateway.address.clone());
    let answer = match grantor {
        Some(address) => request_grant(state, &address, endpoint).await,
        None => Some(state.try_grant(endpoint, &state.settings.instance)),
    };
    let outcome = match answer {
        Some(true) => "granted",
        Some(false) => "refused",
        None => "unanswered",
    };
    state.metrics.grants.with_label_values(&[outcome]).inc();
    answer == Some(true)
}

/// Asks the gateway at an address for a grant. Returns `None` without a timely
/// answer.
async fn request_grant(state: &State, address: &str, endpoint: &Incarnation) -> Option<bool> {
    let mut client = state.links.client(address).ok()?;
    let asked_at = Instant::now();
    let now = state.clock.now();
    let limit = lock(&state.fleet)
        .row_of(endpoint)
        .and_then(Row::last_limit);
    let request = GrantRequest {
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
        instance: state.settings.instance.clone(),
        limit: limit.map(|limit| encode_limit(endpoint, limit, now)),
    };
    let size = request.encoded_len();
    let metrics = &state.metrics;
    metrics.record_traffic(Purpose::Grants, Direction::Sent, size);
    let answer = time::timeout(GRANT_TIMEOUT, client.grant(request)).await;
    // A process that was paused finds the answer although its time has passed.
    let is_current = asked_at.elapsed() <= GRANT_TIMEOUT;
    let answer = answer.ok()?.ok().filter(|_| is_current)?;
    Some(answer.into_inner().granted)
}

/// Releases results through the gateway at an address, or locally if that
/// gateway does not answer.
pub fn release(state: &Arc<State>, address: String, outputs: Vec<Output>) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let Ok(mut client) = state.links.client(&address) else {
            return;
        };
        let results = Results {
            results: outputs.iter().cloned().map(encode_output).collect(),
            failure: String::new(),
            retry_after_ms: 0,
        };
        let call = time::timeout(FETCH_TIMEOUT, client.release(results));
        if !matches!(call.await, Ok(Ok(_))) {
            owner::release(&state, &outputs);
        }
    });
}

/// Handles the calls of other gateways.
#[derive(Debug)]
struct Handler(Arc<State>);

#[async_trait]
impl Serve for Handler {
    async fn exchange(&self, request: Request<Beat>) -> Result<Response<Beat>, Status> {
        Ok(Response::new(heartbeat::answer(
            &self.0,
            request.into_inner(),
        )))
    }

    async fn fetch(&self, request: Request<Versions>) -> Result<Response<Knowledge>, Status> {
        let knowledge = knowledge::newer_than(&self.0, &request.into_inner())?;
        Ok(Response::new(knowledge))
    }

    async fn produce(&self, request: Request<Production>) -> Result<Response<Results>, Status> {
        let request = request.into_inner();
        let metrics = &self.0.metrics;
        let size = request.encoded_len();
        metrics.record_traffic(Purpose::Stages, Direction::Received, size);
        let task = decode_task(request);
        let results = match owner::produce(&self.0, task).await {
            Ok(outputs) => Results {
                results: outputs.into_iter().map(encode_output).collect(),
                failure: String::new(),
                retry_after_ms: 0,
            },
            Err(failure) => Results {
                results: Vec::new(),
                failure: failure.kind.as_str().to_owned(),
                retry_after_ms: milliseconds(failure.retry_after),
            },
        };
        let size = results.encoded_len();
        metrics.record_traffic(Purpose::Stages, Direction::Sent, size);
        Ok(Response::new(results))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantAnswer>, Status> {
        let request = request.into_inner();
        let size = request.encoded_len();
        let metrics = &self.0.metrics;
        metrics.record_traffic(Purpose::Grants, Direction::Received, size);
        let endpoint = Incarnation {
            id: request.endpoint,
            born: request.born,
        };
        // This gateway may have started after the endpoint stated its limit.
        if let Some(limit) = request.limit {
            let (endpoint, limit) = decode_limit(limit, self.0.clock.now());
            self.0.record_limit(&endpoint, limit, &request.instance);
        }
        let granted = self.0.try_grant(&endpoint, &request.instance);
        Ok(Response::new(GrantAnswer { granted }))
    }

    async fn remember(
        &self,
        request: Request<StreamOrigins>,
    ) -> Result<Response<Remembered>, Status> {
        let now = self.0.clock.now();
        self.0.streams.remember(request.into_inner(), now);
        Ok(Response::new(Remembered {}))
    }

    async fn recall(
        &self,
        request: Request<StreamQuestion>,
    ) -> Result<Response<StreamAnswer>, Status> {
        let StreamQuestion {
            attempt,
            service,
            recent_ms,
        } = request.into_inner();
        let recent = Duration::from_millis(recent_ms);
        let streams = &self.0.streams;
        Ok(Response::new(StreamAnswer {
            version: streams.recall(&attempt, &service),
            only_version: streams.only_version(&service, recent, &self.0),
        }))
    }

    async fn release(&self, request: Request<Results>) -> Result<Response<Released>, Status> {
        let results = request.into_inner().results;
        let outputs: Vec<Output> = results.into_iter().map(decode_output).collect();
        owner::release(&self.0, &outputs);
        Ok(Response::new(Released {}))
    }
}
