//! Runs a demonstration of a small fleet; the last line of its output gives the totals.

use {
    clap::Parser,
    sassafrasslip_testkit::demo::{self, DemoArguments},
    std::{process::ExitCode, time::Duration},
    tokio::{signal::ctrl_c, time::timeout},
};

/// Time limit of the run. Each wait inside has a shorter limit; this one bounds their sum.
const RUN_LIMIT: Duration = Duration::from_secs(180);
/// Time limit of the run with `--hold`.
const HOLD_LIMIT: Duration = Duration::from_secs(3_600);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = DemoArguments::parse();
    let limit = if arguments.hold {
        HOLD_LIMIT
    } else {
        RUN_LIMIT
    };
    // Dropping the future of the run stops the processes of the fleet.
    let outcome = tokio::select! {
        outcome = timeout(limit, demo::run(arguments)) => outcome,
        _ = ctrl_c() => {
            eprintln!("demo: interrupted");
            return ExitCode::FAILURE;
        }
    };
    let totals = match outcome {
        Ok(Ok(totals)) => totals,
        Ok(Err(report)) => {
            eprintln!("demo: step failed: {report}");
            return ExitCode::FAILURE;
        }
        Err(_) => {
            eprintln!("demo: not done after {limit:?}");
            return ExitCode::FAILURE;
        }
    };
    println!(
        "demo: {} answered, {} refused, {} wrong, {} lost",
        totals.answered, totals.refused, totals.wrong, totals.lost
    );
    if totals.wrong + totals.lost == 0 {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
