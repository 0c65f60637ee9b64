//! State of the sidecar and admission of jobs.

use super::{
    Claims, heartbeat, job,
    limiter::{Limiter, Slot},
    updates,
};
use crate::{
    clock::{self, Clock},
    configuration::{Configuration, Holder},
    endpoint,
    metrics::Metrics,
    operator, platform,
    quarantine::{self, Suspects},
    settings::Settings,
};
use cicadacrank_core::{
    accounting::{Account, Key},
    admission::{ColdReason, Demand, NameHash},
    error::Kind,
    id,
    once::{ExecutionError, Unsent},
    quarantine::{CRASH_LIMIT, Fingerprint, Status},
    rules::{self, Definitions},
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
use tokio::{sync::mpsc, time};
use tokio_util::task::TaskTracker;

/// Maximum number of frames buffered for a slow entry, in each of a job's two
/// channels.
const FRAME_BUFFER: usize = 64;

/// Maximum wait for a configuration generation that a job requires and this
/// process does not have yet.
const GENERATION_WAIT: Duration = Duration::from_millis(250);

/// Delays before the probes that determine whether an endpoint crashed. A dying
/// process may close its connections before the port on which it listens.
const CRASH_PROBE_DELAYS_MS: [u64; 4] = [0, 5, 20, 50];

/// Maximum wait for a slot, regardless of the deadline of the job.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(600);

/// Dependencies of a sidecar.
pub struct Parts {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Holder of the configuration in force.
    pub holder: Arc<Holder>,
    /// Platform that stores claims and accounts.
    pub store: Arc<dyn platform::Store>,
    /// Client for the endpoints.
    pub port: Arc<dyn endpoint::Port>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Admits and runs all jobs for the endpoints behind this process.
pub struct Service {
    pub(super) parts: Parts,
    pub(super) claims: Claims,
    limiters: Vec<Arc<Limiter>>,
    since_ms: u64,
    suspects: Arc<Suspects>,
    leaving: AtomicBool,
    tracker: TaskTracker,
}

/// Slot of an admitted job, with the rules and the address to run it by.
pub(super) struct Admitted {
    pub(super) slot: Slot,
    pub(super) stage: rules::Stage,
    pub(super) service: rules::Service,
    pub(super) address: SocketAddr,
}

/// Result of checking a job against the rules.
struct Checked {
    limiter: Arc<Limiter>,
    demand: Demand,
    stage: rules::Stage,
    service: rules::Service,
}

impl Service {
    /// Creates the service; its endpoints are considered cold.
    ///
    /// Must be called inside a Tokio runtime, because it spawns the tasks that
    /// apply configurations and health reports to the limiters.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let since_ms = parts.clock.unix_ms();
        let ttl = Duration::from_millis(parts.settings.timeouts.claim_ms);
        let claims = Claims::new(Arc::clone(&parts.store), parts.clock, ttl);
        let endpoints = parts.settings.endpoints.iter();
        let mut limiters: Vec<Arc<Limiter>> = endpoints
            .map(|endpoint| Arc::new(Limiter::new(endpoint, parts.clock)))
            .collect();
        limiters.sort_by(|one, other| one.name.cmp(&other.name));
        let suspects = Arc::new(Suspects::new(parts.clock));
        for limiter in &limiters {
            tokio::spawn(updates::follow_rules(
                Arc::clone(limiter),
                parts.holder.subscribe(),
            ));
            let health = updates::poll_health(
                Arc::clone(limiter),
                Arc::clone(&parts.port),
                Arc::clone(&suspects),
                parts.holder.subscribe(),
            );
            tokio::spawn(health);
        }
        Self {
            suspects,
            parts,
            claims,
            limiters,
            since_ms,
            leaving: AtomicBool::new(false),
            tracker: TaskTracker::new(),
        }
    }

    /// Starts a job and returns a receiver for the frames of its answer.
    ///
    /// Once admitted, a job that is not repeatable runs to its end even if the
    /// receiver is dropped, so that its outcome is recorded.
    pub fn run(self: &Arc<Self>, job: wire::Job) -> mpsc::Receiver<wire::Frame> {
        let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
        self.parts.metrics.attempts.inc();
        let (inner, frames) = mpsc::channel(FRAME_BUFFER);
        let (attempt, endpoint) = (job.attempt.clone(), job.endpoint.clone());
        let heartbeat = heartbeat::run(Arc::clone(self), attempt, endpoint, frames, sender);
        self.tracker.spawn(heartbeat);
        self.tracker.spawn(job::run(Arc::clone(self), job, inner));
        receiver
    }

    /// Returns the configuration generation in force; zero when there is none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.parts.holder.generation()
    }

    /// Stops admission permanently and rejects all queued jobs.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.limiters.iter().for_each(Limiter::leave);
    }

    /// Returns the requests suspected of crashing endpoints.
    #[must_use]
    pub const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Marks an endpoint as cold, which restarts its warm-up.
    pub fn mark_cold(&self, endpoint: &str, reason: ColdReason) {
        if let Some(limiter) = self.limiter(endpoint) {
            limiter.mark_cold(reason);
        }
    }

    /// Returns whether the process accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst) && self.parts.holder.current().is_some()
    }

    /// Waits until all jobs have ended.
    pub async fn finish(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Returns the phase and the load of each endpoint, sorted by name.
    #[must_use]
    pub fn endpoints(&self) -> Vec<operator::Endpoint> {
        let endpoint = |limiter: &Arc<Limiter>| {
            let load = limiter.load().unwrap_or_default();
            operator::Endpoint {
                name: limiter.name.clone(),
                phase: phase_name(&load).to_owned(),
                in_flight: load.in_flight,
                queued: load.queued,
                slots: load.slots,
            }
        };
        self.limiters.iter().map(endpoint).collect()
    }

    /// Updates the slot time of all endpoints.
    pub(super) fn count_slots(&self) {
        self.limiters
            .iter()
            .for_each(|limiter| limiter.count_slots());
    }

    /// Returns the accounts of the endpoints, sorted by name of endpoint.
    pub(super) fn accounts(&self) -> Vec<Account> {
        let limiters = self.limiters.iter();
        limiters
            .map(|limiter| limiter.account(self.since_ms))
            .collect()
    }

    /// Returns the load of an endpoint; `None` if the endpoint is unknown or no
    /// rules for it were adopted yet.
    #[must_use]
    pub fn load(&self, endpoint: &str) -> Option<wire::Load> {
        self.limiter(endpoint)?.load()
    }

    /// Checks a job against the rules and waits for a slot.
    pub(super) async fn admit(
        &self,
        job: &wire::Job,
        unsent: Unsent,
    ) -> Result<(Admitted, Unsent), ExecutionError> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err(unsent.refuse(Kind::Leaving, "admitting a job"));
        }
        self.parts.holder.hint(job.generation);
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

    /// Waits for a slot. If the rules change during the wait, the job is
    /// checked again against the new ones.
    async fn wait_for_slot(
        &self,
        job: &wire::Job,
        configuration: Arc<Configuration>,
    ) -> Result<Admitted, Kind> {
        let mut checked = self.check(job, &configuration)?;
        checked.limiter.wait_until_observed().await;
        let suspect = checked.demand.suspect;
        let mut slot = checked.limiter.acquire(checked.demand).await?;
        slot.charge(account_key(job));
        if self.is_suspect(job)? && !suspect {
            // The request became suspect while it was queued, and a suspect may
            // only run where no other suspect runs.
            return Err(Kind::Overloaded);
        }
        if let Some(current) = self.parts.holder.current()
            && current.generation != configuration.generation
        {
            checked = self.check(job, &current)?;
        }
        Ok(Admitted {
            slot,
            stage: checked.stage,
            service: checked.service,
            address: checked.limiter.address,
        })
    }

    fn check(&self, job: &wire::Job, configuration: &Configuration) -> Result<Checked, Kind> {
        let definitions = &configuration.definitions;
        let team = definitions.team(&job.team).ok_or(Kind::Forbidden)?;
        let pipeline = definitions
            .pipeline(&job.pipeline)
            .ok_or(Kind::UnknownPipeline)?;
        let stage = definitions[pipeline]
            .stages
            .iter()
            .find(|stage| stage.name == job.stage);
        let stage = stage.ok_or(Kind::UnknownPipeline)?;
        let endpoint = definitions
            .endpoint(&job.endpoint)
            .ok_or(Kind::NoEndpoint)?;
        let limiter = self.limiter(&job.endpoint).ok_or(Kind::NoEndpoint)?;
        if definitions[endpoint].pool != stage.pool {
            return Err(Kind::NoEndpoint);
        }
        if !definitions.is_granted(team, stage.pool, clock::minute_of_day()) {
            return Err(Kind::Forbidden);
        }
        updates::apply_rules(limiter, endpoint, configuration);
        if definitions.is_taken_out(endpoint) {
            return Err(Kind::TakenOut);
        }
        Ok(Checked {
            limiter: Arc::clone(limiter),
            demand: Demand {
                suspect: self.is_suspect(job)?,
                ..self.demand(job, definitions, team)
            },
            stage: stage.clone(),
            service: definitions[stage.pool].service,
        })
    }

    fn demand(&self, job: &wire::Job, definitions: &Definitions, team: rules::TeamKey) -> Demand {
        let remaining = Duration::from_millis(job.remaining_ms).min(MAX_SLOT_WAIT);
        let rule = &definitions[team];
        Demand {
            team: NameHash::new(&rule.name),
            weight: rule.weight,
            team_limit: rule.endpoint_limit,
            owner: rule
                .owner
                .map(|owner| NameHash::new(&definitions[owner].name)),
            suspect: false,
            deadline: self.parts.clock.now() + remaining,
        }
    }

    /// Returns whether a job is suspected of crashing endpoints, according to
    /// this process or the entry that sent the job; fails if it is quarantined.
    fn is_suspect(&self, job: &wire::Job) -> Result<bool, Kind> {
        let limit = u32::try_from(CRASH_LIMIT).unwrap_or(u32::MAX);
        let causes = self.suspects.causes();
        if causes.find(&quarantine::job_causes(job)).is_some() {
            return Err(Kind::Quarantined);
        }
        match self.suspects.status(fingerprint(job)) {
            Status::Quarantined => Err(Kind::Quarantined),
            _ if job.crashes >= limit => Err(Kind::Quarantined),
            Status::Suspect => Ok(true),
            Status::Clear => Ok(job.crashes > 0),
        }
    }

    /// Clears a job that its endpoint answered completely, and that was sent to it at
    /// `sent`.
    pub(super) fn clear_suspect(&self, job: &wire::Job, sent: Duration) {
        self.suspects.clear(fingerprint(job));
        let causes = quarantine::job_causes(job);
        self.suspects.causes().clear(&causes, sent);
    }

    /// Records that the connection to the endpoint broke during the job, and
    /// returns whether the endpoint crashed.
    ///
    /// The endpoint crashed if it refuses connections or reports a restart. It
    /// is probed again while it does neither and gives no report either.
    pub(super) async fn detect_crash(
        &self,
        job: &wire::Job,
        address: SocketAddr,
        sent: Duration,
    ) -> bool {
        let Some(attempt) = id::Attempt::parse(&job.attempt) else {
            return false;
        };
        let Some(limiter) = self.limiter(&job.endpoint) else {
            return false;
        };
        let port = &self.parts.port;
        let cut = limiter.record_cut(fingerprint(job), attempt, quarantine::job_causes(job), sent);
        for delay_ms in CRASH_PROBE_DELAYS_MS {
            time::sleep(Duration::from_millis(delay_ms)).await;
            if port.is_refusing(address).await {
                updates::record_crash(&cut, &self.suspects);
                return true;
            }
            let health = port.health(address).await;
            updates::apply_health(limiter, health, &self.suspects);
            if health.is_some() {
                break;
            }
        }
        self.suspects.has_crash(fingerprint(job), attempt)
    }

    fn limiter(&self, endpoint: &str) -> Option<&Arc<Limiter>> {
        let index = self
            .limiters
            .binary_search_by(|limiter| limiter.name.as_str().cmp(endpoint))
            .ok()?;
        Some(&self.limiters[index])
    }
}

/// Returns the name of the phase in a load.
fn phase_name(load: &wire::Load) -> &'static str {
    match load.phase {
        0 => "cold",
        1 => "warming",
        2 => "warm",
        _ => "leaving",
    }
}

fn account_key(job: &wire::Job) -> Key {
    Key {
        pipeline: job.pipeline.clone(),
        stage: job.stage.clone(),
        team: job.team.clone(),
    }
}

fn fingerprint(job: &wire::Job) -> Fingerprint {
    Fingerprint::new(&job.team, &job.pipeline, &job.stage, &job.digest)
}
