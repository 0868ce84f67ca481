//! One step of the load.

use {
    super::{
        OverloadArguments, fair_share::fair_shares, fleet::MAX_RUNNING, fleet::SERVERS,
        fleet::SERVICE, metrics::AttemptCounts,
    },
    crate::{
        harness::{Fleet, Result},
        load::{self, LoadArguments, LoadSummary},
    },
    clap::Parser,
    std::collections::BTreeMap,
};

/// Share of the load that the large team sends, in percent; the small teams send the rest.
const LARGE_SHARE: f64 = 82.0;
const SMALL_TEAMS: usize = 6;
/// Deadline of each call, in milliseconds. An answer after it is useless.
const DEADLINE_MS: &str = "3000";

/// Figures of a step.
#[derive(Clone, Debug)]
pub struct StepFigures {
    /// Load as a multiple of the capacity.
    pub factor: f64,
    /// Answers a second in the steady part of the run.
    pub goodput: f64,
    summary: LoadSummary,
    small_demand: f64,
    small_fair: f64,
    retry_percent: f64,
}

impl StepFigures {
    /// Names of the columns.
    pub const HEAD: [&str; 11] = [
        "load",
        "calls",
        "goodput/s",
        "% of peak",
        "answer p95 ms",
        "refused",
        "refusal p50 ms",
        "refusal p95 ms",
        "unknown, cut",
        "small teams: % of demand, % of fair share",
        "retries %",
    ];

    /// Returns the row of the table.
    pub fn row(&self, peak: f64) -> Vec<String> {
        let summary = &self.summary;
        let unserved = summary.unknown + summary.cut + summary.lost + summary.wrong;
        vec![
            format!("{:.1}", self.factor),
            summary.requests.to_string(),
            format!("{:.1}", self.goodput),
            format!("{:.0}", 100.0 * self.goodput / peak),
            format!("{:.0}", summary.latency_ms.p95),
            summary.not_run.to_string(),
            format!("{:.1}", summary.refusal_ms.p50),
            format!("{:.1}", summary.refusal_ms.p95),
            unserved.to_string(),
            format!(
                "{:.0}, {:.0}",
                100.0 * self.small_demand,
                100.0 * self.small_fair
            ),
            format!("{:.1}", self.retry_percent),
        ]
    }
}

fn arguments(fleet: &Fleet, seed: u64, further: &[&str]) -> LoadArguments {
    let mut arguments: Vec<String> = ["load", "--model-service", SERVICE, "--streamed", "50"]
        .map(str::to_owned)
        .to_vec();
    for entry in &fleet.entries {
        arguments.extend(["--entry".to_owned(), entry.caller_address.to_string()]);
    }
    arguments.extend(["--team".to_owned(), format!("large={LARGE_SHARE}")]);
    let small = (100.0 - LARGE_SHARE) / SMALL_TEAMS as f64;
    for number in 1..=SMALL_TEAMS {
        arguments.extend(["--team".to_owned(), format!("small-{number}={small}")]);
    }
    arguments.extend(["--seed".to_owned(), seed.to_string()]);
    arguments.extend(["--deadline".to_owned(), DEADLINE_MS.to_owned()]);
    let tokens = ["--min-tokens", "20", "--max-tokens", "30"];
    arguments.extend(tokens.iter().chain(further).map(|one| (*one).to_owned()));
    LoadArguments::parse_from(arguments)
}

/// Measures the capacity in a closed loop with a few more callers than the engines run requests.
///
/// # Errors
///
/// Does not fail itself; refusals of the closed loop only lower the load for a moment.
pub async fn measure_capacity(fleet: &Fleet, seed: u64) -> Result<f64> {
    let callers = (MAX_RUNNING * SERVERS + SERVERS).to_string();
    let loop_ = ["--concurrency", &callers, "--count", "1000000"];
    let window = ["--duration", "8", "--warm-up", "2"];
    let further = [loop_.as_slice(), window.as_slice()].concat();
    let summary = load::run(arguments(fleet, seed, &further)).await;
    Ok(summary.steady_goodput)
}

/// Runs one step.
///
/// # Errors
///
/// Fails if counters cannot be read.
pub async fn measure(
    fleet: &Fleet,
    overload: &OverloadArguments,
    factor: f64,
    capacity: f64,
) -> Result<StepFigures> {
    let rate = (factor * capacity).to_string();
    let duration = overload.seconds.to_string();
    let warm_up = (overload.seconds / 4.0).to_string();
    let open = ["--rate", &rate, "--count", "1000000"];
    let window = ["--duration", &duration, "--warm-up", &warm_up];
    let further = [open.as_slice(), window.as_slice()].concat();
    let before = AttemptCounts::read(fleet).await?;
    let summary = load::run(arguments(fleet, overload.seed, &further)).await;
    let after = AttemptCounts::read(fleet).await?;
    let served = capacity * summary.elapsed_s;
    let (small_demand, small_fair) = small_teams(&summary, served);
    Ok(StepFigures {
        factor,
        goodput: summary.steady_goodput,
        small_demand,
        small_fair,
        retry_percent: after.retry_percent(&before),
        summary,
    })
}

/// Returns the answers of the small teams as a share of their demand, and of their fair share of
/// what the capacity allows in the whole run.
fn small_teams(summary: &LoadSummary, served: f64) -> (f64, f64) {
    let teams: BTreeMap<_, _> = summary.teams.iter().collect();
    let demands: Vec<_> = teams.values().map(|team| team.requests as f64).collect();
    let shares = fair_shares(&demands, served);
    let small = teams.iter().zip(&shares);
    let small = small.filter(|((team, _), _)| team.starts_with("small"));
    let (mut demand, mut fair, mut answered) = (0.0, 0.0, 0.0);
    for ((_, counts), share) in small {
        demand += counts.requests as f64;
        fair += share;
        answered += counts.answered as f64;
    }
    (
        answered / f64::max(demand, 1.0),
        answered / f64::max(fair, 1.0),
    )
}
