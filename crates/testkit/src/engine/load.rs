//! Load report of a server, which shows the past.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Tokens by layer and expert since the start.
pub type ExpertTokens = Vec<Vec<u64>>;

/// Shortest time between two snapshots of the load.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Body of `GET /v1/load`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Requests that wait or run.
    pub in_flight: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Next step to be run.
    pub step: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// First rank of the server.
    pub first_rank: usize,
    /// Duration of the latest step, which is that of the slowest rank, in microseconds.
    pub step_us: u64,
    /// Work of each rank of the server in the latest step, in microseconds.
    pub rank_step_us: Vec<u64>,
    /// Tokens of this server's requests by layer and expert since the start.
    pub expert_tokens: ExpertTokens,
    /// The same for each request kind.
    pub kind_expert_tokens: BTreeMap<String, ExpertTokens>,
    /// Tokens for each request kind since the start.
    pub kind_tokens: BTreeMap<String, u64>,
    /// Hashes of the cached prompt prefixes.
    pub cached_prefixes: Vec<u64>,
}

/// Load reports by time, oldest first.
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

    /// Adds a snapshot and drops those that no reader sees any more.
    pub fn push(&mut self, now: Instant, load: EngineLoad, lag: Duration) {
        self.reports.push_back((now, load));
        while let Some((taken_at, _)) = self.reports.get(1) {
            if now.duration_since(*taken_at) < lag {
                break;
            }
            self.reports.pop_front();
        }
    }

    /// Returns the report of `lag` ago, or the oldest.
    pub fn read(&self, now: Instant, lag: Duration) -> EngineLoad {
        let old = self.reports.iter().rev();
        let shown = old
            .filter(|(taken_at, _)| now.duration_since(*taken_at) >= lag)
            .map(|(_, load)| load)
            .next();
        let oldest = self.reports.front().map(|(_, load)| load);
        shown.or(oldest).cloned().unwrap_or_default()
    }
}
