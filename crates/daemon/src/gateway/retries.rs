//! Retry budgets of this gateway, and what load reports tell of those of all gateways.

use {
    super::{
        part_news::latest,
        peers::{age_ms, time_of},
        state::GatewayState,
    },
    sassafrasslip_core::{
        dispatch::{PreviousUsage, RetryHandover, RetryStatus, RetryUsage, UsageReport},
        events::LogEvent::RetriesTakenOver,
        ids::ServiceName,
        log_event,
    },
    sassafrasslip_proto::peer::{LoadReport, PreviousUsageRecord, RetryUsageRecord},
    std::net::Ipv4Addr,
    tokio::time::Instant,
};

/// Largest size of what a report tells of processes that have ended, in bytes. A gateway that starts
/// and is not told of its previous process waits until the window of the budgets has passed.
const MAX_PREVIOUS_BYTES: usize = 3 * 1024;

impl GatewayState {
    /// Counts a new request, which adds to the retry budget of its service.
    pub fn record_first_try(&self, service: &ServiceName, now: Instant) {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.record_first_try(service, now);
    }

    /// Takes one retry from the retry budget of a service; returns whether one was left.
    pub fn try_spend_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let gateways = self.peers.borrow().sharing_gateways(now);
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.try_spend(service, gateways, now)
    }

    /// Returns the use of the retry budget of a service.
    pub fn retry_status(&self, service: &ServiceName, now: Instant) -> RetryStatus {
        let gateways = self.peers.borrow().sharing_gateways(now);
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.status(service, gateways, now)
    }
}

/// Adds the use of the retry budgets by this gateway, and by the previous processes of others, to a
/// report.
pub fn add_usage(state: &GatewayState, report: &mut LoadReport, now: Instant) {
    let mut budgets = state.retry_budgets.borrow_mut();
    report.has_retry_part = budgets.has_part(now);
    report.retry_usage = usage_records(&budgets.usage(now));
    report.previous_usage = previous_records(&state.retry_handover.borrow(), now);
}

/// Returns what a report tells of processes that have ended, up to the size limit.
pub fn previous_records(handover: &RetryHandover, now: Instant) -> Vec<PreviousUsageRecord> {
    let records = handover
        .news(now)
        .map(|(gateway, previous)| PreviousUsageRecord {
            gateway: gateway.into(),
            age_ms: age_ms(previous.as_of, now),
            gateways: previous.gateways,
            services: usage_records(&previous.services),
        });
    latest(records, |record| record.age_ms, MAX_PREVIOUS_BYTES)
}

fn usage_records(usage: &[(ServiceName, RetryUsage)]) -> Vec<RetryUsageRecord> {
    let records = usage.iter().map(|(service, usage)| RetryUsageRecord {
        service: service.to_string(),
        first_tries: usage.first_tries.clone(),
        retries: usage.retries.clone(),
    });
    records.collect()
}

fn usage_of(records: &[RetryUsageRecord]) -> Vec<(ServiceName, RetryUsage)> {
    let usage = records.iter().filter_map(|record| {
        let usage = RetryUsage {
            first_tries: record.first_tries.clone(),
            retries: record.retries.clone(),
        };
        Some((record.service.parse().ok()?, usage))
    });
    usage.collect()
}

/// Applies what the report of a peer says of the retry budgets.
pub fn apply_usage(state: &GatewayState, peer: Ipv4Addr, report: &LoadReport, now: Instant) {
    let own = state.own_address().map(u32::from);
    for record in &report.previous_usage {
        if Some(record.gateway) == own {
            take_over(state, peer, record, now);
        }
    }
    let usage = UsageReport {
        incarnation: report.incarnation,
        sequence: report.sequence,
        has_part: report.has_retry_part,
        services: usage_of(&report.retry_usage),
    };
    let gateways = state.peers.borrow().sharing_gateways(now);
    let mut handover = state.retry_handover.borrow_mut();
    if handover.record(peer, usage, gateways, now) {
        state.report_due.notify_one();
    }
}

fn take_over(state: &GatewayState, peer: Ipv4Addr, record: &PreviousUsageRecord, now: Instant) {
    let Some(as_of) = time_of(record.age_ms, now) else {
        return;
    };
    let previous = PreviousUsage {
        as_of,
        gateways: record.gateways,
        services: usage_of(&record.services),
    };
    let mut budgets = state.retry_budgets.borrow_mut();
    if !budgets.take_over(&previous, now) {
        return;
    }
    let mut peers = state.peers.borrow_mut();
    peers.note_sharing(previous.gateways, budgets.starts_until());
    let retries = previous.services.iter();
    let retries = retries.flat_map(|(_, usage)| &usage.retries);
    log_event!(
        RetriesTakenOver,
        peer = peer,
        retries = retries.map(|count| u64::from(*count)).sum::<u64>(),
        age_ms = record.age_ms,
        gateways = record.gateways
    );
}
