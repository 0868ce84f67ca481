//! Command-line arguments of the engine stand-in.

use {
    super::options::GroupOptions,
    clap::{Parser, ValueEnum},
    std::{net::SocketAddr, time::Duration},
};

/// Whether the engine checks the fencing tokens of map orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum FencingMode {
    /// Refuses orders whose token is below the highest seen.
    Checks,
    /// Accepts orders with any token.
    Ignores,
}

/// Stand-in for the engines of a model group.
#[derive(Clone, Debug, Parser)]
pub struct EngineArguments {
    /// Address of a server; repeat it for each server of the group.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub server: Vec<SocketAddr>,
    /// Ranks of each server.
    #[arg(long, default_value_t = 4)]
    pub ranks: usize,
    /// Layers with experts.
    #[arg(long, default_value_t = 4)]
    pub layers: usize,
    /// Experts of each layer.
    #[arg(long, default_value_t = 16)]
    pub experts: usize,
    /// Experts that a token uses in each layer.
    #[arg(long, default_value_t = 2)]
    pub experts_per_token: usize,
    /// Exponent of the experts' popularity; 0 makes all equally popular.
    #[arg(long, default_value_t = 1.0)]
    pub popularity_skew: f64,
    /// Requests that run at once on each server; more wait.
    #[arg(long, default_value_t = 32)]
    pub max_running: usize,
    /// Prompt prefixes that each server keeps.
    #[arg(long, default_value_t = 64)]
    pub cached_prefixes: usize,
    /// Duration of a step without tokens, in microseconds.
    #[arg(long, default_value_t = 5_000)]
    pub step_us: u64,
    /// Time that a rank takes for one expert's work on one token, in microseconds.
    #[arg(long, default_value_t = 20)]
    pub token_us: u64,
    /// Time to load one replica of an expert, in microseconds.
    #[arg(long, default_value_t = 1_000)]
    pub load_expert_us: u64,
    /// Age of the load that a server reports, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub load_lag_ms: u64,
    /// Whether fencing tokens are checked.
    #[arg(long, value_enum, default_value_t = FencingMode::Ignores)]
    pub fencing: FencingMode,
    /// Seed of the experts' popularity and of the experts drawn for each token.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl EngineArguments {
    /// Converts the arguments to the options of the group.
    pub fn group_options(&self) -> GroupOptions {
        GroupOptions {
            servers: self.server.len(),
            ranks: self.ranks,
            layers: self.layers,
            experts: self.experts,
            experts_per_token: self.experts_per_token,
            popularity_skew: self.popularity_skew,
            max_running: self.max_running,
            cached_prefixes: self.cached_prefixes,
            base_step_time: Duration::from_micros(self.step_us),
            token_cost: Duration::from_micros(self.token_us),
            expert_load_time: Duration::from_micros(self.load_expert_us),
            load_lag: Duration::from_millis(self.load_lag_ms),
            checks_fencing: self.fencing == FencingMode::Checks,
            seed: self.seed,
        }
    }
}
