//! Weighted fair queueing between teams.
//!
//! Each team has a virtual start time. It advances with each admitted request
//! by a stride that is inversely proportional to the weight of the team, and
//! the team with the lowest virtual start is served next. A row exists only for
//! a team that has requests or whose virtual start is ahead of the virtual
//! time; the latter keeps a team from resetting its virtual start by pausing
//! briefly.

use super::NameHash;

/// Stride of a team with weight one.
const STRIDE: u64 = 1 << 20;

#[derive(Clone, Copy, Debug)]
struct Share {
    team: NameHash,
    start: u64,
    weight: u32,
    in_flight: u32,
    queued: u32,
}

/// Fair queueing state of the teams at one endpoint, sorted by team.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    rows: Vec<Share>,
    virtual_time: u64,
}

impl Shares {
    /// Records that a request of the team was queued.
    pub fn enqueue(&mut self, team: NameHash, weight: u32) {
        let row = self.get_or_insert(team, weight);
        row.queued += 1;
    }

    /// Records that a request of the team left the queue.
    pub fn dequeue(&mut self, team: NameHash) {
        if let Ok(index) = self.find(team) {
            let row = &mut self.rows[index];
            row.queued = row.queued.saturating_sub(1);
        }
        self.prune();
    }

    /// Records that a request of the team was admitted.
    pub fn admit(&mut self, team: NameHash, weight: u32) {
        let row = self.get_or_insert(team, weight);
        let start = row.start;
        row.in_flight += 1;
        row.start += STRIDE / u64::from(row.weight);
        self.virtual_time = self.virtual_time.max(start);
        self.prune();
    }

    /// Records that a request of the team ended.
    pub fn release(&mut self, team: NameHash) {
        if let Ok(index) = self.find(team) {
            let row = &mut self.rows[index];
            row.in_flight = row.in_flight.saturating_sub(1);
        }
        self.prune();
    }

    /// Returns the virtual start of the team; the lowest one is served next.
    #[must_use]
    pub fn virtual_start(&self, team: NameHash) -> u64 {
        self.find(team)
            .map_or(self.virtual_time, |index| self.rows[index].start)
    }

    /// Returns the number of requests of the team that are queued or in flight.
    #[must_use]
    pub fn requests(&self, team: NameHash) -> u32 {
        self.find(team).map_or(0, |index| {
            let row = &self.rows[index];
            row.in_flight + row.queued
        })
    }

    /// Estimates how many queued requests would be admitted before a new
    /// request of the team.
    #[must_use]
    pub fn requests_ahead(&self, team: NameHash, weight: u32) -> u32 {
        let queued: u32 = self.rows.iter().map(|row| row.queued).sum();
        let mine = self.find(team).map_or(0, |index| self.rows[index].queued);
        let waiting = self.rows.iter().filter(|row| row.queued > 0);
        let others = waiting
            .filter(|row| row.team != team)
            .map(|row| u64::from(row.weight));
        let turns = (u64::from(mine) + 1) * others.sum::<u64>();
        let by_share = turns.div_ceil(u64::from(weight.max(1)));
        queued.min(mine.saturating_add(u32::try_from(by_share).unwrap_or(u32::MAX)))
    }

    /// Returns the number of teams that have a row.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no team has a row.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn get_or_insert(&mut self, team: NameHash, weight: u32) -> &mut Share {
        let virtual_time = self.virtual_time;
        let index = self.find(team).unwrap_or_else(|index| {
            let row = Share {
                team,
                start: virtual_time,
                weight: 1,
                in_flight: 0,
                queued: 0,
            };
            self.rows.insert(index, row);
            index
        });
        let row = &mut self.rows[index];
        row.weight = weight.max(1);
        row
    }

    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        let has_work = |row: &Share| row.in_flight + row.queued > 0;
        if self.rows.iter().any(has_work) {
            self.rows
                .retain(|row| has_work(row) || row.start > virtual_time);
        } else {
            self.rows.clear();
            self.virtual_time = 0;
        }
    }

    fn find(&self, team: NameHash) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&team, |row| row.team)
    }
}
