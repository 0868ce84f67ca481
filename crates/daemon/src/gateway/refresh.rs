//! What a gateway learns from the platform's store: the operator's configuration and the targets.
//!
//! Calls to the store are priced, so one gateway of an availability zone reads it and the others
//! ask that one. A gateway whose reader is silent, or knows only old things, reads the store itself
//! at once.

use {
    super::{peers, state::GatewayState},
    crate::options::GatewayOptions,
    error_stack::Report,
    sassafrasslip_core::{
        events::LogEvent::{
            PlatformRecovered, PlatformUnavailable, TableRejected, TargetUnreadable,
        },
        log_event,
    },
    sassafrasslip_platform::{
        ConfigurationDocument, ConfigurationUpdate, StoreClient, StoreError, decode_configuration,
        store::StoreVersion,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest wait of one call for a change.
const CHANGE_WAIT: Duration = Duration::from_millis(2000);

/// Age of the reader's list from which on a gateway reads the store itself, at most.
const LIST_AGE_LIMIT: Duration = Duration::from_millis(1000);

/// Interval at which it is checked whether the reader's knowledge is still new enough.
const READER_CHECK: Duration = Duration::from_millis(100);

/// Interval at which the instance list is read, at most.
const LIST_INTERVAL: Duration = Duration::from_millis(600);

/// Parts of the time within which a configuration has to be in force. The reader of the zone learns
/// at least once in a wait that what it knows is current, and the others ask it in an interval of
/// the list; they give it up later than the sum of both.
const WAIT_SHARE: f64 = 0.3;
const CONFIGURATION_AGE_SHARE: f64 = 0.7;

/// Parts of the time within which a target that leaves gets no more work. An interval of reading
/// and the age at which the reader is given up add up to 0.8 of it, which leaves room for the calls.
const LIST_SHARE: f64 = 0.3;
const LIST_AGE_SHARE: f64 = 0.5;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after an answer that is older than an earlier one.
const STALE_PAUSE: Duration = Duration::from_millis(250);

/// Intervals of reading, short enough for the bounds of the settings.
#[derive(Clone, Copy, Debug)]
struct RefreshPace {
    change_wait: Duration,
    configuration_age: Duration,
    list_interval: Duration,
    list_age: Duration,
}

impl RefreshPace {
    fn new(options: &GatewayOptions) -> Self {
        let (configuration, drain) = (options.configuration_limit, options.drain_limit);
        Self {
            change_wait: CHANGE_WAIT.min(configuration.mul_f64(WAIT_SHARE)),
            configuration_age: configuration.mul_f64(CONFIGURATION_AGE_SHARE),
            list_interval: LIST_INTERVAL.min(drain.mul_f64(LIST_SHARE)),
            list_age: LIST_AGE_LIMIT.min(drain.mul_f64(LIST_AGE_SHARE)),
        }
    }
}

/// Whether a dependency answers; logs when that changes.
#[derive(Debug)]
struct Dependency {
    call: &'static str,
    failing_since: Option<Instant>,
}

impl Dependency {
    const fn new(call: &'static str) -> Self {
        Self {
            call,
            failing_since: None,
        }
    }

    /// Notes an answer; returns whether the dependency has just come back.
    fn answered(&mut self, now: Instant) -> bool {
        let Some(since) = self.failing_since.take() else {
            return false;
        };
        let away_ms = now.saturating_duration_since(since).as_millis();
        log_event!(PlatformRecovered, call = self.call, away_ms = away_ms);
        true
    }

    fn failed(&mut self, report: &Report<StoreError>, now: Instant) {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            let error = report.current_context();
            log_event!(PlatformUnavailable, call = self.call, error = error);
        }
    }
}

/// Follows the operator's configuration until the process ends.
pub async fn follow_configuration(state: Rc<GatewayState>, store: StoreClient) {
    let mut dependency = Dependency::new("configuration");
    let mut version: Option<StoreVersion> = None;
    let mut newest = 0;
    let pace = RefreshPace::new(&state.options);
    loop {
        let now = Instant::now();
        let has_reader = peers::zone_reader(&state, now).is_some();
        if has_reader && state.configuration_age(now) < pace.configuration_age {
            sleep(READER_CHECK).await;
            continue;
        }
        let step = follow_step(&state, &store, &pace, version, &mut newest).await;
        let now = Instant::now();
        match step {
            Ok(next) => {
                dependency.answered(now);
                state.configuration_failures.set(0);
                version = next;
                if version.is_some() {
                    state.configured_at.set(Some(now));
                }
            }
            Err(report) => {
                state.metrics.store_failures.inc();
                let failures = state.configuration_failures.get();
                state.configuration_failures.set(failures.saturating_add(1));
                dependency.failed(&report, now);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the configuration, or waits for a change if its version is known; returns the version
/// from which to wait on.
async fn follow_step(
    state: &GatewayState,
    store: &StoreClient,
    pace: &RefreshPace,
    version: Option<StoreVersion>,
    newest: &mut StoreVersion,
) -> Result<Option<StoreVersion>, Report<StoreError>> {
    let Some(version) = version else {
        let (document, version) = store.read_configuration().await?;
        apply_document(state, &document);
        // While the store forgets its history, it may answer reads from the past.
        if version < *newest {
            sleep(STALE_PAUSE).await;
            return Ok(None);
        }
        *newest = version;
        return Ok(Some(version));
    };
    match store.await_configuration(version, pace.change_wait).await? {
        ConfigurationUpdate::Changed { document, version } => {
            apply_document(state, &document);
            *newest = version.max(*newest);
            Ok(Some(version))
        }
        ConfigurationUpdate::Unchanged(next) => {
            *newest = next.max(*newest);
            Ok(Some(next.max(version)))
        }
        ConfigurationUpdate::HistoryLost => Ok(None),
    }
}

fn apply_document(state: &GatewayState, document: &ConfigurationDocument) {
    match decode_configuration(&document.document) {
        Ok(table) => {
            state.apply_table(table, document.document.clone(), "store");
        }
        Err(report) => log_event!(
            TableRejected,
            row_version = document.row_version,
            error = crate::describe(&report)
        ),
    }
}

/// Follows the instance list until the process ends.
pub async fn follow_targets(state: Rc<GatewayState>, store: StoreClient) {
    let mut dependency = Dependency::new("targets");
    let mut newest = 0;
    let mut unreadable = HashMap::new();
    let pace = RefreshPace::new(&state.options);
    loop {
        let asked_at = Instant::now();
        if ask_reader(&state, &pace, asked_at).await {
            sleep(pace.list_interval.saturating_sub(asked_at.elapsed())).await;
            continue;
        }
        match store.read_targets().await {
            Ok(listing) => {
                state.list_failures.set(0);
                if dependency.answered(Instant::now()) {
                    state.roster.borrow_mut().note_list_regained(asked_at);
                }
                for (id, fault) in listing.unreadable {
                    if unreadable.get(&id) != Some(&fault) {
                        log_event!(TargetUnreadable, target = id, fault = fault);
                        unreadable.insert(id, fault);
                    }
                }
                if listing.version >= newest {
                    newest = listing.version;
                    state.apply_listing(listing.targets, asked_at, "store");
                }
                sleep(pace.list_interval.saturating_sub(asked_at.elapsed())).await;
            }
            Err(report) => {
                state.metrics.store_failures.inc();
                let failures = state.list_failures.get();
                state.list_failures.set(failures.saturating_add(1));
                dependency.failed(&report, Instant::now());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks the gateway that reads the store for this zone; returns whether it knows enough.
async fn ask_reader(state: &GatewayState, pace: &RefreshPace, now: Instant) -> bool {
    let Some(reader) = peers::zone_reader(state, now) else {
        return false;
    };
    match peers::ask(state, reader).await {
        Ok(()) => state.list_age(Instant::now()) < pace.list_age,
        Err(report) => {
            log::debug!("{}", crate::describe(&report));
            false
        }
    }
}
