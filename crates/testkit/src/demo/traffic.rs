//! Calls that the demonstration sends with the load tool.

use {
    crate::{
        harness::{Fleet, HarnessError, Result},
        load::{self, LoadArguments, LoadSummary},
    },
    clap::Parser,
    std::net::SocketAddr,
    tokio::task::JoinSet,
};

/// Number of calls through each entry, as an argument of the load tool.
const CALLS: &str = "60";

/// Outcome counts of all calls of the demonstration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemoTotals {
    /// Calls with a complete and correct answer.
    pub answered: u64,
    /// Calls that were refused before they ran.
    pub refused: u64,
    /// Wrong answers, false refusals, broken streams and bookings that ran twice.
    pub wrong: u64,
    /// Calls with neither an answer nor a refusal, and answered bookings that did not run.
    pub lost: u64,
}

impl DemoTotals {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.wrong += other.wrong;
        self.lost += other.lost;
    }

    fn add_summary(&mut self, summary: &LoadSummary) {
        self.answered += summary.answered;
        self.refused += summary.not_run;
        self.wrong += summary.wrong + summary.doubled + summary.cut;
        self.lost += summary.lost;
    }
}

fn load_arguments(fleet: &Fleet, entry: SocketAddr, run: &str) -> LoadArguments {
    let mut line = vec!["load".to_owned(), "--entry".to_owned(), entry.to_string()];
    let mix = [
        "--model-service",
        "drafting=2",
        "--plain-service",
        "orders=1",
        "--team",
        "press=1",
        "--team",
        "sponsors=3",
        "--kind",
        "captions",
        "--kind",
        "replies",
        "--count",
        CALLS,
        "--run",
        run,
    ];
    line.extend(mix.map(str::to_owned));
    for service in &fleet.services {
        line.extend(["--counts".to_owned(), service.address.to_string()]);
    }
    LoadArguments::parse_from(line)
}

/// Sends calls through all entries concurrently, prints a summary for each entry and returns the
/// totals.
///
/// # Errors
///
/// Returns an error if no call through one of the entries is answered.
pub async fn serve(fleet: &Fleet, phase: &str) -> Result<DemoTotals> {
    let mut runs = JoinSet::new();
    for entry in &fleet.entries {
        let name = entry.name.clone();
        let run = format!("demo-{phase}-{name}");
        let load = load::run(load_arguments(fleet, entry.caller_address, &run));
        runs.spawn(async move { (name, load.await) });
    }
    let mut totals = DemoTotals::default();
    for (name, summary) in runs.join_all().await {
        println!("  through {name}:");
        for line in summary.to_string().lines() {
            println!("    {line}");
        }
        if summary.answered == 0 {
            return Err(HarnessError::report(name, "answered no call"));
        }
        totals.add_summary(&summary);
    }
    Ok(totals)
}
