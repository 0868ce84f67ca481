//! Time windows in which unplanned faults may interrupt a call.

use {
    std::sync::{Mutex, PoisonError},
    std::time::Duration,
    tokio::time::Instant,
};

#[derive(Debug)]
struct Disturbance {
    /// Name of an entry, or of a service if the fault hits one of its targets.
    scope: String,
    /// End of the fault; `None` while it is active.
    until: Option<Instant>,
}

/// Unplanned faults of a round. The scope of a fault is the name of the entry that it hits, or of
/// the service whose target it hits.
#[derive(Debug)]
pub struct DisturbanceLog {
    slack: Duration,
    entries: Mutex<Vec<Disturbance>>,
}

impl DisturbanceLog {
    /// Returns an empty log. A fault explains interruptions of calls for `slack` after its end,
    /// because a call may notice it that late.
    pub fn new(slack: Duration) -> Self {
        let entries = Mutex::default();
        Self { slack, entries }
    }

    /// Records the start of a fault.
    pub fn begin(&self, scope: &str) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Disturbance {
            scope: scope.to_owned(),
            until: None,
        });
    }

    /// Records the end of the oldest active fault of a scope.
    pub fn end(&self, scope: &str) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let active = entries
            .iter_mut()
            .find(|entry| entry.scope == scope && entry.until.is_none());
        if let Some(active) = active {
            active.until = Some(Instant::now());
        }
    }

    /// Returns whether a fault of the scope may have interrupted a call that started at `started`
    /// and ends now.
    pub fn explains(&self, scope: &str, started: Instant) -> bool {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let overlaps = |entry: &Disturbance| {
            let noticed = entry.until.map(|until| until + self.slack);
            noticed.is_none_or(|noticed| noticed >= started)
        };
        entries
            .iter()
            .any(|entry| entry.scope == scope && overlaps(entry))
    }
}
