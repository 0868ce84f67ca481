//! Prometheus metrics of a gateway.

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

/// Labels of the counter of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct GatewayLabels {
    /// Service that the request was routed to; empty if the request was refused before routing.
    pub service: String,
    /// `answered`: the caller got a response of a target. `refused`: the request has not run.
    /// `unknown`: it may have run. `cut`: its stream was aborted. `left`: the caller disconnected.
    pub outcome: &'static str,
}

/// Labels of the metrics of services over their capacity.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// Service whose targets form groups.
    pub service: String,
}

/// Labels of the metrics of memory that is held for callers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct HoldLabels {
    /// `body`: bodies of requests. `answer`: large answers that callers have not read yet.
    pub kind: &'static str,
}

/// Metrics of a gateway. Clones share their values.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// Finished requests by service and outcome.
    pub requests: Family<GatewayLabels, Counter>,
    /// Time from the arrival of a request to the first event or the complete response, in seconds.
    pub first_answer: Histogram,
    /// Longest pause between the events of an answered stream, in seconds.
    pub longest_pause: Histogram,
    /// Time from the arrival of a request to its first attempt, in seconds.
    pub waits: Histogram,
    /// Attempts after the first one of a request.
    pub retries: Counter,
    /// Requests whose connection ended before the head of an answer was sent.
    pub unanswered: Counter,
    /// Requests whose target was silent for longer than the limit.
    pub silences: Counter,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Idle connections of callers that were closed because new ones waited.
    pub closed_idle: Counter,
    /// Bytes that are held for callers.
    pub held_bytes: Family<HoldLabels, Gauge>,
    /// Bodies that were refused because their memory was used up.
    pub memory_refusals: Family<HoldLabels, Counter>,
    /// Bodies and answers that gave way to others.
    pub displaced: Family<HoldLabels, Counter>,
    /// Whether a service is over its capacity, as 0 or 1.
    pub overloaded: Family<ServiceLabels, Gauge>,
    /// Late requests that were refused because all places were needed for requests on time.
    pub late_refusals: Family<ServiceLabels, Counter>,
    /// Streams that were resumed at another target.
    pub moved_streams: Counter,
    /// Ejections of targets after failures.
    pub ejections: Counter,
    /// Connections opened to targets for requests.
    pub channels: Counter,
    /// Requests of this gateway whose target crashed before it began to answer.
    pub crashes: Counter,
    /// Prompt parts in quarantine because they crash targets.
    pub quarantined_parts: Gauge,
    /// Requests in quarantine because they crash targets.
    pub quarantined_requests: Gauge,
    /// Changes of expert maps that this gateway has completed as the placer.
    pub map_changes: Counter,
    /// Failed calls to the platform's store.
    pub store_failures: Counter,
    /// Targets that are cold and get requests at a bounded rate.
    pub cold_targets: Gauge,
    /// Targets whose pace is found from their answers, because they do not carry their share yet.
    pub paced_targets: Gauge,
    /// Requests that are waiting for a target.
    pub waiting: Gauge,
    /// Availability zones that the operator has emptied.
    pub emptied_zones: Gauge,
    /// Time from when the store first gave out a change of the emptied zones, here or to a peer, to
    /// when it took effect here, in seconds.
    pub zone_news_age: Histogram,
    /// Configuration revision in force; 0 before the first one.
    pub revision: Gauge,
}

