//! One attempt at one stage, over the link to a sidecar.

use super::{
    service::{Reply, Service},
    walk::Walk,
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
const SILENCE: Duration = Duration::from_millis(500);

const _: () = assert!(heartbeat::INTERVAL.as_millis() * 3 < SILENCE.as_millis());

/// An attempt that has its endpoint.
pub(super) struct Attempt {
    pub(super) endpoint: NameHash,
    name: Arc<str>,
    address: SocketAddr,
    id: id::Attempt,
    until: Instant,
    _slot: Slot,
}

/// What an attempt yielded.
pub(super) struct Done {
    pub(super) output: Bytes,
    pub(super) chunks: u64,
}

/// The part of an output that has reached the caller.
#[derive(Default)]
pub(super) struct Passed {
    pub(super) output: Bytes,
    pub(super) chunks: u64,
}

/// Why an attempt yielded nothing whole.
pub(super) struct Trouble {
    pub(super) failure: Failure,
    /// The link failed, not the work.
    pub(super) link: bool,
    /// What has reached the caller of the output.
    pub(super) passed: Passed,
    /// The endpoint crashed under the work.
    pub(super) crashed: bool,
}

/// Counts an attempt at an endpoint for as long as it lives.
struct Slot {
    service: Arc<Service>,
    endpoint: NameHash,
}

impl Drop for Slot {
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
    next: u64,
}

impl Attempt {
    /// Picks an endpoint that was not tried; `None` if there is none.
    pub(super) fn new(
        walk: &Walk,
        stage: &Stage,
        tried: &[NameHash],
        until: Instant,
    ) -> Option<Self> {
        let service = &walk.service;
        let pool = &walk.configuration.definitions[stage.pool];
        let need = Query {
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
            let home = shard_of(walk, stage).and_then(|shard| table.home(need, &shard, now));
            let choice = home.or_else(|| table.choose(need, rand::random(), now))?;
            table.begin_attempt(choice.endpoint, now);
            choice
        };
        service.parts.metrics.attempts.inc();
        Some(Self {
            endpoint: choice.endpoint,
            name: choice.name,
            address: choice.address,
            id: id::Attempt::new(rand::random()),
            until,
            _slot: Slot {
                service: Arc::clone(service),
                endpoint: choice.endpoint,
            },
        })
    }

    /// Runs the attempt; chunks go to the sender as they arrive.
    pub(super) async fn run(
        &self,
        walk: &Walk,
        stage: &Stage,
        input: Bytes,
        sender: Option<mpsc::Sender<Reply>>,
    ) -> Result<Done, Trouble> {
        let service = &walk.service;
        let job = self.job(walk, stage, input);
        let link = &service.parts.link;
        let mut reader = Reader {
            attempt: self,
            service,
            id: self.id.to_string(),
            sender,
            output: BytesMut::new(),
            chunks: 0,
            next: 0,
        };
        let work = async {
            let bound = service.parts.settings.timeouts.connect() + SILENCE;
            // Half of the time left is kept for an attempt elsewhere.
            let left = self.until.saturating_duration_since(Instant::now());
            let bound = bound.min(left / 2);
            let frames = time::timeout(bound, link.run(self.address, job))
                .await
                .map_err(|_| reader.silent())?
                .map_err(|fault| self.broken(walk, fault))?;
            reader.read(frames).await
        };
        let result = time::timeout_at(self.until, work).await;
        match result {
            Ok(Ok(())) => Ok(Done {
                output: reader.output.freeze(),
                chunks: reader.chunks,
            }),
            Ok(Err(trouble)) => {
                if trouble.crashed {
                    service
                        .suspects()
                        .record_crash(walk.fingerprint(stage), self.id);
                }
                let passed = reader.passed();
                Err(Trouble { passed, ..trouble })
            }
            Err(_) => {
                if reader.next == 0 {
                    reader.miss();
                }
                let failure =
                    Failure::unknown(Kind::Deadline, format!("running stage {}", stage.name));
                Err(Trouble {
                    failure,
                    link: false,
                    passed: reader.passed(),
                    crashed: false,
                })
            }
        }
    }

    fn job(&self, walk: &Walk, stage: &Stage, input: Bytes) -> wire::Job {
        let request = &walk.request;
        let service = &walk.service;
        let remaining = self.until.saturating_duration_since(Instant::now());
        wire::Job {
            request: request.id.to_string(),
            attempt: self.id.to_string(),
            generation: walk.configuration.generation,
            team: request.team.clone(),
            pipeline: request.pipeline.clone(),
            stage: stage.name.clone(),
            endpoint: self.name.to_string(),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            key: request.key.clone(),
            digest: walk.digest.clone(),
            input: input.to_vec(),
            crashes: match service.suspects().status(walk.fingerprint(stage)) {
                Status::Clear => 0,
                Status::Suspect => 1,
                Status::Quarantined => 2,
            },
        }
    }

    fn broken(&self, walk: &Walk, fault: link::Fault) -> Trouble {
        let service = &walk.service;
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
        Trouble {
            failure,
            link: true,
            passed: Passed::default(),
            crashed: false,
        }
    }
}

/// Returns the shard that claims the stage, if it may not be repeated.
fn shard_of(walk: &Walk, stage: &Stage) -> Option<String> {
    let request = &walk.request;
    let name = Name::new(&request.team, &request.pipeline, &stage.name, &request.key);
    (!stage.repeatable).then(|| name.object())
}

impl Reader<'_> {
    /// Takes what has reached the caller.
    fn passed(&self) -> Passed {
        if self.sender.is_none() {
            return Passed::default();
        }
        Passed {
            output: self.output.clone().freeze(),
            chunks: self.chunks,
        }
    }

    async fn read(&mut self, mut frames: link::Frames) -> Result<(), Trouble> {
        loop {
            let frame = time::timeout(SILENCE, frames.next()).await;
            let frame = frame.map_err(|_| self.silent())?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|fault| self.cut(fault.kind, fault.context))?;
            if frame.attempt != self.id || frame.sequence < self.next {
                self.service.parts.metrics.dropped_frames.inc();
                Event::FrameDropped.log(format_args!("attempt {}", self.attempt.id));
                continue;
            }
            if frame.sequence > self.next {
                return Err(self.cut(Kind::Truncated, "a frame is missing".to_owned()));
            }
            self.next += 1;
            if self.take(frame).await? {
                return Ok(());
            }
        }
        Err(self.cut(Kind::Truncated, "the frames have no end".to_owned()))
    }

    /// Takes one frame; returns whether it was the end of a whole answer.
    async fn take(&mut self, frame: wire::Frame) -> Result<bool, Trouble> {
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
                self.pass_on(Bytes::from(chunk.data)).await;
                Ok(false)
            }
            Some(Body::End(end)) if end.chunks == self.chunks => Ok(true),
            Some(Body::End(_)) => {
                Err(self.cut(Kind::Truncated, "the count of chunks is wrong".to_owned()))
            }
            Some(Body::Failure(failure)) => Err(self.refused(typed(failure))),
            Some(Body::Admitted(_)) | None => Ok(false),
        }
    }

    /// Leaves out an endpoint that takes no work for now; one that fails fast
    /// would else look idle and draw more work than any other.
    fn refused(&self, trouble: Trouble) -> Trouble {
        if matches!(
            trouble.failure.kind,
            Kind::Leaving | Kind::NotReady | Kind::TakenOut | Kind::Unreachable
        ) {
            let now = self.service.parts.clock.now();
            self.service.table().back_off(self.attempt.endpoint, now);
        }
        trouble
    }

    async fn pass_on(&mut self, data: Bytes) {
        self.chunks += 1;
        self.output.extend_from_slice(&data);
        if let Some(sender) = &self.sender {
            // A caller that went away ends the walk.
            drop(sender.send(Reply::Chunk(data)).await);
        }
    }

    fn silent(&self) -> Trouble {
        // The connection may be at fault and not the sidecar: the table counts
        // what goes unanswered and leaves the sidecar out in time.
        let context = format!("no frame in {} ms", SILENCE.as_millis());
        self.miss();
        self.cut(Kind::Silent, context)
    }

    fn miss(&self) {
        let now = self.service.parts.clock.now();
        self.service
            .table()
            .record_silence(self.attempt.endpoint, now);
    }

    fn cut(&self, kind: Kind, context: String) -> Trouble {
        let attempt = self.attempt;
        Event::AttemptFailed.log(format_args!(
            "attempt {} at {}: {kind}: {context}",
            attempt.id, attempt.name
        ));
        self.service.parts.link.reset(attempt.address);
        Trouble {
            failure: Failure::unknown(kind, context),
            link: true,
            passed: Passed::default(),
            crashed: false,
        }
    }
}

fn typed(failure: wire::Failure) -> Trouble {
    let kind = Kind::from_name(&failure.kind).unwrap_or(Kind::Internal);
    let effect = Effect::from_name(&failure.effect).unwrap_or(Effect::Unknown);
    let crashed = failure.crashed;
    let failure = Failure {
        kind,
        effect,
        context: failure.context,
    };
    Trouble {
        failure,
        link: false,
        passed: Passed::default(),
        crashed,
    }
}
