//! What an entry knows of each endpoint, and its choice among them.

use std::{net::SocketAddr, time::Duration};

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
struct Row {
    endpoint: String,
    pool: String,
    data_centre: String,
    address: SocketAddr,
    own_in_flight: u32,
    report: Report,
    shunned_until: Duration,
}

/// Endpoints that an entry may choose from, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Time an endpoint is not chosen after its sidecar could not be reached.
    const SHUN: Duration = Duration::from_secs(2);

    /// Adds an endpoint or gives it a new address.
    pub fn insert(&mut self, endpoint: &str, pool: &str, data_centre: &str, address: SocketAddr) {
        match self.find(endpoint) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if row.address != address {
                    row.address = address;
                    row.report = Report::default();
                    row.shunned_until = Duration::ZERO;
                }
                pool.clone_into(&mut row.pool);
                data_centre.clone_into(&mut row.data_centre);
            }
            Err(index) => self.rows.insert(
                index,
                Row {
                    endpoint: endpoint.to_owned(),
                    pool: pool.to_owned(),
                    data_centre: data_centre.to_owned(),
                    address,
                    own_in_flight: 0,
                    report: Report::default(),
                    shunned_until: Duration::ZERO,
                },
            ),
        }
    }

    /// Keeps the endpoints for which the test holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.rows.retain(|row| keep(&row.endpoint));
    }

    /// Chooses the better of two endpoints of the pool drawn at random.
    ///
    /// `excluded` names endpoints that were tried already. `random` supplies
    /// both draws.
    #[must_use]
    pub fn choose(
        &self,
        pool: &str,
        excluded: &[String],
        random: u64,
        now: Duration,
    ) -> Option<(&str, SocketAddr)> {
        let usable = |row: &&Row| row.pool == pool && !excluded.contains(&row.endpoint);
        let mut rows: Vec<&Row> = self
            .rows
            .iter()
            .filter(usable)
            .filter(|row| row.shunned_until <= now)
            .collect();
        if rows.is_empty() {
            rows = self.rows.iter().filter(usable).collect();
        }
        let first = *rows.get(pick(random & u64::from(u32::MAX), rows.len())?)?;
        let second = *rows.get(pick(random >> 32, rows.len())?)?;
        let better = if load(second) < load(first) {
            second
        } else {
            first
        };
        Some((&better.endpoint, better.address))
    }

    /// Notes that an attempt went to the endpoint.
    pub fn begin(&mut self, endpoint: &str) {
        if let Ok(index) = self.find(endpoint) {
            self.rows[index].own_in_flight += 1;
        }
    }

    /// Notes that an attempt ended.
    pub fn end(&mut self, endpoint: &str) {
        if let Ok(index) = self.find(endpoint) {
            let row = &mut self.rows[index];
            row.own_in_flight = row.own_in_flight.saturating_sub(1);
        }
    }

    /// Takes up a load report.
    pub fn report(&mut self, endpoint: &str, report: Report) {
        if let Ok(index) = self.find(endpoint) {
            self.rows[index].report = report;
        }
    }

    /// Notes that the sidecar could not be reached.
    pub fn shun(&mut self, endpoint: &str, now: Duration) {
        if let Ok(index) = self.find(endpoint) {
            self.rows[index].shunned_until = now + Self::SHUN;
        }
    }

    fn find(&self, endpoint: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.endpoint.as_str().cmp(endpoint))
    }
}

fn pick(random: u64, len: usize) -> Option<usize> {
    usize::try_from(random).ok()?.checked_rem(len)
}

/// Work at the endpoint in thousandths of its slots.
fn load(row: &Row) -> u64 {
    let work = row.own_in_flight.max(row.report.in_flight) + row.report.queued;
    u64::from(work) * 1000 / u64::from(row.report.slots.max(1))
}
