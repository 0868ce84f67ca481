//! Balance of several entries that decide at once with late reports. Each target is a small queue
//! model; the router is the one of the core.

pub mod chooser;
pub mod model;
pub mod run;
pub mod timing;

use {
    super::{machine, table},
    chooser::PolicyName,
    clap::Parser,
    run::{RunFigures, RunOptions},
};

/// Comparison of routing policies.
#[derive(Clone, Copy, Debug, Parser)]
pub struct RoutingArguments {
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// Load as a share of the capacity without cache hits, in percent.
    #[arg(long, default_value_t = 80.0)]
    pub load: f64,
    /// Number of targets; the router samples more than 192.
    #[arg(long, default_value_t = 24)]
    pub targets: usize,
    /// Duration of the arrivals of each run, in virtual seconds.
    #[arg(long, default_value_t = 80)]
    pub seconds: u64,
}

/// Runs all policies with all seeds and prints the tables.
pub fn run(arguments: &RoutingArguments) {
    println!("{}\n", machine::describe());
    for replies_carry_load in [true, false] {
        let source = match replies_carry_load {
            true => "replies carry the load of their target",
            false => "load only in late reports",
        };
        println!("{} seeds, {source}\n", arguments.seeds);
        let rows = PolicyName::ALL.map(|policy| {
            let options = |seed| RunOptions {
                policy,
                replies_carry_load,
                targets: arguments.targets,
                seconds: arguments.seconds,
                load: arguments.load / 100.0,
                seed,
            };
            let runs = (1..=arguments.seeds).map(|seed| run::run(options(seed)));
            row(policy, &runs.collect::<Vec<_>>())
        });
        println!("{}\n", table::render(&HEAD, &rows));
    }
    println!("{}", timing::table());
}

const HEAD: [&str; 5] = [
    "policy",
    "busiest/mean p95",
    "busiest/mean p99",
    "prefix hits %",
    "mean wait ms",
];

fn row(policy: PolicyName, runs: &[RunFigures]) -> Vec<String> {
    let figure = |get: fn(&RunFigures) -> f64| range(runs.iter().map(get).collect());
    vec![
        policy.to_string(),
        figure(|run| run.ratio_p95),
        figure(|run| run.ratio_p99),
        figure(|run| run.hit_percent),
        figure(|run| run.mean_wait_ms),
    ]
}

/// Formats the median and the range of the seeds.
fn range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (first, last) = (values[0], values[values.len() - 1]);
    let median = values[values.len() / 2];
    format!("{median:.2} ({first:.2} to {last:.2})")
}
