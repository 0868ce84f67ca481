//! Demonstration of a small fleet; the last line gives the totals.

use {
    clap::Parser,
    sassafrasslip_testkit::demo::{self, DemoArguments},
    std::{process::ExitCode, time::Duration},
    tokio::{signal::ctrl_c, time::timeout},
};

/// Longest run. All waits inside are shorter; this bounds their sum.
const RUN_LIMIT: Duration = Duration::from_secs(180);
/// Longest run with `--hold`.
const HOLD_LIMIT: Duration = Duration::from_secs(3_600);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = DemoArguments::parse();
    let limit = if arguments.hold {
        HOLD_LIMIT
    } else {
        RUN_LIMIT
    };
    // The fleet's processes end when the future of the run is dropped.
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
