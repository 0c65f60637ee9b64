//! What the answers of two versions show.

use super::Phase;
use std::time::Duration;

/// Maximum number of routes that are counted separately.
const MAX_ROUTES: usize = 64;

/// Maximum number of endpoints of the new version that are counted separately.
const MAX_ENDPOINTS: usize = 64;

/// Number of endpoints with bad answers that always shows that the version is the cause.
const MAX_SPREAD: usize = 8;

/// Multiple of the old version's rate of bad answers that is expected of a good version.
const RATE_FACTOR: f64 = 1.5;

/// Rate of bad answers that is always accepted of a good version.
const BASE_RATE: f64 = 0.01;

/// The same once the new version gets all requests, as the old one can't be compared then.
const FULL_RATE: f64 = 0.05;

/// Minimum number of answers of the old version over which its rate is taken.
const MIN_ANSWERS: f64 = 20.0;

/// Standard deviations, and a number of answers, above which a version is bad.
const BAD: (f64, f64) = (4.0, 4.0);

/// The same for a version that must not get all requests.
const SUSPECT: (f64, f64) = (3.0, 2.0);

/// Number of bad answers from which on it no longer matters how many endpoints gave them.
/// It is below the number from which on the time of a rollback is counted.
const MANY_BAD: u64 = 35;

/// Whether an answer was as expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete and in time.
    Good,
    /// The answer was a failure, or several times slower than those of the old version.
    Bad,
}

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Good answers.
    pub good: u64,
    /// Bad answers.
    pub bad: u64,
}

impl Count {
    const fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.good += 1,
            Outcome::Bad => self.bad += 1,
        }
    }

    const fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    const fn answers(self) -> u64 {
        self.good + self.bad
    }
}

/// Numbers of answers that one process got since the order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Answers of the old and of the new version, by route.
    pub routes: Vec<(String, Count, Count)>,
    /// Answers of the new version, by digest of the endpoint's incarnation.
    pub endpoints: Vec<(u64, Count)>,
}

impl Evidence {
    /// Creates evidence from counts in any order. Counts of the same route or endpoint are
    /// added.
    #[must_use]
    pub fn new(
        routes: impl Iterator<Item = (String, Count, Count)>,
        endpoints: impl Iterator<Item = (u64, Count)>,
    ) -> Self {
        let mut evidence = Self::default();
        for (route, added_old, added_new) in routes {
            if let Some((old, new)) = evidence.route(&route) {
                old.add(added_old);
                new.add(added_new);
            }
        }
        for (endpoint, added) in endpoints {
            if let Some(count) = evidence.endpoint(endpoint) {
                count.add(added);
            }
        }
        evidence
    }

    /// Records an answer of the old version.
    pub fn record_old(&mut self, route: &str, outcome: Outcome) {
        if let Some((old, _)) = self.route(route) {
            old.record(outcome);
        }
    }

    /// Records an answer of an endpoint of the new version.
    pub fn record_new(&mut self, route: &str, endpoint: u64, outcome: Outcome) {
        if let Some((_, new)) = self.route(route) {
            new.record(outcome);
        }
        if let Some(count) = self.endpoint(endpoint) {
            count.record(outcome);
        }
    }

    fn add(&mut self, other: &Self) {
        for (route, other_old, other_new) in &other.routes {
            if let Some((old, new)) = self.route(route) {
                old.add(*other_old);
                new.add(*other_new);
            }
        }
        for (endpoint, other) in &other.endpoints {
            if let Some(count) = self.endpoint(*endpoint) {
                count.add(*other);
            }
        }
    }

    fn route(&mut self, route: &str) -> Option<(&mut Count, &mut Count)> {
        let found = self
            .routes
            .binary_search_by(|one| one.0.as_str().cmp(route));
        let index = match found {
            Ok(index) => index,
            Err(_) if self.routes.len() >= MAX_ROUTES => return None,
            Err(index) => {
                let counts = (route.to_owned(), Count::default(), Count::default());
                self.routes.insert(index, counts);
                index
            }
        };
        let (_, old, new) = &mut self.routes[index];
        Some((old, new))
    }

    fn endpoint(&mut self, endpoint: u64) -> Option<&mut Count> {
        let found = self.endpoints.binary_search_by_key(&endpoint, |one| one.0);
        let index = match found {
            Ok(index) => index,
            Err(_) if self.endpoints.len() >= MAX_ENDPOINTS => return None,
            Err(index) => {
                self.endpoints.insert(index, (endpoint, Count::default()));
                index
            }
        };
        Some(&mut self.endpoints[index].1)
    }

