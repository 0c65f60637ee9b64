//! Reads the rules that join items and have no name: grants, reservations and
//! take-outs.

use super::{
    fault::Cause,
    model::{DataCentreKey, EndpointKey, Grant, OwnerKey, PoolKey, Reservation, TeamKey, Window},
    read::{Names, Reader},
    scan::{Log, Rule, Scan, Token},
    value,
    word::Word,
};

/// What a take-out names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A whole data centre.
    DataCentre(DataCentreKey),
    /// One endpoint.
    Endpoint(EndpointKey),
}

/// An item and where it is stated.
struct Statement<'a, T> {
    item: T,
    place: Token<'a>,
}

/// Reads rules without names.
pub struct Links<'a, 'l> {
    scan: &'a Scan<'a>,
    log: &'l mut Log<'a>,
    faulty_grants: bool,
}

impl<'a, 'l> Links<'a, 'l> {
    /// Creates a reader of the rules in `scan`.
    pub const fn new(scan: &'a Scan<'a>, log: &'l mut Log<'a>) -> Self {
        Self {
            scan,
            log,
            faulty_grants: false,
        }
    }

    /// Returns whether some grants could not be read.
    pub const fn has_faulty_grants(&self) -> bool {
        self.faulty_grants
    }

    /// Reads the grants, sorted by team and pool.
    pub fn grants(&mut self, teams: &Names<'a>, pools: &Names<'a>) -> Vec<Grant> {
        let read = |reader: &mut Reader<'_, 'a>| {
            let team = reader.link("team", teams);
            let pool = reader.link("pool", pools);
            let window = match reader.pair("at") {
                Some(_) => reader.optional("at", &value::WINDOW),
                None => Some(Window::ALWAYS),
            };
            Some(Grant {
                team: TeamKey(team?.try_into().ok()?),
                pool: PoolKey(pool?.try_into().ok()?),
                window: window?,
            })
        };
        let key = |grant: &Grant| {
            let window = grant.window;
            (
                grant.team,
                grant.pool,
                window.from_minute,
                window.until_minute,
            )
        };
        let before = self.log.len();
        let rules = || {
            self.scan
                .rules
                .iter()
                .filter(|rule| rule.word == Word::Allow)
        };
        self.faulty_grants = rules().any(|rule| rule.faulty);
        let grants = self.read(Word::Allow, read);
        self.faulty_grants |= self.log.len() > before;
        self.settle(grants, "this grant", key)
    }

    /// Reads the reservations, sorted by pool and owner.
    pub fn reservations(&mut self, pools: &Names<'a>, owners: &Names<'a>) -> Vec<Reservation> {
        let read = |reader: &mut Reader<'_, 'a>| {
            let pool = reader.link("pool", pools);
            let owner = reader.link("owner", owners);
            let slots = reader.required("slots", &value::REQUESTS);
            Some(Reservation {
                pool: PoolKey(pool?.try_into().ok()?),
                owner: OwnerKey(owner?.try_into().ok()?),
                slots: slots?,
            })
        };
        let reservations = self.read(Word::Reserve, read);
        self.settle(reservations, "this reservation", |reservation| {
            (reservation.pool, reservation.owner)
        })
    }

    /// Reads what is taken out.
    pub fn take_outs(&mut self, data_centres: &Names<'a>, endpoints: &Names<'a>) -> Vec<Target> {
        let read = |reader: &mut Reader<'_, 'a>| {
            let data_centre = reader.optional_link("data-centre", data_centres);
            let endpoint = reader.optional_link("endpoint", endpoints);
            if reader.pair("data-centre").is_some() == reader.pair("endpoint").is_some() {
                reader.refuse("endpoint", Cause::Target);
                return None;
            }
            match (data_centre, endpoint) {
                (Some(index), _) => index
                    .try_into()
                    .ok()
                    .map(DataCentreKey)
                    .map(Target::DataCentre),
                (_, Some(index)) => index.try_into().ok().map(EndpointKey).map(Target::Endpoint),
                _ => None,
            }
        };
        let targets = self.read(Word::TakeOut, read);
        self.settle(targets, "this take-out", |target| *target)
    }

    /// Reads every rule with a word; faulty ones are left out.
    fn read<T>(
        &mut self,
        word: Word,
        read: impl Fn(&mut Reader<'_, 'a>) -> Option<T>,
    ) -> Vec<Statement<'a, T>> {
        let rules = self.scan.rules.iter();
        let mut statements = Vec::new();
        for rule in rules.filter(|rule| rule.word == word) {
            statements.extend(self.statement(rule, &read));
        }
        statements
    }

    fn statement<T>(
        &mut self,
        rule: &Rule<'a>,
        read: impl Fn(&mut Reader<'_, 'a>) -> Option<T>,
    ) -> Option<Statement<'a, T>> {
        let item = read(&mut Reader::new(rule, self.log))?;
        let place = rule.place;
        Some(Statement { item, place })
    }

    /// Sorts statements and reports those that stand twice.
    fn settle<T, K: Ord>(
        &mut self,
        mut statements: Vec<Statement<'a, T>>,
        what: &str,
        key: impl Fn(&T) -> K,
    ) -> Vec<T> {
        statements.sort_by_key(|statement| (key(&statement.item), statement.place.offset));
        statements.dedup_by(|later, first| {
            let double = key(&later.item) == key(&first.item);
            if double {
                let what = what.to_owned();
                let line = self.log.line(first.place.offset);
                self.log.push(later.place, Cause::Double { what, line });
            }
            double
        });
        statements
            .into_iter()
            .map(|statement| statement.item)
            .collect()
    }
}
