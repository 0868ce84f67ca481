//! Budget of retries as a share of first tries.

/// Credit at the start: without it, the first requests of a fresh entry could never be repeated.
const INITIAL_CREDIT: f64 = 1.0;

/// Most credit that is saved up. It bounds the burst of retries after a long quiet time.
const MOST_CREDIT: f64 = 100.0;

/// Credit for retries; each first try adds the configured share of one retry.
#[derive(Debug)]
pub struct RetryBudget {
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
    /// Counts a first try at a budget of `percent`.
    pub fn record_first_try(&mut self, percent: u64) {
        self.credit = (self.credit + percent as f64 / 100.0).min(MOST_CREDIT);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        // Ten first tries at 10% add up to slightly less than one in floating point.
        let is_enough = self.credit >= 1.0 - 1e-9;
        if is_enough {
            self.credit = (self.credit - 1.0).max(0.0);
        }
        is_enough
    }
}
