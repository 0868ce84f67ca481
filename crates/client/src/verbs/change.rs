//! Configuration changes: the request, and the text of its answer.

use {
    crate::{
        api::OperatorApi, arguments::IdentityArguments, errors::Result, output::Output,
        output::join_names,
    },
    http::Method,
    sassafrasslip_core::{configuration::report::ChangeReport, ids::ChangeName},
    serde_json::Value,
};

/// Configuration change that has not been sent yet.
pub(super) struct ChangeRequest {
    pub(super) method: Method,
    pub(super) path: String,
    /// Fields of the body besides the change identifier, the operator and the reason.
    pub(super) fields: Value,
    pub(super) reason: String,
    pub(super) identity: IdentityArguments,
}

impl ChangeRequest {
    pub(super) async fn execute(self, api: &OperatorApi, output: &mut Output<'_>) -> Result<()> {
        let change_id = self.identity.change_id.unwrap_or_else(generate_change_id);
        let mut body = self.fields;
        body["change_id"] = Value::from(change_id.as_str());
        body["operator"] = Value::from(self.identity.operator.as_str());
        body["reason"] = Value::from(self.reason);
        let sent = api.change(self.method, &self.path, &change_id, &body);
        let report: ChangeReport = sent.await?;
        output.show(&report, render)
    }
}

fn generate_change_id() -> ChangeName {
    let id = format!("change-{:032x}", rand::random::<u128>());
    id.parse()
        .unwrap_or_else(|error| unreachable!("letters, digits and `-` make a name: {error}"))
}

fn render(report: &ChangeReport) -> String {
    let mut text = format!(
        "{}: {} -> {}\nrevision {} is in force at every entry with a live lease",
        report.item, report.before, report.after, report.revision
    );
    if report.repeated {
        text.push_str("\nThe change was made earlier under this change id.");
    }
    if !report.cut_off.is_empty() {
        let cut_off = join_names(&report.cut_off);
        text.push_str(&format!("\ncut off, serving by `cut_off.*`: {cut_off}"));
    }
    text.push_str(&format!("\nchange id: {}", report.change_id));
    text
}
