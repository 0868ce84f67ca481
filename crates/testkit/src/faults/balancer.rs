//! Balancer in front of the entries: callers use only entries that report readiness.

use {
    super::TrackedEntry,
    crate::http::HttpClient,
    futures_util::future::join_all,
    hyper::StatusCode,
    rand::{RngExt, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval of the readiness checks; several fit into an entry's notice time of 2 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest check; a frozen entry does not answer.
const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// Readiness of the entries.
#[derive(Debug)]
pub struct ReadyEntries {
    entries: Vec<TrackedEntry>,
    ready: Vec<AtomicBool>,
}

impl ReadyEntries {
    /// Creates the balancer of entries that are all ready.
    pub fn new(entries: Vec<TrackedEntry>) -> Self {
        let ready = entries.iter().map(|_| AtomicBool::new(true)).collect();
        Self { entries, ready }
    }

    /// Returns the entry at a position.
    pub fn entry(&self, position: usize) -> &TrackedEntry {
        &self.entries[position]
    }

    /// Returns all entries.
    pub fn entries(&self) -> &[TrackedEntry] {
        &self.entries
    }

    /// Draws a ready entry, outside of a zone if one is named; any entry if none is ready.
    pub fn pick(&self, generator: &mut ChaCha8Rng, other_than: Option<&str>) -> usize {
        let positions = 0..self.entries.len();
        let fits = |position: &usize| {
            let zone = &self.entries[*position].availability_zone;
            self.ready[*position].load(Ordering::Relaxed) && Some(zone.as_str()) != other_than
        };
        let fitting: Vec<_> = positions.filter(fits).collect();
        let any = generator.random_range(0..self.entries.len());
        fitting.choose(generator).copied().unwrap_or(any)
    }
}

/// Checks the readiness of all entries until the task is aborted.
pub async fn check_readiness(balancer: Arc<ReadyEntries>) {
    let client = HttpClient::new(CHECK_LIMIT);
    loop {
        let checks = balancer.entries.iter().map(|entry| async {
            let answer = client.get(entry.metrics_address, "/readyz").await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        });
        let states = join_all(checks).await;
        for (ready, state) in balancer.ready.iter().zip(states) {
            ready.store(state, Ordering::Relaxed);
        }
        sleep(CHECK_INTERVAL).await;
    }
}
