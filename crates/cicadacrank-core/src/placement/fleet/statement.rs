//! What is known of incarnations of endpoints beside their registrations: what they state
//! about themselves in their answers, and whether their processes have ended.

use super::{Fleet, Row};
use crate::directory::{Incarnation, State};
use std::time::Duration;

/// Maximum number of endpoints whose statements are kept.
const MAX_STATEMENTS: usize = 1_024;

/// Maximum time for which an endpoint gets no requests at its own word.
const MAX_PAUSE: Duration = Duration::from_mins(10);

/// Time after the end of a pause during which its service is still under strain.
const STRAIN_TIME: Duration = Duration::from_secs(2);

/// Number of requests in flight at an endpoint, relative to its slots, from which on it
/// gets no more while its service is under strain.
const MAX_FILL: u32 = 2;

/// What is known of the process of an incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Process {
    /// Nothing tells that it has ended.
    #[default]
    Running,
    /// It has ended. The registration may be that of a process before.
    Ended {
        /// Whether this gateway has seen it itself.
        witnessed: bool,
    },
}

/// What one incarnation of an endpoint stated, and what is known of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Statement {
    /// Whether the endpoint leaves and gets no more work.
    pub(super) leaving: bool,
    /// Time until which the endpoint wants no requests from this process.
    pub(super) paused_until: Duration,
    pub(super) process: Process,
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

    /// Returns the time until which the endpoint wants no requests from this process, or
    /// zero if it never said so.
    #[must_use]
    pub const fn paused_until(&self) -> Duration {
        self.statement.paused_until
    }

    /// Returns the version of the software of the process that now runs there, or `None` if
    /// it is unknown since the registered process has ended.
    #[must_use]
    pub fn version(&self) -> Option<&str> {
        let is_running = self.statement.process == Process::Running;
        is_running.then_some(self.endpoint.version.as_str())
    }

    pub(super) fn is_paused(&self, now: Duration) -> bool {
        now < self.statement.paused_until
    }

    /// Returns whether the endpoint is paused, or was until lately.
    fn shows_strain(&self, now: Duration) -> bool {
        let until = self.statement.paused_until;
        !until.is_zero() && now < until + STRAIN_TIME
    }

    /// Returns whether the endpoint has as many requests as it may get while its service
    /// is under strain.
    pub(super) const fn is_full(&self) -> bool {
        let slots = self.endpoint.slots;
        slots > 0 && self.in_flight() >= slots.saturating_mul(MAX_FILL)
    }
}

impl Fleet {
    /// Records that an endpoint states that it leaves. Its incarnation gets no more work,
    /// whatever the directory says. Returns whether that was unknown.
    pub fn record_leaving(&mut self, endpoint: &Incarnation, now: Duration) -> bool {
        let before = self.statements.of(endpoint);
        let statement = Statement {
            leaving: true,
            at: now,
            ..before
        };
        self.set_statement(endpoint, statement);
        !before.leaving
    }

    /// Records that an endpoint wants no requests from this process for `pause`. An
    /// earlier statement that asks for longer stays in force. Returns the time until which
    /// the endpoint is paused, or `None` if that does not change.
    pub fn record_pause(
        &mut self,
        endpoint: &Incarnation,
        pause: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let before = self.statements.of(endpoint);
        let until = now + pause.min(MAX_PAUSE);
        if until <= before.paused_until.max(now) {
            return None;
        }
        let statement = Statement {
            paused_until: until,
            at: now,
            ..before
        };
        self.set_statement(endpoint, statement);
        Some(until)
    }

    /// Returns when the first endpoint of a service wants requests again, or `None` if one
    /// of them is not paused, or if there is none.
    #[must_use]
    pub fn paused_until(&self, service: &str, now: Duration) -> Option<Duration> {
        let usable = self.usable(service).map(|(_, row)| row.paused_until());
        usable.min().filter(|until| now < *until)
    }

    /// Returns whether a service is under strain: while endpoints are paused, the others
    /// get their requests too, and afterwards those that waited come at once.
    pub(super) fn is_strained(&self, service: &str, now: Duration) -> bool {
        self.usable(service).any(|(_, row)| row.shows_strain(now))
    }

    /// Returns the endpoints that state that they leave while the directory lists them as
    /// ready.
    pub fn leaving(&self) -> impl Iterator<Item = &Incarnation> {
        let listed = self.rows().map(|(_, row)| row);
        let leaving =
            listed.filter(|row| row.statement.leaving && row.endpoint.state == State::Ready);
        leaving.map(|row| &row.endpoint.life)
    }

    /// Records that the process of an incarnation has ended, as this gateway has
    /// `witnessed` or another one reported. Returns whether that was unknown.
    pub fn record_end(&mut self, endpoint: &Incarnation, witnessed: bool, now: Duration) -> bool {
        let before = self.statements.of(endpoint);
        let was_witnessed = before.process == Process::Ended { witnessed: true };
        let statement = Statement {
            process: Process::Ended {
                witnessed: witnessed || was_witnessed,
            },
            at: now,
            ..before
        };
        self.set_statement(endpoint, statement);
        before.process == Process::Running
    }

    /// Records that the process of an incarnation still runs. Returns whether it was taken
    /// to have ended.
    pub fn record_running(&mut self, endpoint: &Incarnation, now: Duration) -> bool {
        let before = self.statements.of(endpoint);
        if before.process == Process::Running {
            return false;
        }
        let statement = Statement {
            process: Process::Running,
            at: now,
            ..before
        };
        self.set_statement(endpoint, statement);
        true
    }

    /// Returns whether the process of an incarnation is known to have ended: a gateway has
    /// seen that, or a later incarnation of the endpoint is listed.
    #[must_use]
    pub fn has_ended(&self, endpoint: &Incarnation) -> bool {
        let is_later = |row: &Row| {
            let life = &row.endpoint.life;
            life.id == endpoint.id && endpoint.born.is_some() && life.born > endpoint.born
        };
        let process = self.statements.of(endpoint).process;
        process != Process::Running || self.rows().any(|(_, row)| is_later(row))
    }

    /// Returns the listed incarnations whose processes this gateway has seen end.
    pub fn ended(&self) -> impl Iterator<Item = &Incarnation> {
        let witnessed = Process::Ended { witnessed: true };
        let listed = self.rows().map(|(_, row)| row);
        let ended = listed.filter(move |row| row.statement.process == witnessed);
        ended.map(|row| &row.endpoint.life)
    }

    fn set_statement(&mut self, endpoint: &Incarnation, statement: Statement) {
        self.statements.set(endpoint, statement);
        if let Some(row) = self.find(endpoint).and_then(|key| self.row_mut(key)) {
            row.statement = statement;
        }
    }
}
