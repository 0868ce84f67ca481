//! Mean time between the starts of waiting requests.

use tokio::time::Instant;

/// Weight of the newest value in the exponentially weighted mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Intervals needed before the mean counts as reliable. An engine finishes requests in groups, so
/// the first few intervals may all be close to zero.
const MIN_INTERVALS: u32 = 8;

/// Returns the exponentially weighted mean after `newest`, or `newest` if there is no mean yet.
pub(super) fn running_mean(mean: Option<f64>, newest: f64) -> f64 {
    let mean = mean.unwrap_or(newest);
    mean + (newest - mean) * NEWEST_WEIGHT
}

/// Mean time between two starts, measured only while requests wait.
#[derive(Debug, Default)]
pub(super) struct StartPace {
    mean: Option<f64>,
    intervals: u32,
    /// Time of the last start, if requests still waited after it.
    last_start: Option<Instant>,
}

impl StartPace {
    /// Records a start; `waiting` is true if requests still wait after it.
    pub(super) fn record(&mut self, now: Instant, waiting: bool) {
        if let Some(last) = self.last_start {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            self.mean = Some(running_mean(self.mean, seconds));
            self.intervals = self.intervals.saturating_add(1);
        }
        self.last_start = waiting.then_some(now);
    }

    /// Returns the mean in seconds; `None` if no request waited after the last start.
    pub(super) fn current(&self) -> Option<f64> {
        self.mean.filter(|_| self.last_start.is_some())
    }

    /// Returns the mean in seconds like [`Self::current`], but only after enough intervals for it
    /// to be reliable.
    pub(super) fn settled(&self) -> Option<f64> {
        self.current().filter(|_| self.intervals >= MIN_INTERVALS)
    }
}
