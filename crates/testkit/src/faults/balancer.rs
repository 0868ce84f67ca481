//! Load balancer in front of the entries, which sends callers only to entries that report
//! readiness.

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

/// Interval of the readiness checks. Several checks fit into the notice time of 2 s, in which a
/// stopping entry already reports that it is not ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a readiness check; an entry that is paused by SIGSTOP does not answer.
const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// Entries and the result of the last readiness check of each.
#[derive(Debug)]
pub struct ReadyEntries {
    entries: Vec<TrackedEntry>,
    ready: Vec<AtomicBool>,
}

impl ReadyEntries {
    /// Returns a balancer that takes all entries for ready until their first check.
    pub fn new(entries: Vec<TrackedEntry>) -> Self {
        let ready = entries.iter().map(|_| AtomicBool::new(true)).collect();
        Self { entries, ready }
    }

    /// Returns the entry at an index that [`Self::pick`] returned.
    pub fn entry(&self, position: usize) -> &TrackedEntry {
        &self.entries[position]
    }

    /// Returns all entries, ready or not.
    pub fn entries(&self) -> &[TrackedEntry] {
        &self.entries
    }

    /// Returns the index of a random ready entry outside of the excluded zone; of any entry if no
    /// entry qualifies.
    pub fn pick(&self, generator: &mut ChaCha8Rng, excluded_zone: Option<&str>) -> usize {
        let positions = 0..self.entries.len();
        let is_eligible = |position: &usize| {
            let zone = &self.entries[*position].availability_zone;
            self.ready[*position].load(Ordering::Relaxed) && Some(zone.as_str()) != excluded_zone
        };
        let eligible: Vec<_> = positions.filter(is_eligible).collect();
        let any = generator.random_range(0..self.entries.len());
        eligible.choose(generator).copied().unwrap_or(any)
    }
}

/// Checks the readiness of all entries periodically until the task is aborted.
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
