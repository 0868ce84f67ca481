//! Subcommands `defaults list`, `defaults show` and `defaults set`.

use {
    super::change::ChangeRequest,
    crate::{
        api::OperatorApi,
        arguments::{DefaultsVerb, SetDefaultArguments},
        errors::{ClientError, Result},
        output::{Output, cut_off_warning, render_table},
    },
    http::{Method, StatusCode},
    sassafrasslip_core::configuration::{
        SettingKey,
        report::{DefaultEntry, DefaultsReport, ErrorBody},
    },
    serde_json::{Value, json},
};

pub(super) async fn execute(
    api: &OperatorApi,
    verb: DefaultsVerb,
    output: &mut Output<'_>,
) -> Result<()> {
    match verb {
        DefaultsVerb::List => output.show(&read(api).await?, render_list),
        DefaultsVerb::Set(arguments) => set(arguments).execute(api, output).await,
        DefaultsVerb::Show(arguments) => {
            let entry = find(read(api).await?, arguments.key)?;
            output.show(&entry, render_entry)
        }
    }
}

async fn read(api: &OperatorApi) -> Result<DefaultsReport> {
    api.read("/v1/defaults").await
}

fn find(report: DefaultsReport, key: SettingKey) -> Result<DefaultEntry> {
    let mut defaults = report.defaults.into_iter();
    let entry = defaults.find(|entry| entry.key == key);
    entry.ok_or_else(|| ClientError::Answered {
        status: StatusCode::NOT_FOUND,
        body: ErrorBody {
            code: "not_found".to_owned(),
            message: format!("the entry has no default `{key}`"),
            current: Value::Null,
        },
        change_id: None,
    })
}

fn set(arguments: SetDefaultArguments) -> ChangeRequest {
    let mut fields = json!({ "value": arguments.value });
    if let Some(revision) = arguments.change.expect_revision {
        fields["expected_revision"] = Value::from(revision);
    }
    ChangeRequest {
        method: Method::PUT,
        path: format!("/v1/defaults/{}", arguments.key),
        fields,
        reason: arguments.reason.unwrap_or_default(),
        identity: arguments.change.identity,
    }
}

fn render_list(report: &DefaultsReport) -> String {
    let rows = report.defaults.iter().map(|entry| {
        [
            entry.key.to_string(),
            entry.value.clone(),
            entry.revision.to_string(),
            entry.initial.clone(),
            entry.range.clone(),
        ]
    });
    let list = render_table(["key", "value", "revision", "initial", "range"], rows);
    let warning = cut_off_warning(report.cut_off);
    format!(
        "{list}\nconfiguration revision {}{warning}",
        report.revision
    )
}

fn render_entry(entry: &DefaultEntry) -> String {
    format!(
        "{}: {}\n{}\nset at revision: {}\ninitial value: {}\nrange: {}",
        entry.key, entry.value, entry.help, entry.revision, entry.initial, entry.range
    )
}
