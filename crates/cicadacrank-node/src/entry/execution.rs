//! Execution of one request through the stages of its pipeline.

use super::{
    attempt::{Attempt, AttemptError},
    service::{Reply, Request, Service},
};
use crate::{clock, configuration::Configuration, quarantine};
use bytes::{Bytes, BytesMut};
use cicadacrank_core::{
    admission::NameHash,
    error::{Effect, Failure, Kind, Retry},
    event::Event,
    id,
    pipeline::Context,
    quarantine::{Fingerprint, Status, cause::Cause},
    rules::{self, PipelineKey},
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

/// Maximum number of attempts at one stage.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before a retry, and the shortest wait for an endpoint in backoff.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Longest time that the response to a request that crashed an endpoint waits
/// until peers have been notified: some round trips between regions.
const PEER_NOTIFICATION_TIMEOUT: Duration = Duration::from_millis(250);

/// Upper bound on the time that a request may take.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A running request.
pub(super) struct Execution {
    pub(super) service: Arc<Service>,
    pub(super) request: Request,
    pub(super) configuration: Arc<Configuration>,
    pub(super) digest: Vec<u8>,
    /// Fields of the body, each with its name.
    fields: Vec<String>,
    sender: mpsc::Sender<Reply>,
    started_at: Instant,
    deadline: Instant,
    effect_floor: Effect,
    chunks: u64,
    crashed: bool,
}

/// One stage and the data that it runs on.
#[derive(Clone, Copy)]
struct Work<'a> {
    stage: &'a rules::Stage,
    pool: &'a rules::Pool,
    context: &'a Context,
    /// Whether the output is sent to the caller as it arrives.
    streams: bool,
}

impl Work<'_> {
    /// Returns the input of an attempt, which continues after the output that
    /// was already sent to the caller, or `None` if no tokens are left or that
    /// output is not UTF-8.
    fn input(&self, delivered: &[u8], chunks: u64) -> Option<Bytes> {
        if delivered.is_empty() {
            return Some(Bytes::from(self.context.input(self.pool).to_string()));
        }
        let text = str::from_utf8(delivered).ok()?;
        let input = self.context.continuation_input(self.pool, text, chunks)?;
        Some(Bytes::from(input.to_string()))
    }
}

/// Runs the stages of one request and sends the replies to `sender`.
pub(super) async fn run(service: Arc<Service>, request: Request, sender: mpsc::Sender<Reply>) {
    let started_at = Instant::now();
    let metrics = Arc::clone(&service.parts.metrics);
    let reply = match Execution::new(service, request, sender.clone(), started_at) {
        Ok((mut execution, pipeline)) => {
            // If the caller is gone, work that must not be repeated still
            // continues at its sidecar.
            let reply = tokio::select! {
                reply = execution.run(pipeline) => reply,
                () = sender.closed() => Err(Failure::unknown(Kind::Cancelled, "running the stages")),
            };
            if reply.is_err() && execution.crashed {
                execution.wait_for_peer_notification().await;
            }
            reply
        }
        Err(failure) => Err(failure),
    };
    metrics.latency.observe(started_at.elapsed().as_secs_f64());
    let reply = match reply {
        Ok(end) => {
            metrics.served.inc();
            end
        }
        Err(failure) => {
            metrics.record_failure(&failure);
            Reply::Failure(failure)
        }
    };
    // The send fails if the caller is gone.
    drop(sender.send(reply).await);
}

impl Execution {
    fn new(
        service: Arc<Service>,
        request: Request,
        sender: mpsc::Sender<Reply>,
        started_at: Instant,
    ) -> Result<(Self, PipelineKey), Failure> {
        let configuration = service
            .parts
            .holder
            .current()
            .ok_or_else(|| Failure::not_run(Kind::NotReady, "accepting a request"))?;
        let pipeline = validate(&configuration, &request)?;
        let default_deadline_ms = configuration.definitions[pipeline].deadline_ms;
        let time_limit = request
            .deadline
            .unwrap_or(Duration::from_millis(default_deadline_ms));
        let digest = id::digest(&request.body).to_vec();
        let fields = quarantine::fields(&request.body);
        let execution = Self {
            service,
            request,
            fields,
            configuration,
            digest,
            sender,
            started_at,
            deadline: started_at + time_limit.min(MAX_DEADLINE),
            effect_floor: Effect::NotRun,
            chunks: 0,
            crashed: false,
        };
        Ok((execution, pipeline))
    }

