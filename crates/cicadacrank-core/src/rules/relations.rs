//! Reads the rules that refer to defined items and define no name: grants,
//! reservations and take-outs.

use super::{
    fault::Cause,
    keyword::Keyword,
    model::{DataCentreKey, EndpointKey, Grant, OwnerKey, PoolKey, Reservation, TeamKey, Window},
    read::{Names, Reader},
    scan::{Diagnostics, Rule, Scan, Token},
    value,
};

/// The target of a take-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A whole data centre.
    DataCentre(DataCentreKey),
    /// One endpoint.
    Endpoint(EndpointKey),
}

/// An item and the keyword of its rule, which gives its position.
struct Statement<'a, T> {
    item: T,
    span: Token<'a>,
}

/// Reads the grants, reservations and take-outs of a scan.
pub struct Relations<'a, 'l> {
    scan: &'a Scan<'a>,
    diagnostics: &'l mut Diagnostics<'a>,
    faulty_grants: bool,
}

impl<'a, 'l> Relations<'a, 'l> {
    /// Creates a reader of `scan` that adds its faults to `diagnostics`.
    pub const fn new(scan: &'a Scan<'a>, diagnostics: &'l mut Diagnostics<'a>) -> Self {
        Self {
            scan,
            diagnostics,
            faulty_grants: false,
        }
    }

    /// Returns whether [`Self::grants`] found a grant that could not be read.
    pub const fn has_faulty_grants(&self) -> bool {
        self.faulty_grants
    }

    /// Returns the valid grants, sorted by team, pool and window.
    pub fn grants(&mut self, teams: &Names<'a>, pools: &Names<'a>) -> Vec<Grant> {
        let read = |reader: &mut Reader<'_, 'a>| {
            let team = reader.reference("team", teams);
            let pool = reader.reference("pool", pools);
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
        let faults_before = self.diagnostics.len();
        let rules = || {
            self.scan
                .rules
                .iter()
                .filter(|rule| rule.keyword == Keyword::Allow)
        };
        self.faulty_grants = rules().any(|rule| rule.faulty);
        let grants = self.read(Keyword::Allow, read);
        self.faulty_grants |= self.diagnostics.len() > faults_before;
        self.sort_and_deduplicate(grants, "this grant", key)
    }

    /// Returns the valid reservations, sorted by pool and owner.
    pub fn reservations(&mut self, pools: &Names<'a>, owners: &Names<'a>) -> Vec<Reservation> {
        let read = |reader: &mut Reader<'_, 'a>| {
            let pool = reader.reference("pool", pools);
            let owner = reader.reference("owner", owners);
            let slots = reader.required("slots", &value::REQUESTS);
            Some(Reservation {
                pool: PoolKey(pool?.try_into().ok()?),
                owner: OwnerKey(owner?.try_into().ok()?),
                slots: slots?,
            })
        };
        let reservations = self.read(Keyword::Reserve, read);
        self.sort_and_deduplicate(reservations, "this reservation", |reservation| {
            (reservation.pool, reservation.owner)
        })
    }

    /// Returns the targets of the valid take-outs, sorted.
    pub fn take_outs(&mut self, data_centres: &Names<'a>, endpoints: &Names<'a>) -> Vec<Target> {
        let read = |reader: &mut Reader<'_, 'a>| {
            let data_centre = reader.optional_reference("data-centre", data_centres);
            let endpoint = reader.optional_reference("endpoint", endpoints);
            if reader.pair("data-centre").is_some() == reader.pair("endpoint").is_some() {
                reader.report("endpoint", Cause::TakeOutTarget);
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
        let targets = self.read(Keyword::TakeOut, read);
        self.sort_and_deduplicate(targets, "this take-out", |target| *target)
    }

    /// Reads the rules with `keyword` and omits those for which `read` returns
    /// `None`.
    fn read<T>(
        &mut self,
        keyword: Keyword,
        read: impl Fn(&mut Reader<'_, 'a>) -> Option<T>,
    ) -> Vec<Statement<'a, T>> {
        let rules = self.scan.rules.iter();
        let mut statements = Vec::new();
        for rule in rules.filter(|rule| rule.keyword == keyword) {
            statements.extend(self.statement(rule, &read));
        }
        statements
    }

    fn statement<T>(
        &mut self,
        rule: &Rule<'a>,
        read: impl Fn(&mut Reader<'_, 'a>) -> Option<T>,
    ) -> Option<Statement<'a, T>> {
        let item = read(&mut Reader::new(rule, self.diagnostics))?;
        let span = rule.span;
        Some(Statement { item, span })
    }

    /// Returns the items sorted by `key`; of items with equal keys, keeps the first
    /// in the file and reports the others.
    fn sort_and_deduplicate<T, K: Ord>(
        &mut self,
        mut statements: Vec<Statement<'a, T>>,
        what: &str,
        key: impl Fn(&T) -> K,
    ) -> Vec<T> {
        statements.sort_by_key(|statement| (key(&statement.item), statement.span.offset));
        statements.dedup_by(|later, first| {
            let duplicate = key(&later.item) == key(&first.item);
            if duplicate {
                let what = what.to_owned();
                let line = self.diagnostics.line(first.span.offset);
                self.diagnostics
                    .push(later.span, Cause::Duplicate { what, line });
            }
            duplicate
        });
        statements
            .into_iter()
            .map(|statement| statement.item)
            .collect()
    }
}
