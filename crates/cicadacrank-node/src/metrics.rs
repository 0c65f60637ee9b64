//! Metrics of all roles.

pub mod gateway;

use cicadacrank_core::error::Failure;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Counters and histograms of an entry or a sidecar.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that received a complete response.
    pub served: IntCounter,
    /// Requests or jobs answered with an error, by kind and effect.
    pub failed: IntCounterVec,
    /// Attempts started.
    pub attempts: IntCounter,
    /// Frames dropped because they belong to no attempt.
    pub dropped_frames: IntCounter,
    /// Calls to the platform.
    pub platform_calls: IntCounter,
    /// Bytes sent and received in syncs that this process initiated.
    pub peer_bytes: IntCounter,
    /// Configuration generation in force.
    pub generation: IntGauge,
    /// Time from the arrival of a request to the end of its response, in seconds.
    pub latency: Histogram,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Panics
    ///
    /// Panics if a metric name is invalid or used twice.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric names are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("metric names are unique");
            counter
        };
        let served = counter("cicadacrank_served_total", "Requests answered whole");
        let attempts = counter("cicadacrank_attempts_total", "Attempts begun");
        let dropped_frames = counter("cicadacrank_dropped_frames_total", "Frames of no attempt");
        let platform_calls = counter("cicadacrank_platform_calls_total", "Calls to the platform");
        let peer_bytes = counter("cicadacrank_peer_bytes_total", "Bytes of own syncs");
        let failed = IntCounterVec::new(
            Opts::new(
                "cicadacrank_failed_total",
                "Requests answered with an error",
            ),
            &["kind", "effect"],
        )
        .expect("metric names are valid");
        let generation = IntGauge::new("cicadacrank_generation", "Configuration in force")
            .expect("metric names are valid");
        let latency = Histogram::with_opts(HistogramOpts::new(
            "cicadacrank_latency_seconds",
            "Time from arrival to the end of the answer",
        ))
        .expect("metric names are valid");
        registry
            .register(Box::new(failed.clone()))
            .expect("metric names are unique");
        registry
            .register(Box::new(generation.clone()))
            .expect("metric names are unique");
        registry
            .register(Box::new(latency.clone()))
            .expect("metric names are unique");
        Self {
            registry,
            served,
            failed,
            attempts,
            dropped_frames,
            platform_calls,
            peer_bytes,
            generation,
            latency,
        }
    }

    /// Counts a failure by its kind and effect.
    pub fn record_failure(&self, failure: &Failure) {
        self.failed
            .with_label_values(&[failure.kind.as_str(), failure.effect.as_str()])
            .inc();
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        encode(&self.registry)
    }
}

/// Returns the metrics of a registry in the Prometheus text format.
fn encode(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut buffer) {
        log::error!("failed to encode metrics: {error}");
        return String::new();
    }
    String::from_utf8_lossy(&buffer).into_owned()
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
