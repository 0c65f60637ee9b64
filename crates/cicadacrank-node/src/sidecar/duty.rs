//! One job from its first check to its last frame.

use super::{
    claims::{self, Acquired, Held},
    door::Slot,
    service::{Admitted, Service},
};
use crate::endpoint::{Call, Fault};
use bytes::{Bytes, BytesMut};
use cicadacrank_core::{
    admission::{ColdReason, Completion},
    error::Kind,
    id,
    once::{ExecutionError, Name, Outcome, Sent, Unsent},
};
use cicadacrank_wire::wire::{self, frame::Body};
use futures_util::StreamExt as _;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{self, Instant, error::Elapsed},
};

/// Sends the frames of one job in order; the pulse numbers them.
struct Voice {
    service: Arc<Service>,
    attempt: String,
    endpoint: String,
    chunks: u64,
    crashed: bool,
    sender: mpsc::Sender<wire::Frame>,
}

impl Voice {
    /// Sends one frame; returns whether the entry still listens.
    async fn say(&mut self, body: Body) -> bool {
        let frame = wire::Frame {
            attempt: self.attempt.clone(),
            sequence: 0,
            generation: self.service.parts.holder.generation(),
            load: self.service.load(&self.endpoint),
            body: Some(body),
        };
        self.sender.send(frame).await.is_ok()
    }

    async fn chunk(&mut self, data: &Bytes) -> bool {
        self.chunks += 1;
        self.say(Body::Chunk(wire::Chunk {
            data: data.to_vec(),
        }))
        .await
    }

    async fn end(&mut self, replayed: bool, busy: Duration) {
        let busy_us = u64::try_from(busy.as_micros()).unwrap_or(u64::MAX);
        let chunks = self.chunks;
        self.say(Body::End(wire::End {
            chunks,
            replayed,
            busy_us,
        }))
        .await;
    }

    async fn fail(&mut self, stop: &ExecutionError) {
        let failure = stop.failure();
        self.service.parts.metrics.fail(failure);
        self.say(Body::Failure(wire::Failure {
            kind: failure.kind.as_str().to_owned(),
            effect: failure.effect.as_str().to_owned(),
            context: failure.context.clone(),
            crashed: self.crashed,
        }))
        .await;
    }
}

/// Takes one job through its steps.
pub(super) async fn run(service: Arc<Service>, job: wire::Job, sender: mpsc::Sender<wire::Frame>) {
    let mut voice = Voice {
        service: Arc::clone(&service),
        attempt: job.attempt.clone(),
        endpoint: job.endpoint.clone(),
        chunks: 0,
        crashed: false,
        sender,
    };
    if let Err(stop) = serve(&service, &job, &mut voice).await {
        voice.fail(&stop).await;
    }
}

async fn serve(
    service: &Arc<Service>,
    job: &wire::Job,
    voice: &mut Voice,
) -> Result<(), ExecutionError> {
    let deadline = Instant::now() + Duration::from_millis(job.remaining_ms);
    let (attempt, unsent) = service.claims.begin(&job.attempt)?;
    let gone = voice.sender.clone();
    let (admitted, unsent) = tokio::select! {
        // A job that gets its slot at once is not cancelled.
        biased;
        admitted = service.admit(job, unsent) => admitted?,
        // Nobody is left to tell.
        () = gone.closed() => return Ok(()),
    };
    voice.say(Body::Admitted(wire::Admitted {})).await;
    if admitted.stage.repeatable {
        let unsent = in_time(deadline, unsent)?;
        return repeat(service, job, admitted, deadline, unsent, voice).await;
    }
    let (acquired, unsent) = claim(service, job, attempt, deadline, unsent).await?;
    match acquired {
        Acquired::Replay(outcome) => replay(outcome, voice).await,
        Acquired::Held(held) if is_past(deadline) => {
            service.claims.release(held, &unsent).await;
            Err(late(unsent))
        }
        Acquired::Held(held) => once(service, job, admitted, held, deadline, unsent, voice).await,
    }
}

fn is_past(deadline: Instant) -> bool {
    Instant::now() >= deadline
}

fn late(unsent: Unsent) -> ExecutionError {
    unsent.refuse(Kind::Deadline, "looking at the deadline before the send")
}

/// Gives the proof back if the deadline has not passed.
fn in_time(deadline: Instant, unsent: Unsent) -> Result<Unsent, ExecutionError> {
    if is_past(deadline) {
        return Err(late(unsent));
    }
    Ok(unsent)
}

async fn claim(
    service: &Service,
    job: &wire::Job,
    attempt: id::Attempt,
    deadline: Instant,
    unsent: Unsent,
) -> Result<(Acquired, Unsent), ExecutionError> {
    if job.key.is_empty() {
        return Err(unsent.refuse(Kind::KeyMissing, "claiming the work"));
    }
    let name = Name::new(&job.team, &job.pipeline, &job.stage, &job.key);
    let digest: String = job
        .digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    service
        .claims
        .acquire(name, attempt, &digest, deadline, unsent)
        .await
}

