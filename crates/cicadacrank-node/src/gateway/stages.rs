//! Has the stages of a request made.

use super::{
    owner::{self, Failure, Order},
    peers,
    request::{Job, Refusal},
    state::{State, lock},
};
use cicadacrank_core::{config::Route, directory::Incarnation, event::Event, once::Unsent};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time that a stage waits for its turn and travels, beside its call.
const STAGE_SLACK: Duration = Duration::from_millis(40);

/// Bytes of inputs for each piece from which its data centre matters.
const HEAVY_INPUTS: u64 = 50_000;

/// One result of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Product {
    /// What names it.
    pub handle: String,
    /// Endpoint that holds it.
    pub endpoint: Incarnation,
    /// Service of that endpoint.
    pub service: String,
    /// Data centre that holds it.
    pub data_centre: String,
    /// About how large it is.
    pub bytes: u64,
}

/// All results for one request; those that are still held are given up when the
/// value is dropped.
#[derive(Debug)]
pub struct Products {
    state: Arc<State>,
    by_stage: Vec<Vec<Product>>,
    last: Vec<usize>,
}

impl Products {
    /// Returns the handles that the request is sent with.
    pub fn handles(&self) -> Vec<String> {
        self.for_request().map(|one| one.handle.clone()).collect()
    }

    /// Returns the data centres that hold them, with their bytes.
    pub fn sites(&self) -> Vec<(String, u64)> {
        sites(self.for_request())
    }

    /// Takes out the inputs that only this stage needs.
    fn take_spent(&mut self, route: &Route, number: usize) -> Vec<Product> {
        let mut spent = Vec::new();
        for input in &route.stages[number].after {
            if following(route, *input).eq([number]) {
                spent.append(&mut self.by_stage[*input]);
            }
        }
        spent
    }

    /// Gives up results that no stage still needs.
    fn release_used(&mut self, route: &Route, done: &[bool]) {
        for number in 0..route.stages.len() {
            let used = following(route, number).all(|next| done[next]);
            if used && !self.last.contains(&number) && !self.by_stage[number].is_empty() {
                release(&self.state, std::mem::take(&mut self.by_stage[number]));
            }
        }
    }

    fn for_request(&self) -> impl Iterator<Item = &Product> {
        self.last.iter().flat_map(|stage| &self.by_stage[*stage])
    }
}

impl Drop for Products {
    fn drop(&mut self) {
        let held = self.by_stage.drain(..).flatten().collect();
        release_all(&self.state, held);
    }
}

/// Gives up results of any services.
pub fn release_all(state: &Arc<State>, mut products: Vec<Product>) {
    products.sort_by(|one, other| one.service.cmp(&other.service));
    for products in products.chunk_by(|one, other| one.service == other.service) {
        release(state, products.to_vec());
    }
}

/// Returns the data centres that hold results, with their bytes.
fn sites<'a>(products: impl Iterator<Item = &'a Product>) -> Vec<(String, u64)> {
    let mut sites: Vec<(String, u64)> = Vec::new();
    for product in products {
        let data_centre = &product.data_centre;
        match sites.iter_mut().find(|site| site.0 == *data_centre) {
            Some(site) => site.1 += product.bytes,
            None => sites.push((data_centre.clone(), product.bytes)),
        }
    }
    sites
}

/// Gives up results, all of one service.
fn release(state: &Arc<State>, products: Vec<Product>) {
    let Some(service) = products.first().map(|one| one.service.clone()) else {
        return;
    };
    let number = state.pools.number(&service).unwrap_or(0);
    let owner = lock(&state.roster)
        .owner(number, state.clock.now())
        .map(|gateway| gateway.address.clone());
    match owner {
        Some(address) => peers::release(state, address, products),
        None => owner::release(state, &products),
    }
}

/// Makes all stages of a request, each as soon as those it needs are there.
///
/// `due` is when the last of them must be there for the request to be on time,
/// `expires` when they are of no use any more.
pub async fn make(
    state: &Arc<State>,
    job: &Job,
    due: Instant,
    expires: Instant,
) -> Result<Products, Refusal> {
    let route = &job.route;
    let mut products = Products {
        state: Arc::clone(state),
        by_stage: vec![Vec::new(); route.stages.len()],
        last: route.last_stages().collect(),
    };
    let mut done = vec![false; route.stages.len()];
    let mut begun = done.clone();
    let mut making = FuturesUnordered::new();
    loop {
        for number in 0..route.stages.len() {
            let stage = &route.stages[number];
            if begun[number] || !stage.after.iter().all(|before| done[*before]) {
                continue;
            }
            begun[number] = true;
            if pieces(job, number) == 0 {
                done[number] = true;
                continue;
            }
            let after = time_after(job, number);
            let mut order = order(job, number, &products, due - after, expires - after);
            order.spent = products.take_spent(route, number);
            let state = Arc::clone(state);
            making.push(async move { (number, produce(&state, order).await) });
        }
        if making.is_empty() && begun.iter().all(|begun| *begun) {
            return Ok(products);
        }
        match making.next().await {
            Some((number, Ok(made))) => {
                products.by_stage[number] = made;
                done[number] = true;
                products.release_used(route, &done);
            }
            Some((number, Err(failure))) => return Err(refuse(job, number, &failure)),
            // A stage that was omitted made others possible.
            None => {}
        }
    }
}

