//! Call outcomes and broken guarantees of fault runs.

use std::fmt;

/// Numbers of calls by outcome, and of broken guarantees.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FaultTotals {
    /// Calls, not counting retries.
    pub requests: u64,
    /// Calls with a complete and correct answer.
    pub answered: u64,
    /// Calls that were refused before they ran.
    pub not_run: u64,
    /// Calls that may have run, including those whose connection was interrupted.
    pub unknown: u64,
    /// Calls among `unknown` whose connection was visibly interrupted by an unplanned fault.
    pub broken: u64,
    /// Wrong answers and refusals, steps with mixed expert maps, and new work at leaving targets.
    pub wrong: u64,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Incomplete answers that look complete, and calls that a planned stop interrupted.
    pub cut: u64,
    /// Accepted changes that are missing, and entries that went back to a lower revision.
    pub reverted: u64,
    /// Descriptions of the broken guarantees.
    pub violations: Vec<String>,
}

impl FaultTotals {
    /// Returns whether all guarantees held.
    pub fn is_clean(&self) -> bool {
        self.wrong + self.doubled + self.cut + self.reverted == 0
    }

    /// Adds the totals of another round.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.broken += other.broken;
        self.wrong += other.wrong;
        self.doubled += other.doubled;
        self.cut += other.cut;
        self.reverted += other.reverted;
        self.violations.extend(other.violations);
    }

    /// Counts and describes a wrong result.
    pub fn add_wrong(&mut self, violation: String) {
        self.wrong += 1;
        self.violations.push(format!("wrong: {violation}"));
    }

    /// Counts and describes a booking that ran more than once.
    pub fn add_doubled(&mut self, violation: String) {
        self.doubled += 1;
        self.violations.push(format!("doubled: {violation}"));
    }

    /// Counts and describes a call that was interrupted without an explaining fault, or a planned
    /// stop that interrupted work.
    pub fn add_cut(&mut self, violation: String) {
        self.cut += 1;
        self.violations.push(format!("cut: {violation}"));
    }

    /// Counts and describes a change or revision that was reverted.
    pub fn add_reverted(&mut self, violation: String) {
        self.reverted += 1;
        self.violations.push(format!("reverted: {violation}"));
    }
}

impl fmt::Display for FaultTotals {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} requests, {} answered, {} not-run, {} unknown, {} wrong, {} doubled, {} cut, \
             {} reverted",
            self.requests,
            self.answered,
            self.not_run,
            self.unknown,
            self.wrong,
            self.doubled,
            self.cut,
            self.reverted
        )
    }
}
