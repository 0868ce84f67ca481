//! Times at which unplanned faults may break a call.

use {
    std::sync::{Mutex, PoisonError},
    std::time::Duration,
    tokio::time::Instant,
};

#[derive(Debug)]
struct Disturbance {
    scope: String,
    until: Option<Instant>,
}

/// Unplanned faults by scope: the name of an entry, or of a service for its targets.
#[derive(Debug)]
pub struct DisturbanceLog {
    slack: Duration,
    entries: Mutex<Vec<Disturbance>>,
}

impl DisturbanceLog {
    /// Creates a log. A fault counts for `slack` after its end: a call may notice it that late.
    pub fn new(slack: Duration) -> Self {
        let entries = Mutex::default();
        Self { slack, entries }
    }

    /// Notes the start of a fault.
    pub fn begin(&self, scope: &str) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Disturbance {
            scope: scope.to_owned(),
            until: None,
        });
    }

    /// Notes the end of the oldest open fault of a scope.
    pub fn end(&self, scope: &str) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let open = entries
            .iter_mut()
            .find(|entry| entry.scope == scope && entry.until.is_none());
        if let Some(open) = open {
            open.until = Some(Instant::now());
        }
    }

    /// Returns whether a fault may have broken a call that started at `started` and ends now.
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