fn pieces(job: &Job, stage: usize) -> u32 {
    job.caller.pieces.get(stage).copied().unwrap_or(0)
}

fn order(job: &Job, number: usize, products: &Products, due: Instant, expires: Instant) -> Order {
    let stage = &job.route.stages[number];
    let inputs = || stage.after.iter().flat_map(|one| &products.by_stage[*one]);
    let now = Instant::now();
    Order {
        request: job.id().to_owned(),
        service: stage.service.clone(),
        stage: u32::try_from(number).unwrap_or(u32::MAX),
        pieces: pieces(job, number),
        key: stage.after.is_empty().then(|| job.caller.piece_key.clone()),
        inputs: inputs().map(|one| one.handle.clone()).collect(),
        near: near(job, number, products),
        bytes: stage.result_bytes,
        due: due.saturating_duration_since(now),
        expires: expires.saturating_duration_since(now),
        rank: job.rank,
        spent: Vec::new(),
    }
}

/// Returns the data centre of most of a stage's inputs, if they are large.
fn near(job: &Job, number: usize, products: &Products) -> Option<String> {
    let stage = &job.route.stages[number];
    let inputs = stage.after.iter().flat_map(|one| &products.by_stage[*one]);
    let sites = sites(inputs);
    let heavy = sites.iter().map(|site| site.1).sum::<u64>() >= HEAVY_INPUTS;
    let largest = sites.into_iter().max_by_key(|site| site.1);
    largest.filter(|_| heavy).map(|site| site.0)
}

/// Returns the least time that stages after this one take.
fn time_after(job: &Job, number: usize) -> Duration {
    following(&job.route, number)
        .map(|next| {
            let service = job.config.service(&job.route.stages[next].service);
            let worker = service.and_then(|service| service.worker);
            let own = worker.map_or(Duration::ZERO, |worker| {
                let pieces = pieces(job, next).min(u32::try_from(worker.batch).unwrap_or(1));
                worker.call_time + worker.piece_time * pieces + STAGE_SLACK
            });
            own + time_after(job, next)
        })
        .max()
        .unwrap_or_default()
}

fn following(route: &Route, number: usize) -> impl Iterator<Item = usize> + '_ {
    (number + 1..route.stages.len()).filter(move |next| route.stages[*next].after.contains(&number))
}

/// Has pieces made by the gateway that forms the calls of their service; if it
/// does not answer, by this one.
async fn produce(state: &Arc<State>, order: Order) -> Result<Vec<Product>, Failure> {
    let began = Instant::now();
    let service = order.service.clone();
    let number = state.pools.number(&service).unwrap_or(0);
    let owner = lock(&state.roster)
        .owner(number, state.clock.now())
        .cloned();
    let made = match owner {
        None => owner::produce(state, order).await,
        Some(gateway) => match peers::produce(state, &gateway.address, &order).await {
            Ok(made) => made,
            Err(fault) => {
                let lost = lock(&state.roster).record_failure(&gateway.instance, state.clock.now());
                if lost {
                    Event::PeerLost
                        .log(format_args!("instance={} fault={fault}", gateway.instance));
                }
                let order = order.with_time_passed(began.elapsed());
                owner::produce(state, order).await
            }
        },
    };
    let seconds = began.elapsed().as_secs_f64();
    let stages = state.metrics.stages.with_label_values(&[service.as_str()]);
    stages.observe(seconds);
    made
}

fn refuse(job: &Job, number: usize, failure: &Failure) -> Refusal {
    let service = &job.route.stages[number].service;
    Event::PiecesFailed.log(format_args!(
        "id={} age_ms={} stage={number} service={service} kind={}",
        job.id(),
        job.age_ms(),
        failure.kind
    ));
    // The request itself has gone to no endpoint yet.
    let context = format!("stage={number} service={service}");
    let stop = Unsent::begin().refuse(failure.kind, context);
    Refusal::from(stop).with_retry_after(failure.retry_after)
}
