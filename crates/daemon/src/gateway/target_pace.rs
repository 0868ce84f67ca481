//! Paces of requests to cold, new and recovered targets: what the gateway learns of them, logs and
//! exchanges with its peers. [`TargetPacer`](sassafrasslip_core::dispatch::TargetPacer) decides.

use {
    super::{
        peers::{age_ms, time_of},
        state::GatewayState,
    },
    sassafrasslip_core::{
        dispatch::{
            DirectTarget, FirstAnswer, PaceChange, PaceInput, PaceNews, PaceRule, RequestRate,
            RouteTable, TargetHealth, TargetKey, TargetRoster, ZoneChange,
        },
        events::LogEvent::{PaceBegun, TargetCarries, TargetCold},
        log_event,
    },
    sassafrasslip_platform::AnswerHead,
    sassafrasslip_proto::peer::{ColdRecord, LoadReport, PaceRecord},
    std::time::Duration,
    tokio::time::Instant,
};

impl GatewayState {
    /// Takes over the cold rules of a configuration.
    pub(super) fn set_cold_rules(&self, table: &RouteTable) {
        let names = table.service_names();
        let rules = names.filter_map(|name| Some((name, table.service(name)?.cold)));
        self.roster.borrow_mut().pacer_mut().set_cold_rules(rules);
        update(self, Instant::now());
    }

    /// Records the cold time that a target names in an answer, or that it has rejected the request.
    pub(super) fn record_cold_time(&self, key: TargetKey, head: &AnswerHead, now: Instant) {
        if !head.matches_request || head.is_misdirected {
            return;
        }
        let mut roster = self.roster.borrow_mut();
        let Some(target) = roster.get(key).map(|target| target.name_hash) else {
            return;
        };
        if head.was_not_run {
            roster.pacer_mut().record_failure(target, now);
        }
        let change = head
            .cold_time
            .and_then(|cold_time| roster.note_cold(key, cold_time, now));
        if let Some(change) = change {
            log_change(&roster, target, change, "answer");
            self.report_due.notify_one();
        }
    }

    /// Records the first answer to an attempt.
    pub(super) fn record_paced_answer(&self, key: TargetKey, answer: FirstAnswer) {
        let mut roster = self.roster.borrow_mut();
        let Some(target) = roster.get(key) else {
            return;
        };
        let (target, service) = (target.name_hash, target.entry.service.clone());
        let change = roster.pacer_mut().record_answer(target, &service, answer);
        if let Some(change) = change {
            log_change(&roster, target, change, "answer");
        }
    }

    /// Records the health that an attempt shows. A pace begins if it ends an ejection.
    pub(super) fn record_health(
        &self,
        roster: &mut TargetRoster,
        key: TargetKey,
        record: fn(&mut TargetHealth, Instant),
    ) {
        let change = roster.record_health(key, record, Instant::now());
        log_begun(roster, key, change);
    }

    /// Records a server error to a request that may run once. It lowers the pace only.
    pub(super) fn record_paced_error(&self, key: TargetKey, now: Instant) {
        let mut roster = self.roster.borrow_mut();
        if let Some(target) = roster.get(key).map(|target| target.name_hash) {
            roster.pacer_mut().record_failure(target, now);
        }
    }

    /// Records a response with a server error, which the target itself reports.
    pub fn record_error_answer(&self, key: TargetKey) {
        let mut roster = self.roster.borrow_mut();
        let change = roster.record_error_answer(key, Instant::now());
        log_begun(&roster, key, change);
    }

    /// Begins to find the paces of the targets of zones that are taken back.
    pub(super) fn begin_zone_paces(&self, changes: &[ZoneChange]) {
        let mut roster = self.roster.borrow_mut();
        for change in changes.iter().filter(|change| !change.is_emptied) {
            for (target, change) in roster.begin_zone_paces(&change.zone, Instant::now()) {
                log_change(&roster, target, change, "zone");
            }
        }
    }
}

