//! State that an entry keeps for one endpoint.

use super::Choice;
use crate::{admission::NameHash, retry};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Number of attempts without a report after which an endpoint that has been
/// silent for [`SILENCE_TIMEOUT`] is backed off.
pub const MAX_UNANSWERED: u32 = 16;

/// Time without a load report, counted from the first attempt since the last
/// one, after which an endpoint counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Initial backoff of an endpoint whose sidecar could not be reached or accepts
/// no work; doubles with each further failure.
pub const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff of an endpoint before it is probed again.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Age at which a load report is no longer taken into account.
pub const REPORT_TTL: Duration = Duration::from_secs(2);

/// Load of an endpoint as reported by its sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests queued for a slot.
    pub queued: u32,
    /// Current limit on requests in flight.
    pub slots: u32,
}

#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) endpoint: NameHash,
    pub(super) name: Arc<str>,
    pub(super) pool: NameHash,
    pub(super) data_centre: NameHash,
    pub(super) address: SocketAddr,
    pub(super) taken_out: bool,
    own_in_flight: u32,
    own_in_flight_at_report: u32,
    report: Report,
    reported_at: Duration,
    unanswered: u32,
    unanswered_since: Duration,
    failures: u32,
    backoff_until: Duration,
}

impl Row {
    pub(super) fn new(
        name: &str,
        pool: NameHash,
        data_centre: NameHash,
        address: SocketAddr,
    ) -> Self {
        Self {
            endpoint: NameHash::new(name),
            name: name.into(),
            pool,
            data_centre,
            address,
            taken_out: false,
            own_in_flight: 0,
            own_in_flight_at_report: 0,
            report: Report::default(),
            reported_at: Duration::ZERO,
            unanswered: 0,
            unanswered_since: Duration::ZERO,
            failures: 0,
            backoff_until: Duration::ZERO,
        }
    }

    /// Sets the address; if it changes, the load, silence and backoff recorded
    /// for the old address are reset.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.report = Report::default();
            self.unanswered = 0;
            self.failures = 0;
            self.backoff_until = Duration::ZERO;
        }
    }

    pub(super) fn begin_attempt(&mut self, now: Duration) {
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.own_in_flight += 1;
        self.unanswered = self.unanswered.saturating_add(1);
        if self.failures > 0 || self.is_unresponsive(now) {
            self.back_off(now);
        }
    }

    pub(super) fn end_attempt(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.own_in_flight_at_report = self.own_in_flight_at_report.min(self.own_in_flight);
    }

    pub(super) fn record_report(&mut self, report: Report, now: Duration) {
        self.report = report;
        self.reported_at = now;
        self.own_in_flight_at_report = self.own_in_flight;
        self.unanswered = 0;
        self.failures = 0;
        self.backoff_until = Duration::ZERO;
    }

    pub(super) fn back_off(&mut self, now: Duration) {
        self.backoff_until = now + self.backoff();
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether an attempt may be sent to the endpoint: it is not taken
    /// out and its backoff, if any, has ended, so that a failing endpoint is
    /// probed after each backoff.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        !self.taken_out && self.backoff_until <= now
    }

    /// Returns the time at which the backoff ends.
    pub(super) const fn available_at(&self) -> Duration {
        self.backoff_until
    }

    /// Returns the load of the endpoint in thousandths of its slots.
    ///
    /// The weight of a report decreases linearly with its age; attempts that
    /// this entry started after the report count in full, and the load is never
    /// lower than that of its own attempts in flight.
    pub(super) fn load(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.reported_at).min(REPORT_TTL);
        let fresh = (REPORT_TTL - age).as_millis();
        let reported = u128::from(self.report.in_flight + self.report.queued);
        let faded = reported * fresh / REPORT_TTL.as_millis();
        let faded = u64::try_from(faded).unwrap_or(u64::MAX);
        let since = u64::from(self.own_in_flight - self.own_in_flight_at_report);
        let work = (faded + since).max(u64::from(self.own_in_flight));
        work * 1000 / u64::from(self.report.slots.max(1))
    }

    /// Records that an attempt received nothing more; the endpoint counts as
    /// silent from now on.
    pub(super) fn record_silence(&mut self, now: Duration) {
        self.unanswered = self.unanswered.max(1);
        self.unanswered_since = self
            .unanswered_since
            .min(now.saturating_sub(SILENCE_TIMEOUT));
    }

    /// Returns whether attempts have been waiting for a report for
    /// [`SILENCE_TIMEOUT`].
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        self.unanswered > 0 && now.saturating_sub(self.unanswered_since) >= SILENCE_TIMEOUT
    }

    pub(super) fn choice(&self) -> Choice {
        Choice {
            endpoint: self.endpoint,
            name: Arc::clone(&self.name),
            address: self.address,
        }
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        self.unanswered >= MAX_UNANSWERED
            && now.saturating_sub(self.unanswered_since) >= SILENCE_TIMEOUT
    }

    fn backoff(&self) -> Duration {
        retry::backoff(MIN_BACKOFF, MAX_BACKOFF, self.failures)
    }
}
