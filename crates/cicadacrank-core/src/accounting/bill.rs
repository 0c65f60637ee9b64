//! Cost of busy and idle slot time, by stage, owner and team.

use super::ledger::Account;
use crate::rules::{Definitions, Endpoint, Pool};
use serde::Serialize;

/// Microseconds in an hour.
const HOUR_US: u128 = 3_600_000_000;
/// Millionths of the currency unit in a thousandth.
const MICRO_PER_MILLI: u128 = 1000;

/// Slot time in use, by pipeline, stage, owner of the endpoints and team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Busy {
    /// Pipeline that used the slots.
    pub pipeline: String,
    /// Stage that used the slots.
    pub stage: String,
    /// Owner of the endpoints.
    pub owner: String,
    /// Team that used the slots.
    pub team: String,
    /// Whether the slots were lent: the team belongs to another owner or to none.
    pub lent: bool,
    /// Slot time, in microseconds.
    pub slot_us: u64,
    /// Cost, in millionths of the currency unit.
    pub cost_micro: u64,
}

/// Slot time not in use, by pool and owner of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Idle {
    /// Pool of the endpoints.
    pub pool: String,
    /// Owner of the endpoints, who bears the cost.
    pub owner: String,
    /// Slot time, in microseconds.
    pub slot_us: u64,
    /// Cost, in millionths of the currency unit.
    pub cost_micro: u64,
}

/// Cost of accounts at the prices in the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Bill {
    /// Slot time in use, sorted by pipeline, stage, owner and team.
    pub busy: Vec<Busy>,
    /// Slot time not in use, sorted by pool and owner.
    pub idle: Vec<Idle>,
    /// Sorted names of endpoints that have an account but are not in the rules,
    /// and so have no owner and no price.
    pub unknown_endpoints: Vec<String>,
}

impl Bill {
    /// Creates the bill of accounts, each of a different endpoint or incarnation.
    #[must_use]
    pub fn new(definitions: &Definitions, accounts: &[Account]) -> Self {
        let mut bill = Self::default();
        for account in accounts {
            match definitions.endpoint(&account.endpoint) {
                Some(key) => bill.add(definitions, &definitions[key], account),
                None => bill.unknown_endpoints.push(account.endpoint.clone()),
            }
        }
        bill.merge_rows();
        bill
    }

    fn add(&mut self, definitions: &Definitions, endpoint: &Endpoint, account: &Account) {
        let pool: &Pool = &definitions[endpoint.pool];
        let owner = &definitions[endpoint.owner].name;
        self.idle.push(Idle {
            pool: pool.name.clone(),
            owner: owner.clone(),
            slot_us: account.idle_us,
            cost_micro: cost(account.idle_us, pool.idle_price_milli),
        });
        let is_lent = |team: &str| {
            let team = definitions.team(team).map(|key| &definitions[key]);
            team.is_none_or(|team| team.owner != Some(endpoint.owner))
        };
        let busy = account.busy.iter().map(|line| Busy {
            lent: is_lent(&line.key.team),
            pipeline: line.key.pipeline.clone(),
            stage: line.key.stage.clone(),
            owner: owner.clone(),
            team: line.key.team.clone(),
            slot_us: line.busy_us,
            cost_micro: cost(line.busy_us, pool.busy_price_milli),
        });
        self.busy.extend(busy);
    }

    /// Sorts the rows and merges those with the same key.
    fn merge_rows(&mut self) {
        self.busy
            .sort_by(|left, right| busy_key(left).cmp(&busy_key(right)));
        self.busy.dedup_by(|later, first| {
            let same = busy_key(later) == busy_key(first);
            if same {
                first.slot_us += later.slot_us;
                first.cost_micro += later.cost_micro;
            }
            same
        });
        self.idle
            .sort_by(|left, right| idle_key(left).cmp(&idle_key(right)));
        self.idle.dedup_by(|later, first| {
            let same = idle_key(later) == idle_key(first);
            if same {
                first.slot_us += later.slot_us;
                first.cost_micro += later.cost_micro;
            }
            same
        });
        self.unknown_endpoints.sort_unstable();
        self.unknown_endpoints.dedup();
    }
}

fn busy_key(row: &Busy) -> [&str; 4] {
    [&row.pipeline, &row.stage, &row.owner, &row.team]
}

fn idle_key(row: &Idle) -> [&str; 2] {
    [&row.pool, &row.owner]
}

/// Returns the cost of slot time, in millionths of the currency unit.
fn cost(slot_us: u64, price_milli: u64) -> u64 {
    let micro = u128::from(slot_us) * u128::from(price_milli) * MICRO_PER_MILLI / HOUR_US;
    u64::try_from(micro).unwrap_or(u64::MAX)
}
