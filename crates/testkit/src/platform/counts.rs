//! Counters of reads and writes, which tests compare with the platform's limits.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Mutex, PoisonError},
};

/// Requests that took effect since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of single items.
    pub table_reads: u64,
    /// Scans.
    pub table_scans: u64,
    /// Transactions, committed or not.
    pub table_transactions: u64,
    /// Transactions with a failed condition.
    pub table_conflicts: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Writes of objects.
    pub object_writes: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Requests that a fault refused.
    pub refused: u64,
    /// Answers that a fault lost.
    pub lost_answers: u64,
}

/// Shared counters.
#[derive(Debug, Default)]
pub struct CountStore {
    counts: Mutex<PlatformCounts>,
}

impl CountStore {
    /// Changes the counters.
    pub fn add(&self, change: impl FnOnce(&mut PlatformCounts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the counters.
    pub fn read(&self) -> PlatformCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
