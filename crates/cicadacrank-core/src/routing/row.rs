//! What an entry knows of one endpoint.

use super::Choice;
use crate::{admission::Tag, retry};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Attempts that may go to an endpoint that has been silent for [`QUIET`].
pub const UNHEARD: u32 = 16;

/// Time without a sign of life, with attempts under way, that counts as
/// silence.
pub const QUIET: Duration = Duration::from_millis(200);

/// Time an endpoint is left out after its sidecar could not be reached; doubles
/// with each failure that follows.
pub const FIRST_SHUN: Duration = Duration::from_millis(500);

/// Longest time an endpoint is left out before another probe.
pub const LONGEST_SHUN: Duration = Duration::from_secs(8);

/// Age at which a load report says nothing any more.
pub const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Load of an endpoint as its sidecar reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests in flight that the endpoint bears.
    pub slots: u32,
}

#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) endpoint: Tag,
    pub(super) name: Arc<str>,
    pub(super) pool: Tag,
    pub(super) data_centre: Tag,
    pub(super) address: SocketAddr,
    pub(super) taken_out: bool,
    own: u32,
    own_at_report: u32,
    report: Report,
    reported_at: Duration,
    unheard: u32,
    unheard_since: Duration,
    failures: u32,
    shunned_until: Duration,
}

impl Row {
    pub(super) fn new(name: &str, pool: Tag, data_centre: Tag, address: SocketAddr) -> Self {
        Self {
            endpoint: Tag::new(name),
            name: name.into(),
            pool,
            data_centre,
            address,
            taken_out: false,
            own: 0,
            own_at_report: 0,
            report: Report::default(),
            reported_at: Duration::ZERO,
            unheard: 0,
            unheard_since: Duration::ZERO,
            failures: 0,
            shunned_until: Duration::ZERO,
        }
    }

    /// Gives the endpoint a new address, of which nothing is known yet.
    pub(super) fn readdress(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.report = Report::default();
            self.unheard = 0;
            self.failures = 0;
            self.shunned_until = Duration::ZERO;
        }
    }

    pub(super) fn begin(&mut self, now: Duration) {
        if self.unheard == 0 {
            self.unheard_since = now;
        }
        self.own += 1;
        self.unheard = self.unheard.saturating_add(1);
        if self.failures > 0 || self.is_silent(now) {
            self.shun(now);
        }
    }

    pub(super) fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.own_at_report = self.own_at_report.min(self.own);
    }

    pub(super) fn hear(&mut self, report: Report, now: Duration) {
        self.report = report;
        self.reported_at = now;
        self.own_at_report = self.own;
        self.unheard = 0;
        self.failures = 0;
        self.shunned_until = Duration::ZERO;
    }

    pub(super) fn shun(&mut self, now: Duration) {
        self.shunned_until = now + self.pause();
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether an attempt may go there: always to an endpoint that
    /// speaks, and once in a while to one that does not.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        !self.taken_out && self.shunned_until <= now
    }

    /// Returns the time from which an attempt may go there.
    pub(super) const fn opens(&self) -> Duration {
        self.shunned_until
    }

    /// Returns the work at the endpoint in thousandths of its slots.
    ///
    /// A report fades with its age; what this entry began since counts in full.
    pub(super) fn load(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.reported_at).min(REPORT_LIFE);
        let fresh = (REPORT_LIFE - age).as_millis();
        let reported = u128::from(self.report.in_flight + self.report.queued);
        let faded = reported * fresh / REPORT_LIFE.as_millis();
        let faded = u64::try_from(faded).unwrap_or(u64::MAX);
        let since = u64::from(self.own - self.own_at_report);
        let work = (faded + since).max(u64::from(self.own));
        work * 1000 / u64::from(self.report.slots.max(1))
    }

    /// Notes that an attempt heard nothing more.
    pub(super) fn miss(&mut self, now: Duration) {
        self.unheard = self.unheard.max(1);
        self.unheard_since = self.unheard_since.min(now.saturating_sub(QUIET));
    }

    /// Returns whether attempts have waited for a sign of life for [`QUIET`].
    pub(super) fn is_quiet(&self, now: Duration) -> bool {
        self.unheard > 0 && now.saturating_sub(self.unheard_since) >= QUIET
    }

    pub(super) fn choice(&self) -> Choice {
        Choice {
            endpoint: self.endpoint,
            name: Arc::clone(&self.name),
            address: self.address,
        }
    }

    fn is_silent(&self, now: Duration) -> bool {
        self.unheard >= UNHEARD && now.saturating_sub(self.unheard_since) >= QUIET
    }

    fn pause(&self) -> Duration {
        retry::pause(FIRST_SHUN, LONGEST_SHUN, self.failures)
    }
}
