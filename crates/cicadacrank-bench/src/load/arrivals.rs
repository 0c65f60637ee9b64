//! Draws the arrivals of a trial from a seed.

use super::scenario::{Mix, Phase, Scenario};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// Requests that are sent again through another entry, in per cent.
const RESENT_PERCENT: u32 = 3;

/// Subjects of requests; those with the same subject share a prompt prefix.
const SUBJECTS: u32 = 24;

/// One request to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// When, since the start of the trial.
    pub at: Duration,
    /// What goes on then.
    pub phase: Phase,
    /// Who asks for what.
    pub mix: Mix,
    /// Ties the request to its runs; also its idempotency key.
    pub mark: String,
    /// Body, as JSON.
    pub body: String,
    /// Whether the caller sends it once more through another entry.
    pub resent: bool,
}

/// Returns the arrivals of a Poisson process whose rate follows the periods.
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

/// Returns the body of a request; a prompt begins with its subject.
#[must_use]
pub fn body(subject: u32, mark: &str) -> String {
    let query = format!(
        "Subject {subject:02}: {} mark:{mark}",
        "context ".repeat(10)
    );
    serde_json::json!({ "query": query }).to_string()
}

/// Draws the time to the next arrival at this rate a second.
fn interarrival_time(random: &mut Xoshiro256PlusPlus, rate: f64) -> Duration {
    // 53 bits make a number in (0, 1].
    let unit = ((random.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64;
    Duration::from_secs_f64(-unit.ln() / rate)
}

fn pick_mix(mixes: &[Mix], percent: u32) -> Mix {
    let mut sum = 0;
    let found = mixes.iter().find(|mix| {
        sum += mix.percent;
        percent < sum
    });
    *found.unwrap_or(&mixes[0])
}
