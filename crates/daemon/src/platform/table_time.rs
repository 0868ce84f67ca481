//! Estimate of the table's clock, by which records expire.

use {
    super::TableService,
    std::sync::{Mutex, PoisonError},
    tokio::time::Instant,
};

/// Last time that the table told, and when it told it.
#[derive(Debug, Default)]
pub struct TableTime {
    last: Mutex<Option<(u64, Instant)>>,
}

impl TableTime {
    /// Notes a time that the table told just now.
    pub fn note(&self, time_ms: u64) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Some((time_ms, Instant::now()));
    }

    /// Returns the current time by the table's clock, unless the table never told it.
    pub fn estimate(&self) -> Option<u64> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let (time_ms, told) = (*last)?;
        let passed = u64::try_from(told.elapsed().as_millis()).unwrap_or(u64::MAX);
        Some(time_ms.saturating_add(passed))
    }

    /// Returns the current time by the table's clock; `None` if the table never told it and cannot
    /// be read.
    pub async fn now(&self, table: &dyn TableService, key: &str) -> Option<u64> {
        if let Some(time_ms) = self.estimate() {
            return Some(time_ms);
        }
        let read = table.read(key).await.ok()?;
        self.note(read.time_ms);
        Some(read.time_ms)
    }
}
