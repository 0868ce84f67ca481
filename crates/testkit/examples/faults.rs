//! Runs a fleet under injected faults; the last line of the output gives the totals.

use {
    clap::Parser,
    sassafrasslip_testkit::faults::{self, FaultArguments},
    std::process::ExitCode,
    tokio::signal::ctrl_c,
};

#[tokio::main]
async fn main() -> ExitCode {
    // Dropping the future of the run stops the processes of the fleet.
    let outcome = tokio::select! {
        outcome = faults::run(FaultArguments::parse()) => outcome,
        _ = ctrl_c() => {
            eprintln!("faults: interrupted");
            return ExitCode::FAILURE;
        }
    };
    match outcome {
        Ok(totals) => {
            println!("faults: {totals}");
            if totals.is_clean() {
                return ExitCode::SUCCESS;
            }
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("faults: step failed: {report}");
            ExitCode::FAILURE
        }
    }
}
