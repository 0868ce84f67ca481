//! This gateway's part of the retries that all gateways together may make.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Share of the fixed allowance that is used. The rest covers gateways that start or stop while
/// the number of them is not yet known everywhere.
const SAFETY_SHARE: f64 = 0.8;

/// Bound on retries of one service in a sliding window: a share of the first tries plus a fixed
/// allowance, which gateways divide among themselves without talking.
#[derive(Debug)]
pub struct RetryAllowance {
    window: Duration,
    ratio: f64,
    fixed: f64,
    first_tries: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryAllowance {
    /// Creates the allowance of one gateway; `fixed` is that of all gateways together.
    pub fn new(window: Duration, ratio: f64, fixed: f64) -> Self {
        Self {
            window,
            ratio,
            fixed,
            first_tries: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_first_try(&mut self, now: Instant) {
        self.first_tries.push_back(now);
    }

    /// Takes one retry; `gateways` is the number of gateways that share the fixed allowance.
    pub fn try_spend(&mut self, gateways: u32, now: Instant) -> bool {
        forget(&mut self.first_tries, self.window, now);
        forget(&mut self.retries, self.window, now);
        let part = self.fixed / f64::from(gateways.max(1));
        let allowed = (self.ratio * self.first_tries.len() as f64 + part) * SAFETY_SHARE;
        let is_allowed = (self.retries.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

fn forget(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
