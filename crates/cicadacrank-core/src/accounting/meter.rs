//! The meter of one endpoint.

use super::line::{Line, Share, Sum};
use std::time::Duration;

/// What the rules say of an endpoint's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rate {
    /// Owner who carries idle time.
    pub owner: String,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Price of a busy slot, in thousandths of the currency unit an hour.
    pub busy_price_milli: u64,
    /// Price of an idle slot, in thousandths of the currency unit an hour.
    pub idle_price_milli: u64,
}

/// Work that takes a slot; given back to the meter when it ends.
#[derive(Debug, PartialEq, Eq)]
pub struct Charge {
    id: u64,
}

#[derive(Clone, Debug)]
struct Row {
    owner: String,
    share: Share,
    sum: Sum,
}

#[derive(Clone, Debug)]
struct Running {
    id: u64,
    row: usize,
}

/// Counts the time of an endpoint's slots from when its rate is first known.
///
/// At any time the busy and idle time add up to slots times wall time, cut to
/// whole microseconds at each event; work beyond the slots counts as busy time
/// on top.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    endpoint: String,
    rate: Option<Rate>,
    until: Duration,
    rows: Vec<Row>,
    running: Vec<Running>,
    next: u64,
}

impl Meter {
    /// Creates the meter of an endpoint whose rate is not known yet.
    #[must_use]
    pub fn new(endpoint: &str) -> Self {
        Self {
            endpoint: endpoint.to_owned(),
            ..Self::default()
        }
    }

    /// Takes up what the rules say; it counts from now on.
    pub fn set_rate(&mut self, rate: Rate, now: Duration) {
        self.advance(now);
        self.rate = Some(rate);
    }

    /// Notes that work takes a slot.
    pub fn begin(&mut self, share: Share, now: Duration) -> Charge {
        self.advance(now);
        let owner = self.rate.as_ref().map(|rate| rate.owner.clone());
        let row = self.row(owner.unwrap_or_default(), share);
        let id = self.next;
        self.next += 1;
        self.running.push(Running { id, row });
        Charge { id }
    }

    /// Notes that work freed its slot.
    pub fn end(&mut self, charge: &Charge, now: Duration) {
        self.advance(now);
        self.running.retain(|running| running.id != charge.id);
    }

    /// Returns the lines up to now, sorted.
    pub fn lines(&mut self, now: Duration) -> Vec<Line> {
        self.advance(now);
        let mut lines: Vec<Line> = self.rows.iter().map(|row| self.line(row)).collect();
        lines.sort();
        lines
    }

    fn line(&self, row: &Row) -> Line {
        Line {
            endpoint: self.endpoint.clone(),
            owner: row.owner.clone(),
            share: row.share.clone(),
            slot_us: row.sum.slot_us,
            price_micro: row.sum.price_micro(),
        }
    }

    /// Counts the time since the last event; a clock that went back counts
    /// nothing.
    fn advance(&mut self, now: Duration) {
        let until = Duration::from_micros(micros(now)).max(self.until);
        let elapsed = micros(until - self.until);
        self.until = until;
        let Some(rate) = self.rate.clone() else {
            return;
        };
        for index in 0..self.running.len() {
            let row = self.running[index].row;
            self.rows[row].sum.add(elapsed, rate.busy_price_milli);
        }
        let busy = u64::try_from(self.running.len()).unwrap_or(u64::MAX);
        let idle = u64::from(rate.slots).saturating_sub(busy);
        let row = self.row(rate.owner, Share::Idle);
        let time = elapsed.saturating_mul(idle);
        self.rows[row].sum.add(time, rate.idle_price_milli);
    }

    fn row(&mut self, owner: String, share: Share) -> usize {
        let found = self
            .rows
            .iter()
            .position(|row| row.owner == owner && row.share == share);
        found.unwrap_or_else(|| {
            self.rows.push(Row {
                owner,
                share,
                sum: Sum::default(),
            });
            self.rows.len() - 1
        })
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
