//! Measures the latency that the system adds to a request.

use super::{
    arrivals, caller,
    direct::Direct,
    scenario::{Mix, Phase},
};
use crate::{checker::Reply, fleet::Fleet, load::Request};
use hdrhistogram::Histogram;
use reqwest::Client;
use serde::Serialize;
use std::{io, net::SocketAddr, time::Duration};

/// Number of pairs of calls that are counted.
const PAIRS: usize = 400;

/// Number of pairs at the start that are not counted.
const WARM_UP_PAIRS: usize = 40;

/// Largest duration that a histogram records, in microseconds.
const MAX_DURATION_US: u64 = 600_000_000;

/// Deadline of a call through the system.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Latency of sequential calls to the same mock engines, through the system
/// and directly, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Number of pairs of calls that were counted.
    pub pairs: usize,
    /// Median through the system.
    pub system_p50_us: u64,
    /// 99th percentile through the system.
    pub system_p99_us: u64,
    /// Median of the stages called directly, one after the other.
    pub direct_p50_us: u64,
    /// 99th percentile of the stages called directly, one after the other.
    pub direct_p99_us: u64,
}

/// Measures pairs of calls: one through the system, one sent directly.
///
/// # Errors
///
/// Returns an error if a call fails or a histogram cannot be created.
pub(super) async fn measure(
    fleet: &Fleet,
    direct: &Direct,
    http: &Client,
    entry: SocketAddr,
    mix: Mix,
) -> io::Result<Overhead> {
    let histogram =
        || Histogram::<u64>::new_with_bounds(1, MAX_DURATION_US, 3).map_err(io::Error::other);
    let (mut system, mut plain) = (histogram()?, histogram()?);
    for pair in 0..PAIRS + WARM_UP_PAIRS {
        let via_system =
            caller::call(http, entry, &request(mix, "through", pair), CALL_TIMEOUT).await;
        let direct_time = direct.probe(&request(mix, "straight", pair)).await;
        let (Reply::Whole { .. }, Some(direct_time)) = (&via_system.told, direct_time) else {
            return Err(io::Error::other(format!(
                "pair {pair} of the overhead measurement failed: {} (logs in {})",
                via_system.kind,
                fleet.folder().display()
            )));
        };
        if pair >= WARM_UP_PAIRS {
            system.saturating_record(micros(via_system.total));
            plain.saturating_record(micros(direct_time));
        }
    }
    Ok(Overhead {
        pairs: PAIRS,
        system_p50_us: system.value_at_quantile(0.5),
        system_p99_us: system.value_at_quantile(0.99),
        direct_p50_us: plain.value_at_quantile(0.5),
        direct_p99_us: plain.value_at_quantile(0.99),
    })
}

fn request(mix: Mix, name: &str, number: usize) -> Request {
    let mark = format!("{name}-{number}");
    Request {
        at: Duration::ZERO,
        phase: Phase::Steady,
        mix,
        body: arrivals::body(0, &mark),
        mark,
        resent: false,
    }
}

/// Returns a duration in microseconds, rounded down.
pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
