//! Reads the operator's configuration and the list of targets from the platform's store.
//!
//! Calls to the store are billed, so one gateway per availability zone, the zone's reader, reads it
//! and the others fetch snapshots from that gateway. A gateway whose reader does not answer, or has
//! only outdated data, immediately reads the store itself.

use {
    super::{peers, state::GatewayState},
    crate::options::GatewayOptions,
    error_stack::Report,
    sassafrasslip_core::{
        dispatch::{ListHistory, StoreStamp},
        events::LogEvent::{
            PlatformRecovered, PlatformUnavailable, TableRejected, TargetUnreadable,
        },
        log_event,
    },
    sassafrasslip_platform::{
        ConfigurationDocument, ConfigurationUpdate, StoreClient, StoreError, decode_configuration,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest wait of one long-polling call for a configuration change.
const CHANGE_WAIT: Duration = Duration::from_millis(2000);

/// Upper limit for the list age at which a gateway stops relying on the reader and reads the store
/// itself.
const LIST_AGE_LIMIT: Duration = Duration::from_millis(1000);

/// Interval at which a gateway checks whether the configuration from the reader is still recent.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Upper limit for the interval at which the instance list is read.
const LIST_INTERVAL: Duration = Duration::from_millis(600);

/// Longest wait for a configuration change, as a share of the time within which a configuration has
/// to be in force.
const CHANGE_WAIT_SHARE: f64 = 0.3;

/// Configuration age at which a gateway reads the store itself, as a share of the same time. It is
/// longer than the wait and the list interval together: the reader learns at least once per wait
/// that its configuration is current, and the others ask the reader once per list interval.
const CONFIGURATION_AGE_SHARE: f64 = 0.7;

/// Interval of reading the instance list, as a share of the time within which a leaving target must
/// stop receiving work.
const LIST_INTERVAL_SHARE: f64 = 0.3;

/// List age at which a gateway reads the store itself, as a share of the same time. Together with
/// the interval it takes 0.8 of that time, which leaves room for the calls.
const LIST_AGE_SHARE: f64 = 0.5;

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after the store returned an older version than before.
const STALE_PAUSE: Duration = Duration::from_millis(250);

/// Intervals and age limits that meet the time limits of the settings.
#[derive(Clone, Copy, Debug)]
struct RefreshIntervals {
    change_wait: Duration,
    configuration_age: Duration,
    list_interval: Duration,
    list_age: Duration,
}

impl RefreshIntervals {
    fn new(options: &GatewayOptions) -> Self {
        let (configuration, drain) = (options.operator_limit(), options.drain_limit);
        Self {
            change_wait: CHANGE_WAIT.min(configuration.mul_f64(CHANGE_WAIT_SHARE)),
            configuration_age: configuration.mul_f64(CONFIGURATION_AGE_SHARE),
            list_interval: LIST_INTERVAL.min(drain.mul_f64(LIST_INTERVAL_SHARE)),
            list_age: LIST_AGE_LIMIT.min(drain.mul_f64(LIST_AGE_SHARE)),
        }
    }
}

/// Tracks whether one kind of call to the store succeeds, and logs when that changes.
#[derive(Debug)]
struct StoreHealth {
    call: &'static str,
    failing_since: Option<Instant>,
}

impl StoreHealth {
    const fn new(call: &'static str) -> Self {
        Self {
            call,
            failing_since: None,
        }
    }

    /// Records a successful call; returns whether the call before it failed.
    fn record_success(&mut self, now: Instant) -> bool {
        let Some(since) = self.failing_since.take() else {
            return false;
        };
        let away_ms = now.saturating_duration_since(since).as_millis();
        log_event!(PlatformRecovered, call = self.call, away_ms = away_ms);
        true
    }

    fn record_failure(&mut self, report: &Report<StoreError>, now: Instant) {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            let error = report.current_context();
            log_event!(PlatformUnavailable, call = self.call, error = error);
        }
    }
}

/// Keeps the operator's configuration up to date until the process ends. Calls the store only while
/// this gateway is the zone's reader or the configuration from the reader is too old.
pub async fn follow_configuration(state: Rc<GatewayState>, store: StoreClient) {
    let mut health = StoreHealth::new("configuration");
    let mut stamp: Option<StoreStamp> = None;
    let mut newest = StoreStamp::default();
    let intervals = RefreshIntervals::new(&state.options);
    loop {
        let now = Instant::now();
        let has_reader = peers::zone_reader(&state, now).is_some() && state.knows_emptied_zones();
        if has_reader && state.configuration_age(now) < intervals.configuration_age {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let result =
            read_or_await_configuration(&state, &store, &intervals, stamp, &mut newest).await;
        let now = Instant::now();
        match result {
            Ok(next) => {
                health.record_success(now);
                state.configuration_failures.set(0);
                stamp = next;
                if let Some(stamp) = stamp {
                    state.configured_at.set(Some(now));
                    state.configuration_era.set(stamp.era);
                }
            }
            Err(report) => {
                state.metrics.store_failures.inc();
                let failures = state.configuration_failures.get();
                state.configuration_failures.set(failures.saturating_add(1));
                health.record_failure(&report, now);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the configuration, or waits for a change if its stamp is known. Returns the stamp from
/// which to wait for the next change, or `None` if the configuration must be read again.
async fn read_or_await_configuration(
    state: &GatewayState,
    store: &StoreClient,
    intervals: &RefreshIntervals,
    stamp: Option<StoreStamp>,
    newest: &mut StoreStamp,
) -> Result<Option<StoreStamp>, Report<StoreError>> {
    let Some(stamp) = stamp else {
        let asked_at = Instant::now();
        let rows = store.read_configuration().await?;
        let Some(stamp) = state.note_stamp(rows.stamp, asked_at) else {
            sleep(STALE_PAUSE).await;
            return Ok(None);
        };
        if newest.era > stamp.era {
            *newest = StoreStamp::default();
        }
        state.note_zone_rows(rows.zones, stamp);
        apply_document(state, &rows.document, stamp);
        // While the store has lost its history, it may answer a read with an old version.
        if stamp < *newest {
            sleep(STALE_PAUSE).await;
            return Ok(None);
        }
        *newest = stamp;
        return Ok(Some(stamp));
    };
    match store
        .await_configuration(stamp, intervals.change_wait)
        .await?
    {
        ConfigurationUpdate::Followed {
            document,
            zones,
            stamp: next,
        } => {
            let zones_stamp = StoreStamp {
                era: stamp.era,
                ..next
            };
            let is_complete = state.note_changed_zone_rows(zones, stamp, zones_stamp);
            *newest = next.max(*newest);
            let next = match document {
                Some(document) => {
                    apply_document(state, &document, next);
                    next
                }
                None => next.max(stamp),
            };
            Ok(is_complete.then_some(next))
        }
        ConfigurationUpdate::HistoryLost => Ok(None),
    }
}

fn apply_document(state: &GatewayState, document: &ConfigurationDocument, stamp: StoreStamp) {
    match decode_configuration(&document.document) {
        Ok(table) => {
            state.apply_table(table, document.document.clone(), stamp.era, "store");
        }
        Err(report) => log_event!(
            TableRejected,
            row_version = document.row_version,
            error = crate::describe(&report)
        ),
    }
}

/// Keeps the list of targets up to date until the process ends, from the zone's reader or, if that
/// is this gateway or has no recent list, from the store.
pub async fn follow_targets(state: Rc<GatewayState>, store: StoreClient) {
    let mut health = StoreHealth::new("targets");
    let mut history = ListHistory::default();
    let mut unreadable: HashMap<String, String> = HashMap::new();
    let intervals = RefreshIntervals::new(&state.options);
    loop {
        let asked_at = Instant::now();
        if refresh_from_reader(&state, &intervals, asked_at).await {
            sleep(intervals.list_interval.saturating_sub(asked_at.elapsed())).await;
            continue;
        }
        match store.read_targets().await {
            Ok(listing) => {
                state.list_failures.set(0);
                if health.record_success(Instant::now()) {
                    state.roster.borrow_mut().note_list_regained(asked_at);
                }
                for (id, fault) in &listing.unreadable {
                    if unreadable.get(id) != Some(fault) {
                        log_event!(TargetUnreadable, target = id, fault = fault);
                    }
                }
                unreadable = listing.unreadable.into_iter().collect();
                let stamp = state.note_stamp(listing.stamp, asked_at);
                history.forget_after(state.known_era.get().era());
                if let Some(stamp) = stamp.filter(|stamp| history.record(*stamp, asked_at)) {
                    let entries = listing.targets.into_iter();
                    let list = entries
                        .map(|(entry, version)| (entry, history.is_unconfirmed(version, asked_at)))
                        .collect();
                    state.apply_listing(list, stamp.era, asked_at, "store");
                }
                sleep(intervals.list_interval.saturating_sub(asked_at.elapsed())).await;
            }
            Err(report) => {
                state.metrics.store_failures.inc();
                let failures = state.list_failures.get();
                state.list_failures.set(failures.saturating_add(1));
                health.record_failure(&report, Instant::now());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Fetches a snapshot from the zone's reader. Returns whether the list of targets is recent
/// afterwards; `false` if this gateway is the reader or the reader does not answer.
async fn refresh_from_reader(
    state: &GatewayState,
    intervals: &RefreshIntervals,
    now: Instant,
) -> bool {
    let Some(reader) = peers::zone_reader(state, now) else {
        return false;
    };
    match peers::fetch_snapshot(state, reader).await {
        Ok(()) => state.list_age(Instant::now()) < intervals.list_age,
        Err(report) => {
            log::debug!("{}", crate::describe(&report));
            false
        }
    }
}
