//! The meters of a sidecar's endpoints.

use crate::{
    clock::{self, Clock},
    configuration::Configuration,
};
use cicadacrank_core::{
    accounting::{Charge, Line, Meter, Part, Rate, Share},
    rules::{Book, EndpointKey},
};
use cicadacrank_wire::wire;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

#[derive(Debug)]
struct Account {
    endpoint: String,
    meter: Mutex<Meter>,
}

/// The meters of the endpoints behind one process.
#[derive(Debug)]
pub struct Accounts {
    clock: Clock,
    incarnation: u64,
    /// Sorted by endpoint.
    accounts: Vec<Account>,
}

/// Work that takes a slot; dropping it ends the charge.
#[derive(Debug)]
pub struct Entry {
    accounts: Arc<Accounts>,
    /// Position of the account, with what it charges.
    charge: Option<(usize, Charge)>,
}

impl Accounts {
    /// Creates the accounts of a new process; time counts once the rates are
    /// known.
    #[must_use]
    pub fn new<'a>(endpoints: impl Iterator<Item = &'a str>, clock: Clock) -> Self {
        let account = |name: &str| Account {
            endpoint: name.to_owned(),
            meter: Mutex::new(Meter::new(name)),
        };
        let mut accounts: Vec<Account> = endpoints.map(account).collect();
        accounts.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        Self {
            clock,
            incarnation: clock::unix_ms(),
            accounts,
        }
    }

    /// Sets the number that tells the processes of an instance apart, in place
    /// of the time of its start.
    #[must_use]
    pub const fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Counts the time of a slot for a job until the entry is dropped.
    #[must_use]
    pub fn charge(accounts: &Arc<Self>, job: &wire::Job, borrowed: bool) -> Entry {
        let share = Share::Busy {
            pipeline: job.pipeline.clone(),
            stage: job.stage.clone(),
            team: job.team.clone(),
            borrowed,
        };
        let now = accounts.clock.now();
        let charge = accounts
            .find(&job.endpoint)
            .map(|index| (index, accounts.meter(index).begin(share, now)));
        Entry {
            accounts: Arc::clone(accounts),
            charge,
        }
    }

    /// Takes up what the rules say of each endpoint.
    pub fn set_rates(&self, book: &Book) {
        let now = self.clock.now();
        for (index, account) in self.accounts.iter().enumerate() {
            if let Some(key) = book.endpoint(&account.endpoint) {
                self.meter(index).set_rate(rate_of(book, key), now);
            }
        }
    }

    /// Returns the lines of this process up to now, sorted.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        let now = self.clock.now();
        let accounts = 0..self.accounts.len();
        accounts
            .flat_map(|index| self.meter(index).lines(now))
            .collect()
    }

    /// Returns what this process counted up to now.
    #[must_use]
    pub fn part(&self) -> Part {
        Part {
            incarnation: self.incarnation,
            lines: self.lines(),
        }
    }

    fn find(&self, endpoint: &str) -> Option<usize> {
        self.accounts
            .binary_search_by(|account| account.endpoint.as_str().cmp(endpoint))
            .ok()
    }

    fn meter(&self, index: usize) -> MutexGuard<'_, Meter> {
        let meter = &self.accounts[index].meter;
        meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some((index, charge)) = &self.charge {
            let now = self.accounts.clock.now();
            self.accounts.meter(*index).end(charge, now);
        }
    }
}

fn rate_of(book: &Book, key: EndpointKey) -> Rate {
    let endpoint = &book[key];
    let pool = &book[endpoint.pool];
    Rate {
        owner: book[endpoint.owner].name.clone(),
        slots: endpoint.warm_slots,
        busy_price_milli: pool.busy_price_milli,
        idle_price_milli: pool.idle_price_milli,
    }
}

/// Keeps the rates at the rules in force.
pub async fn follow(
    accounts: Arc<Accounts>,
    mut configurations: watch::Receiver<Option<Arc<Configuration>>>,
) {
    loop {
        if let Some(configuration) = configurations.borrow_and_update().clone() {
            accounts.set_rates(&configuration.book);
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}
