//! One load step of the overload measurement.

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
const LARGE_TEAM_PERCENT: f64 = 82.0;
const SMALL_TEAMS: usize = 6;
/// Deadline of each call, in milliseconds. A later answer is useless to the caller.
const DEADLINE_MS: &str = "3000";

/// Results of a load step.
#[derive(Clone, Debug)]
pub struct StepFigures {
    /// Load as a multiple of the capacity.
    pub factor: f64,
    /// Answers a second after the warm-up.
    pub goodput: f64,
    summary: LoadSummary,
    small_demand_met: f64,
    small_fair_share_met: f64,
    retry_percent: f64,
}

impl StepFigures {
    /// Column headings of the table.
    pub const HEADER: [&str; 11] = [
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

    /// Returns the row of the table. `peak` is the highest goodput of all steps.
    pub fn row(&self, peak: f64) -> Vec<String> {
        let summary = &self.summary;
        let failed = summary.unknown + summary.cut + summary.lost + summary.wrong;
        vec![
            format!("{:.1}", self.factor),
            summary.requests.to_string(),
            format!("{:.1}", self.goodput),
            format!("{:.0}", 100.0 * self.goodput / peak),
            format!("{:.0}", summary.latency_ms.p95),
            summary.not_run.to_string(),
            format!("{:.1}", summary.refusal_ms.p50),
            format!("{:.1}", summary.refusal_ms.p95),
            failed.to_string(),
            format!(
                "{:.0}, {:.0}",
                100.0 * self.small_demand_met,
                100.0 * self.small_fair_share_met
            ),
            format!("{:.1}", self.retry_percent),
        ]
    }
}

fn arguments(fleet: &Fleet, seed: u64, extra: &[&str]) -> LoadArguments {
    let mut arguments: Vec<String> = ["load", "--model-service", SERVICE, "--streamed", "50"]
        .map(str::to_owned)
        .to_vec();
    for entry in &fleet.entries {
        arguments.extend(["--entry".to_owned(), entry.caller_address.to_string()]);
    }
    arguments.extend(["--team".to_owned(), format!("large={LARGE_TEAM_PERCENT}")]);
    let small = (100.0 - LARGE_TEAM_PERCENT) / SMALL_TEAMS as f64;
    for number in 1..=SMALL_TEAMS {
        arguments.extend(["--team".to_owned(), format!("small-{number}={small}")]);
    }
    arguments.extend(["--seed".to_owned(), seed.to_string()]);
    arguments.extend(["--deadline".to_owned(), DEADLINE_MS.to_owned()]);
    let tokens = ["--min-tokens", "20", "--max-tokens", "30"];
    arguments.extend(
        tokens
            .iter()
            .chain(extra)
            .map(|argument| (*argument).to_owned()),
    );
    LoadArguments::parse_from(arguments)
}

/// Measures the capacity in calls a second, in a closed loop with slightly more callers than the
/// engines run requests at once.
///
/// # Errors
///
/// Does not fail: a refusal in the closed loop only lowers the load for a moment.
pub async fn measure_capacity(fleet: &Fleet, seed: u64) -> Result<f64> {
    let callers = (MAX_RUNNING * SERVERS + SERVERS).to_string();
    let closed_loop = ["--concurrency", &callers, "--count", "1000000"];
    let window = ["--duration", "8", "--warm-up", "2"];
    let extra = [closed_loop.as_slice(), window.as_slice()].concat();
    let summary = load::run(arguments(fleet, seed, &extra)).await;
    Ok(summary.steady_goodput)
}

/// Runs one step in an open loop at `factor` times the capacity and returns its results.
///
/// # Errors
///
/// Fails if the metrics of a process cannot be read.
pub async fn measure(
    fleet: &Fleet,
    overload: &OverloadArguments,
    factor: f64,
    capacity: f64,
) -> Result<StepFigures> {
    let rate = (factor * capacity).to_string();
    let duration = overload.seconds.to_string();
    let warm_up = (overload.seconds / 4.0).to_string();
    let open_loop = ["--rate", &rate, "--count", "1000000"];
    let window = ["--duration", &duration, "--warm-up", &warm_up];
    let extra = [open_loop.as_slice(), window.as_slice()].concat();
    let before = AttemptCounts::read(fleet).await?;
    let summary = load::run(arguments(fleet, overload.seed, &extra)).await;
    let after = AttemptCounts::read(fleet).await?;
    let capacity_calls = capacity * summary.elapsed_s;
    let (small_demand_met, small_fair_share_met) = small_team_shares(&summary, capacity_calls);
    Ok(StepFigures {
        factor,
        goodput: summary.steady_goodput,
        small_demand_met,
        small_fair_share_met,
        retry_percent: after.retry_percent(&before),
        summary,
    })
}

/// Returns the answers of the small teams as a share of their demand, and as a share of their
/// max-min fair share. `capacity_calls` is the number of calls that the capacity allows in the run.
fn small_team_shares(summary: &LoadSummary, capacity_calls: f64) -> (f64, f64) {
    let teams: BTreeMap<_, _> = summary.teams.iter().collect();
    let demands: Vec<_> = teams.values().map(|team| team.requests as f64).collect();
    let shares = fair_shares(&demands, capacity_calls);
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
