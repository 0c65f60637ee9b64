//! The course of one roll-out, as one process takes part in it.

use super::{Bounds, Evidence, Exposure, Order, Outcome, Phase, Reference, Report, Reports, Stage};
use std::time::Duration;

/// Part of the rollback time for which a process may use the new version without a sign of
/// others or of the store.
const PERMISSION_DIVISOR: u32 = 2;

/// Maximum age of a report that confirms something.
pub(super) const REPORT_AGE: Duration = Duration::from_secs(3);

/// Part of bad answers that is expected of a good version at any time, while the old one
/// gets no requests.
const FULL_RATE: f64 = 0.12;

/// Time after the completion for which endpoints of other versions are avoided, which are
/// being stopped.
const COMPLETED_HOLD: Duration = Duration::from_secs(60);

/// Endpoints that an attempt may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Choice {
    /// Those of any version.
    #[default]
    Any,
    /// Those of this version. Others may be used if none is left.
    Only(String),
    /// Some of those of this version, as a part of its trial. Others may be used if none is
    /// left.
    Sample(String),
    /// Those of any but these versions.
    Without(Vec<String>),
}

/// What is to be written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The start and the phase, for processes that start later.
    Progress(Phase),
    /// The status of the order.
    Status(Phase),
}

/// One roll-out.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    pub(super) bounds: Bounds,
    pub(super) phase: Phase,
    /// Time that had passed since the order when this process learned of it.
    pub(super) elapsed: Duration,
    pub(super) learned: Duration,
    /// Time at which the phase began here.
    pub(super) since: Duration,
    /// Time at which the evidence showed that the version is bad.
    pub(super) stopped: Option<Duration>,
    /// Versions that an earlier order did not bring beyond their trial.
    pub(super) barred: Vec<String>,
    /// Phase that the status in the store states.
    pub(super) status: Option<Phase>,
    /// Phase that the object of the progress in the store states.
    pub(super) recorded: Option<Phase>,
    /// Time of the last sign of another process or of the store.
    pub(super) contact: Duration,
    pub(super) exposure: Exposure,
    /// Time since the order from which on the trial is under full load.
    pub(super) load_from: Duration,
    pub(super) reference: Reference,
    pub(super) evidence: Evidence,
    pub(super) reports: Reports,
    pub(super) old_in_flight: u32,
    pub(super) old_idle_since: Duration,
    pub(super) sequence: u64,
}

impl Rollout {
    /// Creates the state of a process that learns of an order `elapsed` after it was given.
    #[must_use]
    pub fn new(
        order: Order,
        bounds: Bounds,
        exposure: Exposure,
        elapsed: Duration,
        now: Duration,
    ) -> Self {
        Self {
            order,
            bounds,
            phase: Phase::Trial,
            elapsed,
            learned: now,
            since: now,
            stopped: None,
            barred: Vec::new(),
            status: None,
            recorded: None,
            contact: now,
            exposure,
            load_from: Duration::MAX,
            reference: Reference::default(),
            evidence: Evidence::default(),
            reports: Reports::default(),
            old_in_flight: 0,
            old_idle_since: now,
            sequence: 0,
        }
    }

    /// Takes over what an earlier order of the service leaves: a version that has not proven
    /// itself.
    #[must_use]
    pub fn succeeding(mut self, before: &Self) -> Self {
        self.barred.clone_from(&before.barred);
        let is_unproven = match before.phase {
            Phase::Trial | Phase::Withdrawn | Phase::RolledBack => true,
            Phase::Full => before.stopped.is_some(),
            Phase::Completed => false,
        };
        if is_unproven {
            self.barred.push(before.order.to.clone());
        }
        self.barred.retain(|version| *version != self.order.to);
        self
    }

    /// Returns how far the roll-out has come here.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the evidence has shown that the version is bad.
    #[must_use]
    pub const fn is_stopped(&self) -> bool {
        self.stopped.is_some()
    }

    /// Returns the time since the order.
    #[must_use]
    pub fn elapsed(&self, now: Duration) -> Duration {
        self.elapsed + now.saturating_sub(self.learned)
    }

