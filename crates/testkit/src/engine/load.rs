//! Load report of a server, which shows the load as it was some time ago.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Number of tokens that used each expert, by layer and expert, since the start of the process.
pub type ExpertTokens = Vec<Vec<u64>>;

/// Shortest time between two recorded snapshots of the load.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Body of `GET /v1/load`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Number of requests that wait or run.
    pub in_flight: usize,
    /// Number of requests that wait.
    pub waiting: usize,
    /// Next step to be run.
    pub step: u64,
    /// Version of the expert map in use.
    pub map_version: u64,
    /// Index in the group of the server's first rank.
    pub first_rank: usize,
    /// Duration of the latest step, in microseconds: the sum over the layers of the slowest rank's
    /// time.
    pub step_us: u64,
    /// Work of each rank of the server in the latest step, in microseconds.
    pub rank_step_us: Vec<u64>,
    /// Tokens of this server's requests by layer and expert since the start.
    pub expert_tokens: ExpertTokens,
    /// Tokens of this server's requests by layer and expert since the start, for each request kind.
    pub kind_expert_tokens: BTreeMap<String, ExpertTokens>,
    /// Tokens of this server's requests since the start, for each request kind.
    pub kind_tokens: BTreeMap<String, u64>,
    /// Hashes of the cached prompt prefixes.
    pub cached_prefixes: Vec<u64>,
}

/// Snapshots of a server's load with the times at which they were taken, oldest first.
#[derive(Debug, Default)]
pub struct LoadHistory {
    reports: VecDeque<(Instant, EngineLoad)>,
}

impl LoadHistory {
    /// Returns whether a new snapshot is due.
    pub fn is_due(&self, now: Instant) -> bool {
        let latest = self.reports.back();
        latest.is_none_or(|(taken_at, _)| now.duration_since(*taken_at) >= SNAPSHOT_INTERVAL)
    }

    /// Adds a snapshot, and drops those that are too old for a reader with this lag to see.
    pub fn push(&mut self, now: Instant, load: EngineLoad, lag: Duration) {
        self.reports.push_back((now, load));
        while let Some((taken_at, _)) = self.reports.get(1) {
            if now.duration_since(*taken_at) < lag {
                break;
            }
            self.reports.pop_front();
        }
    }

    /// Returns the latest snapshot that is at least `lag` old; the oldest one if all are younger,
    /// and an empty report if there is none.
    pub fn read(&self, now: Instant, lag: Duration) -> EngineLoad {
        let newest_first = self.reports.iter().rev();
        let shown = newest_first
            .filter(|(taken_at, _)| now.duration_since(*taken_at) >= lag)
            .map(|(_, load)| load)
            .next();
        let oldest = self.reports.front().map(|(_, load)| load);
        shown.or(oldest).cloned().unwrap_or_default()
    }
}
