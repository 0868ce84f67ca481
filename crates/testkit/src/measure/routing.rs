//! Simulation of several entries that route independently with late load reports, to compare the
//! router of the core with simple policies. Each target is a small queue model.

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

/// Compares routing policies by simulation.
#[derive(Clone, Copy, Debug, Parser)]
pub struct RoutingArguments {
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// Load as a share of the capacity without cache hits, in percent.
    #[arg(long, default_value_t = 80.0)]
    pub load: f64,
    /// Number of targets; above 192, the router compares only a sample of them.
    #[arg(long, default_value_t = 24)]
    pub targets: usize,
    /// Duration of each run, in virtual seconds.
    #[arg(long, default_value_t = 80)]
    pub seconds: u64,
}

/// Simulates all policies with all seeds, with and without loads in replies, and prints the tables
/// of the results and of the decision times.
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
        println!("{}\n", table::render(&HEADER, &rows));
    }
    println!("{}", timing::table());
}

const HEADER: [&str; 5] = [
    "policy",
    "busiest/mean p95",
    "busiest/mean p99",
    "prefix hits %",
    "mean wait ms",
];

fn row(policy: PolicyName, runs: &[RunFigures]) -> Vec<String> {
    let figure = |get: fn(&RunFigures) -> f64| format_range(runs.iter().map(get).collect());
    vec![
        policy.to_string(),
        figure(|run| run.ratio_p95),
        figure(|run| run.ratio_p99),
        figure(|run| run.hit_percent),
        figure(|run| run.mean_wait_ms),
    ]
}

/// Formats the median and the range of the values of all seeds.
fn format_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (min, max) = (values[0], values[values.len() - 1]);
    let median = values[values.len() / 2];
    format!("{median:.2} ({min:.2} to {max:.2})")
}
