//! Retry budgets of a gateway for all services, across restarts of its process.
//!
//! Load pattern: all targets of a service fail while gateways are killed or restarted one after the
//! other. What a process has used of the budget counts for a whole window, also after its end. The
//! peers tell a process that starts what the one before it had used; until they do, or a window has
//! passed, the process has no part of the fixed allowance.

use {
    super::{
        retry_allowance::{RetryAllowance, RetryStatus, RetryUsage},
        retry_handover::PreviousUsage,
    },
    crate::ids::ServiceName,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Time by which a report of the previous process must be later than the one that was taken over.
/// The time of the same report differs by how long the news of several peers were on their way.
const NEWER_BY: Duration = Duration::from_millis(50);

/// Limit on the retries of all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Sliding window in which the limit applies.
    pub window: Duration,
    /// Retries per first attempt.
    pub ratio: f64,
    /// Further retries in a window.
    pub fixed: f64,
}

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    rule: RetryRule,
    started_at: Instant,
    /// Whether the whole system starts for the first time, so that there was no previous process.
    is_first_start: bool,
    allowances: HashMap<ServiceName, RetryAllowance>,
    /// When the previous process sent the report from which its use was taken over.
    inherited_as_of: Option<Instant>,
}

impl RetryBudgets {
    /// Creates the budgets of a process that starts at `started_at`. `is_first_start` says whether
    /// the whole system starts for the first time.
    pub fn new(rule: RetryRule, is_first_start: bool, started_at: Instant) -> Self {
        Self {
            rule,
            started_at,
            is_first_start,
            allowances: HashMap::new(),
            inherited_as_of: None,
        }
    }

    /// Returns whether this gateway has a part of the fixed allowance. A gateway at a new address
    /// gets one when the others have used a smaller part for a whole window.
    pub fn has_part(&self, now: Instant) -> bool {
        self.is_first_start || self.inherited_as_of.is_some() || now >= self.starts_until()
    }

    /// Returns the end of the first window of this process, until which news of the previous one
    /// count.
    pub fn starts_until(&self) -> Instant {
        self.started_at + self.rule.window
    }

    /// Counts the first attempt of a request of a caller.
    pub fn record_first_try(&mut self, service: &ServiceName, now: Instant) {
        self.allowance(service).record_first_try(now);
    }

    /// Takes one retry from the budget of a service if there is one left, and returns whether there
    /// was. `gateways` is the number of gateways that share the fixed allowance.
    pub fn try_spend(&mut self, service: &ServiceName, gateways: u32, now: Instant) -> bool {
        let gateways = self.has_part(now).then_some(gateways);
        self.allowance(service).try_spend(gateways, now)
    }

    /// Returns the use of the budget of a service. `gateways` is as for [`Self::try_spend`].
    pub fn status(&mut self, service: &ServiceName, gateways: u32, now: Instant) -> RetryStatus {
        let gateways = self.has_part(now).then_some(gateways);
        self.allowance(service).status(gateways, now)
    }

    /// Returns what counts for the services with retries within the window.
    pub fn usage(&mut self, now: Instant) -> Vec<(ServiceName, RetryUsage)> {
        let allowances = self.allowances.iter_mut();
        let usage = allowances.filter_map(|(service, allowance)| {
            let usage = allowance.usage(now)?;
            Some((service.clone(), usage))
        });
        usage.collect()
    }

    /// Takes over what the previous process of this gateway had used, unless a later report of it
    /// was taken over; returns whether it was.
    pub fn take_over(&mut self, previous: &PreviousUsage, now: Instant) -> bool {
        let inherited = self.inherited_as_of;
        let is_known = inherited.is_some_and(|as_of| previous.as_of < as_of + NEWER_BY);
        if now >= self.starts_until() || is_known {
            return false;
        }
        self.inherited_as_of = Some(previous.as_of);
        // A service that is missing had no retries.
        for allowance in self.allowances.values_mut() {
            allowance.take_over(&RetryUsage::default(), previous.as_of);
        }
        for (service, usage) in &previous.services {
            let allowance = self.allowance(service);
            allowance.take_over(usage, previous.as_of);
        }
        true
    }

    fn allowance(&mut self, service: &ServiceName) -> &mut RetryAllowance {
        let rule = self.rule;
        self.allowances
            .entry(service.clone())
            .or_insert_with(|| RetryAllowance::new(rule.window, rule.ratio, rule.fixed))
    }
}
