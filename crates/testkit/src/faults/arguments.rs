//! Command-line arguments of the fault runs.

use {clap::Parser, std::path::PathBuf};

/// Runs a fleet under load, injects faults from a seeded schedule, and audits the guarantees.
#[derive(Clone, Debug, Parser)]
pub struct FaultArguments {
    /// Seed of the first round; each further round adds one.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of rounds, each with a fleet of its own.
    #[arg(long, default_value_t = 1)]
    pub rounds: u64,
    /// Duration of the load in each round, in seconds.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Number of concurrent callers, each with one call in flight.
    #[arg(long, default_value_t = 16)]
    pub callers: usize,
    /// Folder of the log files, which list the injected faults and the broken guarantees.
    #[arg(long, default_value = "target/faults")]
    pub log: PathBuf,
}
