//! Prometheus metrics of an entry.

use {
    super::fleet::ViewReceiver,
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
    std::time::Duration,
};

/// Labels of the `entry_requests` counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// Service; empty if it is unknown.
    pub service: String,
    /// Outcome of the request, as callers see it.
    pub outcome: &'static str,
}

/// Labels of the `entry_request_seconds` histogram.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// Service; empty if it is unknown.
    pub service: String,
}

/// Labels of the `entry_links` gauge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LinkLabels {
    /// Role of the process at the other end: `agent` or `entry`.
    pub peer: &'static str,
}

/// Metrics of an entry. Clones share their values.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Number of finished requests, by service and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from the arrival of a request's head to its outcome, in seconds.
    pub durations: Family<ServiceLabels, Histogram>,
    /// Number of retries: attempts after the first one of a request.
    pub retries: Counter,
    /// Number of requests that wait for a target.
    pub queue_length: Gauge,
    /// Number of answer frames that were dropped, such as those of ended attempts.
    pub dropped_frames: Counter,
    /// Number of open links, by the role of the process at the other end.
    pub links: Family<LinkLabels, Gauge>,
    /// Configuration revision in force.
    pub revision: Gauge,
    /// 1 while the configuration lease is live, otherwise 0.
    pub lease_live: Gauge,
}

fn duration_histogram() -> Histogram {
    // Upper bounds of 1 ms to about 65 s (65.536 s), doubling.
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

impl EntryMetrics {
    /// Creates the metrics and registers them under their exported names.
    pub fn register(registry: &MetricsRegistry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            durations: Family::new_with_constructor(duration_histogram),
            retries: Counter::default(),
            queue_length: Gauge::default(),
            dropped_frames: Counter::default(),
            links: Family::default(),
            revision: Gauge::default(),
            lease_live: Gauge::default(),
        };
        registry.with(|registry| {
            let Self {
                requests,
                durations,
                retries,
                queue_length,
                dropped_frames,
                links,
                revision,
                lease_live,
            } = metrics.clone();
            registry.register("entry_requests", "Finished requests", requests);
            registry.register("entry_request_seconds", "Duration of requests", durations);
            registry.register("entry_retries", "Attempts after the first one", retries);
            registry.register("entry_queue_length", "Waiting requests", queue_length);
            registry.register(
                "entry_dropped_frames",
                "Dropped answer frames",
                dropped_frames,
            );
            registry.register("entry_links", "Open links", links);
            registry.register(
                "entry_configuration_revision",
                "Revision in force",
                revision,
            );
            registry.register(
                "entry_configuration_lease_live",
                "1 while the configuration lease is live",
                lease_live,
            );
        });
        metrics
    }

    /// Counts a finished request and observes its duration.
    pub fn record(&self, service: &str, outcome: &'static str, duration: Duration) {
        let service = service.to_owned();
        let labels = OutcomeLabels {
            service: service.clone(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let durations = self.durations.get_or_create(&ServiceLabels { service });
        durations.observe(duration.as_secs_f64());
    }

    /// Updates revision and lease metrics at each change of the configuration view; returns when
    /// the sender of the view was dropped.
    pub async fn follow_view(self, mut view: ViewReceiver) {
        loop {
            let current = view.borrow_and_update().clone();
            self.revision.set(current.revision() as i64);
            self.lease_live.set(i64::from(current.lease_live));
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the gauge of open links to processes of a role: `agent` or `entry`.
    pub fn link_gauge(&self, peer: &'static str) -> Gauge {
        self.links.get_or_create(&LinkLabels { peer }).clone()
    }
}
