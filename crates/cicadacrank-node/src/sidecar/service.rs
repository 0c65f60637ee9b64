//! The sidecar's state and the steps of a job.

use super::{
    Claims,
    door::{Door, Slot},
    duty,
};
use crate::{
    clock::{self, Clock},
    configuration::{Configuration, Holder},
    endpoint,
    metrics::Metrics,
    platform,
    settings::Settings,
};
use cicadacrank_core::{
    admission::{Demand, Limits, Reserved, Sign, Tag, Terms},
    error::{Failure, Kind},
    once::Unsent,
    rules::{self, Book, EndpointKey},
};
use cicadacrank_wire::wire;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

/// Frames that may wait for a slow entry.
const FRAME_BUFFER: usize = 64;

/// Longest wait for a configuration that a job names and this process lacks.
const GENERATION_WAIT: Duration = Duration::from_millis(250);

/// Longest wait for a slot, whatever deadline a job states.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

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

/// The only door to the endpoints behind this process.
pub struct Service {
    pub(super) parts: Parts,
    pub(super) claims: Claims,
    doors: Vec<Arc<Door>>,
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

/// A job that passed the checks against the rules.
struct Checked {
    door: Arc<Door>,
    demand: Demand,
    stage: rules::Stage,
    service: rules::Service,
}

impl Service {
    /// Creates the service; its endpoints count as cold.
    ///
    /// Must be called inside a runtime: the doors follow the configuration.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let life = Duration::from_millis(parts.settings.timeouts.claim_ms);
        let claims = Claims::new(Arc::clone(&parts.store), life);
        let endpoints = parts.settings.endpoints.iter();
        let mut doors: Vec<Arc<Door>> = endpoints
            .map(|endpoint| Arc::new(Door::new(endpoint, parts.clock)))
            .collect();
        doors.sort_by(|one, other| one.name.cmp(&other.name));
        tokio::spawn(follow(doors.clone(), parts.holder.subscribe()));
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
        self.doors.iter().for_each(Door::leave);
    }

    /// Notes a sign that an endpoint turned cold.
    pub fn chill(&self, endpoint: &str, sign: Sign) {
        if let Some(door) = self.find(endpoint) {
            door.chill(sign);
        }
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
        self.find(endpoint)?.load()
    }

    /// Checks a job against the rules and waits for a slot.
    pub(super) async fn admit(
        &self,
        job: &wire::Job,
        unsent: Unsent,
    ) -> Result<(Admitted, Unsent), Failure> {
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
        match self.wait_for_slot(job, configuration).await {
            Ok(admitted) => Ok((admitted, unsent)),
            Err(kind) => Err(unsent.refuse(kind, format!("admitting a job at {}", job.endpoint))),
        }
    }

    /// Rules that changed while the job waited count.
    async fn wait_for_slot(
        &self,
        job: &wire::Job,
        configuration: Arc<Configuration>,
    ) -> Result<Admitted, Kind> {
        let mut checked = self.check(job, &configuration)?;
        let slot = checked.door.enter(checked.demand).await?;
        if let Some(current) = self.parts.holder.current()
            && current.generation != configuration.generation
        {
            checked = self.check(job, &current)?;
        }
        Ok(Admitted {
            slot,
            stage: checked.stage,
            service: checked.service,
            address: checked.door.address,
        })
    }

    fn check(&self, job: &wire::Job, configuration: &Configuration) -> Result<Checked, Kind> {
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
        adopt(door, endpoint, configuration);
        if book.is_taken_out(endpoint) {
            return Err(Kind::TakenOut);
        }
        Ok(Checked {
            door: Arc::clone(door),
            demand: self.demand(job, book, team),
            stage: stage.clone(),
            service: book[stage.pool].service,
        })
    }

    fn demand(&self, job: &wire::Job, book: &Book, team: rules::TeamKey) -> Demand {
        let remaining = Duration::from_millis(job.remaining_ms).min(LONGEST_WAIT);
        let rule = &book[team];
        Demand {
            team: Tag::new(&rule.name),
            weight: rule.weight,
            team_limit: rule.endpoint_limit,
            owner: rule.owner.map(|owner| Tag::new(&book[owner].name)),
            suspect: job.crashes > 0,
            deadline: self.parts.clock.now() + remaining,
        }
    }

    fn find(&self, endpoint: &str) -> Option<&Arc<Door>> {
        let index = self
            .doors
            .binary_search_by(|door| door.name.as_str().cmp(endpoint))
            .ok()?;
        Some(&self.doors[index])
    }
}

/// Keeps the doors at the configuration in force, also without any job.
async fn follow(
    doors: Vec<Arc<Door>>,
    mut configurations: watch::Receiver<Option<Arc<Configuration>>>,
) {
    loop {
        let current = configurations.borrow_and_update().clone();
        if let Some(configuration) = current {
            for door in &doors {
                if let Some(endpoint) = configuration.book.endpoint(&door.name) {
                    adopt(door, endpoint, &configuration);
                }
            }
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

fn adopt(door: &Arc<Door>, endpoint: EndpointKey, configuration: &Configuration) {
    if door.is_at(configuration.generation) {
        return;
    }
    let book = &configuration.book;
    let terms = terms_of(book, endpoint);
    door.adopt(configuration.generation, terms, book.is_taken_out(endpoint));
}

fn terms_of(book: &Book, endpoint: EndpointKey) -> Terms {
    let endpoint = &book[endpoint];
    let reservations = book.reservations.iter();
    Terms {
        limits: Limits {
            cold_slots: endpoint.cold_slots,
            warm_slots: endpoint.warm_slots,
            warmup: Duration::from_millis(endpoint.warmup_ms),
        },
        reservations: reservations
            .filter(|one| one.pool == endpoint.pool)
            .map(|one| Reserved {
                owner: Tag::new(&book[one.owner].name),
                slots: one.slots,
            })
            .collect(),
    }
}