fn log_begun(roster: &TargetRoster, key: TargetKey, change: Option<PaceChange>) {
    if let Some((change, target)) = change.zip(roster.get(key)) {
        log_change(roster, target.name_hash, change, "answer");
    }
}

/// Updates the shares of targets, the settings and the number of gateways.
pub(super) fn update(state: &GatewayState, now: Instant) {
    let known = state.peers.borrow().sharing_gateways(now);
    let has_peers = known > 1 || !state.options.seeds.is_empty();
    let input = PaceInput {
        rule: PaceRule {
            ratio: state.options.cold_ratio,
            allowance: state.options.cold_allowance,
            finds_pace: state.options.find_pace,
        },
        gateways: known,
        has_peers,
        draw: rand::random(),
    };
    let mut roster = state.roster.borrow_mut();
    for (target, change) in roster.update_paces(input, now) {
        log_change(&roster, target, change, "update");
    }
    let (cold, paced) = roster.pacer().counts(now);
    let gauge = |count| i64::try_from(count).unwrap_or(i64::MAX);
    state.metrics.cold_targets.set(gauge(cold));
    state.metrics.paced_targets.set(gauge(paced));
}

fn log_change(roster: &TargetRoster, target: u32, change: PaceChange, source: &'static str) {
    let id = roster.name_of(target).unwrap_or("unknown");
    match change {
        PaceChange::Cold(time) => log_event!(
            TargetCold,
            target = id,
            cold_ms = time.as_millis(),
            source = source
        ),
        PaceChange::Begun(rate, share) => log_event!(
            PaceBegun,
            target = id,
            per_second = format_args!("{rate:.2}"),
            share = format_args!("{share:.2}"),
            source = source
        ),
        PaceChange::Carries(took) => log_event!(
            TargetCarries,
            target = id,
            took_ms = took.as_millis(),
            source = source
        ),
    }
}

/// Returns the remaining cold time of an entry for a peer. It changes with every entry, so that it
/// is left out where no pace needs it: peers would fetch the whole list again.
pub(super) fn cold_remaining(roster: &TargetRoster, target: &DirectTarget) -> Option<u32> {
    let is_active = roster.pacer().is_active(&target.entry.service);
    let cold_for = target.entry.cold_for.filter(|_| is_active)?;
    Some(u32::try_from(cold_for.as_millis()).unwrap_or(u32::MAX))
}

/// Returns the duration of a field in milliseconds.
pub(super) fn milliseconds(value: u32) -> Duration {
    Duration::from_millis(value.into())
}

/// Adds what this gateway has learned to a load report.
pub(super) fn add_records(state: &GatewayState, report: &mut LoadReport, now: Instant) {
    let roster = state.roster.borrow();
    let pacer = roster.pacer();
    let cold = pacer.cold_news(now).map(|(target, time)| ColdRecord {
        target,
        remaining_ms: u32::try_from(time.as_millis()).unwrap_or(u32::MAX),
    });
    report.cold_targets = cold.collect();
    let paces = pacer.found_news(now).map(|(target, news)| PaceRecord {
        target,
        per_second: news.rate.per_second(),
        age_ms: age_ms(news.as_of, now),
    });
    report.paces = paces.collect();
}

/// Applies what a peer has learned.
pub(super) fn apply_records(state: &GatewayState, report: &LoadReport, now: Instant) {
    let mut roster = state.roster.borrow_mut();
    for record in &report.cold_targets {
        let time = milliseconds(record.remaining_ms);
        if let Some(change) = roster.note_peer_cold(record.target, time, now) {
            log_change(&roster, record.target, change, "peer");
        }
    }
    for record in &report.paces {
        // A rate that cannot be is no news.
        let rate = RequestRate::from_value(record.per_second);
        let Some((rate, as_of)) = rate.zip(time_of(record.age_ms, now)) else {
            continue;
        };
        let news = PaceNews { rate, as_of };
        if let Some(change) = roster.pacer_mut().note_found(record.target, news) {
            log_change(&roster, record.target, change, "peer");
        }
    }
}
