//! Retry budget: limits retries to a share of the first tries.

/// Credit of a new budget; without it, the first requests after the start of an entry could not be
/// retried.
const INITIAL_CREDIT: f64 = 1.0;

/// Most credit that can accumulate. It bounds the burst of retries after a long time without any.
const MAX_CREDIT: f64 = 100.0;

/// Retry budget; each first try adds a configured share of one retry to it.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries that may be made.
    credit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: INITIAL_CREDIT,
        }
    }
}

impl RetryBudget {
    /// Adds `percent` percent of one retry to the budget for a first try.
    pub fn record_first_try(&mut self, percent: u64) {
        self.credit = (self.credit + percent as f64 / 100.0).min(MAX_CREDIT);
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        // Ten first tries at 10% add up to slightly less than one in floating point.
        let is_enough = self.credit >= 1.0 - 1e-9;
        if is_enough {
            self.credit = (self.credit - 1.0).max(0.0);
        }
        is_enough
    }
}