    async fn run(&mut self, pipeline: PipelineKey) -> Result<Reply, Failure> {
        let configuration = Arc::clone(&self.configuration);
        let pipeline = &configuration.definitions[pipeline];
        let mut context = Context::new(&self.request.body)?;
        self.check_quarantine(pipeline)?;
        let mut share = 0;
        let last = pipeline.stages.len() - 1;
        for (index, stage) in pipeline.stages.iter().enumerate() {
            share += stage.share_percent;
            let pool = &configuration.definitions[stage.pool];
            let streams = index == last && pool.service == rules::Service::Generate;
            let until = self.stage_deadline(share);
            let work = Work {
                stage,
                pool,
                context: &context,
                streams,
            };
            let output = self.run_stage(work, until).await;
            let output = output.map_err(|failure| failure.with_floor(self.effect_floor))?;
            self.effect_floor = Effect::Partial;
            context.add_output(pool.service, &output)?;
        }
        Ok(Reply::End {
            answer: context.answer(),
            chunks: self.chunks,
        })
    }

    /// Returns an error if the request is quarantined in any of its stages, so
    /// that it is rejected before the first stage runs.
    fn check_quarantine(&self, pipeline: &rules::Pipeline) -> Result<(), Failure> {
        let suspects = self.service.suspects();
        let mut stages = pipeline.stages.iter();
        let quarantined_stage = stages.find(|stage| {
            suspects.status(self.fingerprint(stage)) == Status::Quarantined
                || suspects.causes().find(&self.causes(stage)).is_some()
        });
        quarantined_stage.map_or(Ok(()), |stage| Err(quarantined(stage)))
    }

    /// Waits until peers have been notified that the request crashed an endpoint,
    /// so that they reject it when the caller sends it again.
    async fn wait_for_peer_notification(&self) {
        let until = self
            .deadline
            .min(Instant::now() + PEER_NOTIFICATION_TIMEOUT);
        let notified = self.service.suspects().wait_until_announced();
        if time::timeout_at(until, notified).await.is_err() {
            Event::SuspectUntold.log(format_args!("request {}", self.request.id));
        }
    }

    /// Returns the deadline of the stage at which the shares of the pipeline add
    /// up to `share_percent`. Time that earlier stages did not use is available
    /// to it.
    fn stage_deadline(&self, share_percent: u32) -> Instant {
        let total = self.deadline - self.started_at;
        self.deadline
            .min(self.started_at + total * share_percent / 100)
    }

    async fn run_stage(&mut self, work: Work<'_>, until: Instant) -> Result<Bytes, Failure> {
        let Work { stage, streams, .. } = work;
        let pool = NameHash::new(&work.pool.name);
        let mut delivered = BytesMut::new();
        let mut tried = Vec::new();
        let mut last = None;
        let mut attempts = 0;
        let causes = self.causes(stage);
        while attempts < MAX_ATTEMPTS && Instant::now() < until {
            let suspects = self.service.suspects();
            let status = suspects.status(self.fingerprint(stage));
            if status == Status::Quarantined || suspects.causes().find(&causes).is_some() {
                return Err(quarantined(stage));
            }
            let began = self.service.parts.clock.now();
            let attempt = Attempt::new(self, stage, &tried, until);
            // Once every endpoint has been tried, each may be tried again.
            let Some(attempt) = attempt.or_else(|| Attempt::new(self, stage, &[], until)) else {
                // All endpoints are in backoff. One that refused connections may
                // become available again before the deadline of the stage.
                let Some(available_at) = self.next_available(pool, until) else {
                    break;
                };
                time::sleep_until(available_at).await;
                continue;
            };
            attempts += 1;
            tried.push(attempt.endpoint);
            let Some(input) = work.input(&delivered, self.chunks) else {
                break;
            };
            let sender = streams.then(|| self.sender.clone());
            match attempt.run(self, stage, input, sender).await {
                Ok(output) => {
                    self.service.budgets().for_pool(pool).record_success();
                    let suspects = self.service.suspects();
                    suspects.clear(self.fingerprint(stage));
                    suspects.causes().clear(&causes, began);
                    self.chunks += if streams { output.chunks } else { 0 };
                    delivered.extend_from_slice(&output.data);
                    return Ok(delivered.freeze());
                }
                Err(error) => {
                    self.crashed |= error.crashed;
                    self.chunks += error.delivered.chunks;
                    delivered.extend_from_slice(&error.delivered.data);
                    let retry = may_retry(&error, stage);
                    last = Some(self.record_failure(error, stage));
                    if !retry || !self.service.budgets().for_pool(pool).try_spend() {
                        break;
                    }
                }
            }
            time::sleep(RETRY_DELAY).await;
        }
        Err(last.unwrap_or_else(|| self.not_attempted(stage, until)))
    }

