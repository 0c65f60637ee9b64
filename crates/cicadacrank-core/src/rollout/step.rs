//! Steps of a roll-out, and who takes them.

use super::{
    Judgement, Phase,
    progress::{REPORT_AGE, Rollout, Write},
};
use std::time::Duration;

/// Part of the ordered time that is kept as a margin for reports and for the write of the
/// outcome.
const MARGIN_DIVISOR: u32 = 10;

/// Minimum of that margin.
const MIN_MARGIN: Duration = Duration::from_secs(6);

/// Earliest time at which the new version gets all requests, as a part of the ordered time.
const MIN_TRIAL: f64 = 0.45;

/// Part of the trial that is left when the new version gets all requests for a moment, for
/// their answers and the reports of them.
const LOAD_DIVISOR: u32 = 4;

/// Minimum of that time.
const MIN_LOAD_TIME: Duration = Duration::from_secs(4);

/// Time after which other processes write what the controller should have written.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// A process that takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// Name of its instance.
    pub instance: &'a str,
    /// Start time, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether it was heard of lately.
    pub is_live: bool,
}

/// What a process knows beside the roll-out.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Whether this process is the controller.
    pub is_controller: bool,
    /// The other processes, without those that have left.
    pub others: &'a [Member<'a>],
    /// Number of usable endpoints of old versions.
    pub old: usize,
    /// Number of usable endpoints of the new version.
    pub new: usize,
    /// Time that requests last at most.
    pub drain: Duration,
    /// Time after its last request for which an old endpoint still holds results.
    pub linger: Duration,
}

impl Rollout {
    /// Judges the version, and returns what this process has to write now.
    pub fn step(&mut self, view: &View<'_>, now: Duration) -> Option<Write> {
        let trial = self.trial_time(view);
        let load = MIN_LOAD_TIME.max(trial / LOAD_DIVISOR);
        self.load_from = if self.may_serve(view) {
            trial.saturating_sub(load)
        } else {
            Duration::MAX
        };
        if matches!(self.phase, Phase::Trial | Phase::Full) {
            self.judge(view, now);
        }
        if self.phase == Phase::Withdrawn {
            return None;
        }
        let outcome = self.outcome(view, now);
        let is_due = view.is_controller
            || (self.phase.is_final() && now >= self.since + TAKEOVER_TIME)
            || self.stopped.is_some_and(|at| now >= at + TAKEOVER_TIME);
        if !is_due {
            return None;
        }
        if self.recorded != Some(self.phase) && !outcome.is_final() {
            return Some(Write::Progress(self.phase));
        }
        let stated = match outcome {
            Phase::Full => Phase::Trial,
            outcome => outcome,
        };
        (self.status != Some(stated)).then_some(Write::Status(stated))
    }

    fn judge(&mut self, view: &View<'_>, now: Duration) {
        if self.stopped.is_some() {
            return;
        }
        let evidence = self.evidence();
        self.reference.update(&evidence);
        let judgement = evidence.judge(view.new);
        let is_due = self.phase == Phase::Trial && self.elapsed(now) >= self.trial_time(view);
        let has_failed = match judgement {
            Judgement::Bad => true,
            Judgement::Suspect => is_due,
            Judgement::Good => is_due && self.elapsed(now) >= self.order.duration,
        };
        if has_failed {
            self.stopped = Some(now);
        } else if is_due && view.is_controller && self.may_serve(view) && self.is_permitted(now) {
            self.enter(Phase::Full, now);
        }
    }

    /// Returns whether the new version has enough endpoints for all requests.
    const fn may_serve(&self, view: &View<'_>) -> bool {
        view.new > 0 && view.new * 2 >= view.old
    }

    /// Returns the time since the order from which on the new version gets all requests. It
    /// is as late as the requests of the old version allow.
    fn trial_time(&self, view: &View<'_>) -> Duration {
        let duration = self.order.duration;
        let margin = MIN_MARGIN.max(duration / MARGIN_DIVISOR);
        let time = duration.saturating_sub(view.drain + view.linger + margin);
        time.max(duration.mul_f64(MIN_TRIAL))
    }

    /// Returns the phase that the roll-out is in, or comes to once that is written.
    fn outcome(&self, view: &View<'_>, now: Duration) -> Phase {
        match self.phase {
            phase if phase.is_final() => phase,
            _ if self.stopped.is_some() => Phase::RolledBack,
            Phase::Full if self.is_done(view, now) => Phase::Completed,
            phase => phase,
        }
    }

    /// Returns whether no process uses an old version any more.
    fn is_done(&self, view: &View<'_>, now: Duration) -> bool {
        let is_idle = self.old_in_flight == 0 && now >= self.old_idle_since + view.linger;
        // Requests that a silent process may have had are over by then.
        let are_over = now >= self.since + view.drain + view.linger;
        let has_confirmed = |other: &Member<'_>| {
            let age = REPORT_AGE;
            let report = self
                .reports
                .recent(other.instance, other.incarnation, age, now);
            report.is_some_and(|report| report.phase == Phase::Full && report.old_in_flight == 0)
        };
        let mut others = view.others.iter();
        is_idle
            && now >= self.since + view.linger
            && self.is_permitted(now)
            && others.all(|other| has_confirmed(other) || (!other.is_live && are_over))
    }
}
