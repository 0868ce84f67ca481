//! Metrics of a gateway.

use {
    crate::telemetry::MetricsRegistry,
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
    },
};

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct GatewayLabels {
    /// Service; empty if it is unknown.
    pub service: String,
    /// `answered`, `refused`, `unknown`, `cut` or `left`.
    pub outcome: &'static str,
}

/// Metrics of a gateway. Clones share the values.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// Finished requests.
    pub requests: Family<GatewayLabels, Counter>,
    /// Time from the arrival of a request to the first event or the whole answer, in seconds.
    pub first_answer: Histogram,
    /// Longest pause between the events of an answered stream, in seconds.
    pub longest_pause: Histogram,
    /// Time for which requests waited for a target, in seconds.
    pub waits: Histogram,
    /// Attempts after the first one.
    pub retries: Counter,
    /// Streams that went on at another target.
    pub moved_streams: Counter,
    /// Times that a target was left out.
    pub ejections: Counter,
    /// New channels to targets.
    pub channels: Counter,
    /// Changes of expert maps.
    pub map_changes: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Requests that wait for a target.
    pub waiting: Gauge,
    /// Configuration revision in force.
    pub revision: Gauge,
}

fn duration_histogram() -> Histogram {
    // 1 ms to about 16 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

impl GatewayMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &MetricsRegistry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            first_answer: duration_histogram(),
            longest_pause: duration_histogram(),
            waits: duration_histogram(),
            retries: Counter::default(),
            moved_streams: Counter::default(),
            ejections: Counter::default(),
            channels: Counter::default(),
            map_changes: Counter::default(),
            store_failures: Counter::default(),
            waiting: Gauge::default(),
            revision: Gauge::default(),
        };
        registry.with(|registry| {
            let requests = metrics.requests.clone();
            registry.register("gateway_requests", "Finished requests", requests);
            registry.register(
                "gateway_first_answer_seconds",
                "Time to the first event or the whole answer",
                metrics.first_answer.clone(),
            );
            registry.register(
                "gateway_longest_pause_seconds",
                "Longest pause between the events of an answered stream",
                metrics.longest_pause.clone(),
            );
            let waits = metrics.waits.clone();
            registry.register(
                "gateway_wait_seconds",
                "Time spent waiting for a target",
                waits,
            );
            let retries = metrics.retries.clone();
            registry.register("gateway_retries", "Attempts after the first one", retries);
            registry.register(
                "gateway_moved_streams",
                "Streams that went on at another target",
                metrics.moved_streams.clone(),
            );
            let ejections = metrics.ejections.clone();
            registry.register(
                "gateway_ejections",
                "Times that a target was left out",
                ejections,
            );
            let channels = metrics.channels.clone();
            registry.register("gateway_channels", "New channels to targets", channels);
            let changes = metrics.map_changes.clone();
            registry.register("gateway_map_changes", "Changes of expert maps", changes);
            registry.register(
                "gateway_store_failures",
                "Calls to the store that failed",
                metrics.store_failures.clone(),
            );
            let waiting = metrics.waiting.clone();
            registry.register(
                "gateway_waiting",
                "Requests that wait for a target",
                waiting,
            );
            let revision = metrics.revision.clone();
            registry.register(
                "gateway_revision",
                "Configuration revision in force",
                revision,
            );
        });
        metrics
    }

    /// Counts the outcome of a request.
    pub fn count(&self, service: &str, outcome: &'static str) {
        let labels = GatewayLabels {
            service: service.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }
}