    /// Returns when the first endpoint of the pool leaves its backoff, or `None`
    /// if that is not before the deadline of the stage.
    fn next_available(&self, pool: NameHash, until: Instant) -> Option<Instant> {
        let available_at = self.service.table().next_available(pool)?;
        let clock = self.service.parts.clock;
        let at = clock
            .instant(available_at)
            .max(Instant::now() + RETRY_DELAY);
        (at < until).then_some(at)
    }

    /// Returns the fingerprint that identifies the request in a stage.
    pub(super) fn fingerprint(&self, stage: &rules::Stage) -> Fingerprint {
        let request = &self.request;
        Fingerprint::new(&request.team, &request.pipeline, &stage.name, &self.digest)
    }

    /// Returns what other requests share with this one that may crash endpoints in a
    /// stage.
    pub(super) fn causes(&self, stage: &rules::Stage) -> Vec<Cause> {
        let scope = format!("{}/{}", self.request.pipeline, stage.name);
        let fields = self.fields.iter();
        fields
            .map(|field| Cause::Part(Fingerprint::of_part(&scope, field)))
            .collect()
    }

    fn not_attempted(&self, stage: &rules::Stage, until: Instant) -> Failure {
        let kind = if Instant::now() >= until {
            Kind::Deadline
        } else {
            Kind::NoEndpoint
        };
        Failure::not_run(kind, format!("beginning stage {}", stage.name))
    }

    /// Raises the effect floor to the effect of the failed attempt and returns
    /// the failure.
    fn record_failure(&mut self, error: AttemptError, stage: &rules::Stage) -> Failure {
        let mut failure = error.failure;
        if stage.repeatable && failure.effect == Effect::Unknown {
            failure.effect = Effect::Partial;
        }
        self.effect_floor = self.effect_floor.max(failure.effect);
        failure
    }
}

fn validate(configuration: &Configuration, request: &Request) -> Result<PipelineKey, Failure> {
    let definitions = &configuration.definitions;
    let reject = |kind| {
        Err(Failure::not_run(
            kind,
            format!("checking {}", request.pipeline),
        ))
    };
    let Some(key) = definitions.pipeline(&request.pipeline) else {
        return reject(Kind::UnknownPipeline);
    };
    let Some(team) = definitions.team(&request.team) else {
        return reject(Kind::Forbidden);
    };
    let pipeline = &definitions[key];
    let minute = clock::minute_of_day();
    if !pipeline
        .stages
        .iter()
        .all(|stage| definitions.is_granted(team, stage.pool, minute))
    {
        return reject(Kind::Forbidden);
    }
    if request.body.len() as u64 > pipeline.body_limit_bytes {
        return reject(Kind::TooLarge);
    }
    if request.key.is_empty() && !pipeline.is_repeatable() {
        return reject(Kind::KeyMissing);
    }
    Ok(key)
}

fn quarantined(stage: &rules::Stage) -> Failure {
    Failure::not_run(Kind::Quarantined, format!("beginning stage {}", stage.name))
}

/// Returns whether another attempt is safe and may succeed.
///
/// After a link failure, work that must not be repeated is retried too: its
/// claim prevents a second attempt from running what the first may have run.
fn may_retry(error: &AttemptError, stage: &rules::Stage) -> bool {
    let failure = &error.failure;
    match failure.kind.retry() {
        Retry::Elsewhere => stage.repeatable || failure.effect == Effect::NotRun || error.link,
        Retry::Never | Retry::Later => false,
    }
}
