//! Runs the stages of a request.

use super::{
    owner::{self, Failure, Task},
    peers,
    request::{Job, Refusal},
    state::{State, lock},
};
use cicadacrank_core::{
    config::{Route, Worker},
    directory::Incarnation,
    event::Event,
    once::Unsent,
};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Least time that a stage takes for queueing and transfer, in addition to its call.
const STAGE_OVERHEAD: Duration = Duration::from_millis(40);

/// Time that the end of a call may lie before the arrival of its results here.
const RESULT_TRANSFER: Duration = Duration::from_millis(50);

/// Size of the inputs of one piece, in bytes, from which the piece is processed
/// preferably in their data centre.
const MIN_LOCALITY_BYTES: u64 = 50_000;

/// One result of a stage, held by an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Handle that identifies the result at its endpoint.
    pub handle: String,
    /// Endpoint that holds the result.
    pub endpoint: Incarnation,
    /// Service of that endpoint.
    pub service: String,
    /// Data centre of that endpoint.
    pub data_centre: String,
    /// Approximate size in bytes.
    pub bytes: u64,
}

/// The results of all stages of one request. Dropping the value releases those
/// that it still holds.
#[derive(Debug)]
pub struct Outputs {
    state: Arc<State>,
    by_stage: Vec<Vec<Output>>,
    last_stages: Vec<usize>,
}

impl Outputs {
    /// Returns the handles of the results that are sent with the request.
    pub fn handles(&self) -> Vec<String> {
        self.for_request().map(|one| one.handle.clone()).collect()
    }

    /// Returns the data centres that hold these results, each with their size in
    /// bytes.
    pub fn bytes_by_data_centre(&self) -> Vec<(String, u64)> {
        bytes_by_data_centre(self.for_request())
    }

    /// Removes and returns the inputs that only this stage needs.
    fn take_exclusive_inputs(&mut self, route: &Route, number: usize) -> Vec<Output> {
        let mut spent = Vec::new();
        for input in &route.stages[number].after {
            if dependents(route, *input).eq([number]) {
                spent.append(&mut self.by_stage[*input]);
            }
        }
        spent
    }

    /// Releases the results that neither a stage nor the request still needs.
    fn release_unneeded(&mut self, route: &Route, done: &[bool]) {
        for number in 0..route.stages.len() {
            let unneeded = dependents(route, number).all(|next| done[next]);
            if unneeded && !self.last_stages.contains(&number) && !self.by_stage[number].is_empty()
            {
                release(&self.state, std::mem::take(&mut self.by_stage[number]));
            }
        }
    }

    fn for_request(&self) -> impl Iterator<Item = &Output> {
        self.last_stages
            .iter()
            .flat_map(|stage| &self.by_stage[*stage])
    }
}

impl Drop for Outputs {
    fn drop(&mut self) {
        let held = self.by_stage.drain(..).flatten().collect();
        release_all(&self.state, held);
    }
}

/// Releases results of any services.
pub fn release_all(state: &Arc<State>, mut outputs: Vec<Output>) {
    outputs.sort_by(|one, other| one.service.cmp(&other.service));
    for outputs in outputs.chunk_by(|one, other| one.service == other.service) {
        release(state, outputs.to_vec());
    }
}

/// Returns the data centres that hold results, each with the size of its results
/// in bytes.
fn bytes_by_data_centre<'a>(outputs: impl Iterator<Item = &'a Output>) -> Vec<(String, u64)> {
    let mut totals: Vec<(String, u64)> = Vec::new();
    for output in outputs {
        let data_centre = &output.data_centre;
        match totals.iter_mut().find(|total| total.0 == *data_centre) {
            Some(total) => total.1 += output.bytes,
            None => totals.push((data_centre.clone(), output.bytes)),
        }
    }
    totals
}

/// Releases results, all of one service, through the gateway that forms the calls
/// of that service.
fn release(state: &Arc<State>, outputs: Vec<Output>) {
    let Some(service) = outputs.first().map(|one| one.service.clone()) else {
        return;
    };
    let number = state.pools.number(&service).unwrap_or(0);
    let owner = lock(&state.roster)
        .owner(number, state.clock.now())
        .map(|gateway| gateway.address.clone());
    match owner {
        Some(address) => peers::release(state, address, outputs),
        None => owner::release(state, &outputs),
    }
}

