//! Options, switches and counters of a group.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Options of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Servers.
    pub servers: usize,
    /// Ranks of each server.
    pub ranks: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Experts of each layer.
    pub experts: usize,
    /// Experts that a token uses in each layer.
    pub experts_per_token: usize,
    /// Exponent of the experts' popularity.
    pub popularity_skew: f64,
    /// Requests that run at once on each server.
    pub max_running: usize,
    /// Prompt prefixes that each server keeps.
    pub cached_prefixes: usize,
    /// Duration of a step without tokens.
    pub step: Duration,
    /// Time that a rank takes for one expert's work on one token.
    pub token_cost: Duration,
    /// Time to load one replica of an expert.
    pub load_expert: Duration,
    /// Lag of the load report.
    pub load_lag: Duration,
    /// Whether an order with an old fencing token is refused.
    pub checks_fencing: bool,
    /// Seed of the popularity table and of the draws.
    pub seed: u64,
}

/// Switch of a rank.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum RankMode {
    /// The rank works at its usual speed.
    #[default]
    Ok,
    /// The rank does not step, so that the group waits.
    Stall,
    /// The rank's work takes this many times as long.
    Slow {
        /// Factor of the duration.
        factor: f64,
    },
}

/// Body of `GET /admin/violations`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepViolations {
    /// Steps that were run.
    pub steps: u64,
    /// Steps in which ranks used different map versions.
    pub mixed_map_steps: u64,
    /// First such step.
    pub first_mixed_step: Option<u64>,
}
