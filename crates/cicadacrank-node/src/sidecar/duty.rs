//! One job from its first check to its last frame.

use super::{
    claims::{self, Acquired, Held},
    door::Slot,
    service::{Admitted, Service},
};
use crate::endpoint::{Call, Fault};
use bytes::{Bytes, BytesMut};
use cicadacrank_core::{
    admission::{Ended, Sign},
    error::{Failure, Kind},
    id,
    once::{Name, Outcome, Sent, Unsent},
};
use cicadacrank_wire::wire::{self, frame::Body};
use futures_util::StreamExt as _;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{self, Instant, error::Elapsed},
};

/// Sends the frames of one job in order.
struct Voice {
    service: Arc<Service>,
    attempt: String,
    endpoint: String,
    sequence: u64,
    chunks: u64,
    sender: mpsc::Sender<wire::Frame>,
}

impl Voice {
    /// Sends one frame; returns whether the entry still listens.
    async fn say(&mut self, body: Body) -> bool {
        let frame = wire::Frame {
            attempt: self.attempt.clone(),
            sequence: self.sequence,
            generation: self.service.parts.holder.generation(),
            load: self.service.load(&self.endpoint),
            body: Some(body),
        };
        self.sequence += 1;
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

    async fn fail(&mut self, failure: Failure) {
        self.service.parts.metrics.fail(&failure);
        self.say(Body::Failure(wire::Failure {
            kind: failure.kind.as_str().to_owned(),
            effect: failure.effect.as_str().to_owned(),
            context: failure.context,
            crashed: false,
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
        sequence: 0,
        chunks: 0,
        sender,
    };
    if let Err(failure) = serve(&service, &job, &mut voice).await {
        voice.fail(failure).await;
    }
}

async fn serve(service: &Arc<Service>, job: &wire::Job, voice: &mut Voice) -> Result<(), Failure> {
    let deadline = Instant::now() + Duration::from_millis(job.remaining_ms);
    let unsent = Unsent::begin();
    let gone = voice.sender.clone();
    let (admitted, unsent) = tokio::select! {
        admitted = service.admit(job, unsent) => admitted?,
        () = gone.closed() => return Err(Failure::not_run(Kind::Cancelled, "waiting for a slot")),
    };
    voice.say(Body::Admitted(wire::Admitted {})).await;
    if admitted.stage.repeatable {
        check_deadline(deadline, &unsent)?;
        return repeat(service, job, admitted, deadline, unsent, voice).await;
    }
    let (acquired, unsent) = claim(service, job, deadline, unsent).await?;
    match acquired {
        Acquired::Replay(outcome) => replay(outcome, voice).await,
        Acquired::Held(held) => {
            if let Err(failure) = check_deadline(deadline, &unsent) {
                service.claims.release(held).await;
                return Err(failure);
            }
            once(service, job, admitted, held, deadline, unsent, voice).await
        }
    }
}

fn check_deadline(deadline: Instant, _unsent: &Unsent) -> Result<(), Failure> {
    if Instant::now() < deadline {
        return Ok(());
    }
    Err(Failure::not_run(
        Kind::Deadline,
        "looking at the deadline before the send",
    ))
}

async fn claim(
    service: &Service,
    job: &wire::Job,
    deadline: Instant,
    unsent: Unsent,
) -> Result<(Acquired, Unsent), Failure> {
    let Some(attempt) = id::Attempt::parse(&job.attempt) else {
        return Err(unsent.refuse(Kind::BadRequest, "reading the attempt id"));
    };
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

fn call_of(service: &Service, job: &wire::Job, admitted: &Admitted) -> Call {
    Call {
        address: admitted.address,
        service: admitted.service,
        path: admitted.stage.path.clone(),
        attempt: job.attempt.clone(),
        key: job.key.clone(),
        input: Bytes::from(job.input.clone()),
        output_limit: admitted.stage.output_limit_bytes,
        reuse: admitted.stage.repeatable,
        progress: service.parts.settings.timeouts.progress(),
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
) -> Result<(), Failure> {
    let call = call_of(service, job, &admitted);
    let began = Instant::now();
    let sent = unsent.send();
    let gone = voice.sender.clone();
    let work = stream(service, call, &admitted.slot, voice);
    let result = tokio::select! {
        result = time::timeout_at(deadline, work) => result,
        () = gone.closed() => return Err(sent.fail(Kind::Cancelled, "streaming to the entry")),
    };
    admitted.slot.end(ended_of(&result));
    match result {
        Ok(Ok(_)) => {
            voice.end(false, began.elapsed()).await;
            Ok(())
        }
        Ok(Err(fault)) => Err(failure_of(fault, sent)),
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
) -> Result<(), Failure> {
    let call = call_of(service, job, &admitted);
    let began = Instant::now();
    let mut sent = unsent.send();
    let bound = deadline.max(Instant::now() + service.parts.settings.timeouts.progress());
    let result = time::timeout_at(bound, stream(service, call, &admitted.slot, voice)).await;
    admitted.slot.end(ended_of(&result));
    match result {
        Ok(Ok(output)) => {
            sent.finish();
            service.claims.record(held, outcome_of(&output)).await;
            voice.end(false, began.elapsed()).await;
            Ok(())
        }
        Ok(Err(fault)) if fault.refused => {
            sent.finish();
            let context = fault.context.clone();
            service
                .claims
                .record(held, Outcome::Refused { context })
                .await;
            Err(failure_of(fault, sent))
        }
        Ok(Err(fault)) => {
            if !fault.connected {
                service.claims.release(held).await;
            }
            Err(failure_of(fault, sent))
        }
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

async fn replay(outcome: Outcome, voice: &mut Voice) -> Result<(), Failure> {
    match outcome {
        Outcome::Answer { output } => {
            voice.chunk(&Bytes::from(output)).await;
            voice.end(true, Duration::ZERO).await;
            Ok(())
        }
        Outcome::Oversized => Err(Failure::partial(
            Kind::OutcomeUnknown,
            "the work ran; its answer was not kept",
        )),
        Outcome::Refused { context } => Err(Failure::partial(Kind::EndpointRefused, context)),
    }
}

/// Returns what the gate learns from the end of a call.
const fn ended_of<T>(result: &Result<Result<T, Fault>, Elapsed>) -> Ended {
    match result {
        Ok(Ok(_)) => Ended::Success,
        Ok(Err(fault)) if !fault.connected => Ended::Cold(Sign::Refused),
        Ok(Err(_)) | Err(_) => Ended::Neutral,
    }
}

fn failure_of(fault: Fault, sent: Sent) -> Failure {
    match sent.unsend(fault.connected) {
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
