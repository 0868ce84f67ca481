//! Subcommands `exceptions list`, `exceptions add` and `exceptions remove`.

use {
    super::change::ChangeRequest,
    crate::{
        api::OperatorApi,
        arguments::{AddExceptionArguments, ExceptionsVerb, RemoveExceptionArguments},
        errors::Result,
        output::{Output, cut_off_warning, render_table},
    },
    http::Method,
    sassafrasslip_core::configuration::report::ExceptionsReport,
    serde_json::{Value, json},
};

pub(super) async fn execute(
    api: &OperatorApi,
    verb: ExceptionsVerb,
    output: &mut Output<'_>,
) -> Result<()> {
    match verb {
        ExceptionsVerb::Add(arguments) => add(arguments).execute(api, output).await,
        ExceptionsVerb::List => {
            let report: ExceptionsReport = api.read("/v1/exceptions").await?;
            output.show(&report, render_list)
        }
        ExceptionsVerb::Remove(arguments) => remove(arguments).execute(api, output).await,
    }
}

fn add(arguments: AddExceptionArguments) -> ChangeRequest {
    ChangeRequest {
        method: Method::POST,
        path: "/v1/exceptions".to_owned(),
        fields: json!({
            "id": arguments.id,
            "scope": arguments.scope,
            "key": arguments.key,
            "value": arguments.value,
        }),
        reason: arguments.reason,
        identity: arguments.identity,
    }
}

fn remove(arguments: RemoveExceptionArguments) -> ChangeRequest {
    let mut fields = json!({});
    if let Some(revision) = arguments.change.expect_revision {
        fields["expected_revision"] = Value::from(revision);
    }
    ChangeRequest {
        method: Method::DELETE,
        path: format!("/v1/exceptions/{}", arguments.id),
        fields,
        reason: arguments.reason.unwrap_or_default(),
        identity: arguments.change.identity,
    }
}

fn render_list(report: &ExceptionsReport) -> String {
    let rows = report.exceptions.iter().map(|entry| {
        let exception = &entry.exception;
        [
            exception.id.to_string(),
            exception.scope.to_string(),
            exception.key.to_string(),
            exception.value.clone(),
            entry.revision.to_string(),
            exception.operator.to_string(),
            exception.reason.clone(),
        ]
    });
    let header = [
        "id", "scope", "key", "value", "revision", "operator", "reason",
    ];
    let warning = cut_off_warning(report.cut_off);
    format!(
        "{}\nconfiguration revision {}{warning}",
        render_table(header, rows),
        report.revision
    )
}