/// Runs all stages of a request, each as soon as its inputs are complete.
///
/// `due` is the time by which the last results are needed for the request to be
/// on time. After `expires` they are no longer useful.
///
/// # Errors
///
/// Returns a refusal if a stage fails.
pub async fn run(
    state: &Arc<State>,
    job: &Job,
    due: Instant,
    expires: Instant,
) -> Result<Outputs, Refusal> {
    let route = &job.route;
    let home = lock(&state.fleet)
        .home_data_centre(&job.service, job.caller.prompt)
        .map(str::to_owned);
    let mut outputs = Outputs {
        state: Arc::clone(state),
        by_stage: vec![Vec::new(); route.stages.len()],
        last_stages: route.last_stages().collect(),
    };
    let mut done = vec![false; route.stages.len()];
    let mut started = done.clone();
    let mut held_until: Vec<Option<Instant>> = vec![None; route.stages.len()];
    let mut running = FuturesUnordered::new();
    loop {
        for number in 0..route.stages.len() {
            let stage = &route.stages[number];
            if started[number] || !stage.after.iter().all(|before| done[*before]) {
                continue;
            }
            started[number] = true;
            if pieces(job, number) == 0 {
                done[number] = true;
                continue;
            }
            let after = time_after(job, number, &|_| STAGE_OVERHEAD);
            let due = due - time_after(job, number, &|next| expected_wait(state, job, next));
            let inputs_until = stage.after.iter().filter_map(|before| held_until[*before]);
            let expires = inputs_until
                .map(|until| until + min_time(job, number))
                .chain([expires - after])
                .min()
                .unwrap_or(expires);
            let mut task = build_task(job, number, &outputs, due, expires);
            task.near = preferred_data_centre(job, number, &outputs, home.as_deref());
            task.spent = outputs.take_exclusive_inputs(route, number);
            let alone = min_time(job, number);
            let state = Arc::clone(state);
            running.push(async move { (number, produce(&state, task, alone).await) });
        }
        if running.is_empty() && started.iter().all(|started| *started) {
            return Ok(outputs);
        }
        match running.next().await {
            Some((number, Ok(made))) => {
                outputs.by_stage[number] = made;
                done[number] = true;
                held_until[number] = result_life(job, number).map(|life| Instant::now() + life);
                outputs.release_unneeded(route, &done);
            }
            Some((number, Err(failure))) => return Err(refuse(job, number, &failure)),
            // A stage without pieces was skipped, which unblocked further stages.
            None => {}
        }
    }
}

/// Runs all stages of a request again, until `expires`. Returns `None` if a stage
/// fails or the retry budget of its service does not allow for all its pieces.
pub async fn repeat(state: &Arc<State>, job: &Job, expires: Instant) -> Option<Outputs> {
    for (number, stage) in job.route.stages.iter().enumerate() {
        let allowed = (0..pieces(job, number)).all(|_| state.try_take_retry(&stage.service));
        if !allowed {
            return None;
        }
    }
    run(state, job, Instant::now(), expires).await.ok()
}

fn pieces(job: &Job, stage: usize) -> u32 {
    let pieces = job.caller.pieces.as_deref().unwrap_or_default();
    pieces.get(stage).copied().unwrap_or(0)
}

fn build_task(job: &Job, number: usize, outputs: &Outputs, due: Instant, expires: Instant) -> Task {
    let stage = &job.route.stages[number];
    let inputs = || stage.after.iter().flat_map(|one| &outputs.by_stage[*one]);
    let now = Instant::now();
    Task {
        request: job.id().to_owned(),
        service: stage.service.clone(),
        stage: u32::try_from(number).unwrap_or(u32::MAX),
        pieces: pieces(job, number),
        key: stage.after.is_empty().then(|| job.caller.piece_key.clone()),
        inputs: inputs().map(|one| one.handle.clone()).collect(),
        near: None,
        bytes: stage.result_bytes,
        due: due.saturating_duration_since(now),
        expires: expires.saturating_duration_since(now),
        rank: job.rank,
        spent: Vec::new(),
    }
}

