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
const RATE_FACTOR: f64 = 1.25;

/// Rate of bad answers that is always accepted of a good version.
const BASE_RATE: f64 = 0.01;

/// Minimum number of answers of the old version over which its rate is taken.
const MIN_ANSWERS: f64 = 20.0;

/// Standard deviations, and a number of answers, above which a version is bad.
const BAD: (f64, f64) = (4.0, 3.0);

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

    /// Returns the number of all answers.
    #[must_use]
    pub const fn answers(self) -> u64 {
        self.good + self.bad
    }
}

/// Response times of the old version, each per unit of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Times {
    /// Number of answers.
    pub answers: u64,
    /// Sum of their times, in seconds.
    pub seconds: f64,
    /// Sum of the squares of their times.
    pub squares: f64,
}

/// Answers on one route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Answers of the old version.
    pub old: Count,
    /// Answers of the new version.
    pub new: Count,
    /// Number of bad answers that a good version would have given in place of the new one.
    pub expected: f64,
    /// Times of the answers of the old version.
    pub times: Times,
}

/// Numbers of answers that one process got since the order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Answers by route, sorted by its name.
    pub routes: Vec<Route>,
    /// Answers of the new version, by digest of the endpoint's incarnation.
    pub endpoints: Vec<(u64, Count)>,
}

impl Evidence {
    /// Creates evidence from counts in any order. Counts of the same route or endpoint are
    /// added.
    #[must_use]
    pub fn new(
        routes: impl Iterator<Item = Route>,
        endpoints: impl Iterator<Item = (u64, Count)>,
    ) -> Self {
        let mut evidence = Self::default();
        evidence.add(&Self {
            routes: routes.collect(),
            endpoints: endpoints.collect(),
        });
        evidence
    }

    /// Records an answer of the old version.
    pub fn record_old(&mut self, route: &str, outcome: Outcome) {
        if let Some(route) = self.route(route) {
            route.old.record(outcome);
        }
    }

    /// Records the time of an answer of the old version.
    pub fn record_time(&mut self, route: &str, took: Duration) {
        if let Some(route) = self.route(route) {
            let seconds = took.as_secs_f64();
            route.times.answers += 1;
            route.times.seconds += seconds;
            route.times.squares += seconds * seconds;
        }
    }

    /// Records an answer of an endpoint of the new version, while a good version gives a
    /// bad one at this `rate`.
    pub fn record_new(&mut self, route: &str, endpoint: u64, outcome: Outcome, rate: f64) {
        if let Some(route) = self.route(route) {
            route.new.record(outcome);
            route.expected += rate;
        }
        if let Some(count) = self.endpoint(endpoint) {
            count.record(outcome);
        }
    }

    fn add(&mut self, other: &Self) {
        for added in &other.routes {
            if let Some(route) = self.route(&added.name) {
                route.old.add(added.old);
                route.new.add(added.new);
                route.expected += added.expected;
                route.times.answers += added.times.answers;
                route.times.seconds += added.times.seconds;
                route.times.squares += added.times.squares;
            }
        }
        for (endpoint, added) in &other.endpoints {
            if let Some(count) = self.endpoint(*endpoint) {
                count.add(*added);
            }
        }
    }

    fn route(&mut self, name: &str) -> Option<&mut Route> {
        let found = self
            .routes
            .binary_search_by(|one| one.name.as_str().cmp(name));
        let index = match found {
            Ok(index) => index,
            Err(_) if self.routes.len() >= MAX_ROUTES => return None,
            Err(index) => {
                let route = Route {
                    name: name.to_owned(),
                    ..Route::default()
                };
                self.routes.insert(index, route);
                index
            }
        };
        Some(&mut self.routes[index])
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
        for route in &self.routes {
            total.0.add(route.old);
            total.1.add(route.new);
        }
        total
    }

    /// Judges the new version. `endpoints` is the number of endpoints that it has.
    #[must_use]
    pub fn judge(&self, endpoints: usize) -> Judgement {
        let (old, new) = self.total();
        let expected = self.routes.iter().map(|route| route.expected).sum();
        let total = Route {
            old,
            new,
            expected,
            ..Route::default()
        };
        let exceeds = |bound: (f64, f64)| {
            let mut all = self.routes.iter().chain([&total]);
            all.any(|route| route.exceeds(bound))
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

impl Route {
    /// Returns whether the new version gave more bad answers than can be expected of a good
    /// one.
    fn exceeds(&self, (deviations, extra): (f64, f64)) -> bool {
        let old = self.old.bad as f64 / (self.old.answers() as f64).max(MIN_ANSWERS);
        let answers = self.new.answers() as f64;
        let expected = self.expected.max(answers * old) * RATE_FACTOR;
        let expected = expected.max(answers * BASE_RATE);
        self.new.bad as f64 >= deviations.mul_add(expected.sqrt(), expected + extra)
    }
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
#[derive(Clone, Debug, PartialEq)]
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
