//! Measures the load that claims put on the platform, on a paused clock.
//!
//! `cargo run --release -p cicadacrank-bench --example claims` requests claims
//! at several rates from sidecars that share an in-memory platform, and prints
//! the platform calls per request and the time to acquire a claim.

use cicadacrank_bench::memory::Store;
use cicadacrank_core::{
    id,
    once::{Name, Outcome},
};
use cicadacrank_node::{
    clock::Clock,
    platform::Collection,
    sidecar::{Acquisition, Claims},
};
use std::{sync::Arc, time::Duration};
use tokio::{
    runtime,
    time::{self, Instant},
};

/// Duration of a platform call, in milliseconds.
const CALL_MS: u64 = 3;

/// Time over which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Longest time that a request waits for its claim.
const DEADLINE: Duration = Duration::from_secs(1);

/// Duration of the work at its endpoint.
const WORK: Duration = Duration::from_millis(50);

/// Length of a recorded output, in bytes.
const OUTPUT_BYTES: usize = 200;

/// Lifetime of a claim.
const CLAIM_TTL: Duration = Duration::from_secs(24 * 60 * 60);

/// Rate above which requests are not spread over the sidecars, since every
/// commit would conflict.
const MAX_SPREAD_RATE: u64 = 1_000;

/// How requests are routed to sidecars.
#[derive(Clone, Copy, Debug)]
enum Routing {
    /// Round robin.
    Spread,
    /// By key: requests with the same key go to the same sidecar.
    Sticky,
}

#[derive(Clone, Copy, Debug)]
struct Setting {
    sidecars: usize,
    rate: u64,
    limit: u32,
    routing: Routing,
}

/// Acquires a claim and records an output for it. Returns the time until the
/// claim was acquired, or `None` if it was not acquired in time.
async fn acquire_claim(claims: Claims, number: u64) -> Option<Duration> {
    let started_at = Instant::now();
    let name = name(number);
    let (attempt, unsent) = claims
        .begin(&id::Attempt::new(number.into()).to_string())
        .ok()?;
    let acquired = claims.acquire(name, attempt, "digest", started_at + DEADLINE, unsent);
    let (acquired, unsent) = acquired.await.ok()?;
    let waited = started_at.elapsed();
    drop(unsent);
    time::sleep(WORK).await;
    if let Acquisition::Held(held) = acquired {
        let output = "x".repeat(OUTPUT_BYTES);
        claims.record(held, Outcome::Answer { output }).await;
    }
    Some(waited)
}

fn name(number: u64) -> Name {
    Name::new("portal", "book-room", "booking", &number.to_string())
}

async fn measure(setting: Setting) {
    let store = Store::new();
    store.state().faults.delay_ms = CALL_MS;
    store.state().faults.writes_per_second = setting.limit;
    let clock = Clock::new();
    let sidecars: Vec<Claims> = (0..setting.sidecars)
        .map(|_| Claims::new(Arc::new(store.clone()), clock, CLAIM_TTL))
        .collect();
    let interval = Duration::from_nanos(1_000_000_000 / setting.rate);
    let requests = setting.rate * LOAD_TIME.as_secs();
    let mut tasks = Vec::new();
    let mut next = Instant::now();
    for number in 0..requests {
        time::sleep_until(next).await;
        next += interval;
        let index = usize::try_from(number).unwrap_or_default();
        let target = match setting.routing {
            Routing::Spread => index % setting.sidecars,
            Routing::Sticky => name(number).shard() % setting.sidecars,
        };
        tasks.push(tokio::spawn(acquire_claim(
            sidecars[target].clone(),
            number,
        )));
    }
    let mut waits = Vec::new();
    for task in tasks {
        waits.extend(task.await.expect("the request does not panic"));
    }
    waits.sort_unstable();
    report(setting, requests, &waits, &store);
}

fn report(setting: Setting, requests: u64, waits: &[Duration], store: &Store) {
    let state = store.state();
    let counts = state.counts;
    let objects = state.list(Collection::Claims).objects;
    let sizes = objects.iter().map(|object| object.spec.to_string().len());
    let largest = sizes.max().unwrap_or_default();
    let at = |share: usize| {
        let index = (waits.len() * share / 100).min(waits.len().saturating_sub(1));
        waits.get(index).map_or(0, Duration::as_millis)
    };
    let calls = counts.writes + counts.gets;
    println!(
        "{:>4} {:>6} {:>6} {:>7?} {:>8.3} {:>8.3} {:>7.0} {:>6.1} {:>5} {:>5} {:>7} {:>8}",
        setting.sidecars,
        setting.rate,
        setting.limit,
        setting.routing,
        counts.writes as f64 / requests as f64,
        counts.gets as f64 / requests as f64,
        calls as f64 / LOAD_TIME.as_secs_f64(),
        100.0 * waits.len() as f64 / requests as f64,
        at(50),
        at(99),
        objects.len(),
        largest,
    );
}

fn main() {
    println!(
        "side   rate  limit routing writes/r  reads/r calls/s held%   p50   p99 objects  largest"
    );
    println!(
        "cars    1/s    1/s                                           ms    ms             bytes"
    );
    for sidecars in [4, 32] {
        for (rate, limit) in [
            (10, 0),
            (100, 0),
            (400, 0),
            (1_000, 0),
            (100, 400),
            (400, 400),
            (1_000, 400),
            (7_700, 0),
            (7_700, 400),
        ] {
            for routing in [Routing::Spread, Routing::Sticky] {
                if rate > MAX_SPREAD_RATE && matches!(routing, Routing::Spread) {
                    continue;
                }
                let setting = Setting {
                    sidecars,
                    rate,
                    limit,
                    routing,
                };
                runtime::Builder::new_current_thread()
                    .enable_time()
                    .start_paused(true)
                    .build()
                    .expect("the runtime starts")
                    .block_on(measure(setting));
            }
        }
    }
}
