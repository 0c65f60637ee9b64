//! Generates the requests of a trial from a seed.

use super::scenario::{Mix, Phase, Scenario};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// Percentage of requests that are sent a second time through another entry.
const RESENT_PERCENT: u32 = 3;

/// Number of prompt subjects; requests with the same subject share a prompt
/// prefix.
const SUBJECTS: u32 = 24;

/// A request of a trial.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of the request, counted from the start of the trial.
    pub at: Duration,
    /// Phase of the trial at that time.
    pub phase: Phase,
    /// Team that sends the request and pipeline that it calls.
    pub mix: Mix,
    /// Unique mark that links the request to its runs; also its idempotency
    /// key.
    pub mark: String,
    /// Request body, as JSON.
    pub body: String,
    /// Whether the caller sends the request a second time through another
    /// entry.
    pub resent: bool,
}

/// Returns the requests of a trial in order of arrival.
///
/// Arrivals form a Poisson process whose rate follows the periods of the
/// scenario. The same scenario, name and seed give the same requests.
#[must_use]
pub fn draw(scenario: &Scenario, name: &str, seed: u64) -> Vec<Request> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut start = Duration::ZERO;
    for period in scenario.periods {
        let end = start + Duration::from_secs(period.seconds.into());
        let rate = f64::from(scenario.rate * period.percent) / 100.0;
        let mut at = start + interarrival_time(&mut random, rate);
        while at < end {
            let mark = format!("{name}-{seed}-{}", requests.len());
            requests.push(Request {
                at,
                phase: period.phase,
                mix: pick_mix(scenario.mixes, random.random_range(0..100)),
                body: body(random.random_range(0..SUBJECTS), &mark),
                mark,
                resent: random.random_range(0..100) < RESENT_PERCENT,
            });
            at += interarrival_time(&mut random, rate);
        }
        start = end;
    }
    requests
}

/// Returns the body of a request, whose prompt starts with the subject.
#[must_use]
pub fn body(subject: u32, mark: &str) -> String {
    let query = format!(
        "Subject {subject:02}: {} mark:{mark}",
        "context ".repeat(10)
    );
    serde_json::json!({ "query": query }).to_string()
}

/// Draws the time until the next arrival from an exponential distribution;
/// `rate` is in requests per second.
fn interarrival_time(random: &mut Xoshiro256PlusPlus, rate: f64) -> Duration {
    // 53 random bits give a uniform number in (0, 1].
    let unit = ((random.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64;
    Duration::from_secs_f64(-unit.ln() / rate)
}

/// Returns the mix for a number from 0 to 99, weighted by the shares of the
/// mixes.
fn pick_mix(mixes: &[Mix], percent: u32) -> Mix {
    let mut sum = 0;
    let found = mixes.iter().find(|mix| {
        sum += mix.percent;
        percent < sum
    });
    *found.unwrap_or(&mixes[0])
}
