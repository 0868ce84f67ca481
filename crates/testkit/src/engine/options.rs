//! Options of a group, modes of its ranks, and counters of its steps.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Options of a model group, which are fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Number of servers.
    pub servers: usize,
    /// Number of ranks of each server.
    pub ranks: usize,
    /// Number of layers with experts.
    pub layers: usize,
    /// Number of experts of each layer.
    pub experts: usize,
    /// Number of experts that a token uses in each layer.
    pub experts_per_token: usize,
    /// Exponent of the experts' popularity, which follows a Zipf distribution; 0 makes all experts
    /// equally popular.
    pub popularity_skew: f64,
    /// Largest number of requests that run at once on each server; further ones wait.
    pub max_running: usize,
    /// Largest number of prompt prefixes in the cache of each server.
    pub cached_prefixes: usize,
    /// Duration of a step without tokens.
    pub base_step_time: Duration,
    /// Time that a rank takes for one expert's work on one token.
    pub token_cost: Duration,
    /// Time to load one replica of an expert.
    pub expert_load_time: Duration,
    /// Age of the load that a server reports.
    pub load_lag: Duration,
    /// Whether an order with a fencing token below the highest seen is refused.
    pub checks_fencing: bool,
    /// Seed of the experts' popularity and of the experts drawn for each token.
    pub seed: u64,
}

/// Simulated condition of a rank.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum RankMode {
    /// The rank works at its usual speed.
    #[default]
    Ok,
    /// The rank does not step, so that the whole group stalls.
    Stall,
    /// The rank's work takes this many times as long.
    Slow {
        /// Factor by which the duration of the rank's work is multiplied.
        factor: f64,
    },
}

/// Body of `GET /admin/violations`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepViolations {
    /// Number of steps that were run.
    pub steps: u64,
    /// Number of steps in which servers used different map versions, which a correct map change
    /// never causes.
    pub mixed_map_steps: u64,
    /// First step in which servers used different map versions; `None` if there was none.
    pub first_mixed_step: Option<u64>,
}
