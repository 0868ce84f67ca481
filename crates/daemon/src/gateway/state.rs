//! What all requests of a gateway share. A gateway runs on one thread, so that no lock is needed.

use {
    super::{admission::ServiceLine, channels::ChannelPool, metrics::GatewayMetrics},
    crate::options::{GatewayOptions, InstanceOptions},
    sassafrasslip_core::{
        dispatch::{
            RetryAllowance, RosterChange, RouteRule, RouteTable, TargetEntry, TargetKey, TargetRoster,
        },
        events::LogEvent::{TableApplied, TableOutdated, TargetEjected, TargetLeft, TargetListed},
        ids::{ServiceName, ZoneName},
        log_event,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    tokio::{
        sync::Notify,
        time::{Duration, Instant},
    },
};

/// Weight of the newest time to a first answer in the running mean.
const FIRST_ANSWER_WEIGHT: f64 = 0.05;

/// Shared state of a gateway.
#[derive(Debug)]
pub struct GatewayState {
    /// Availability zone of this gateway.
    pub own_zone: ZoneName,
    /// Settings.
    pub options: GatewayOptions,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Known targets.
    pub roster: RefCell<TargetRoster>,
    /// Channels to targets.
    pub channels: ChannelPool,
    /// Requests that wait, by service.
    pub lines: RefCell<HashMap<ServiceName, ServiceLine>>,
    /// Notified when a request begins to wait.
    pub waiting: Notify,
    /// When the instance list was last read.
    pub listed_at: Cell<Option<Instant>>,
    /// Gateways that share the retry budget, this one included.
    pub gateways: Cell<u32>,
    table: RefCell<Option<Rc<RouteTable>>>,
    allowances: RefCell<HashMap<ServiceName, RetryAllowance>>,
    /// Running mean of the time from sending a request to its first answer.
    first_answers: RefCell<HashMap<ServiceName, Duration>>,
}

impl GatewayState {
    /// Creates the state of a gateway that knows nothing yet.
    pub fn new(
        instance: &InstanceOptions,
        options: GatewayOptions,
        metrics: GatewayMetrics,
    ) -> Self {
        Self {
            own_zone: instance.availability_zone.clone(),
            options,
            metrics,
            roster: RefCell::default(),
            channels: ChannelPool::default(),
            lines: RefCell::default(),
            waiting: Notify::new(),
            listed_at: Cell::new(None),
            gateways: Cell::new(1),
            table: RefCell::default(),
            allowances: RefCell::default(),
            first_answers: RefCell::default(),
        }
    }

    /// Returns the configuration in force; `None` until one is known.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is; returns whether it is in force now.
    pub fn apply_table(&self, table: RouteTable, source: &'static str) -> bool {
        let current = self.table.borrow().as_ref().map(|table| table.revision);
        if current.is_some_and(|current| current >= table.revision) {
            if current > Some(table.revision) {
                log_event!(
                    TableOutdated,
                    revision = table.revision,
                    current = current.unwrap_or_default(),
                    source = source
                );
            }
            return false;
        }
        log_event!(
            TableApplied,
            revision = table.revision,
            previous = current.unwrap_or_default(),
            routes = table.route_count(),
            source = source
        );
        self.metrics.revision.set(i64::try_from(table.revision).unwrap_or(i64::MAX));
        *self.table.borrow_mut() = Some(Rc::new(table));
        true
    }

    /// Replaces the list of targets.
    pub fn apply_listing(&self, entries: Vec<TargetEntry>, now: Instant, source: &'static str) {
        let changes = self.roster.borrow_mut().apply(entries, now);
        self.listed_at.set(Some(now));
        for change in changes {
            self.note_change(&change, source);
        }
    }

    fn note_change(&self, change: &RosterChange, source: &'static str) {
        match change {
            RosterChange::Joined(key) => {
                if let Some(target) = self.roster.borrow().get(*key) {
                    let entry = &target.entry;
                    log_event!(
                        TargetListed,
                        target = entry.id,
                        service = entry.service,
                        availability_zone = entry.availability_zone,
                        address = entry.address,
                        source = source
                    );
                }
            }
            RosterChange::Draining(key) => {
                self.channels.close(*key);
                if let Some(target) = self.roster.borrow().get(*key) {
                    let id = &target.entry.id;
                    log_event!(TargetLeft, target = id, state = "draining", source = source);
                }
            }
            RosterChange::Left(key, entry) => {
                self.channels.close(*key);
                log_event!(TargetLeft, target = entry.id, state = "gone", source = source);
            }
        }
    }

    /// Returns whether the gateway knows enough to serve requests.
    pub fn is_informed(&self) -> bool {
        self.table.borrow().is_some() && !self.roster.borrow().is_empty()
    }

    /// Returns the age of the instance list.
    pub fn list_age(&self, now: Instant) -> Duration {
        let listed_at = self.listed_at.get();
        listed_at.map_or(Duration::MAX, |listed_at| now.saturating_duration_since(listed_at))
    }

    /// Counts a request of a caller toward the retry budget of its service.
    pub fn record_first_try(&self, service: &ServiceName, now: Instant) {
        let mut allowances = self.allowances.borrow_mut();
        self.allowance(&mut allowances, service).record_first_try(now);
    }

    /// Takes one retry from the budget of a service.
    pub fn try_spend_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let mut allowances = self.allowances.borrow_mut();
        let gateways = self.gateways.get();
        self.allowance(&mut allowances, service).try_spend(gateways, now)
    }

    fn allowance<'a>(
        &self,
        allowances: &'a mut HashMap<ServiceName, RetryAllowance>,
        service: &ServiceName,
    ) -> &'a mut RetryAllowance {
        let options = &self.options;
        allowances.entry(service.clone()).or_insert_with(|| {
            let fixed = f64::from(options.retry_allowance);
            RetryAllowance::new(options.retry_window, options.retry_ratio, fixed)
        })
    }

    /// Returns the usual time from sending a request to its first answer.
    pub fn first_answer_time(&self, service: &ServiceName, route: &RouteRule) -> Duration {
        let times = self.first_answers.borrow();
        times.get(service).copied().unwrap_or(route.objective / 3)
    }

    /// Records the time from sending a request to its first answer.
    pub fn record_first_answer(&self, service: &ServiceName, elapsed: Duration) {
        let mut times = self.first_answers.borrow_mut();
        let mean = times.entry(service.clone()).or_insert(elapsed);
        *mean = mean.mul_f64(1.0 - FIRST_ANSWER_WEIGHT) + elapsed.mul_f64(FIRST_ANSWER_WEIGHT);
    }

    /// Records that a target has sent an event.
    pub fn record_progress(&self, key: TargetKey, now: Instant) {
        if let Some(target) = self.roster.borrow_mut().get_mut(key) {
            target.progress_at = Some(now);
        }
    }

    /// Returns whether another target of the service has sent an event since `since`.
    pub fn others_progress(&self, service: &ServiceName, key: TargetKey, since: Instant) -> bool {
        let roster = self.roster.borrow();
        let mut others = roster.of_service(service).filter(|(other, _)| *other != key);
        others.any(|(_, target)| target.progress_at.is_some_and(|at| at >= since))
    }

    /// Records that an attempt has shown that a target works.
    pub fn record_success(&self, key: TargetKey) {
        if let Some(target) = self.roster.borrow_mut().get_mut(key) {
            target.health.record_success();
        }
    }

    /// Records a failed attempt; leaves the target out for a while after several in a row.
    pub fn record_failure(&self, key: TargetKey, now: Instant) {
        let mut roster = self.roster.borrow_mut();
        let Some(target) = roster.get_mut(key) else {
            return;
        };
        if target.health.record_failure(now) {
            self.metrics.ejections.inc();
            self.channels.close(key);
            log_event!(
                TargetEjected,
                target = target.entry.id,
                failure_share = format_args!("{:.2}", target.health.failure_share())
            );
        }
    }
}
