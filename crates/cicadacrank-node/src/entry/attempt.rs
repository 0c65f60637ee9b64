//! One attempt at one stage, sent to a sidecar over the link.

use super::{
    execution::Execution,
    service::{Reply, Service},
};
use crate::{link, quarantine, sidecar::heartbeat};
use bytes::{Bytes, BytesMut};
use cicadacrank_core::{
    admission::NameHash,
    error::{Effect, Failure, Kind},
    event::Event,
    id,
    once::Name,
    quarantine::Status,
    routing::{Query, Report},
    rules::Stage,
};
use cicadacrank_wire::wire::{self, frame::Body};
use futures_util::StreamExt as _;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

/// Time without a frame after which an attempt fails and its connection is
/// dropped.
///
/// A sidecar sends a frame at least once every [`heartbeat::INTERVAL`].
const FRAME_TIMEOUT: Duration = Duration::from_millis(500);

const _: () = assert!(heartbeat::INTERVAL.as_millis() * 3 < FRAME_TIMEOUT.as_millis());

/// An attempt for which an endpoint has been chosen.
pub(super) struct Attempt {
    pub(super) endpoint: NameHash,
    name: Arc<str>,
    address: SocketAddr,
    id: id::Attempt,
    deadline: Instant,
    _in_flight: InFlight,
}

/// Output of a successful attempt.
pub(super) struct Output {
    pub(super) data: Bytes,
    pub(super) chunks: u64,
}

/// Output of a failed attempt that was already sent to the caller.
#[derive(Default)]
pub(super) struct Delivered {
    pub(super) data: Bytes,
    pub(super) chunks: u64,
}

/// Why an attempt failed.
pub(super) struct AttemptError {
    pub(super) failure: Failure,
    /// Whether the link failed, as opposed to the work.
    pub(super) link: bool,
    /// Output that was already sent to the caller.
    pub(super) delivered: Delivered,
    /// Whether the endpoint crashed while it ran the work.
    pub(super) crashed: bool,
}

/// Guard that counts an attempt as in flight at its endpoint until it is
/// dropped.
struct InFlight {
    service: Arc<Service>,
    endpoint: NameHash,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.service.table().end_attempt(self.endpoint);
    }
}

/// Reads the frames of one attempt.
struct Reader<'a> {
    attempt: &'a Attempt,
    service: &'a Service,
    /// Id of the attempt, formatted as in frames.
    id: String,
    sender: Option<mpsc::Sender<Reply>>,
    output: BytesMut,
    chunks: u64,
    next_sequence: u64,
}

impl Attempt {
    /// Chooses an endpoint that is not in `tried` and counts the attempt as in
    /// flight there. Returns `None` if no such endpoint is available.
    pub(super) fn new(
        execution: &Execution,
        stage: &Stage,
        tried: &[NameHash],
        deadline: Instant,
    ) -> Option<Self> {
        let service = &execution.service;
        let pool = &execution.configuration.definitions[stage.pool];
        let query = Query {
            pool: NameHash::new(&pool.name),
            data_centre: service.data_centre(),
            tried,
        };
        let now = service.parts.clock.now();
        let current = service.parts.holder.newest();
        let choice = {
            let mut table = service.table();
            if let Some(current) = current {
                table.adopt(current.generation, &current.definitions);
            }
            let preferred =
                claim_shard(execution, stage).and_then(|shard| table.home(query, &shard, now));
            let choice = preferred.or_else(|| table.choose(query, rand::random(), now))?;
            table.begin_attempt(choice.endpoint, now);
            choice
        };
        service.parts.metrics.attempts.inc();
        Some(Self {
            endpoint: choice.endpoint,
            name: choice.name,
            address: choice.address,
            id: id::Attempt::new(rand::random()),
            deadline,
            _in_flight: InFlight {
                service: Arc::clone(service),
                endpoint: choice.endpoint,
            },
        })
    }

