//! Measures the processor time of an entry and of sidecars by the number of
//! tokens in a stream.
//!
//! Starts a small fleet of processes, sends the same number of requests with
//! 8, 16, 32 and 64 tokens each, several at a time, and prints the processor
//! time per request for each role, with a linear fit.

use cicadacrank_bench::{
    engine::Profile,
    fleet::{self, Fleet, Plan},
    load::processor,
    process,
};
use futures_util::{StreamExt as _, stream};
use std::{error::Error, fs, path::Path, time::Duration};

/// Numbers of tokens in a stream, with one measurement for each.
const TOKENS: [u64; 4] = [8, 16, 32, 64];

/// Number of requests in a measurement.
const REQUESTS: usize = 2_000;

/// Number of requests in flight.
const CONCURRENCY: usize = 16;

/// Time between two tokens, in microseconds.
const TOKEN_US: u64 = 2_000;

/// Processor time per request, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Point {
    tokens: f64,
    entry: f64,
    sidecars: f64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let program = process::build()?;
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../cicadacrankd/tests/samples");
    let plan = Plan {
        program,
        rules: fs::read_to_string(samples.join("small.rules"))?,
        entries: 1,
        timeouts: serde_json::json!({}),
        profile: Profile::default(),
    };
    let fleet = Fleet::start(plan).await?;
    println!("| tokens | entry, us a request | sidecars, us a request |\n|---|---|---|");
    let mut points = Vec::new();
    measure(&fleet, TOKENS[0]).await?;
    for tokens in TOKENS {
        let point = measure(&fleet, tokens).await?;
        println!("| {tokens} | {:.0} | {:.0} |", point.entry, point.sidecars);
        points.push(point);
    }
    print_fit("entry", &points, |point| point.entry);
    print_fit("sidecars", &points, |point| point.sidecars);
    Ok(())
}

async fn measure(fleet: &Fleet, tokens: u64) -> Result<Point, Box<dyn Error>> {
    let profile = Profile {
        first_us: 0,
        token_us: TOKEN_US,
        tokens,
    };
    for backend in &fleet.backends {
        backend.engine.set_profile(profile.clone());
    }
    let entries = || processor::time(fleet.entries.iter());
    let sidecars = || processor::time(fleet.backends.iter().map(|backend| &backend.sidecar));
    let (entries_before, sidecars_before) = (entries(), sidecars());
    let http = fleet::client()?;
    let address = fleet.entries[0]
        .addresses
        .caller_listen
        .ok_or("no caller address")?;
    let url = format!("http://{address}/v1/pipelines/ask");
    let complete = stream::iter(0..REQUESTS)
        .map(|_| {
            let request = http
                .post(&url)
                .header("x-team", "desk")
                .header("accept", "text/event-stream")
                .body(r#"{"query":"tea for 20"}"#);
            async move { request.send().await?.text().await }
        })
        .buffer_unordered(CONCURRENCY)
        .filter(|answer| {
            let complete = answer
                .as_ref()
                .is_ok_and(|text| text.contains("event: end"));
            async move { complete }
        })
        .count()
        .await;
    if complete < REQUESTS {
        return Err(format!("{complete} of {REQUESTS} answers are complete").into());
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / REQUESTS as f64;
    Ok(Point {
        tokens: tokens as f64,
        entry: each(entries().saturating_sub(entries_before)),
        sidecars: each(sidecars().saturating_sub(sidecars_before)),
    })
}

/// Prints the least-squares line through the points of one role.
fn print_fit(role: &str, points: &[Point], read: impl Fn(&Point) -> f64) {
    let number = points.len() as f64;
    let tokens_mean = points.iter().map(|point| point.tokens).sum::<f64>() / number;
    let time_mean = points.iter().map(&read).sum::<f64>() / number;
    let (mut covariance, mut token_variance, mut time_variance) = (0.0, 0.0, 0.0);
    for point in points {
        let (token, time) = (point.tokens - tokens_mean, read(point) - time_mean);
        covariance += token * time;
        token_variance += token * token;
        time_variance += time * time;
    }
    let each = covariance / token_variance;
    let fixed = time_mean - each * tokens_mean;
    let fit = covariance * covariance / (token_variance * time_variance);
    println!("{role}: {fixed:.0} us a request and {each:.1} us a token, r2 {fit:.3}");
}
