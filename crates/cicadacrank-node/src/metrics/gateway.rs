//! Metrics of a gateway.

use cicadacrank_core::once::ExecutionError;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, core::Collector,
};
use std::time::Duration;

/// What bytes between processes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Which gateways are live, and the versions of what they know of the store.
    Members,
    /// Load of endpoints.
    Loads,
    /// What endpoints stated, which of them ended, and what crashes them.
    Beliefs,
    /// Content of the store that gateways pass on.
    Knowledge,
    /// Pieces of stages.
    Stages,
    /// Grants beyond the share in a limit.
    Grants,
}

impl Purpose {
    const ALL: [Self; 6] = [
        Self::Members,
        Self::Loads,
        Self::Beliefs,
        Self::Knowledge,
        Self::Stages,
        Self::Grants,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Members => "members",
            Self::Loads => "loads",
            Self::Beliefs => "beliefs",
            Self::Knowledge => "knowledge",
            Self::Stages => "stages",
            Self::Grants => "grants",
        }
    }
}

/// Direction of bytes between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To another process.
    Sent,
    /// From another process.
    Received,
}

impl Direction {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Counters and histograms of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests for which the whole response of an endpoint was forwarded, by
    /// route.
    pub served: IntCounterVec,
    /// Requests answered with an error, by kind and effect.
    pub failed: IntCounterVec,
    /// Callers that disconnected before their response was complete.
    pub left: IntCounter,
    /// Attempts started, by service.
    pub attempts: IntCounterVec,
    /// Calls to the platform's store.
    pub store_calls: IntCounter,
    /// Messages between gateways, by purpose and direction. A heartbeat counts for each of
    /// its purposes.
    messages: IntCounterVec,
    /// Bytes of these messages, without those of the protocols below.
    bytes: IntCounterVec,
    /// Calls with pieces of stages, by service and outcome.
    pub stage_calls: IntCounterVec,
    /// Requests for a grant beyond the share of this gateway, by outcome.
    pub grants: IntCounterVec,
    /// Endpoints that stated that they leave.
    pub departures: IntCounter,
    /// Processes of endpoints that were taken to have ended.
    pub ends: IntCounter,
    /// Answers in which endpoints stated that they want no requests for some time.
    pub pauses: IntCounter,
    /// Connections of callers that were closed to make room, by what they were used for.
    pub evictions: IntCounterVec,
    /// Heads of requests that did not arrive in time.
    pub head_timeouts: IntCounter,
    /// Number of pieces per call.
    pub batch: Histogram,
    /// Queued pieces that gave up their place because not all can be on time, by service.
    pub displaced: IntGaugeVec,
    /// Time from requesting the pieces of a stage until all are complete, in
    /// seconds, by service.
    pub stages: HistogramVec,
    /// Time from the arrival of a request to the first byte of its response, in
    /// seconds, by route.
    pub first_byte: HistogramVec,
    /// Mean age of the load that other gateways reported when an endpoint was selected,
    /// in seconds, by service.
    pub report_age: HistogramVec,
    /// Number of requests and parts of prompts that are refused because they crash
    /// endpoints.
    pub quarantined: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Phase of a service's roll-out: 0 trial, 1 full, 2 withdrawn, 3 rolled back, 4
    /// completed.
    pub rollout_phase: IntGaugeVec,
    /// Requests sent to versions on roll-out, by service.
    pub exposed: IntCounterVec,
    /// Bad answers of versions on roll-out, by service.
    pub bad_answers: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let histograms = |name: &str, help: &str, labels: &[&str]| {
            register(
                &registry,
                HistogramVec::new(HistogramOpts::new(name, help), labels),
            )
        };
        let batch = HistogramOpts::new("cicadacrank_gateway_batch_pieces", "Pieces of one call")
            .buckets(vec![1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0]);
        Self {
            served: counters(
                "cicadacrank_gateway_served_total",
                "Requests answered whole",
                &["route"],
            ),
            failed: counters(
                "cicadacrank_gateway_failed_total",
                "Requests answered with an error",
                &["kind", "effect"],
            ),
            left: counter("cicadacrank_gateway_left_total", "Callers that went away"),
            attempts: counters(
                "cicadacrank_gateway_attempts_total",
                "Attempts begun",
                &["service"],
            ),
            store_calls: counter(
                "cicadacrank_gateway_store_calls_total",
                "Calls to the platform's store",
            ),
            messages: counters(
                "cicadacrank_gateway_peer_messages_total",
                "Messages between gateways",
                &["purpose", "direction"],
            ),
            bytes: counters(
                "cicadacrank_gateway_peer_bytes_total",
                "Bytes of messages between gateways",
                &["purpose", "direction"],
            ),
            stage_calls: counters(
                "cicadacrank_gateway_stage_calls_total",
                "Calls with pieces of stages",
                &["service", "outcome"],
            ),
            grants: counters(
                "cicadacrank_gateway_grants_total",
                "Requests for a grant beyond the share in a limit of an endpoint",
                &["outcome"],
            ),
            ends: counter(
                "cicadacrank_gateway_endpoint_ends_total",
                "Processes of endpoints that were taken to have ended.",
            ),
            departures: counter(
                "cicadacrank_gateway_departures_total",
                "Endpoints that stated that they leave",
            ),
            pauses: counter(
                "cicadacrank_gateway_pauses_total",
                "Statements of endpoints that they want no requests for some time",
            ),
            evictions: counters(
                "cicadacrank_gateway_evictions_total",
                "Connections of callers closed to make room",
                &["phase"],
            ),
            head_timeouts: counter(
                "cicadacrank_gateway_head_timeouts_total",
                "Heads of requests that did not arrive in time",
            ),
            displaced: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new(
                        "cicadacrank_gateway_stage_displaced",
                        "Queued pieces that gave up their place because not all can be on time",
                    ),
                    &["service"],
                ),
            ),
            batch: register(&registry, Histogram::with_opts(batch)),
            rollout_phase: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new(
                        "cicadacrank_gateway_rollout_phase",
                        "0 trial, 1 full, 2 withdrawn, 3 rolled back, 4 completed",
                    ),
                    &["service"],
                ),
            ),
            exposed: counters(
                "cicadacrank_gateway_rollout_requests_total",
                "Requests sent to versions on roll-out",
                &["service"],
            ),
            bad_answers: counters(
                "cicadacrank_gateway_rollout_bad_answers_total",
                "Bad answers of versions on roll-out",
                &["service"],
            ),
            stages: histograms(
                "cicadacrank_gateway_stage_seconds",
                "Time for all pieces of a stage",
                &["service"],
            ),
            first_byte: histograms(
                "cicadacrank_gateway_first_byte_seconds",
                "Time to the first byte of an answer",
                &["route"],
            ),
            report_age: histograms(
                "cicadacrank_gateway_report_age_seconds",
                "Age of the reports of other gateways at the selection of an endpoint",
                &["service"],
            ),
            quarantined: register(
                &registry,
                IntGauge::new(
                    "cicadacrank_gateway_quarantined",
                    "Requests and parts of prompts refused because they crash endpoints",
                ),
            ),
            config_version: register(
                &registry,
                IntGauge::new(
                    "cicadacrank_gateway_config_version",
                    "Configuration in force",
                ),
            ),
            registry,
        }
    }

    /// Records the time to the first byte of the response to a request of a route.
    pub fn record_first_byte(&self, route: &str, took: Duration) {
        let first_byte = self.first_byte.with_label_values(&[route]);
        first_byte.observe(took.as_secs_f64());
    }

    /// Counts bytes that are exchanged with another gateway. Does nothing if there are none.
    pub fn record_traffic(&self, purpose: Purpose, direction: Direction, bytes: usize) {
        if bytes > 0 {
            let labels = [purpose.as_str(), direction.as_str()];
            self.messages.with_label_values(&labels).inc();
            self.bytes.with_label_values(&labels).inc_by(bytes as u64);
        }
    }

    /// Returns the messages and bytes between gateways as the details of a log line.
    #[must_use]
    pub fn traffic_text(&self) -> String {
        let mut text = format!("store_calls={}", self.store_calls.get());
        for purpose in Purpose::ALL {
            for direction in [Direction::Sent, Direction::Received] {
                let labels = [purpose.as_str(), direction.as_str()];
                let messages = self.messages.with_label_values(&labels).get();
                let bytes = self.bytes.with_label_values(&labels).get();
                text.push_str(&format!(" {}_{}={messages}/{bytes}", labels[0], labels[1]));
            }
        }
        text
    }

    /// Sets the number of requests and parts that are refused.
    pub fn record_quarantined(&self, count: usize) {
        self.quarantined
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request of a route that was served.
    pub fn record_served(&self, route: &str) {
        self.served.with_label_values(&[route]).inc();
    }

    /// Counts a request that was not served.
    pub fn record_failure(&self, error: &ExecutionError) {
        let labels = [error.kind().as_str(), error.effect().as_str()];
        self.failed.with_label_values(&labels).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        super::encode(&self.registry)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Registers a metric.
///
/// # Panics
///
/// Panics if the name is invalid or already registered.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<T, prometheus::Error>,
) -> T {
    let metric = metric.expect("metric names are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}