    /// Runs the attempt and forwards chunks to `sender` as they arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if the link or the work fails, or at the deadline.
    pub(super) async fn run(
        &self,
        execution: &Execution,
        stage: &Stage,
        input: Bytes,
        sender: Option<mpsc::Sender<Reply>>,
    ) -> Result<Output, AttemptError> {
        let service = &execution.service;
        let job = self.build_job(execution, stage, input);
        let link = &service.parts.link;
        let mut reader = Reader {
            attempt: self,
            service,
            id: self.id.to_string(),
            sender,
            output: BytesMut::new(),
            chunks: 0,
            next_sequence: 0,
        };
        let work = async {
            let timeout = service.parts.settings.timeouts.connect() + FRAME_TIMEOUT;
            // Half of the remaining time is kept for an attempt at another
            // endpoint.
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            let timeout = timeout.min(remaining / 2);
            let frames = time::timeout(timeout, link.run(self.address, job))
                .await
                .map_err(|_| reader.on_silence())?
                .map_err(|fault| self.on_link_fault(execution, fault))?;
            reader.read_frames(frames).await
        };
        let result = time::timeout_at(self.deadline, work).await;
        match result {
            Ok(Ok(())) => Ok(Output {
                data: reader.output.freeze(),
                chunks: reader.chunks,
            }),
            Ok(Err(error)) => {
                if error.crashed {
                    service
                        .suspects()
                        .record_crash(execution.fingerprint(stage), self.id);
                }
                let delivered = reader.delivered();
                Err(AttemptError { delivered, ..error })
            }
            Err(_) => {
                if reader.next_sequence == 0 {
                    reader.record_silence();
                }
                let failure =
                    Failure::unknown(Kind::Deadline, format!("running stage {}", stage.name));
                Err(AttemptError {
                    failure,
                    link: false,
                    delivered: reader.delivered(),
                    crashed: false,
                })
            }
        }
    }

    fn build_job(&self, execution: &Execution, stage: &Stage, input: Bytes) -> wire::Job {
        let request = &execution.request;
        let service = &execution.service;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        wire::Job {
            request: request.id.to_string(),
            attempt: self.id.to_string(),
            generation: execution.configuration.generation,
            team: request.team.clone(),
            pipeline: request.pipeline.clone(),
            stage: stage.name.clone(),
            endpoint: self.name.to_string(),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            key: request.key.clone(),
            digest: execution.digest.clone(),
            input: input.to_vec(),
            crashes: match service.suspects().status(execution.fingerprint(stage)) {
                Status::Clear => 0,
                Status::Suspect => 1,
                Status::Quarantined => 2,
            },
            parts: quarantine::job_parts(&execution.causes(stage)),
        }
    }

    fn on_link_fault(&self, execution: &Execution, fault: link::Fault) -> AttemptError {
        let service = &execution.service;
        Event::AttemptFailed.log(format_args!(
            "attempt {} at {}: {fault}",
            self.id, self.name
        ));
        service
            .table()
            .back_off(self.endpoint, service.parts.clock.now());
        service.parts.link.reset(self.address);
        let effect = if fault.connected {
            Effect::Unknown
        } else {
            Effect::NotRun
        };
        let failure = Failure {
            kind: fault.kind,
            effect,
            context: fault.context,
        };
        AttemptError {
            failure,
            link: true,
            delivered: Delivered::default(),
            crashed: false,
        }
    }
}

/// Returns the name of the claim shard of a stage that must not be repeated, or
/// `None` if the stage is repeatable.
fn claim_shard(execution: &Execution, stage: &Stage) -> Option<String> {
    let request = &execution.request;
    let name = Name::new(&request.team, &request.pipeline, &stage.name, &request.key);
    (!stage.repeatable).then(|| name.object())
}

