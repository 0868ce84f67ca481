//! Retry budget of this gateway, which is its part of the retries that all gateways may send.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Share of the retry budget that is used. The rest is a reserve for the time after a gateway
/// starts or stops, while not every gateway knows their number yet.
const SAFETY_SHARE: f64 = 0.8;

/// Use of a retry budget within the window that ends now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryStatus {
    /// Retries that were taken from the budget.
    pub used: usize,
    /// Number of retries up to which the budget grants more.
    pub allowed: f64,
}

/// Retry budget of one service in a sliding window: a share of the requests plus a fixed allowance.
/// The gateways divide the allowance evenly among themselves without coordination.
#[derive(Debug)]
pub struct RetryAllowance {
    window: Duration,
    ratio: f64,
    fixed: f64,
    first_tries: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryAllowance {
    /// Creates the budget of one gateway. `ratio` is the number of retries per request, and `fixed`
    /// the fixed allowance of all gateways together, in retries per `window`.
    pub fn new(window: Duration, ratio: f64, fixed: f64) -> Self {
        Self {
            window,
            ratio,
            fixed,
            first_tries: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts the first attempt of a request of a caller.
    pub fn record_first_try(&mut self, now: Instant) {
        self.first_tries.push_back(now);
    }

    /// Returns the use of the budget. `gateways` is the number of gateways that share the fixed
    /// allowance.
    pub fn status(&mut self, gateways: u32, now: Instant) -> RetryStatus {
        drop_expired(&mut self.first_tries, self.window, now);
        drop_expired(&mut self.retries, self.window, now);
        let fixed_part = self.fixed / f64::from(gateways.max(1));
        RetryStatus {
            used: self.retries.len(),
            allowed: (self.ratio * self.first_tries.len() as f64 + fixed_part) * SAFETY_SHARE,
        }
    }

    /// Takes one retry from the budget if there is one left, and returns whether there was.
    /// `gateways` is the number of gateways that share the fixed allowance.
    pub fn try_spend(&mut self, gateways: u32, now: Instant) -> bool {
        let status = self.status(gateways, now);
        let is_allowed = status.used as f64 + 1.0 <= status.allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
