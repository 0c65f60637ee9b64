//! Baseline policies that send requests directly to the mock engines.

use super::{
    Policy,
    arrivals::Request,
    caller::{Outcome, Timer, parse_answer},
};
use crate::{checker::Reply, fleet::Fleet};
use cicadacrank_core::{
    pipeline::Context,
    rules::{DataCentreKey, Definitions, Pool, PoolKey, Service, Stage},
};
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use reqwest::{Client, Response};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{self, Instant};

/// Most attempts at one stage.
const MAX_ATTEMPTS: u32 = 4;

/// Most attempts at one stage under [`Policy::NoRetryBudget`].
const MAX_ATTEMPTS_WITHOUT_BUDGET: u32 = 64;

/// Delay before a retry, except under [`Policy::NoRetryBudget`].
const RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Endpoint {
    pool: PoolKey,
    data_centre: DataCentreKey,
    address: SocketAddr,
    /// Requests in flight from each entry.
    in_flight: Vec<AtomicU32>,
}

/// Client that sends requests directly to the mock engines.
#[derive(Debug)]
pub(super) struct Direct {
    policy: Policy,
    definitions: Definitions,
    endpoints: Vec<Endpoint>,
    cursor: AtomicUsize,
    taken_out: Mutex<Option<DataCentreKey>>,
    http: Client,
}

enum Fault {
    /// The connection could not be established, so the work did not run.
    Unsent,
    /// The attempt failed and the work may have run.
    Failed,
}

impl Direct {
    pub(super) fn new(policy: Policy, fleet: &Fleet, http: Client) -> Self {
        let endpoints = fleet.definitions.endpoints.iter().zip(&fleet.backends);
        let entries = fleet.entries.len();
        let endpoints = endpoints.map(|(endpoint, backend)| Endpoint {
            pool: endpoint.pool,
            data_centre: endpoint.data_centre,
            address: backend.engine.address,
            in_flight: (0..entries).map(|_| AtomicU32::new(0)).collect(),
        });
        Self {
            policy,
            definitions: fleet.definitions.clone(),
            endpoints: endpoints.collect(),
            cursor: AtomicUsize::new(0),
            taken_out: Mutex::new(None),
            http,
        }
    }

    /// Sets the data centre that gets no new work; `None` if none is taken out.
    pub(super) fn set_taken_out(&self, data_centre: Option<DataCentreKey>) {
        *self
            .taken_out
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = data_centre;
    }

    /// Runs all stages of a request and returns its outcome.
    pub(super) async fn call(
        &self,
        entry: usize,
        request: &Request,
        deadline: Duration,
    ) -> Outcome {
        let mut timer = Timer::new();
        let result = time::timeout(deadline, self.run_pipeline(entry, request, &mut timer)).await;
        match result {
            Ok(Ok(answer)) => timer.finish(parse_answer(&answer), "whole"),
            Ok(Err(kind)) => timer.finish(Reply::Partial, kind),
            Err(_) => timer.finish(Reply::Unknown, "deadline"),
        }
    }

