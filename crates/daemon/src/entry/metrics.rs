//! Metrics of an entry.

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

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// Service; empty if it is unknown.
    pub service: String,
    /// Outcome.
    pub outcome: &'static str,
}

/// Labels of a duration.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// Service; empty if it is unknown.
    pub service: String,
}

/// Labels of a link.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LinkLabels {
    /// Role of the other side: `agent` or `entry`.
    pub peer: &'static str,
}

/// Metrics of an entry. Clones share the values.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Finished requests.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from the head of a request to its outcome, in seconds.
    pub durations: Family<ServiceLabels, Histogram>,
    /// Attempts after the first one.
    pub retries: Counter,
    /// Requests that wait for a target.
    pub queue_length: Gauge,
    /// Answer frames that were dropped.
    pub dropped_frames: Counter,
    /// Open links.
    pub links: Family<LinkLabels, Gauge>,
    /// Configuration revision in force.
    pub revision: Gauge,
    /// 1 while the configuration lease is live, else 0.
    pub lease_live: Gauge,
}

fn duration_histogram() -> Histogram {
    // 1 ms to about 65 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

impl EntryMetrics {
    /// Creates the metrics and registers them.
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

    /// Counts a finished request.
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

    /// Shows the configuration view in force until its sender is gone.
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

    /// Returns the number of open links to processes of a role.
    pub fn open_links(&self, peer: &'static str) -> Gauge {
        self.links.get_or_create(&LinkLabels { peer }).clone()
    }
}
