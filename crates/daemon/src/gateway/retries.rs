//! Retry budgets of this gateway, one for each service.

use {
    super::state::GatewayState,
    sassafrasslip_core::{
        dispatch::{RetryAllowance, RetryStatus},
        ids::ServiceName,
    },
    std::collections::HashMap,
    tokio::time::Instant,
};

impl GatewayState {
    /// Counts a new request, which adds to the retry budget of its service.
    pub fn record_first_try(&self, service: &ServiceName, now: Instant) {
        let mut allowances = self.allowances.borrow_mut();
        self.allowance(&mut allowances, service)
            .record_first_try(now);
    }

    /// Takes one retry from the retry budget of a service; returns whether one was left.
    pub fn try_spend_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let gateways = self.retry_sharers(now);
        let mut allowances = self.allowances.borrow_mut();
        self.allowance(&mut allowances, service)
            .try_spend(gateways, now)
    }

    /// Returns the use of the retry budget of a service.
    pub fn retry_status(&self, service: &ServiceName, now: Instant) -> RetryStatus {
        let gateways = self.retry_sharers(now);
        let mut allowances = self.allowances.borrow_mut();
        self.allowance(&mut allowances, service)
            .status(gateways, now)
    }

    /// Returns the number of gateways that share the retry budgets, this one included.
    pub fn retry_sharers(&self, now: Instant) -> u32 {
        self.peers.borrow().sharing_gateways(now)
    }

    fn allowance<'a>(
        &self,
        allowances: &'a mut HashMap<ServiceName, RetryAllowance>,
        service: &ServiceName,
    ) -> &'a mut RetryAllowance {
        let options = &self.options;
        allowances.entry(service.clone()).or_insert_with(|| {
            let fixed = options.retry_allowance;
            RetryAllowance::new(options.retry_window, options.retry_ratio, fixed)
        })
    }
}
