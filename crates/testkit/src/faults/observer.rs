//! Observes the configuration revision that each entry uses.

use {
    super::{TrackedEntry, operators::ChangeLedger},
    crate::http::HttpClient,
    serde_json::Value,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_LIMIT: Duration = Duration::from_secs(10);

/// Number of starts of each entry, so that the revision of a new process is not compared with that
/// of its predecessor.
#[derive(Debug, Default)]
pub struct StartCounts {
    counts: HashMap<String, AtomicU64>,
}

impl StartCounts {
    /// Returns counts of 0 for all entries.
    pub fn new(entries: &[TrackedEntry]) -> Self {
        let count = |entry: &TrackedEntry| (entry.name.clone(), AtomicU64::new(0));
        let counts = entries.iter().map(count).collect();
        Self { counts }
    }

    /// Counts a start of an entry, or an end that a start will follow; ignores names of other
    /// processes.
    pub fn add(&self, entry: &str) {
        if let Some(count) = self.counts.get(entry) {
            count.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn read(&self, entry: &str) -> u64 {
        let count = self.counts.get(entry);
        count.map_or(0, |count| count.load(Ordering::SeqCst))
    }
}

/// Observer that records entries whose revision goes back or lies below an accepted one.
#[derive(Debug)]
pub struct RevisionObserver {
    /// Configuration changes of the operators, with the highest accepted revision.
    pub ledger: Arc<ChangeLedger>,
    /// Number of starts of each entry.
    pub starts: Arc<StartCounts>,
    /// Descriptions of the violations.
    pub violations: Mutex<Vec<String>>,
}

/// Configuration revision and mode that an entry reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedRevision {
    /// Revision that the entry uses.
    pub revision: u64,
    /// Whether the entry is in cut-off mode, in which it has no configuration lease.
    pub cut_off: bool,
}

/// Reads the configuration revision and mode of an entry; returns `None` if the entry does not
/// answer or its answer cannot be decoded.
pub async fn read_revision(client: &HttpClient, entry: &TrackedEntry) -> Option<ObservedRevision> {
    let answer = client.get(entry.operator_address, "/v1/defaults").await;
    let body: Value = answer.ok()?.json().ok()?;
    Some(ObservedRevision {
        revision: body["revision"].as_u64()?,
        cut_off: body["cut_off"].as_bool()?,
    })
}

impl RevisionObserver {
    /// Polls one entry and checks its revision until the task is aborted.
    pub async fn watch(self: Arc<Self>, entry: TrackedEntry) {
        let client = HttpClient::new(POLL_LIMIT);
        let mut highest = (0, 0);
        loop {
            // Both are read before the request: a revision that is accepted by now has to be in
            // force when the entry answers.
            let (accepted, start) = (self.ledger.accepted(), self.starts.read(&entry.name));
            let seen = read_revision(&client, &entry).await;
            let same_process = self.starts.read(&entry.name) == start;
            if let Some(seen) = seen.filter(|_| same_process) {
                if highest.0 != start {
                    highest = (start, 0);
                }
                self.check(&entry.name, seen, highest.1, accepted);
                highest.1 = highest.1.max(seen.revision);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn check(&self, entry: &str, seen: ObservedRevision, highest: u64, accepted: u64) {
        let revision = seen.revision;
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if revision < highest {
            violations.push(format!(
                "{entry} went from revision {highest} to {revision}"
            ));
        }
        if !seen.cut_off && revision < accepted {
            let violation =
                format!("{entry} has a lease at {revision} after {accepted} was accepted");
            violations.push(violation);
        }
    }
}
