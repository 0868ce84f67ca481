//! Measures how the cost of the processes grows with the size of the fleet.

use {
    sassafrasslip_testkit::capacity,
    std::{process::ExitCode, time::Duration},
    tokio::time::timeout,
};

/// Longest run. All waits inside are shorter; this bounds their sum.
const RUN_LIMIT: Duration = Duration::from_secs(400);

#[tokio::main]
async fn main() -> ExitCode {
    // The processes end when the future of the run is dropped.
    match timeout(RUN_LIMIT, capacity::run()).await {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(report)) => {
            eprintln!("capacity: step failed: {report}");
            ExitCode::FAILURE
        }
        Err(_) => {
            eprintln!("capacity: not done after {RUN_LIMIT:?}");
            ExitCode::FAILURE
        }
    }
}
