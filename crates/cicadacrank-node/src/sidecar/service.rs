//! The sidecar's state and the steps of a job.

use super::{Claims, duty};
use crate::{
    clock::{self, Clock},
    configuration::{Configuration, Holder},
    endpoint,
    metrics::Metrics,
    platform,
    settings::{Endpoint, Settings},
};
use cicadacrank_core::{
    admission::{Gate, Limits},
    error::Kind,
    once::{Stop, Unsent},
    rules,
};
use cicadacrank_wire::wire;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

/// Frames that may wait for a slow entry.
const FRAME_BUFFER: usize = 64;

/// Longest wait for a configuration that a job names and this process lacks.
const GENERATION_WAIT: Duration = Duration::from_millis(250);

/// What a sidecar is made of.
pub struct Parts {
    /// Settings of the process.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// The configuration in force.
    pub holder: Arc<Holder>,
    /// The platform.
    pub store: Arc<dyn platform::Store>,
    /// The way to endpoints.
    pub port: Arc<dyn endpoint::Port>,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
}

struct Door {
    name: String,
    address: SocketAddr,
    gate: Mutex<Option<Gate>>,
}

/// The only door to the endpoints behind this process.
pub struct Service {
    pub(super) parts: Parts,
    pub(super) claims: Claims,
    doors: Vec<Door>,
    leaving: AtomicBool,
    tracker: TaskTracker,
}

/// A job that may go to its endpoint.
pub(super) struct Admitted {
    pub(super) slot: Slot,
    pub(super) stage: rules::Stage,
    pub(super) service: rules::Service,
    pub(super) address: SocketAddr,
}

/// One request in flight at an endpoint; dropping it frees the slot.
pub(super) struct Slot {
    service: Arc<Service>,
    door: usize,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.service.with_gate(self.door, |gate| {
            if let Some(gate) = gate {
                gate.release();
            }
        });
    }
}

impl Service {
    /// Creates the service; its endpoints count as cold.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let life = Duration::from_millis(parts.settings.timeouts.claim_ms);
        let claims = Claims::new(Arc::clone(&parts.store), parts.clock, life);
        let mut doors: Vec<Door> = parts.settings.endpoints.iter().map(Door::new).collect();
        doors.sort_by(|one, other| one.name.cmp(&other.name));
        Self {
            parts,
            claims,
            doors,
            leaving: AtomicBool::new(false),
            tracker: TaskTracker::new(),
        }
    }

    /// Starts a job and returns the frames of its answer.
    ///
    /// A job that may not be repeated runs to its end also when the receiver is
    /// dropped, so that its outcome is recorded.
    pub fn run(self: &Arc<Self>, job: wire::Job) -> mpsc::Receiver<wire::Frame> {
        let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
        self.parts.metrics.attempts.inc();
        self.tracker.spawn(duty::run(Arc::clone(self), job, sender));
        receiver
    }

    /// Returns the configuration generation in force; zero when there is none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.parts.holder.generation()
    }

    /// Refuses new work from here on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the process takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst) && self.parts.holder.current().is_some()
    }

    /// Waits until no job is left.
    pub async fn finish(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Returns the load of an endpoint for its next frame.
    #[must_use]
    pub fn load(&self, endpoint: &str) -> Option<wire::Load> {
        let door = self.find(endpoint)?;
        let now = self.parts.clock.now();
        self.with_gate(door, |gate| gate.as_ref().map(|gate| load_of(gate, now)))
    }

    /// Checks a job against the rules and takes it in.
    pub(super) async fn admit(
        self: &Arc<Self>,
        job: &wire::Job,
        unsent: Unsent,
    ) -> Result<(Admitted, Unsent), Stop> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err(unsent.refuse(Kind::Leaving, "admitting a job"));
        }
        if !self
            .parts
            .holder
            .wait(job.generation, GENERATION_WAIT)
            .await
        {
            return Err(unsent.refuse(
                Kind::Stale,
                format!("waiting for generation {}", job.generation),
            ));
        }
        let Some(configuration) = self.parts.holder.current() else {
            return Err(unsent.refuse(Kind::NotReady, "admitting a job"));
        };
        match self.look_up(job, &configuration) {
            Ok(admitted) => Ok((admitted, unsent)),
            Err(kind) => Err(unsent.refuse(kind, format!("admitting a job at {}", job.endpoint))),
        }
    }

    fn look_up(
        self: &Arc<Self>,
        job: &wire::Job,
        configuration: &Configuration,
    ) -> Result<Admitted, Kind> {
        let book = &configuration.book;
        let team = book.team(&job.team).ok_or(Kind::Forbidden)?;
        let pipeline = book.pipeline(&job.pipeline).ok_or(Kind::UnknownPipeline)?;
        let stage = book[pipeline]
            .stages
            .iter()
            .find(|stage| stage.name == job.stage);
        let stage = stage.ok_or(Kind::UnknownPipeline)?;
        let endpoint = book.endpoint(&job.endpoint).ok_or(Kind::NoEndpoint)?;
        let door = self.find(&job.endpoint).ok_or(Kind::NoEndpoint)?;
        if book[endpoint].pool != stage.pool {
            return Err(Kind::NoEndpoint);
        }
        if !book.is_granted(team, stage.pool, clock::minute_of_day()) {
            return Err(Kind::Forbidden);
        }
        if book.is_taken_out(endpoint) {
            return Err(Kind::TakenOut);
        }
        self.take_slot(door, limits_of(&book[endpoint]))?;
        Ok(Admitted {
            slot: Slot {
                service: Arc::clone(self),
                door,
            },
            stage: stage.clone(),
            service: book[stage.pool].service,
            address: self.doors[door].address,
        })
    }

    fn take_slot(&self, door: usize, limits: Limits) -> Result<(), Kind> {
        let now = self.parts.clock.now();
        self.with_gate(door, |gate| {
            let gate = gate.get_or_insert_with(|| Gate::new(limits, now));
            gate.set_limits(limits);
            gate.admit(now)
        })
    }

    fn find(&self, endpoint: &str) -> Option<usize> {
        self.doors
            .binary_search_by(|door| door.name.as_str().cmp(endpoint))
            .ok()
    }

    fn with_gate<T>(&self, door: usize, act: impl FnOnce(&mut Option<Gate>) -> T) -> T {
        let mut gate = self.doors[door]
            .gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        act(&mut gate)
    }
}

impl Door {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.clone(),
            address: endpoint.address,
            gate: Mutex::new(None),
        }
    }
}

const fn limits_of(endpoint: &rules::Endpoint) -> Limits {
    Limits {
        cold_slots: endpoint.cold_slots,
        warm_slots: endpoint.warm_slots,
        warmup: Duration::from_millis(endpoint.warmup_ms),
    }
}

fn load_of(gate: &Gate, now: Duration) -> wire::Load {
    wire::Load {
        in_flight: gate.in_flight(),
        queued: 0,
        slots: gate.slots(now),
        phase: gate.phase(now) as u32,
    }
}
