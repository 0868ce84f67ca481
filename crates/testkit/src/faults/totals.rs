//! Totals of the rounds.

use std::fmt;

/// Counts of all calls and of all broken guarantees.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FaultTotals {
    /// Calls, without repeats.
    pub requests: u64,
    /// Calls with a whole and right answer.
    pub answered: u64,
    /// Calls refused before they ran.
    pub not_run: u64,
    /// Calls that may have run, with those whose connection broke.
    pub unknown: u64,
    /// Unknown calls whose connection broke visibly because of an unplanned fault.
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

    /// Counts a wrong result.
    pub fn add_wrong(&mut self, violation: String) {
        self.wrong += 1;
        self.violations.push(format!("wrong: {violation}"));
    }

    /// Counts a booking that ran more than once.
    pub fn add_doubled(&mut self, violation: String) {
        self.doubled += 1;
        self.violations.push(format!("doubled: {violation}"));
    }

    /// Counts a call that was cut.
    pub fn add_cut(&mut self, violation: String) {
        self.cut += 1;
        self.violations.push(format!("cut: {violation}"));
    }

    /// Counts a change or revision that was reverted.
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
