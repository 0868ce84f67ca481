//! Watches the configuration revision that each entry serves by.

use {
    super::{TrackedEntry, operators::ChangeBoard},
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

const LOOK_INTERVAL: Duration = Duration::from_millis(250);
const LOOK_LIMIT: Duration = Duration::from_secs(10);

/// Numbers of starts by entry, so that a new process is not compared with its predecessor.
#[derive(Debug, Default)]
pub struct StartCounts {
    counts: HashMap<String, AtomicU64>,
}

impl StartCounts {
    /// Creates the counts of entries.
    pub fn new(entries: &[TrackedEntry]) -> Self {
        let count = |entry: &TrackedEntry| (entry.name.clone(), AtomicU64::new(0));
        let counts = entries.iter().map(count).collect();
        Self { counts }
    }

    /// Counts a start, or an end that a start will follow.
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

/// Observer of revisions.
#[derive(Debug)]
pub struct RevisionObserver {
    /// Changes of the operators.
    pub board: Arc<ChangeBoard>,
    /// Starts of the entries.
    pub starts: Arc<StartCounts>,
    /// Descriptions of reverted revisions.
    pub faults: Mutex<Vec<String>>,
}

/// Configuration state of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenRevision {
    /// Revision.
    pub revision: u64,
    /// Whether the entry is in cut-off mode.
    pub cut_off: bool,
}

/// Asks an entry for its revision.
pub async fn read_revision(client: &HttpClient, entry: &TrackedEntry) -> Option<SeenRevision> {
    let answer = client.get(entry.operator_address, "/v1/defaults").await;
    let body: Value = answer.ok()?.json().ok()?;
    Some(SeenRevision {
        revision: body["revision"].as_u64()?,
        cut_off: body["cut_off"].as_bool()?,
    })
}

impl RevisionObserver {
    /// Watches one entry until the task is aborted.
    pub async fn watch(self: Arc<Self>, entry: TrackedEntry) {
        let client = HttpClient::new(LOOK_LIMIT);
        let mut highest = (0, 0);
        loop {
            // Read before the request: what is accepted now is in force at any later moment.
            let (accepted, start) = (self.board.accepted(), self.starts.read(&entry.name));
            let seen = read_revision(&client, &entry).await;
            let same_process = self.starts.read(&entry.name) == start;
            if let Some(seen) = seen.filter(|_| same_process) {
                if highest.0 != start {
                    highest = (start, 0);
                }
                self.check(&entry.name, seen, highest.1, accepted);
                highest.1 = highest.1.max(seen.revision);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn check(&self, entry: &str, seen: SeenRevision, highest: u64, accepted: u64) {
        let revision = seen.revision;
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        if revision < highest {
            faults.push(format!(
                "{entry} went from revision {highest} to {revision}"
            ));
        }
        if !seen.cut_off && revision < accepted {
            let fault = format!("{entry} has a lease at {revision} after {accepted} was accepted");
            faults.push(fault);
        }
    }
}
