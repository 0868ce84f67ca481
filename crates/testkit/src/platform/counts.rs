//! Counters of reads and writes, which tests compare with the platform's limits.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Mutex, PoisonError},
};

/// Number of requests to each service since the start. Requests that a fault refused are counted
/// only in `refused`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of single table items.
    pub table_reads: u64,
    /// Table scans.
    pub table_scans: u64,
    /// Table transactions, committed or not.
    pub table_transactions: u64,
    /// Table transactions that were not committed because a condition failed.
    pub table_conflicts: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Writes of objects.
    pub object_writes: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Requests that a fault answered with 503.
    pub refused: u64,
    /// Requests that took effect but whose answer a fault dropped.
    pub lost_answers: u64,
}

/// Counters that all requests of the platform share.
#[derive(Debug, Default)]
pub struct CountStore {
    counts: Mutex<PlatformCounts>,
}

impl CountStore {
    /// Updates the counters under their lock.
    pub fn update(&self, change: impl FnOnce(&mut PlatformCounts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns a copy of the counters.
    pub fn read(&self) -> PlatformCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
