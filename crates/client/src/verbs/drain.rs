//! Subcommand `drain`.

use {
    crate::{api::OperatorApi, arguments::DrainArguments, errors::Result, output::Output},
    sassafrasslip_core::configuration::report::DrainReport,
    serde_json::json,
};

pub(super) async fn execute(
    api: &OperatorApi,
    arguments: &DrainArguments,
    output: &mut Output<'_>,
) -> Result<()> {
    let path = format!("/v1/drain/{}", arguments.target);
    let body = json!({
        "draining": !arguments.undo,
        "operator": arguments.operator,
        "reason": arguments.reason.clone().unwrap_or_default(),
    });
    let report: DrainReport = api.send_command(&path, &body).await?;
    output.show(&report, render)
}

fn render(report: &DrainReport) -> String {
    if report.draining {
        format!("{} takes no new work and finishes the rest", report.target)
    } else {
        format!("{} takes work again", report.target)
    }
}
