//! Plain policies that go straight to the stand-ins, to compare with.

use super::{
    Policy,
    arrivals::Offer,
    caller::{Outcome, Watch, whole},
};
use crate::{checker::Told, fleet::Fleet};
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

/// Attempts at one stage.
const ATTEMPTS: u32 = 4;

/// Attempts at one stage where no budget bounds them.
const UNBOUNDED_ATTEMPTS: u32 = 64;

/// Pause before another attempt, where there is one.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Spot {
    pool: PoolKey,
    data_centre: DataCentreKey,
    address: SocketAddr,
    /// Requests in flight, by entry.
    in_flight: Vec<AtomicU32>,
}

/// Sends requests straight to the stand-ins.
#[derive(Debug)]
pub(super) struct Direct {
    policy: Policy,
    definitions: Definitions,
    spots: Vec<Spot>,
    cursor: AtomicUsize,
    out: Mutex<Option<DataCentreKey>>,
    http: Client,
}

enum Fault {
    /// No connection could be made.
    Unsent,
    /// The work may have run.
    Failed,
}

impl Direct {
    pub(super) fn new(policy: Policy, fleet: &Fleet, http: Client) -> Self {
        let spots = fleet.definitions.endpoints.iter().zip(&fleet.posts);
        let entries = fleet.entries.len();
        let spots = spots.map(|(endpoint, post)| Spot {
            pool: endpoint.pool,
            data_centre: endpoint.data_centre,
            address: post.engine.address,
            in_flight: (0..entries).map(|_| AtomicU32::new(0)).collect(),
        });
        Self {
            policy,
            definitions: fleet.definitions.clone(),
            spots: spots.collect(),
            cursor: AtomicUsize::new(0),
            out: Mutex::new(None),
            http,
        }
    }

    /// Sends no new work to this data centre.
    pub(super) fn set_out(&self, data_centre: Option<DataCentreKey>) {
        *self.out.lock().unwrap_or_else(PoisonError::into_inner) = data_centre;
    }

    /// Takes one request through its stages.
    pub(super) async fn call(&self, entry: usize, offer: &Offer, deadline: Duration) -> Outcome {
        let mut watch = Watch::new();
        let result = time::timeout(deadline, self.walk(entry, offer, &mut watch)).await;
        match result {
            Ok(Ok(answer)) => watch.end(whole(&answer), "whole"),
            Ok(Err(kind)) => watch.end(Told::Partial, kind),
            Err(_) => watch.end(Told::Unknown, "deadline"),
        }
    }

    async fn walk(
        &self,
        entry: usize,
        offer: &Offer,
        watch: &mut Watch,
    ) -> Result<Value, &'static str> {
        let definitions = &self.definitions;
        let pipeline = definitions
            .pipeline(offer.mix.pipeline)
            .ok_or("no pipeline")?;
        let mut context = Context::new(offer.body.as_bytes()).map_err(|_| "bad request")?;
        for stage in &definitions[pipeline].stages {
            let pool = &definitions[stage.pool];
            let input = context.input(pool).to_string();
            let output = self.stage(entry, offer, stage, &input, watch).await?;
            let absorbed = context.add_output(pool.service, &output);
            absorbed.map_err(|_| "endpoint-protocol")?;
        }
        Ok(context.answer())
    }

    async fn stage(
        &self,
        entry: usize,
        offer: &Offer,
        stage: &Stage,
        input: &str,
        watch: &mut Watch,
    ) -> Result<Vec<u8>, &'static str> {
        let unbounded = self.policy == Policy::NoRetryBudget;
        let attempts = if unbounded {
            UNBOUNDED_ATTEMPTS
        } else {
            ATTEMPTS
        };
        for _ in 0..attempts {
            let spot = self.choose(entry, stage.pool).ok_or("no-endpoint")?;
            spot.in_flight[entry].fetch_add(1, Ordering::Relaxed);
            let result = self.attempt(spot, stage, offer, input, watch).await;
            spot.in_flight[entry].fetch_sub(1, Ordering::Relaxed);
            match result {
                Ok(output) => return Ok(output),
                Err(Fault::Failed) if !stage.repeatable => break,
                Err(Fault::Failed | Fault::Unsent) => {}
            }
            if !unbounded {
                time::sleep(RETRY_PAUSE).await;
            }
        }
        Err("endpoint-failed")
    }

    fn choose(&self, entry: usize, pool: PoolKey) -> Option<&Spot> {
        let out = *self.out.lock().unwrap_or_else(PoisonError::into_inner);
        let spots = self.spots.iter().filter(|spot| spot.pool == pool);
        let spots: Vec<&Spot> = spots.filter(|spot| Some(spot.data_centre) != out).collect();
        let turn = self.cursor.fetch_add(1, Ordering::Relaxed) % spots.len().max(1);
        match self.policy {
            Policy::System | Policy::RoundRobin => spots.get(turn).copied(),
            Policy::LeastInFlight | Policy::NoRetryBudget => {
                let (head, tail) = spots.split_at(turn.min(spots.len()));
                let spots = tail.iter().chain(head).copied();
                spots.min_by_key(|spot| spot.in_flight[entry].load(Ordering::Relaxed))
            }
        }
    }

    async fn attempt(
        &self,
        spot: &Spot,
        stage: &Stage,
        offer: &Offer,
        input: &str,
        watch: &mut Watch,
    ) -> Result<Vec<u8>, Fault> {
        let pool = &self.definitions[spot.pool];
        let answer = self
            .http
            .post(format!("http://{}{}", spot.address, path(pool, stage)))
            .header("idempotency-key", &offer.mark)
            .body(input.to_owned())
            .send()
            .await
            .map_err(|error| match error.is_connect() {
                true => Fault::Unsent,
                false => Fault::Failed,
            })?;
        let answer = answer.error_for_status().map_err(|_| Fault::Failed)?;
        if pool.service == Service::Generate {
            return tokens(answer, watch).await;
        }
        let body = answer.bytes().await.map_err(|_| Fault::Failed)?;
        Ok(body.to_vec())
    }

    /// Takes one request straight to the first endpoint of each stage and
    /// returns how long it took.
    pub(super) async fn probe(&self, offer: &Offer) -> Option<Duration> {
        let began = Instant::now();
        let mut watch = Watch::new();
        self.walk(0, offer, &mut watch).await.ok()?;
        Some(began.elapsed())
    }
}

/// Returns the path of a stage's call.
pub(super) fn path<'a>(pool: &Pool, stage: &'a Stage) -> &'a str {
    match pool.service {
        Service::Encode => "/v1/embeddings",
        Service::Retrieve => "/v1/retrieve",
        Service::Rerank => "/v1/rerank",
        Service::Generate => "/v1/completions",
        Service::Plain => &stage.path,
    }
}

async fn tokens(answer: Response, watch: &mut Watch) -> Result<Vec<u8>, Fault> {
    let mut events = answer.bytes_stream().eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| Fault::Failed)?;
        if event.data == "[DONE]" {
            return Ok(text.into_bytes());
        }
        watch.token();
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        text.push_str(data["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Err(Fault::Failed)
}
