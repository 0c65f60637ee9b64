//! What endpoints state about themselves in their answers.

use super::{Fleet, Row};
use crate::directory::{Incarnation, State};
use std::time::Duration;

/// Maximum number of endpoints whose statements are kept.
const MAX_STATEMENTS: usize = 1_024;

/// What one incarnation of an endpoint stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Statement {
    /// Whether the endpoint leaves and gets no more work.
    pub(super) leaving: bool,
    /// Time at which the newest statement became known.
    at: Duration,
}

/// The statements of all endpoints, sorted by incarnation.
///
/// They outlast the rows of the fleet, since the directory may drop an endpoint and list
/// it again.
#[derive(Debug, Default)]
pub(super) struct Statements(Vec<(Incarnation, Statement)>);

impl Statements {
    /// Returns what an endpoint stated.
    pub(super) fn of(&self, endpoint: &Incarnation) -> Statement {
        let found = self.find(endpoint);
        found.map_or_else(|_| Statement::default(), |index| self.0[index].1)
    }

    /// Replaces what an endpoint stated. Drops the oldest statement if there are too
    /// many.
    fn set(&mut self, endpoint: &Incarnation, statement: Statement) {
        match self.find(endpoint) {
            Ok(index) => self.0[index].1 = statement,
            Err(index) => {
                self.0.insert(index, (endpoint.clone(), statement));
                if self.0.len() > MAX_STATEMENTS {
                    self.drop_oldest();
                }
            }
        }
    }

    fn drop_oldest(&mut self) {
        let indices = 0..self.0.len();
        if let Some(oldest) = indices.min_by_key(|index| self.0[*index].1.at) {
            self.0.remove(oldest);
        }
    }

    fn find(&self, endpoint: &Incarnation) -> Result<usize, usize> {
        self.0.binary_search_by(|(one, _)| one.cmp(endpoint))
    }
}

impl Row {
    /// Returns whether the endpoint accepts new work, by the directory and by its own
    /// statements.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == State::Ready && !self.statement.leaving
    }
}

impl Fleet {
    /// Records that an endpoint states that it leaves. Its incarnation gets no more work,
    /// whatever the directory says. Returns whether that was unknown.
    pub fn record_leaving(&mut self, endpoint: &Incarnation, now: Duration) -> bool {
        let before = self.statements.of(endpoint);
        self.set_statement(
            endpoint,
            Statement {
                leaving: true,
                at: now,
            },
        );
        !before.leaving
    }

    /// Returns the endpoints that state that they leave while the directory lists them as
    /// ready.
    pub fn leaving(&self) -> impl Iterator<Item = &Incarnation> {
        let listed = self.rows().map(|(_, row)| row);
        let leaving =
            listed.filter(|row| row.statement.leaving && row.endpoint.state == State::Ready);
        leaving.map(|row| &row.endpoint.life)
    }

    fn set_statement(&mut self, endpoint: &Incarnation, statement: Statement) {
        self.statements.set(endpoint, statement);
        if let Some(row) = self.find(endpoint).and_then(|key| self.row_mut(key)) {
            row.statement = statement;
        }
    }
}