    /// Returns the answers of the old and of the new version on all routes.
    #[must_use]
    pub fn total(&self) -> (Count, Count) {
        let mut total = (Count::default(), Count::default());
        for (_, old, new) in &self.routes {
            total.0.add(*old);
            total.1.add(*new);
        }
        total
    }

    /// Judges the new version. `endpoints` is the number of endpoints that it has.
    #[must_use]
    pub fn judge(&self, phase: Phase, endpoints: usize) -> Judgement {
        let base = match phase {
            Phase::Full => FULL_RATE,
            _ => BASE_RATE,
        };
        let (old, new) = self.total();
        let exceeds = |bound: (f64, f64)| {
            let on_route = |one: &(String, Count, Count)| exceeds(one.1, one.2, base, bound);
            exceeds(old, new, base, bound) || self.routes.iter().any(on_route)
        };
        if exceeds(BAD) && (new.bad >= MANY_BAD || self.is_spread(endpoints)) {
            Judgement::Bad
        } else if exceeds(SUSPECT) {
            Judgement::Suspect
        } else {
            Judgement::Good
        }
    }

    /// Returns whether most of the endpoints gave bad answers.
    fn is_spread(&self, endpoints: usize) -> bool {
        let used = self.endpoints.len().max(endpoints.min(2));
        let bad = self.endpoints.iter().filter(|one| one.1.bad > 0).count();
        bad >= (used / 2 + 1).min(MAX_SPREAD)
    }
}

/// Returns whether the new version gave more bad answers than can be expected of a good one.
fn exceeds(old: Count, new: Count, base: f64, (deviations, extra): (f64, f64)) -> bool {
    let rate = old.bad as f64 / (old.answers() as f64).max(MIN_ANSWERS);
    let expected = new.answers() as f64 * (rate * RATE_FACTOR).max(base);
    new.bad as f64 >= deviations.mul_add(expected.sqrt(), expected + extra)
}

/// What the evidence shows of a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing tells against it.
    Good,
    /// It gives too many bad answers to get all requests.
    Suspect,
    /// It gives too many bad answers to get any.
    Bad,
}

/// What one process says of a roll-out. All counts only rise within one incarnation of the
/// process, and a report replaces earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the process's instance.
    pub instance: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the report, rising within an incarnation.
    pub sequence: u64,
    /// How far the process has come.
    pub phase: Phase,
    /// Whether the process has the new version stopped.
    pub stopped: bool,
    /// Number of requests that the process has in flight at old versions.
    pub old_in_flight: u32,
    /// Answers that the process got.
    pub evidence: Evidence,
}

/// The newest report of each process, sorted by instance and incarnation.
#[derive(Clone, Debug, Default)]
pub struct Reports(Vec<(Report, Duration)>);

impl Reports {
    /// Merges a report. Returns whether it is newer than the one before.
    pub fn merge(&mut self, report: Report, now: Duration) -> bool {
        match self.find(&report.instance, report.incarnation) {
            Ok(index) if self.0[index].0.sequence >= report.sequence => false,
            Ok(index) => {
                self.0[index] = (report, now);
                true
            }
            Err(index) => {
                self.0.insert(index, (report, now));
                true
            }
        }
    }

    /// Returns the report of a process that was learned of within `age`.
    #[must_use]
    pub fn recent(
        &self,
        instance: &str,
        incarnation: u64,
        age: Duration,
        now: Duration,
    ) -> Option<&Report> {
        let (report, at) = &self.0[self.find(instance, incarnation).ok()?];
        (now < *at + age).then_some(report)
    }

    /// Returns the reports that were learned of within `age`.
    pub fn all_recent(&self, age: Duration, now: Duration) -> impl Iterator<Item = &Report> {
        let recent = self.0.iter().filter(move |(_, at)| now < *at + age);
        recent.map(|(report, _)| report)
    }

    /// Returns the sum of all evidence.
    #[must_use]
    pub fn sum(&self, own: &Evidence) -> Evidence {
        let mut sum = own.clone();
        for (report, _) in &self.0 {
            sum.add(&report.evidence);
        }
        sum
    }

    fn find(&self, instance: &str, incarnation: u64) -> Result<usize, usize> {
        self.0.binary_search_by(|(report, _)| {
            let key = (report.instance.as_str(), report.incarnation);
            key.cmp(&(instance, incarnation))
        })
    }
}