fn duration_histogram() -> Histogram {
    // 1 ms to about 16 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

impl GatewayMetrics {
    /// Creates the metrics and adds them to the registry.
    pub fn register(registry: &MetricsRegistry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            first_answer: duration_histogram(),
            longest_pause: duration_histogram(),
            waits: duration_histogram(),
            retries: Counter::default(),
            unanswered: Counter::default(),
            silences: Counter::default(),
            connections: Gauge::default(),
            closed_idle: Counter::default(),
            held_bytes: Family::default(),
            memory_refusals: Family::default(),
            displaced: Family::default(),
            overloaded: Family::default(),
            late_refusals: Family::default(),
            moved_streams: Counter::default(),
            ejections: Counter::default(),
            channels: Counter::default(),
            crashes: Counter::default(),
            quarantined_parts: Gauge::default(),
            quarantined_requests: Gauge::default(),
            map_changes: Counter::default(),
            store_failures: Counter::default(),
            cold_targets: Gauge::default(),
            paced_targets: Gauge::default(),
            waiting: Gauge::default(),
            emptied_zones: Gauge::default(),
            zone_news_age: duration_histogram(),
            revision: Gauge::default(),
        };
        registry.with(|registry| {
            let requests = metrics.requests.clone();
            registry.register("gateway_requests", "Finished requests", requests);
            registry.register(
                "gateway_first_answer_seconds",
                "Time to the first event or the complete response",
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
            let silences = metrics.silences.clone();
            let help = "Requests whose target was silent for longer than the limit";
            registry.register("gateway_silences", help, silences);
            let unanswered = metrics.unanswered.clone();
            registry.register(
                "gateway_unanswered",
                "Requests whose connection ended before the head of an answer",
                unanswered,
            );
            let connections = metrics.connections.clone();
            registry.register(
                "gateway_caller_connections",
                "Open connections of callers",
                connections,
            );
            let closed = metrics.closed_idle.clone();
            registry.register(
                "gateway_closed_idle_connections",
                "Idle connections of callers that were closed to make room",
                closed,
            );
            let held = metrics.held_bytes.clone();
            registry.register("gateway_held_bytes", "Bytes held for callers", held);
            registry.register(
                "gateway_memory_refusals",
                "Bodies refused because their memory was used up",
                metrics.memory_refusals.clone(),
            );
            registry.register(
                "gateway_displaced_holds",
                "Bodies and answers that gave way to others",
                metrics.displaced.clone(),
            );
            registry.register(
                "gateway_moved_streams",
                "Streams that were resumed at another target",
                metrics.moved_streams.clone(),
            );
            let ejections = metrics.ejections.clone();
            registry.register(
                "gateway_ejections",
                "Ejections of targets after failures",
                ejections,
            );
            let channels = metrics.channels.clone();
            registry.register(
                "gateway_channels",
                "Connections opened to targets",
                channels,
            );
            let crashes = metrics.crashes.clone();
            registry.register(
                "gateway_crashes",
                "Requests whose target crashed before it began to answer",
                crashes,
            );
            let parts = metrics.quarantined_parts.clone();
            registry.register(
                "gateway_quarantined_parts",
                "Prompt parts in quarantine",
                parts,
            );
            let requests = metrics.quarantined_requests.clone();
            registry.register(
                "gateway_quarantined_requests",
                "Requests in quarantine",
                requests,
            );
            let changes = metrics.map_changes.clone();
            registry.register("gateway_map_changes", "Changes of expert maps", changes);
            registry.register(
                "gateway_store_failures",
                "Failed calls to the store",
                metrics.store_failures.clone(),
            );
            let cold = metrics.cold_targets.clone();
            registry.register("gateway_cold_targets", "Cold targets", cold);
            let overloaded = metrics.overloaded.clone();
            let help = "Whether a service is over its capacity";
            registry.register("gateway_overloaded", help, overloaded);
            let refusals = metrics.late_refusals.clone();
            let help = "Late requests refused for want of places";
            registry.register("gateway_late_refusals", help, refusals);
            let paced = metrics.paced_targets.clone();
            let help = "Targets that do not carry their share yet";
            registry.register("gateway_paced_targets", help, paced);
            let waiting = metrics.waiting.clone();
            registry.register(
                "gateway_waiting",
                "Requests that wait for a target",
                waiting,
            );
            registry.register(
                "gateway_emptied_zones",
                "Availability zones that the operator has emptied",
                metrics.emptied_zones.clone(),
            );
            registry.register(
                "gateway_zone_news_age_seconds",
                "Time until a change of the emptied zones took effect",
                metrics.zone_news_age.clone(),
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

    /// Counts a finished request under its service and outcome.
    pub fn count(&self, service: &str, outcome: &'static str) {
        let labels = GatewayLabels {
            service: service.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }
}