/// Returns the data centre that holds most bytes of the inputs of a stage. A stage
/// without inputs whose results go to the model engine prefers `home`, the data
/// centre of the engine that caches the prompt.
///
/// Returns `None` if the bytes to transfer are fewer than [`MIN_LOCALITY_BYTES`].
fn preferred_data_centre(
    job: &Job,
    number: usize,
    outputs: &Outputs,
    home: Option<&str>,
) -> Option<String> {
    let stage = &job.route.stages[number];
    if stage.after.is_empty() {
        let bytes = stage.result_bytes * u64::from(pieces(job, number));
        let for_engine = outputs.last_stages.contains(&number);
        let home = home.filter(|_| for_engine && bytes >= MIN_LOCALITY_BYTES);
        return home.map(str::to_owned);
    }
    let inputs = stage.after.iter().flat_map(|one| &outputs.by_stage[*one]);
    let totals = bytes_by_data_centre(inputs);
    let large = totals.iter().map(|total| total.1).sum::<u64>() >= MIN_LOCALITY_BYTES;
    let largest = totals.into_iter().max_by_key(|total| total.1);
    largest.filter(|_| large).map(|total| total.0)
}

/// Returns the time that the stages after this one take, along the longest chain of
/// dependents, if each of them waits as long as `wait` returns for its number.
fn time_after(job: &Job, number: usize, wait: &impl Fn(usize) -> Duration) -> Duration {
    dependents(&job.route, number)
        .map(|next| {
            let own = match pieces(job, next) {
                0 => Duration::ZERO,
                _ => min_time(job, next) + wait(next),
            };
            own + time_after(job, next, wait)
        })
        .max()
        .unwrap_or_default()
}

/// Returns how long a stage is expected to take beyond a call with its pieces alone.
fn expected_wait(state: &State, job: &Job, number: usize) -> Duration {
    let service = &job.route.stages[number].service;
    let expected = state.pools.expected_wait(service, state.clock.now());
    expected.max(STAGE_OVERHEAD)
}

/// Returns the time of a call with the pieces of this stage alone.
fn min_time(job: &Job, number: usize) -> Duration {
    worker(job, number).map_or(Duration::ZERO, |worker| {
        let pieces = pieces(job, number).min(u32::try_from(worker.batch).unwrap_or(1));
        worker.call_time + worker.piece_time * pieces
    })
}

/// Returns how long endpoints hold a result of this stage after it has arrived here.
fn result_life(job: &Job, number: usize) -> Option<Duration> {
    let worker = worker(job, number)?;
    Some(worker.result_life.saturating_sub(RESULT_TRANSFER))
}

fn worker(job: &Job, number: usize) -> Option<Worker> {
    let service = &job.route.stages[number].service;
    job.config
        .service(service)
        .and_then(|service| service.worker)
}

/// Returns the numbers of the stages that take the results of this stage as
/// inputs.
fn dependents(route: &Route, number: usize) -> impl Iterator<Item = usize> + '_ {
    (number + 1..route.stages.len()).filter(move |next| route.stages[*next].after.contains(&number))
}

/// Has the pieces of a task processed by the gateway that forms the calls of their
/// service, or by the local gateway if that one does not answer. `alone` is the time
/// of a call with these pieces only.
async fn produce(state: &Arc<State>, task: Task, alone: Duration) -> Result<Vec<Output>, Failure> {
    let started_at = Instant::now();
    let due = task.due;
    let service = task.service.clone();
    let number = state.pools.number(&service).unwrap_or(0);
    let owner = lock(&state.roster)
        .owner(number, state.clock.now())
        .cloned();
    let made = match owner {
        None => owner::produce(state, task).await,
        Some(gateway) => match peers::produce(state, &gateway.address, &task).await {
            Ok(made) => made,
            Err(fault) => {
                let lost = lock(&state.roster).record_failure(&gateway.instance, state.clock.now());
                if lost {
                    Event::PeerLost
                        .log(format_args!("instance={} fault={fault}", gateway.instance));
                }
                let task = task.with_time_passed(started_at.elapsed());
                owner::produce(state, task).await
            }
        },
    };
    let took = started_at.elapsed();
    // Late tasks wait for others, which says nothing about those that are on time.
    if made.is_ok() && took <= due {
        let wait = took.saturating_sub(alone);
        state.pools.record_wait(&service, wait, state.clock.now());
    }
    let stages = state.metrics.stages.with_label_values(&[service.as_str()]);
    stages.observe(took.as_secs_f64());
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
    // The request itself has not been sent to any endpoint yet.
    let context = format!("stage={number} service={service}");
    let error = Unsent::begin().refuse(failure.kind, context);
    Refusal::from(error).with_retry_after(failure.retry_after)
}
