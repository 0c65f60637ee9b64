//! Execution of one job, from its first check to its last frame.

use super::{
    claims::{self, Acquisition, Handle},
    limiter::Slot,
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

/// Longest time before the deadline at which a job stops waiting for its claim,
/// so that its entry learns that the work has not run.
const MAX_CLAIM_MARGIN: Duration = Duration::from_millis(500);

/// Sends the frames of one job in order; the [heartbeat](super::heartbeat)
/// numbers them.
struct Responder {
    service: Arc<Service>,
    attempt: String,
    endpoint: String,
    chunks: u64,
    crashed: bool,
    sender: mpsc::Sender<wire::Frame>,
}

impl Responder {
    /// Sends one frame and returns whether the receiver is still open.
    async fn send(&mut self, body: Body) -> bool {
        let frame = wire::Frame {
            attempt: self.attempt.clone(),
            sequence: 0,
            generation: self.service.parts.holder.generation(),
            load: self.service.load(&self.endpoint),
            body: Some(body),
        };
        self.sender.send(frame).await.is_ok()
    }

    async fn send_chunk(&mut self, data: &Bytes) -> bool {
        self.chunks += 1;
        self.send(Body::Chunk(wire::Chunk {
            data: data.to_vec(),
        }))
        .await
    }

    async fn send_end(&mut self, replayed: bool, busy: Duration) {
        let busy_us = u64::try_from(busy.as_micros()).unwrap_or(u64::MAX);
        let chunks = self.chunks;
        self.send(Body::End(wire::End {
            chunks,
            replayed,
            busy_us,
        }))
        .await;
    }

    async fn send_failure(&mut self, error: &ExecutionError) {
        let failure = error.failure();
        self.service.parts.metrics.record_failure(failure);
        self.send(Body::Failure(wire::Failure {
            kind: failure.kind.as_str().to_owned(),
            effect: failure.effect.as_str().to_owned(),
            context: failure.context.clone(),
            crashed: self.crashed,
        }))
        .await;
    }
}

/// Runs one job and sends its frames, the last of which reports its end or its
/// failure.
pub(super) async fn run(service: Arc<Service>, job: wire::Job, sender: mpsc::Sender<wire::Frame>) {
    let mut responder = Responder {
        service: Arc::clone(&service),
        attempt: job.attempt.clone(),
        endpoint: job.endpoint.clone(),
        chunks: 0,
        crashed: false,
        sender,
    };
    if let Err(error) = serve(&service, &job, &mut responder).await {
        responder.send_failure(&error).await;
    }
}

async fn serve(
    service: &Arc<Service>,
    job: &wire::Job,
    responder: &mut Responder,
) -> Result<(), ExecutionError> {
    let deadline = Instant::now() + Duration::from_millis(job.remaining_ms);
    let (attempt, unsent) = service.claims.begin(&job.attempt)?;
    let frames = responder.sender.clone();
    let (admitted, unsent) = tokio::select! {
        // Admission is polled first, so that a job that gets its slot at once
        // is not cancelled.
        biased;
        admitted = service.admit(job, unsent) => admitted?,
        // The entry has disconnected, so no failure is reported.
        () = frames.closed() => return Ok(()),
    };
    responder.send(Body::Admitted(wire::Admitted {})).await;
    if admitted.stage.repeatable {
        let unsent = check_deadline(deadline, unsent)?;
        return run_repeatable(service, job, admitted, deadline, unsent, responder).await;
    }
    let (acquired, unsent) = claim(service, job, attempt, deadline, unsent).await?;
    match acquired {
        Acquisition::Replay(outcome) => replay(outcome, responder).await,
        Acquisition::Held(handle) if is_past(deadline) => {
            service.claims.release(handle, &unsent).await;
            Err(deadline_passed(unsent))
        }
        Acquisition::Held(handle) => {
            run_claimed(service, job, admitted, handle, deadline, unsent, responder).await
        }
    }
}

fn is_past(deadline: Instant) -> bool {
    Instant::now() >= deadline
}

fn deadline_passed(unsent: Unsent) -> ExecutionError {
    unsent.refuse(
        Kind::Deadline,
        "checking the deadline before sending the work",
    )
}

/// Returns the proof that nothing was sent, or an error if the deadline has
/// passed.
fn check_deadline(deadline: Instant, unsent: Unsent) -> Result<Unsent, ExecutionError> {
    if is_past(deadline) {
        return Err(deadline_passed(unsent));
    }
    Ok(unsent)
}

/// Returns the time by which a job must have its claim: a quarter of the
/// remaining time before the deadline, [`MAX_CLAIM_MARGIN`] at most.
fn claim_deadline(deadline: Instant) -> Instant {
    let remaining = deadline.saturating_duration_since(Instant::now());
    deadline - MAX_CLAIM_MARGIN.min(remaining / 4)
}

async fn claim(
    service: &Service,
    job: &wire::Job,
    attempt: id::Attempt,
    deadline: Instant,
    unsent: Unsent,
) -> Result<(Acquisition, Unsent), ExecutionError> {
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
        .acquire(name, attempt, &digest, claim_deadline(deadline), unsent)
        .await
}

/// Returns the maximum wait for the next part of an answer.
///
/// Repeatable work is abandoned early enough for an attempt at another
/// endpoint; other work may take as long as the settings allow.
fn progress_timeout(service: &Service, admitted: &Admitted, deadline: Instant) -> Duration {
    let progress = service.parts.settings.timeouts.progress();
    if !admitted.stage.repeatable {
        return progress;
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    progress.min(remaining / 2)
}

fn new_call(service: &Service, job: &wire::Job, admitted: &Admitted, deadline: Instant) -> Call {
    Call {
        address: admitted.address,
        service: admitted.service,
        path: admitted.stage.path.clone(),
        attempt: job.attempt.clone(),
        key: job.key.clone(),
        input: Bytes::from(job.input.clone()),
        output_limit: admitted.stage.output_limit_bytes,
        progress_timeout: progress_timeout(service, admitted, deadline),
    }
}

/// Runs repeatable work; it is cancelled when the receiver of the frames is
/// closed.
async fn run_repeatable(
    service: &Service,
    job: &wire::Job,
    admitted: Admitted,
    deadline: Instant,
    unsent: Unsent,
    responder: &mut Responder,
) -> Result<(), ExecutionError> {
    let call = new_call(service, job, &admitted, deadline);
    let began = Instant::now();
    let sent_at = service.parts.clock.now();
    let sent = unsent.send();
    let frames = responder.sender.clone();
    let work = forward_output(service, call, &admitted.slot, responder);
    let result = tokio::select! {
        result = time::timeout_at(deadline, work) => result,
        () = frames.closed() => return Err(sent.fail(Kind::Cancelled, "streaming to the entry")),
    };
    responder.crashed = release_slot(service, job, admitted, sent_at, &result).await;
    match result {
        Ok(Ok(_)) => {
            responder.send_end(false, began.elapsed()).await;
            Ok(())
        }
        Ok(Err(fault)) => Err(into_execution_error(fault, sent)),
        Err(_) => Err(sent.fail(Kind::Deadline, "running the work")),
    }
}

/// Runs claimed work and records its outcome, even if the receiver of the
/// frames is closed.
async fn run_claimed(
    service: &Service,
    job: &wire::Job,
    admitted: Admitted,
    handle: Handle,
    deadline: Instant,
    unsent: Unsent,
    responder: &mut Responder,
) -> Result<(), ExecutionError> {
    let call = new_call(service, job, &admitted, deadline);
    let began = Instant::now();
    let sent_at = service.parts.clock.now();
    let mut sent = unsent.send();
    let bound = deadline.max(Instant::now() + service.parts.settings.timeouts.progress());
    let result = time::timeout_at(
        bound,
        forward_output(service, call, &admitted.slot, responder),
    )
    .await;
    responder.crashed = release_slot(service, job, admitted, sent_at, &result).await;
    match result {
        Ok(Ok(output)) => {
            // The answer is completed before its outcome is recorded, so that a
            // platform outage does not delay it.
            responder.send_end(false, began.elapsed()).await;
            service.claims.record(handle, outcome_of(&output)).await;
            Ok(())
        }
        Ok(Err(fault)) if fault.refused => {
            sent.finish();
            let context = fault.context.clone();
            responder
                .send_failure(&sent.fail(fault.kind, fault.context))
                .await;
            service
                .claims
                .record(handle, Outcome::Refused { context })
                .await;
            Ok(())
        }
        Ok(Err(fault)) => match sent.into_unsent(fault.connected) {
            Ok(unsent) => {
                service.claims.release(handle, &unsent).await;
                Err(unsent.refuse(fault.kind, fault.context))
            }
            Err(sent) => Err(sent.fail(fault.kind, fault.context)),
        },
        Err(_) => Err(sent.fail(Kind::Deadline, "running the work")),
    }
}

fn outcome_of(output: &[u8]) -> Outcome {
    match str::from_utf8(output) {
        Ok(text) if text.len() <= claims::MAX_OUTPUT_BYTES => Outcome::Answer {
            output: text.to_owned(),
        },
        _ => Outcome::Oversized,
    }
}

async fn replay(outcome: Outcome, responder: &mut Responder) -> Result<(), ExecutionError> {
    let output = outcome.replay()?;
    responder.send_chunk(&Bytes::from(output)).await;
    responder.send_end(true, Duration::ZERO).await;
    Ok(())
}

/// Frees the slot, records what the result shows about the endpoint and the
/// job, which was sent at `sent`, and returns whether the endpoint crashed.
async fn release_slot<T>(
    service: &Service,
    job: &wire::Job,
    admitted: Admitted,
    sent: Duration,
    result: &Result<Result<T, Fault>, Elapsed>,
) -> bool {
    let mut crashed = false;
    let completion = match result {
        Ok(Ok(_)) => {
            service.clear_suspect(job, sent);
            Completion::Success
        }
        Ok(Err(fault)) if !fault.connected => Completion::Cold(ColdReason::Refused),
        Ok(Err(fault)) if matches!(fault.kind, Kind::EndpointFailed | Kind::Truncated) => {
            crashed = service.detect_crash(job, admitted.address, sent).await;
            if crashed {
                Completion::Cold(ColdReason::Refused)
            } else {
                Completion::Neutral
            }
        }
        Ok(Err(_)) | Err(_) => Completion::Neutral,
    };
    admitted.slot.release(completion);
    crashed
}

fn into_execution_error(fault: Fault, sent: Sent) -> ExecutionError {
    match sent.into_unsent(fault.connected) {
        Ok(unsent) => unsent.refuse(fault.kind, fault.context),
        Err(sent) => sent.fail(fault.kind, fault.context),
    }
}

/// Forwards the parts of an answer as they arrive and returns the whole answer.
async fn forward_output(
    service: &Service,
    call: Call,
    slot: &Slot,
    responder: &mut Responder,
) -> Result<Bytes, Fault> {
    let mut parts = service.parts.port.call(call).await?;
    let mut output = BytesMut::new();
    while let Some(part) = parts.next().await {
        let part = part?;
        if output.is_empty() {
            slot.record_first_part();
        }
        output.extend_from_slice(&part);
        responder.send_chunk(&part).await;
    }
    Ok(output.freeze())
}
