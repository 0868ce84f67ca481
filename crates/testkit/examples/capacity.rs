//! Measures how the cost of control traffic grows with the size of the fleet.

use {
    sassafrasslip_testkit::capacity,
    std::{process::ExitCode, time::Duration},
    tokio::time::timeout,
};

/// Time limit of the run. Each wait inside has a shorter limit; this one bounds their sum.
const RUN_LIMIT: Duration = Duration::from_secs(400);

#[tokio::main]
async fn main() -> ExitCode {
    // Dropping the future of the run stops the processes of the fleet.
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
