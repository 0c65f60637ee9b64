//! What counts towards the limits of an endpoint.

use super::Limit;
use crate::share::{Throttle, Window};
use std::time::Duration;

/// Maximum number of endpoints outside the directory whose accounts are kept.
const MAX_ACCOUNTS: usize = 1_024;

/// The limit of an endpoint and the sends that count towards it.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Requests within the share of this process.
    pub(super) sends: Throttle,
    /// Requests beyond the shares of the processes that this process granted.
    pub(super) grants: Throttle,
    /// The limit that the endpoint stated last, if it ever did.
    pub(super) limit: Option<Limit>,
}

impl Account {
    /// Records the limit that the endpoint states. Ignores it if a newer statement is
    /// known. Returns whether the limit changed.
    pub(super) fn record_limit(&mut self, limit: Limit) -> bool {
        if self.limit.is_some_and(|known| known.at >= limit.at) {
            return false;
        }
        let before = self.limit.and_then(|known| known.per_second);
        if before.is_none() && limit.per_second.is_none() {
            return false;
        }
        self.limit = Some(limit);
        before != limit.per_second
    }

    /// Returns whether the account still affects what may be sent.
    fn matters(&self, now: Duration) -> bool {
        let is_used = |throttle: &Throttle| throttle.count(Window::Stated, now) > 0;
        let is_limited = self.limit.is_some_and(|limit| limit.per_second.is_some());
        is_limited || is_used(&self.sends) || is_used(&self.grants)
    }
}

/// The accounts of endpoints that the directory does not list, sorted by the id of the
/// endpoint.
///
/// The directory may drop an endpoint and list it again, and may name another incarnation
/// than the one that states a limit.
#[derive(Debug, Default)]
pub(super) struct Accounts(Vec<(String, Account)>);

impl Accounts {
    /// Removes and returns the account of an endpoint, or returns an empty one.
    pub(super) fn take(&mut self, endpoint: &str) -> Account {
        let found = self.find(endpoint);
        found.map_or_else(|_| Account::default(), |index| self.0.remove(index).1)
    }

    /// Keeps the account of an endpoint that is no longer listed.
    pub(super) fn keep(&mut self, endpoint: &str, account: Account, now: Duration) {
        self.0.retain(|(_, account)| account.matters(now));
        if account.matters(now) {
            *self.entry(endpoint) = account;
        }
    }

    /// Returns the account of an endpoint, created if it is missing. Drops the one with the
    /// oldest limit if there are too many.
    pub(super) fn entry(&mut self, endpoint: &str) -> &mut Account {
        let index = match self.find(endpoint) {
            Ok(index) => index,
            Err(_) => {
                if self.0.len() >= MAX_ACCOUNTS {
                    self.drop_oldest();
                }
                let index = self.find(endpoint).unwrap_or_else(|index| index);
                self.0
                    .insert(index, (endpoint.to_owned(), Account::default()));
                index
            }
        };
        &mut self.0[index].1
    }

    /// Records that an endpoint states no limit any more, if it has an account. Returns
    /// whether that changed its limit.
    pub(super) fn end_limit(&mut self, endpoint: &str, limit: Limit) -> bool {
        let found = self.find(endpoint).ok();
        found.is_some_and(|index| self.0[index].1.record_limit(limit))
    }

    fn drop_oldest(&mut self) {
        let stated_at = |index: &usize| self.0[*index].1.limit.map(|limit| limit.at);
        if let Some(oldest) = (0..self.0.len()).min_by_key(stated_at) {
            self.0.remove(oldest);
        }
    }

    fn find(&self, endpoint: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(id, _)| id.as_str().cmp(endpoint))
    }
}
