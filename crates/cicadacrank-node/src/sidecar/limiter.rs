//! Admission of jobs to one endpoint behind the sidecar.

use crate::{clock::Clock, settings::Endpoint};
use cicadacrank_core::{
    accounting::{Account, Key, Ledger},
    admission::{
        Admission, ColdReason, Completion, Decision, Demand, Gate, Health, Policy, Ticket,
    },
    directory::Incarnation,
    error::Kind,
    id,
    quarantine::{
        Fingerprint,
        cause::{Cause, Crash},
    },
};
use cicadacrank_wire::wire;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{oneshot, watch},
    time,
};

/// Period after a broken connection in which a reported restart is taken for
/// its cause.
const CUT_TTL: Duration = Duration::from_secs(5);

/// Gate, queued jobs and slot time of one endpoint.
pub(super) struct Limiter {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    clock: Clock,
    state: Mutex<State>,
    /// Whether the first health request to the endpoint has ended.
    observed: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    gate: Option<Gate>,
    /// Health report that arrived before the first rules.
    early_report: Option<Health>,
    generation: u64,
    taken_out: bool,
    waiting: Vec<Waiter>,
    cuts: Vec<Cut>,
    ledger: Ledger,
}

/// A job whose connection to the endpoint broke.
#[derive(Clone)]
pub(super) struct Cut {
    pub(super) fingerprint: Fingerprint,
    pub(super) attempt: id::Attempt,
    /// What other jobs share with this one that may have crashed the endpoint.
    pub(super) causes: Vec<Cause>,
    /// The crash, if the endpoint crashed.
    pub(super) crash: Crash,
}

struct Waiter {
    ticket: Ticket,
    sender: oneshot::Sender<Result<Slot, Kind>>,
}

/// Result for a queued job, to be sent after the lock is released.
struct Delivery {
    sender: oneshot::Sender<Result<Slot, Kind>>,
    result: Result<Slot, Kind>,
}

/// Slot of a request in flight at an endpoint; dropping it frees the slot.
pub(super) struct Slot {
    limiter: Arc<Limiter>,
    ticket: Ticket,
    completion: Completion,
    key: Option<Key>,
}

/// Removes a job from the queue when the job stops waiting.
struct Guard<'a> {
    limiter: &'a Limiter,
    ticket: Ticket,
}

impl Slot {
    /// Charges the time from now until the slot is freed to `key`.
    pub(super) fn charge(&mut self, key: Key) {
        self.limiter
            .update_ledger(|ledger, slots, now| ledger.begin(&key, slots, now));
        self.key = Some(key);
    }

    /// Frees the slot and reports to the gate how the work ended.
    pub(super) fn release(mut self, completion: Completion) {
        self.completion = completion;
    }

    /// Records that the first part of the answer arrived.
    pub(super) fn record_first_part(&self) {
        let now = self.limiter.clock.now();
        if let Some(gate) = &mut self.limiter.lock().gate {
            gate.record_first_part(self.ticket, now);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(key) = &self.key {
            self.limiter
                .update_ledger(|ledger, slots, now| ledger.end(key, slots, now));
        }
        let now = self.limiter.clock.now();
        self.limiter
            .apply_decisions(|gate| gate.release(self.ticket, self.completion, now));
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.waiting.retain(|one| one.ticket != self.ticket);
        if let Some(gate) = &mut state.gate {
            gate.cancel(self.ticket);
        }
    }
}

impl Limiter {
    /// Creates the limiter of an endpoint.
    ///
    /// It admits no job before the first call of [`Self::adopt`], after which
    /// the endpoint is considered cold.
    pub(super) fn new(endpoint: &Endpoint, clock: Clock) -> Self {
        Self {
            name: endpoint.name.clone(),
            address: endpoint.address,
            clock,
            state: Mutex::default(),
            observed: watch::Sender::new(false),
        }
    }

    /// Returns whether the limiter has adopted this generation or a newer one.
    pub(super) fn has_adopted(&self, generation: u64) -> bool {
        let state = self.lock();
        state.gate.is_some() && state.generation >= generation
    }

    /// Adopts the rules of a newer generation for the endpoint; an older or
    /// equal generation is ignored.
    ///
    /// Queued jobs are rejected if the endpoint is taken out. An endpoint that
    /// is brought back is considered cold.
    pub(super) fn adopt(self: &Arc<Self>, generation: u64, policy: Policy, taken_out: bool) {
        {
            let mut state = self.lock();
            if generation <= state.generation && state.gate.is_some() {
                return;
            }
            state.generation = generation;
            let brought_back = state.taken_out && !taken_out;
            state.taken_out = taken_out;
            match &mut state.gate {
                Some(gate) => {
                    gate.set_policy(policy);
                    if brought_back {
                        gate.mark_cold(ColdReason::BroughtBack);
                    }
                }
                None => {
                    let mut gate = Gate::new(policy);
                    if let Some(report) = state.early_report.take() {
                        gate.observe(Some(report));
                    }
                    state.gate = Some(gate);
                }
            }
        }
        let now = self.clock.now();
        self.apply_decisions(|gate| {
            if taken_out {
                gate.reject_queued(Kind::TakenOut)
            } else {
                gate.tick(now)
            }
        });
    }

