//! Subcommand `history`.

use {
    crate::{
        api::OperatorApi,
        arguments::HistoryArguments,
        errors::Result,
        output::{Output, render_table},
    },
    sassafrasslip_core::configuration::report::HistoryReport,
    serde_json::Value,
};

pub(super) async fn execute(
    api: &OperatorApi,
    arguments: &HistoryArguments,
    output: &mut Output<'_>,
) -> Result<()> {
    let path = format!("/v1/history?limit={}", arguments.limit);
    let report: HistoryReport = api.read(&path).await?;
    output.show(&report, render)
}

fn render(report: &HistoryReport) -> String {
    let rows = report.changes.iter().map(|change| {
        [
            change.revision.to_string(),
            change.time_ms.to_string(),
            change.operator.to_string(),
            change.item.clone(),
            summarize_value(&change.before),
            summarize_value(&change.after),
            change.reason.clone(),
            change.change_id.to_string(),
        ]
    });
    let header = [
        "revision",
        "time (table, ms)",
        "operator",
        "item",
        "before",
        "after",
        "reason",
        "change id",
    ];
    render_table(header, rows)
}

/// Returns a value as short text: for an exception, only its scope, key and value, since the reason
/// has a column of its own.
fn summarize_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let field = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("?");
            format!("{} {} {}", field("scope"), field("key"), field("value"))
        }
        other => other.to_string(),
    }
}
