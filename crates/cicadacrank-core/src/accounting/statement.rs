//! The account of an instance over its restarts.

use super::line::Line;
use serde::{Deserialize, Serialize};

/// What one process counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Tells the processes of an instance apart; a later one has a greater
    /// number.
    pub incarnation: u64,
    /// Its lines since it began.
    pub lines: Vec<Line>,
}

/// The account of an instance over its restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Greatest incarnation that is closed; its lines and those of the ones
    /// before it are in `closed`.
    pub closed_until: u64,
    /// Sum of the lines of closed incarnations, sorted.
    pub closed: Vec<Line>,
    /// Incarnations that may still grow, sorted.
    pub parts: Vec<Part>,
}

impl Statement {
    /// Incarnations that are kept apart before the oldest is closed.
    pub const PARTS: usize = 4;

    /// Takes a part in; a part seen before changes nothing, a newer reading of
    /// it replaces the older.
    pub fn merge(&mut self, part: Part) {
        if part.incarnation <= self.closed_until {
            return;
        }
        let place = self
            .parts
            .binary_search_by_key(&part.incarnation, |known| known.incarnation);
        match place {
            Ok(index) if time(&part.lines) > time(&self.parts[index].lines) => {
                self.parts[index] = part;
            }
            Ok(_) => {}
            Err(index) => self.parts.insert(index, part),
        }
        while self.parts.len() > Self::PARTS {
            let oldest = self.parts.remove(0);
            self.closed_until = oldest.incarnation;
            add(&mut self.closed, &oldest.lines);
        }
    }

    /// Returns the sum over all incarnations, sorted.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        let mut sum = self.closed.clone();
        for part in &self.parts {
            add(&mut sum, &part.lines);
        }
        sum
    }
}

/// Returns the time of all lines, which only grows in one process.
fn time(lines: &[Line]) -> u64 {
    lines.iter().map(|line| line.slot_us).sum()
}

fn add(sum: &mut Vec<Line>, lines: &[Line]) {
    for line in lines {
        let key = |line: &Line| {
            (
                line.endpoint.clone(),
                line.owner.clone(),
                line.share.clone(),
            )
        };
        match sum.binary_search_by_key(&key(line), key) {
            Ok(index) => {
                sum[index].slot_us += line.slot_us;
                sum[index].price_micro += line.price_micro;
            }
            Err(index) => sum.insert(index, line.clone()),
        }
    }
}