    /// Waits for a slot until the deadline of the demand.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NotReady`] if no rules were adopted yet,
    /// [`Kind::Overloaded`] if the deadline passes, and otherwise the kind with
    /// which the gate rejects the job.
    pub(super) async fn acquire(self: &Arc<Self>, demand: Demand) -> Result<Slot, Kind> {
        let now = self.clock.now();
        let (ticket, receiver) = {
            let mut state = self.lock();
            let gate = state.gate.as_mut().ok_or(Kind::NotReady)?;
            match gate.acquire(demand, now)? {
                Admission::Admitted(ticket) => return Ok(self.slot(ticket)),
                Admission::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.push(Waiter { ticket, sender });
                    (ticket, receiver)
                }
            }
        };
        let _guard = Guard {
            limiter: self,
            ticket,
        };
        self.apply_decisions(|gate| gate.tick(now));
        let deadline = self.clock.instant(demand.deadline);
        match time::timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Kind::Overloaded),
        }
    }

    /// Processes a health report, or `None` if it failed. If the report shows a
    /// restart, returns the jobs whose connections broke shortly before.
    pub(super) fn observe(&self, health: Option<Health>) -> Vec<Cut> {
        let now = self.clock.now();
        let mut state = self.lock();
        let reason = match &mut state.gate {
            Some(gate) => gate.observe(health),
            None => {
                state.early_report = health.or(state.early_report);
                None
            }
        };
        state.cuts.retain(|cut| now < cut.crash.at + CUT_TTL);
        if reason == Some(ColdReason::Incarnation) {
            return std::mem::take(&mut state.cuts);
        }
        Vec::new()
    }

    /// Records that the first health request to the endpoint has ended, with
    /// or without a report.
    pub(super) fn mark_observed(&self) {
        self.observed.send_replace(true);
    }

    /// Waits until the first health request to the endpoint has ended.
    ///
    /// Without the incarnation from before a job, a restart that the job causes
    /// cannot be distinguished from a first report.
    pub(super) async fn wait_until_observed(&self) {
        // The wait fails only if the sender is dropped, and `self` holds it.
        drop(
            self.observed
                .subscribe()
                .wait_for(|observed| *observed)
                .await,
        );
    }

    /// Returns whether rules were adopted and the endpoint has not made a
    /// health report since.
    pub(super) fn has_never_reported(&self) -> bool {
        let state = self.lock();
        let gate = state.gate.as_ref();
        gate.is_some_and(|gate| gate.incarnation().is_none())
    }

    /// Records a broken connection, which a later health report may show to be
    /// the result of a restart, for a job that was sent at `sent`.
    pub(super) fn record_cut(
        &self,
        fingerprint: Fingerprint,
        attempt: id::Attempt,
        causes: Vec<Cause>,
        sent: Duration,
    ) -> Cut {
        let mut state = self.lock();
        let endpoint = Incarnation {
            id: self.name.clone(),
            born: state.gate.as_ref().and_then(Gate::incarnation),
        };
        let crash = Crash {
            endpoint: endpoint.digest(),
            sent,
            at: self.clock.now(),
            cleared: false,
        };
        let cut = Cut {
            fingerprint,
            attempt,
            causes,
            crash,
        };
        state.cuts.push(cut.clone());
        cut
    }

    /// Marks the endpoint as cold, which restarts its warm-up.
    pub(super) fn mark_cold(&self, reason: ColdReason) {
        if let Some(gate) = &mut self.lock().gate {
            gate.mark_cold(reason);
        }
    }

    /// Stops admission permanently and rejects all queued jobs.
    pub(super) fn leave(self: &Arc<Self>) {
        self.apply_decisions(Gate::leave);
    }

    /// Returns the load of the endpoint; `None` if no rules were adopted yet.
    pub(super) fn load(&self) -> Option<wire::Load> {
        self.lock().gate.as_ref().map(|gate| wire::Load {
            in_flight: gate.in_flight(),
            queued: gate.queued(),
            slots: gate.slots(),
            phase: gate.phase() as u32,
        })
    }

    /// Updates the ledger with the current number of slots.
    pub(super) fn count_slots(&self) {
        self.update_ledger(Ledger::tick);
    }

    /// Returns the account of this incarnation up to now.
    pub(super) fn account(&self, since_ms: u64) -> Account {
        self.count_slots();
        let now = self.clock.now();
        self.lock().ledger.account(&self.name, since_ms, now)
    }

    fn update_ledger(&self, update: impl FnOnce(&mut Ledger, u32, Duration)) {
        let now = self.clock.now();
        let mut state = self.lock();
        let slots = state.gate.as_ref().map_or(0, Gate::slots);
        update(&mut state.ledger, slots, now);
    }

    /// Runs `decide` on the gate and sends the decisions to the queued jobs.
    ///
    /// They are sent after the lock is released: if the receiver is gone, the
    /// slot is dropped, which calls this method again.
    fn apply_decisions(self: &Arc<Self>, decide: impl FnOnce(&mut Gate) -> Vec<Decision>) {
        let deliveries: Vec<Delivery> = {
            let mut state = self.lock();
            let decisions = state.gate.as_mut().map(decide).unwrap_or_default();
            let decisions = decisions.into_iter();
            decisions
                .filter_map(|decision| self.deliver(&mut state, decision))
                .collect()
        };
        for delivery in deliveries {
            drop(delivery.sender.send(delivery.result));
        }
    }

    fn deliver(self: &Arc<Self>, state: &mut State, decision: Decision) -> Option<Delivery> {
        let index = state
            .waiting
            .binary_search_by_key(&decision.ticket, |one| one.ticket)
            .ok()?;
        Some(Delivery {
            sender: state.waiting.remove(index).sender,
            result: decision.result.map(|()| self.slot(decision.ticket)),
        })
    }

    fn slot(self: &Arc<Self>, ticket: Ticket) -> Slot {
        Slot {
            limiter: Arc::clone(self),
            ticket,
            completion: Completion::Neutral,
            key: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