    async fn run_pipeline(
        &self,
        entry: usize,
        request: &Request,
        timer: &mut Timer,
    ) -> Result<Value, &'static str> {
        let definitions = &self.definitions;
        let pipeline = definitions
            .pipeline(request.mix.pipeline)
            .ok_or("no pipeline")?;
        let mut context = Context::new(request.body.as_bytes()).map_err(|_| "bad request")?;
        for stage in &definitions[pipeline].stages {
            let pool = &definitions[stage.pool];
            let input = context.input(pool).to_string();
            let output = self.run_stage(entry, request, stage, &input, timer).await?;
            let added = context.add_output(pool.service, &output);
            added.map_err(|_| "endpoint-protocol")?;
        }
        Ok(context.answer())
    }

    async fn run_stage(
        &self,
        entry: usize,
        request: &Request,
        stage: &Stage,
        input: &str,
        timer: &mut Timer,
    ) -> Result<Vec<u8>, &'static str> {
        let unbounded = self.policy == Policy::NoRetryBudget;
        let attempts = if unbounded {
            MAX_ATTEMPTS_WITHOUT_BUDGET
        } else {
            MAX_ATTEMPTS
        };
        for _ in 0..attempts {
            let endpoint = self.choose(entry, stage.pool).ok_or("no-endpoint")?;
            endpoint.in_flight[entry].fetch_add(1, Ordering::Relaxed);
            let result = self.attempt(endpoint, stage, request, input, timer).await;
            endpoint.in_flight[entry].fetch_sub(1, Ordering::Relaxed);
            match result {
                Ok(output) => return Ok(output),
                Err(Fault::Failed) if !stage.repeatable => break,
                Err(Fault::Failed | Fault::Unsent) => {}
            }
            if !unbounded {
                time::sleep(RETRY_DELAY).await;
            }
        }
        Err("endpoint-failed")
    }

    fn choose(&self, entry: usize, pool: PoolKey) -> Option<&Endpoint> {
        let taken_out = *self
            .taken_out
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let endpoints = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.pool == pool);
        let endpoints: Vec<&Endpoint> = endpoints
            .filter(|endpoint| Some(endpoint.data_centre) != taken_out)
            .collect();
        let offset = self.cursor.fetch_add(1, Ordering::Relaxed) % endpoints.len().max(1);
        match self.policy {
            Policy::System | Policy::RoundRobin => endpoints.get(offset).copied(),
            Policy::LeastInFlight | Policy::NoRetryBudget => {
                let (head, tail) = endpoints.split_at(offset.min(endpoints.len()));
                let endpoints = tail.iter().chain(head).copied();
                endpoints.min_by_key(|endpoint| endpoint.in_flight[entry].load(Ordering::Relaxed))
            }
        }
    }

    async fn attempt(
        &self,
        endpoint: &Endpoint,
        stage: &Stage,
        request: &Request,
        input: &str,
        timer: &mut Timer,
    ) -> Result<Vec<u8>, Fault> {
        let pool = &self.definitions[endpoint.pool];
        let answer = self
            .http
            .post(format!("http://{}{}", endpoint.address, path(pool, stage)))
            .header("idempotency-key", &request.mark)
            .body(input.to_owned())
            .send()
            .await
            .map_err(|error| match error.is_connect() {
                true => Fault::Unsent,
                false => Fault::Failed,
            })?;
        let answer = answer.error_for_status().map_err(|_| Fault::Failed)?;
        if pool.service == Service::Generate {
            return read_tokens(answer, timer).await;
        }
        let body = answer.bytes().await.map_err(|_| Fault::Failed)?;
        Ok(body.to_vec())
    }

    /// Runs all stages of a request as entry 0 and returns the time that they
    /// took, or `None` if a stage failed.
    pub(super) async fn probe(&self, request: &Request) -> Option<Duration> {
        let started_at = Instant::now();
        let mut timer = Timer::new();
        self.run_pipeline(0, request, &mut timer).await.ok()?;
        Some(started_at.elapsed())
    }
}

/// Returns the URL path of the call that runs a stage.
pub(super) fn path<'a>(pool: &Pool, stage: &'a Stage) -> &'a str {
    match pool.service {
        Service::Encode => "/v1/embeddings",
        Service::Retrieve => "/v1/retrieve",
        Service::Rerank => "/v1/rerank",
        Service::Generate => "/v1/completions",
        Service::Plain => &stage.path,
    }
}

/// Reads a stream of tokens to its end mark and returns their text.
async fn read_tokens(answer: Response, timer: &mut Timer) -> Result<Vec<u8>, Fault> {
    let mut events = answer.bytes_stream().eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| Fault::Failed)?;
        if event.data == "[DONE]" {
            return Ok(text.into_bytes());
        }
        timer.record_token();
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        text.push_str(data["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Err(Fault::Failed)
}