impl Reader<'_> {
    /// Returns the output that was already sent to the caller.
    fn delivered(&self) -> Delivered {
        if self.sender.is_none() {
            return Delivered::default();
        }
        Delivered {
            data: self.output.clone().freeze(),
            chunks: self.chunks,
        }
    }

    async fn read_frames(&mut self, mut frames: link::Frames) -> Result<(), AttemptError> {
        loop {
            let frame = time::timeout(FRAME_TIMEOUT, frames.next()).await;
            let frame = frame.map_err(|_| self.on_silence())?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|fault| self.abort(fault.kind, fault.context))?;
            if frame.attempt != self.id || frame.sequence < self.next_sequence {
                self.service.parts.metrics.dropped_frames.inc();
                Event::FrameDropped.log(format_args!("attempt {}", self.attempt.id));
                continue;
            }
            if frame.sequence > self.next_sequence {
                return Err(self.abort(
                    Kind::Truncated,
                    "a sequence number is missing from the frames".to_owned(),
                ));
            }
            self.next_sequence += 1;
            if self.handle_frame(frame).await? {
                return Ok(());
            }
        }
        Err(self.abort(
            Kind::Truncated,
            "the stream ended without an end frame".to_owned(),
        ))
    }

    /// Handles one frame and returns whether it ends a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame reports a failure, or an end with the wrong
    /// number of chunks.
    async fn handle_frame(&mut self, frame: wire::Frame) -> Result<bool, AttemptError> {
        if let Some(load) = frame.load {
            let report = Report {
                in_flight: load.in_flight,
                queued: load.queued,
                slots: load.slots,
            };
            let now = self.service.parts.clock.now();
            let endpoint = self.attempt.endpoint;
            self.service.table().record_report(endpoint, report, now);
        }
        self.service.parts.holder.hint(frame.generation);
        match frame.body {
            Some(Body::Chunk(chunk)) => {
                self.forward_chunk(Bytes::from(chunk.data)).await;
                Ok(false)
            }
            Some(Body::End(end)) if end.chunks == self.chunks => Ok(true),
            Some(Body::End(_)) => Err(self.abort(
                Kind::Truncated,
                "the end frame has the wrong number of chunks".to_owned(),
            )),
            Some(Body::Failure(failure)) => Err(self.on_failure(decode_failure(failure))),
            Some(Body::Admitted(_)) | None => Ok(false),
        }
    }

    /// Backs off from an endpoint that does not accept work at present. Without
    /// the backoff, an endpoint that fails fast would look idle and attract more
    /// work than any other.
    fn on_failure(&self, error: AttemptError) -> AttemptError {
        if matches!(
            error.failure.kind,
            Kind::Leaving | Kind::NotReady | Kind::TakenOut | Kind::Unreachable
        ) {
            let now = self.service.parts.clock.now();
            self.service.table().back_off(self.attempt.endpoint, now);
        }
        error
    }

    async fn forward_chunk(&mut self, data: Bytes) {
        self.chunks += 1;
        self.output.extend_from_slice(&data);
        if let Some(sender) = &self.sender {
            // If the caller is gone, the execution ends by itself.
            drop(sender.send(Reply::Chunk(data)).await);
        }
    }

    fn on_silence(&self) -> AttemptError {
        // The fault may be in the connection rather than the sidecar. The table
        // counts unanswered attempts and backs off from the sidecar when there
        // are too many.
        let context = format!("no frame in {} ms", FRAME_TIMEOUT.as_millis());
        self.record_silence();
        self.abort(Kind::Silent, context)
    }

    fn record_silence(&self) {
        let now = self.service.parts.clock.now();
        self.service
            .table()
            .record_silence(self.attempt.endpoint, now);
    }

    fn abort(&self, kind: Kind, context: String) -> AttemptError {
        let attempt = self.attempt;
        Event::AttemptFailed.log(format_args!(
            "attempt {} at {}: {kind}: {context}",
            attempt.id, attempt.name
        ));
        self.service.parts.link.reset(attempt.address);
        AttemptError {
            failure: Failure::unknown(kind, context),
            link: true,
            delivered: Delivered::default(),
            crashed: false,
        }
    }
}

fn decode_failure(failure: wire::Failure) -> AttemptError {
    let kind = Kind::from_name(&failure.kind).unwrap_or(Kind::Internal);
    let effect = Effect::from_name(&failure.effect).unwrap_or(Effect::Unknown);
    let crashed = failure.crashed;
    let failure = Failure {
        kind,
        effect,
        context: failure.context,
    };
    AttemptError {
        failure,
        link: false,
        delivered: Delivered::default(),
        crashed,
    }
}
