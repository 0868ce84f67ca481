//! Load generator, which checks each answer and fails if one is wrong, lost or doubled.

use {
    clap::Parser,
    sassafrasslip_testkit::load::{self, LoadArguments, OutputForm},
    std::process::ExitCode,
};

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = LoadArguments::parse();
    let output = arguments.output;
    let summary = load::run(arguments).await;
    match output {
        OutputForm::Json => println!("{}", serde_json::json!(summary)),
        OutputForm::Text => println!("{summary}"),
    }
    if summary.is_clean() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