/// Returns the longest wait for the next part of an answer.
///
/// Work that may be repeated is given up in time for an attempt elsewhere; work
/// that may not is waited for as long as the settings allow.
fn progress_of(service: &Service, admitted: &Admitted, deadline: Instant) -> Duration {
    let progress = service.parts.settings.timeouts.progress();
    if !admitted.stage.repeatable {
        return progress;
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    progress.min(remaining / 2)
}

fn call_of(service: &Service, job: &wire::Job, admitted: &Admitted, deadline: Instant) -> Call {
    Call {
        address: admitted.address,
        service: admitted.service,
        path: admitted.stage.path.clone(),
        attempt: job.attempt.clone(),
        key: job.key.clone(),
        input: Bytes::from(job.input.clone()),
        output_limit: admitted.stage.output_limit_bytes,
        reuse: admitted.stage.repeatable,
        progress: progress_of(service, admitted, deadline),
    }
}

/// Runs work that may be repeated; it ends early when nobody listens.
async fn repeat(
    service: &Service,
    job: &wire::Job,
    admitted: Admitted,
    deadline: Instant,
    unsent: Unsent,
    voice: &mut Voice,
) -> Result<(), ExecutionError> {
    let call = call_of(service, job, &admitted, deadline);
    let began = Instant::now();
    let sent = unsent.send();
    let gone = voice.sender.clone();
    let work = stream(service, call, &admitted.slot, voice);
    let result = tokio::select! {
        result = time::timeout_at(deadline, work) => result,
        () = gone.closed() => return Err(sent.fail(Kind::Cancelled, "streaming to the entry")),
    };
    voice.crashed = settle(service, job, admitted, &result).await;
    match result {
        Ok(Ok(_)) => {
            voice.end(false, began.elapsed()).await;
            Ok(())
        }
        Ok(Err(fault)) => Err(stop_of(fault, sent)),
        Err(_) => Err(sent.fail(Kind::Deadline, "running the work")),
    }
}

/// Runs claimed work and records its outcome, also when nobody listens.
async fn once(
    service: &Service,
    job: &wire::Job,
    admitted: Admitted,
    held: Held,
    deadline: Instant,
    unsent: Unsent,
    voice: &mut Voice,
) -> Result<(), ExecutionError> {
    let call = call_of(service, job, &admitted, deadline);
    let began = Instant::now();
    let mut sent = unsent.send();
    let bound = deadline.max(Instant::now() + service.parts.settings.timeouts.progress());
    let result = time::timeout_at(bound, stream(service, call, &admitted.slot, voice)).await;
    voice.crashed = settle(service, job, admitted, &result).await;
    match result {
        Ok(Ok(output)) => {
            // The caller has its answer before the platform does, so that a
            // platform that is down holds back no answer.
            voice.end(false, began.elapsed()).await;
            service.claims.record(held, outcome_of(&output)).await;
            Ok(())
        }
        Ok(Err(fault)) if fault.refused => {
            sent.finish();
            let context = fault.context.clone();
            voice.fail(&sent.fail(fault.kind, fault.context)).await;
            service
                .claims
                .record(held, Outcome::Refused { context })
                .await;
            Ok(())
        }
        Ok(Err(fault)) => match sent.into_unsent(fault.connected) {
            Ok(unsent) => {
                service.claims.release(held, &unsent).await;
                Err(unsent.refuse(fault.kind, fault.context))
            }
            Err(sent) => Err(sent.fail(fault.kind, fault.context)),
        },
        Err(_) => Err(sent.fail(Kind::Deadline, "running the work")),
    }
}

fn outcome_of(output: &[u8]) -> Outcome {
    match str::from_utf8(output) {
        Ok(text) if text.len() <= claims::OUTPUT_BYTES => Outcome::Answer {
            output: text.to_owned(),
        },
        _ => Outcome::Oversized,
    }
}

async fn replay(outcome: Outcome, voice: &mut Voice) -> Result<(), ExecutionError> {
    let output = outcome.replay()?;
    voice.chunk(&Bytes::from(output)).await;
    voice.end(true, Duration::ZERO).await;
    Ok(())
}

/// Frees the slot and says what was learnt of the endpoint and of the job;
/// returns whether the endpoint crashed.
async fn settle<T>(
    service: &Service,
    job: &wire::Job,
    admitted: Admitted,
    result: &Result<Result<T, Fault>, Elapsed>,
) -> bool {
    let mut crashed = false;
    let ended = match result {
        Ok(Ok(_)) => {
            service.acquit(job);
            Completion::Success
        }
        Ok(Err(fault)) if !fault.connected => Completion::Cold(ColdReason::Refused),
        Ok(Err(fault)) if matches!(fault.kind, Kind::EndpointFailed | Kind::Truncated) => {
            crashed = service.cut(job, admitted.address).await;
            if crashed {
                Completion::Cold(ColdReason::Refused)
            } else {
                Completion::Neutral
            }
        }
        Ok(Err(_)) | Err(_) => Completion::Neutral,
    };
    admitted.slot.end(ended);
    crashed
}

fn stop_of(fault: Fault, sent: Sent) -> ExecutionError {
    match sent.into_unsent(fault.connected) {
        Ok(unsent) => unsent.refuse(fault.kind, fault.context),
        Err(sent) => sent.fail(fault.kind, fault.context),
    }
}

/// Passes the parts of an answer on and returns all of them.
async fn stream(
    service: &Service,
    call: Call,
    slot: &Slot,
    voice: &mut Voice,
) -> Result<Bytes, Fault> {
    let mut parts = service.parts.port.call(call).await?;
    let mut output = BytesMut::new();
    while let Some(part) = parts.next().await {
        let part = part?;
        if output.is_empty() {
            slot.first_part();
        }
        output.extend_from_slice(&part);
        voice.chunk(&part).await;
    }
    Ok(output.freeze())
}
