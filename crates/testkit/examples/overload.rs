//! Measures goodput and fairness under overload; `scripts/measure.sh overload` runs it.

use {
    clap::Parser,
    sassafrasslip_testkit::measure::overload::{self, OverloadArguments},
    std::process::ExitCode,
};

#[tokio::main]
async fn main() -> ExitCode {
    match overload::run(OverloadArguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("overload: {}", report.current_context());
            ExitCode::FAILURE
        }
    }
}
