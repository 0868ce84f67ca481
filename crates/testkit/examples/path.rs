//! Measures the cost of the request path through an entry; `scripts/measure.sh path` runs it.

use {sassafrasslip_testkit::measure::path, std::process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    match path::run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("path: {}", report.current_context());
            ExitCode::FAILURE
        }
    }
}
