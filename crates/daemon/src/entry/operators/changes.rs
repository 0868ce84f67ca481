//! Handlers of the operator API that change the configuration.

use {
    super::{
        OperatorContext,
        answers::{OperatorError, Result},
        fields::{RequestFields, parse_field},
    },
    kameo::error::SendError,
    sassafrasslip_core::configuration::{
        ChangeAction, ChangeRequest, SettingKey, report::ChangeReport,
    },
};

/// Handles `PUT /v1/defaults/<key>`: sets the default value of a setting.
pub(super) async fn set_default(
    context: &OperatorContext,
    key: &str,
    mut fields: RequestFields,
) -> Result<ChangeReport> {
    let key: SettingKey = parse_field("key", key)?;
    let value = fields.text("value")?;
    execute_change(context, ChangeAction::SetDefault { key, value }, fields).await
}

/// Handles `POST /v1/exceptions`: adds an exception from a default value.
pub(super) async fn add_exception(
    context: &OperatorContext,
    mut fields: RequestFields,
) -> Result<ChangeReport> {
    let action = ChangeAction::AddException {
        id: fields.parsed("id")?,
        scope: fields.parsed("scope")?,
        key: fields.parsed("key")?,
        value: fields.text("value")?,
    };
    execute_change(context, action, fields).await
}

/// Handles `DELETE /v1/exceptions/<id>`: removes an exception.
pub(super) async fn remove_exception(
    context: &OperatorContext,
    id: &str,
    fields: RequestFields,
) -> Result<ChangeReport> {
    let id = parse_field("id", id)?;
    execute_change(context, ChangeAction::RemoveException { id }, fields).await
}

/// Reads the fields that all changes have, and waits until the change is accepted.
async fn execute_change(
    context: &OperatorContext,
    action: ChangeAction,
    mut fields: RequestFields,
) -> Result<ChangeReport> {
    let request = ChangeRequest {
        change_id: fields.parsed("change_id")?,
        operator: fields.parsed("operator")?,
        reason: fields.optional_text("reason")?.unwrap_or_default(),
        expected_revision: fields.optional_number("expected_revision")?,
        action,
    };
    fields.finish()?;
    match context.actor.ask(request).await {
        Ok(report) => Ok(report),
        Err(SendError::HandlerError(error)) => Err(error.into()),
        Err(_) => Err(OperatorError::stopping()),
    }
}
