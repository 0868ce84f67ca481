//! Pace at which waiting requests start.

use tokio::time::Instant;

/// Weight of the newest value in a running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Intervals that are needed before a pace is relied on. Requests of an engine end in groups, so
/// that the first few intervals may all be close to zero.
const LEAST_INTERVALS: u32 = 8;

/// Adds a value to a running mean.
pub(super) fn running_mean(mean: Option<f64>, newest: f64) -> f64 {
    let mean = mean.unwrap_or(newest);
    mean + (newest - mean) * NEWEST_WEIGHT
}

/// Mean time between two starts while requests wait.
#[derive(Debug, Default)]
pub(super) struct StartPace {
    mean: Option<f64>,
    intervals: u32,
    /// Last start, if requests have waited ever since.
    last_start: Option<Instant>,
}

impl StartPace {
    /// Records a start; `waiting` tells whether requests still wait after it.
    pub(super) fn record(&mut self, now: Instant, waiting: bool) {
        if let Some(last) = self.last_start {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            self.mean = Some(running_mean(self.mean, seconds));
            self.intervals = self.intervals.saturating_add(1);
        }
        self.last_start = waiting.then_some(now);
    }

    /// Returns the mean in seconds if requests wait.
    pub(super) fn current(&self) -> Option<f64> {
        self.mean.filter(|_| self.last_start.is_some())
    }

    /// Returns the mean in seconds if requests wait and enough intervals are known.
    pub(super) fn settled(&self) -> Option<f64> {
        self.current().filter(|_| self.intervals >= LEAST_INTERVALS)
    }
}
