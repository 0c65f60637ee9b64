//! Limits on the requests that all processes together send to an endpoint: the one for
//! a cold start, and one that the endpoint states.

use super::{Row, rendezvous_weight};
use crate::share::{Throttle, Window};
use std::time::Duration;

/// Allowance for the delay of reports, so that a statement does not look newer at
/// each process that passes it on.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Number of requests, relative to a stated limit, above which it is broken.
const LIMIT_OVERRUN: f64 = 1.5;

/// Number of requests added to that.
const LIMIT_TOLERANCE: f64 = 5.0;

/// The limit that an endpoint stated last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests a second that it takes from all processes together, or `None` if it
    /// stated none.
    pub per_second: Option<f64>,
    /// Time of the statement. Zero may be any time before the start of the process.
    pub at: Duration,
}

impl Limit {
    /// Creates the limit that another process reports, which the endpoint stated
    /// `age` before the report was sent.
    #[must_use]
    pub const fn reported(per_second: Option<f64>, age: Duration, now: Duration) -> Self {
        Self {
            per_second,
            at: now.saturating_sub(age).saturating_sub(REPORT_DELAY),
        }
    }
}

impl Row {
    /// Returns whether one more request is within the share of this process in the
    /// limits of the endpoint.
    ///
    /// The limit for a cold endpoint is always enforced, since an endpoint may become
    /// cold without notice.
    pub(super) fn may_send(&self, cold_rate: f64, share: Share, now: Duration) -> bool {
        let windows = self.windows(cold_rate);
        windows.into_iter().flatten().all(|(window, limit)| {
            let grant = share.grant(limit, &self.endpoint.life.id);
            self.account.sends.may_send(window, grant, now)
        })
    }

    /// Returns the number of requests that this process may send until `until`.
    pub(super) fn sends_until(
        &self,
        cold_rate: f64,
        share: Share,
        now: Duration,
        until: Duration,
    ) -> usize {
        let now = now.max(self.paused_until());
        if now > until {
            return 0;
        }
        let windows = self.windows(cold_rate).into_iter().flatten();
        let sends = windows.map(|(window, limit)| {
            // Without a share, one request may be granted from the reserve.
            let grant = share.grant(limit, &self.endpoint.life.id).max(1);
            self.account.sends.sends_until(window, grant, now, until)
        });
        sends.min().unwrap_or(usize::MAX)
    }

    /// Returns the windows in which the endpoint is limited, each with the number of
    /// requests that it takes from all processes together.
    fn windows(&self, cold_rate: f64) -> [Option<(Window, f64)>; 2] {
        let stated = self.stated_limit();
        [
            (cold_rate > 0.0).then_some((Window::Cold, cold_rate)),
            stated.map(|limit| (Window::Stated, limit * Window::Stated.seconds())),
        ]
    }

    /// Returns the limit that the endpoint stated last, or `None` if it never stated one.
    #[must_use]
    pub const fn last_limit(&self) -> Option<Limit> {
        self.account.limit
    }

    /// Returns the limit that the endpoint states, in requests a second. It holds until an
    /// answer states none, since an endpoint that gets no requests can't state anything.
    #[must_use]
    pub fn stated_limit(&self) -> Option<f64> {
        self.account.limit?.per_second
    }

    /// Returns the number of sends that count towards this process's share in a stated
    /// limit.
    #[must_use]
    pub fn recent_sends(&self, now: Duration) -> usize {
        self.account.sends.count(Window::Stated, now)
    }

    /// Returns the number of sends that this process granted and that count towards the
    /// reserve of a stated limit.
    #[must_use]
    pub fn recent_grants(&self, now: Duration) -> usize {
        self.account.grants.count(Window::Stated, now)
    }

    /// Returns whether the reserves of all limits, which this process has kept for `held`,
    /// allow one more request. `cold` is the reserve of the limit for a cold endpoint, or
    /// `None` if it has none.
    pub(super) fn has_reserve(&self, cold: Option<usize>, held: Duration, now: Duration) -> bool {
        let stated = self.stated_limit().map(|limit| {
            let limit = limit * Window::Stated.seconds();
            Throttle::reserve(limit, limit.mul_add(LIMIT_OVERRUN, LIMIT_TOLERANCE))
        });
        let reserves = [(Window::Cold, cold), (Window::Stated, stated)];
        reserves.into_iter().all(|(window, reserve)| {
            reserve.is_none_or(|reserve| {
                // Another process may have granted the whole reserve before.
                held >= window.length() && self.account.grants.may_send(window, reserve, now)
            })
        })
    }
}

/// The share of one process in the limits of endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) processes: usize,
    pub(super) position: usize,
}

impl Share {
    /// Returns the part of a limit of `limit` requests that this process has at an
    /// endpoint. Processes take turns by endpoint in what does not divide evenly.
    fn grant(self, limit: f64, endpoint: &str) -> usize {
        let processes = self.processes.max(1);
        let first = rendezvous_weight(0, endpoint) % processes as u64;
        let turn = (self.position as u64 + first) % processes as u64;
        Throttle::grant(limit, processes, usize::try_from(turn).unwrap_or(0))
    }
}