    /// Records that at least this time has passed since the order.
    pub fn record_elapsed(&mut self, elapsed: Duration, now: Duration) {
        if elapsed > self.elapsed(now) {
            self.elapsed = elapsed;
            self.learned = now;
        }
    }

    /// Returns the numbers of requests that this process sent.
    #[must_use]
    pub const fn exposure(&self) -> &Exposure {
        &self.exposure
    }

    /// Returns the evidence of all processes.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        self.reports.sum(&self.evidence)
    }

    /// Returns whether an endpoint's version is the new one.
    #[must_use]
    pub fn is_new(&self, version: &str) -> bool {
        self.order.to == version
    }

    /// Records a sign of another process or of the store, so that what this process
    /// knows is not old.
    pub const fn record_contact(&mut self, now: Duration) {
        self.contact = now;
    }

    /// Returns whether what this process knows is recent enough to use the new version.
    #[must_use]
    pub fn is_permitted(&self, now: Duration) -> bool {
        now < self.contact + self.bounds.rollback / PERMISSION_DIVISOR
    }

    /// Returns the endpoints that an attempt may use, and takes the attempt from the limit of
    /// the trial if it may use the new version only for that.
    pub fn choose(&mut self, now: Duration) -> Choice {
        if !self.has_room(now) {
            return self.outlook(now);
        }
        self.exposure.record_exposed();
        Choice::Sample(self.order.to.clone())
    }

    /// Returns the endpoints that an attempt may use beyond the trial.
    #[must_use]
    pub fn outlook(&self, now: Duration) -> Choice {
        match self.phase {
            Phase::Completed if now < self.since + COMPLETED_HOLD => {
                Choice::Only(self.order.to.clone())
            }
            Phase::Completed => Choice::Any,
            Phase::Full if self.may_try(now) => Choice::Only(self.order.to.clone()),
            Phase::Trial | Phase::Full | Phase::Withdrawn | Phase::RolledBack => {
                let mut without = self.barred.clone();
                without.push(self.order.to.clone());
                Choice::Without(without)
            }
        }
    }

    /// Returns whether an attempt at the new version has room in the limit of the trial.
    #[must_use]
    pub fn has_room(&self, now: Duration) -> bool {
        self.phase == Phase::Trial
            && self.may_try(now)
            && self.exposure.has_room(&self.bounds, self.stage(now))
            && self.exposure.is_turn(self.stage(now))
    }

    /// Returns the stage of the trial.
    #[must_use]
    pub fn stage(&self, now: Duration) -> Stage {
        if self.elapsed(now) < self.load_from {
            Stage::Sample
        } else {
            Stage::Load
        }
    }

    fn may_try(&self, now: Duration) -> bool {
        self.stopped.is_none() && self.is_permitted(now)
    }

    /// Returns whether a request that only endpoints of `version` can run may go there.
    #[must_use]
    pub fn may_continue(&self, version: &str, now: Duration) -> bool {
        if version != self.order.to {
            return !self.barred.iter().any(|barred| barred == version);
        }
        // A stream that the new version began ends otherwise, so that the whole limit of the
        // trial is used.
        let has_room = || self.exposure.has_room(&self.bounds, Stage::Load);
        match self.phase {
            Phase::Trial => self.may_try(now) && has_room(),
            _ => !matches!(self.outlook(now), Choice::Without(_)),
        }
    }

    /// Returns whether a request that only endpoints of `version` can run may go there, and
    /// takes it from the limit of the trial.
    pub fn try_continue(&mut self, version: &str, now: Duration) -> bool {
        let may_continue = self.may_continue(version, now);
        if may_continue && self.phase == Phase::Trial && self.is_new(version) {
            self.exposure.record_exposed();
        }
        may_continue
    }

    /// Records the send of a request to an endpoint with a version.
    pub fn begin(&mut self, version: &str) {
        self.exposure.record_request();
        if self.is_new(version) && self.phase != Phase::Trial {
            self.exposure.record_exposed();
        }
    }

    /// Sets the number of requests in flight at old versions, which include those from before
    /// the order.
    pub const fn set_old_in_flight(&mut self, in_flight: u32, now: Duration) {
        if self.old_in_flight > 0 {
            self.old_idle_since = now;
        }
        self.old_in_flight = in_flight;
    }

    /// Records that a request was answered after `took` per unit of its work. While an
    /// endpoint `is_cold`, its time says nothing.
    pub fn record_answer(
        &mut self,
        route: &str,
        version: &str,
        endpoint: u64,
        took: Duration,
        is_cold: bool,
        now: Duration,
    ) -> Outcome {
        let is_slow = !is_cold && self.reference.is_slow(route, took);
        let outcome = if is_slow { Outcome::Bad } else { Outcome::Good };
        if !self.is_new(version) && !is_cold {
            self.evidence.record_time(route, took);
        }
        self.record(route, version, endpoint, outcome, now);
        outcome
    }

    /// Records that a request was not answered within `took` per unit of its work, and that
    /// nobody waits any longer. That is bad if an answer would have been slow by then.
    pub fn record_wait(
        &mut self,
        route: &str,
        version: &str,
        endpoint: u64,
        took: Duration,
        is_cold: bool,
        now: Duration,
    ) -> Outcome {
        if is_cold || !self.reference.is_slow(route, took) {
            return Outcome::Good;
        }
        self.record(route, version, endpoint, Outcome::Bad, now);
        Outcome::Bad
    }

    /// Records the outcome of a request.
    pub fn record(
        &mut self,
        route: &str,
        version: &str,
        endpoint: u64,
        outcome: Outcome,
        now: Duration,
    ) {
        if self.is_new(version) {
            // The old version can't be compared once it gets no requests.
            let rate = match self.phase {
                Phase::Trial => self.reference.rate(now),
                _ => self.reference.rate(now).max(FULL_RATE),
            };
            self.evidence.record_new(route, endpoint, outcome, rate);
        } else {
            self.evidence.record_old(route, outcome);
            self.reference.record(outcome == Outcome::Bad, now);
        }
    }

    /// Applies the order as the store shows it now, with the phase that its status states.
    pub fn apply(&mut self, order: Order, status: Option<Phase>, now: Duration) {
        self.order = order;
        self.status = status;
        match status {
            // A final outcome of a store that came back from a copy doesn't replace another.
            Some(phase) if phase.is_final() && !self.phase.is_final() => self.enter(phase, now),
            _ if self.phase == Phase::Withdrawn => self.enter(Phase::Trial, now),
            _ => {}
        }
    }

    /// Records that the order is gone from the store.
    pub fn withdraw(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Trial | Phase::Full) {
            self.enter(Phase::Withdrawn, now);
        }
    }

    /// Applies the phase that another process or the object of the progress states for the
    /// same order.
    pub fn follow(&mut self, phase: Phase, now: Duration) {
        if phase > self.phase && phase != Phase::Withdrawn && !self.phase.is_final() {
            self.enter(phase, now);
        }
    }

    /// Merges the report of another process.
    pub fn merge(&mut self, report: Report, now: Duration) {
        let stops = report.stopped && self.stopped.is_none();
        self.follow(report.phase, now);
        if self.reports.merge(report, now) && stops && !self.phase.is_final() {
            self.stopped = Some(now);
        }
    }

    /// Returns the report of this process.
    pub fn report(&mut self, instance: &str, incarnation: u64) -> Report {
        self.sequence += 1;
        Report {
            instance: instance.to_owned(),
            incarnation,
            sequence: self.sequence,
            phase: self.phase,
            stopped: self.is_stopped(),
            old_in_flight: self.old_in_flight,
            evidence: self.evidence.clone(),
        }
    }

    /// Returns recent reports of other processes, which are passed on.
    pub fn others(&self, now: Duration) -> impl Iterator<Item = &Report> {
        self.reports.all_recent(REPORT_AGE, now)
    }

    /// Records what was written to the store.
    pub fn record_write(&mut self, write: Write, now: Duration) {
        match write {
            Write::Progress(phase) => self.recorded = Some(phase),
            Write::Status(phase) => {
                self.status = Some(phase);
                if phase.is_final() && !self.phase.is_final() {
                    self.enter(phase, now);
                }
            }
        }
    }

    pub(super) const fn enter(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.since = now;
    }
}
