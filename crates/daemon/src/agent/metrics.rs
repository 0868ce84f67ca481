//! Prometheus metrics of an agent.

use {
    crate::telemetry::metrics::MetricsRegistry,
    prometheus_client::metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    std::time::Duration,
};

type ResultLabels = [(&'static str, &'static str); 1];

/// Prometheus metrics of an agent. Clones share the values.
#[derive(Clone, Debug)]
pub struct AgentMetrics {
    in_flight: Gauge,
    dispatches: Family<ResultLabels, Counter>,
    claims: Family<ResultLabels, Counter>,
    backend_seconds: Histogram,
    frames_dropped: Counter,
}

impl AgentMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &MetricsRegistry) -> Self {
        let metrics = Self {
            in_flight: Gauge::default(),
            dispatches: Family::default(),
            claims: Family::default(),
            backend_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 17)),
            frames_dropped: Counter::default(),
        };
        registry.with(|registry| {
            registry.register(
                "agent_in_flight",
                "Requests in flight at the target",
                metrics.in_flight.clone(),
            );
            registry.register(
                "agent_dispatches",
                "Dispatches by result",
                metrics.dispatches.clone(),
            );
            registry.register("agent_claims", "Claims by result", metrics.claims.clone());
            registry.register(
                "agent_backend_seconds",
                "Time from sending a call to the target until the end of its answer",
                metrics.backend_seconds.clone(),
            );
            registry.register(
                "agent_frames_dropped",
                "Frames dropped because their request runs already or they are not expected",
                metrics.frames_dropped.clone(),
            );
        });
        metrics
    }

    /// Sets the number of requests in flight.
    pub fn set_in_flight(&self, in_flight: u32) {
        self.in_flight.set(i64::from(in_flight));
    }

    /// Counts a dispatch under the label value `result`.
    pub fn count_dispatch(&self, result: &'static str) {
        self.dispatches.get_or_create(&[("result", result)]).inc();
    }

    /// Counts a claim under the label value `result`.
    pub fn count_claim(&self, result: &'static str) {
        self.claims.get_or_create(&[("result", result)]).inc();
    }

    /// Counts a frame that was dropped as duplicate, malformed or unexpected.
    pub fn count_dropped_frame(&self) {
        self.frames_dropped.inc();
    }

    /// Returns the number of frames dropped since the start of the process.
    pub fn dropped_frames(&self) -> u64 {
        self.frames_dropped.get()
    }

    /// Records the duration of a call to the target.
    pub fn observe_backend(&self, duration: Duration) {
        self.backend_seconds.observe(duration.as_secs_f64());
    }
}
