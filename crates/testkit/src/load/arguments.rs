//! Command-line arguments of the load generator.

use {
    clap::{Parser, ValueEnum},
    std::{net::SocketAddr, process, str::FromStr},
};

/// Format of the result on standard output.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum OutputForm {
    /// One JSON object.
    Json,
    /// Human-readable lines.
    Text,
}

/// Name with its weight in a mix, as `NAME=WEIGHT` or `NAME`.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedWeight {
    /// Name of the service, team or request kind.
    pub name: String,
    /// Weight relative to the other entries of the mix, finite and at least 0; 1 if the argument
    /// has none.
    pub weight: f64,
}

impl FromStr for NamedWeight {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
        let weight = weight.parse().ok();
        match weight.filter(|weight: &f64| weight.is_finite() && *weight >= 0.0) {
            Some(weight) if !name.is_empty() => Ok(Self {
                name: name.to_owned(),
                weight,
            }),
            _ => Err(format!("`{text}`: expected NAME=WEIGHT")),
        }
    }
}

/// Load generator that checks each answer.
#[derive(Clone, Debug, Parser)]
pub struct LoadArguments {
    /// Caller address of an entry; repeat it for several.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub entry: Vec<SocketAddr>,
    /// Call stand-ins directly, without entries: `--entry` then names engines, and
    /// `--direct-service` services.
    #[arg(long)]
    pub direct: bool,
    /// Address of a service stand-in for `--direct`.
    #[arg(long, value_name = "IP:PORT")]
    pub direct_service: Vec<SocketAddr>,
    /// Model service and its share of the calls.
    #[arg(long, value_name = "NAME=WEIGHT")]
    pub model_service: Vec<NamedWeight>,
    /// Plain service and its share of the calls.
    #[arg(long, value_name = "NAME=WEIGHT")]
    pub plain_service: Vec<NamedWeight>,
    /// Team and its share of the calls.
    #[arg(long, value_name = "NAME=WEIGHT", default_value = "team-1=1")]
    pub team: Vec<NamedWeight>,
    /// Request kind and its share of the model calls.
    #[arg(long, value_name = "NAME=WEIGHT", default_value = "general=1")]
    pub kind: Vec<NamedWeight>,
    /// Share of the model calls that are streamed.
    #[arg(long, value_name = "PERCENT", default_value_t = 50.0)]
    pub streamed: f64,
    /// Share of the plain calls that are bookings; the others look up a run.
    #[arg(long, value_name = "PERCENT", default_value_t = 80.0)]
    pub bookings: f64,
    /// Share of the bookings that carry an idempotency key.
    #[arg(long, value_name = "PERCENT", default_value_t = 90.0)]
    pub keyed: f64,
    /// Fewest tokens of an answer.
    #[arg(long, default_value_t = 5)]
    pub min_tokens: u64,
    /// Most tokens of an answer.
    #[arg(long, default_value_t = 30)]
    pub max_tokens: u64,
    /// Number of different prompt prefixes of each kind.
    #[arg(long, default_value_t = 16)]
    pub prompt_prefixes: u32,
    /// Calls per second, which arrive at random whether earlier ones are done or not (open loop).
    #[arg(long, value_name = "CALLS/S")]
    pub rate: Option<f64>,
    /// Calls in flight without `--rate` (closed loop).
    #[arg(long, default_value_t = 8)]
    pub concurrency: usize,
    /// Calls to send.
    #[arg(long, default_value_t = 100)]
    pub count: u64,
    /// Time after which no more calls are sent, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 60.0)]
    pub duration: f64,
    /// Time at the start of the run that the steady goodput leaves out, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 0.0)]
    pub warm_up: f64,
    /// Largest number of attempts for each call; each goes to the next entry. Bookings without a
    /// key are retried only after `not-run`.
    #[arg(long, default_value_t = 1)]
    pub attempts: u32,
    /// Deadline header, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub deadline: Option<u64>,
    /// Time limit of the caller for each attempt, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 40_000)]
    pub timeout_ms: u64,
    /// Address of a service stand-in whose counts are compared with the bookings.
    #[arg(long, value_name = "IP:PORT")]
    pub counts: Vec<SocketAddr>,
    /// Name of the run, which makes its orders and keys different from those of other runs.
    #[arg(long, default_value_t = format!("run-{}", process::id()))]
    pub run: String,
    /// Seed of the mix and the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Format of the output.
    #[arg(long, value_enum, default_value_t = OutputForm::Text)]
    pub output: OutputForm,
}
