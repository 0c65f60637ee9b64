//! One attempt at one stage, over the link to a sidecar.

use super::{
    execution::Execution,
    service::{Reply, Service},
};
use crate::{link, sidecar::heartbeat};
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

/// Time without a frame after which a connection is given up.
///
/// A sidecar sends a frame each [`heartbeat::INTERVAL`] at least.
const FRAME_TIMEOUT: Duration = Duration::from_millis(500);

const _: () = assert!(heartbeat::INTERVAL.as_millis() * 3 < FRAME_TIMEOUT.as_millis());

/// An attempt that has its endpoint.
pub(super) struct Attempt {
    pub(super) endpoint: NameHash,
    name: Arc<str>,
    address: SocketAddr,
    id: id::Attempt,
    deadline: Instant,
    _in_flight: InFlight,
}

/// What an attempt yielded.
pub(super) struct Output {
    pub(super) data: Bytes,
    pub(super) chunks: u64,
}

/// The part of an output that has reached the caller.
#[derive(Default)]
pub(super) struct Delivered {
    pub(super) data: Bytes,
    pub(super) chunks: u64,
}

/// Why an attempt yielded nothing whole.
pub(super) struct AttemptError {
    pub(super) failure: Failure,
    /// The link failed, not the work.
    pub(super) link: bool,
    /// What has reached the caller of the output.
    pub(super) delivered: Delivered,
    /// The endpoint crashed under the work.
    pub(super) crashed: bool,
}

/// Counts an attempt at an endpoint for as long as it lives.
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
    /// The attempt's id as frames carry it.
    id: String,
    sender: Option<mpsc::Sender<Reply>>,
    output: BytesMut,
    chunks: u64,
    next_sequence: u64,
}

impl Attempt {
    /// Picks an endpoint that was not tried; `None` if there is none.
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

    /// Runs the attempt; chunks go to the sender as they arrive.
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
            let bound = service.parts.settings.timeouts.connect() + FRAME_TIMEOUT;
            // Half of the time left is kept for an attempt elsewhere.
            let left = self.deadline.saturating_duration_since(Instant::now());
            let bound = bound.min(left / 2);
            let frames = time::timeout(bound, link.run(self.address, job))
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

/// Returns the shard that claims the stage, if it may not be repeated.
fn claim_shard(execution: &Execution, stage: &Stage) -> Option<String> {
    let request = &execution.request;
    let name = Name::new(&request.team, &request.pipeline, &stage.name, &request.key);
    (!stage.repeatable).then(|| name.object())
}

impl Reader<'_> {
    /// Takes what has reached the caller.
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
                return Err(self.abort(Kind::Truncated, "a frame is missing".to_owned()));
            }
            self.next_sequence += 1;
            if self.handle_frame(frame).await? {
                return Ok(());
            }
        }
        Err(self.abort(Kind::Truncated, "the frames have no end".to_owned()))
    }

    /// Takes one frame; returns whether it was the end of a whole answer.
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
            Some(Body::End(_)) => {
                Err(self.abort(Kind::Truncated, "the count of chunks is wrong".to_owned()))
            }
            Some(Body::Failure(failure)) => Err(self.on_failure(decode_failure(failure))),
            Some(Body::Admitted(_)) | None => Ok(false),
        }
    }

    /// Leaves out an endpoint that takes no work for now; one that fails fast
    /// would else look idle and draw more work than any other.
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
            // A caller that went away ends the execution.
            drop(sender.send(Reply::Chunk(data)).await);
        }
    }

    fn on_silence(&self) -> AttemptError {
        // The connection may be at fault and not the sidecar: the table counts
        // what goes unanswered and leaves the sidecar out in time.
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
