//! Measures the pause that map changes cause in a group; `scripts/measure.sh map_change` runs it.

use {sassafrasslip_testkit::measure::map_change, std::process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    match map_change::run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("map_change: {}", report.current_context());
            ExitCode::FAILURE
        }
    }
}
