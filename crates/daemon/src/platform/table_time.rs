//! Estimates the current time of the table's clock, by which records expire.

use {
    super::TableService,
    std::sync::{Mutex, PoisonError},
    tokio::time::Instant,
};

/// Clock that extrapolates the last time received from the table.
#[derive(Debug, Default)]
pub struct TableTime {
    /// Last time received from the table, in milliseconds, and the instant at which it was
    /// received.
    last: Mutex<Option<(u64, Instant)>>,
}

impl TableTime {
    /// Records a time of the table's clock, in milliseconds, that was received just now.
    pub fn observe(&self, time_ms: u64) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Some((time_ms, Instant::now()));
    }

    /// Returns the estimated current time of the table's clock, in milliseconds; `None` if no time
    /// was received yet.
    pub fn estimate(&self) -> Option<u64> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let (time_ms, received_at) = (*last)?;
        let elapsed = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Some(time_ms.saturating_add(elapsed))
    }

    /// Returns the estimated current time of the table's clock, in milliseconds. If no time was
    /// received yet, it reads `key` to get one; returns `None` if that read fails.
    pub async fn now(&self, table: &dyn TableService, key: &str) -> Option<u64> {
        if let Some(time_ms) = self.estimate() {
            return Some(time_ms);
        }
        let read = table.read(key).await.ok()?;
        self.observe(read.time_ms);
        Some(read.time_ms)
    }
}
