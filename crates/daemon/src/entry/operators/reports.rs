//! Handlers of the operator API that read the configuration.

use {
    super::{
        OperatorContext,
        answers::{OperatorError, Result},
        fields::parse_field,
    },
    crate::{
        constants::{HISTORY_DEFAULT_LIMIT, HISTORY_MAX_LIMIT},
        describe,
        entry::configuration::{ReadHistory, ReadView},
    },
    hyper::StatusCode,
    kameo::error::SendError,
    sassafrasslip_core::configuration::{
        ConfigurationSnapshot, ConfigurationView, SettingKey,
        report::{DefaultEntry, DefaultsReport, ExceptionEntry, ExceptionsReport, HistoryReport},
    },
};

/// Handles `GET /v1/defaults`: lists all settings with their default values.
pub(super) async fn defaults(context: &OperatorContext) -> Result<DefaultsReport> {
    let view = read_view(context).await?;
    let keys = SettingKey::ALL.iter();
    Ok(DefaultsReport {
        revision: view.revision(),
        cut_off: !view.lease_live,
        defaults: keys
            .map(|key| default_entry(&view.snapshot, *key))
            .collect(),
    })
}

fn default_entry(snapshot: &ConfigurationSnapshot, key: SettingKey) -> DefaultEntry {
    let item = snapshot.defaults.get(&key);
    DefaultEntry {
        key,
        value: key.format_value(snapshot.default_value(key)),
        revision: item.map(|item| item.revision).unwrap_or_default(),
        initial: key.format_value(key.initial_value()),
        range: key.kind().to_string(),
        help: key.help().to_owned(),
    }
}

/// Handles `GET /v1/exceptions`: lists the exceptions from the defaults.
pub(super) async fn exceptions(context: &OperatorContext) -> Result<ExceptionsReport> {
    let view = read_view(context).await?;
    let revisions = &view.snapshot.exception_revisions;
    let exceptions = view.snapshot.exceptions.values();
    let exceptions = exceptions.map(|exception| ExceptionEntry {
        exception: exception.clone(),
        revision: revisions.get(&exception.id).copied().unwrap_or_default(),
    });
    Ok(ExceptionsReport {
        revision: view.revision(),
        cut_off: !view.lease_live,
        exceptions: exceptions.collect(),
    })
}

/// Handles `GET /v1/history?limit=N`: lists the newest changes, newest first.
pub(super) async fn history(
    context: &OperatorContext,
    query: Option<&str>,
) -> Result<HistoryReport> {
    let limit = history_limit(query)?;
    match context.actor.ask(ReadHistory { limit }).await {
        Ok(changes) => Ok(HistoryReport { changes }),
        Err(SendError::HandlerError(report)) => Err(OperatorError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "table_unavailable",
            describe(&report),
        )),
        Err(_) => Err(OperatorError::stopping()),
    }
}

fn history_limit(query: Option<&str>) -> Result<u64> {
    let Some(query) = query.filter(|query| !query.is_empty()) else {
        return Ok(HISTORY_DEFAULT_LIMIT);
    };
    let Some(text) = query.strip_prefix("limit=") else {
        return Err(OperatorError::invalid_field(query, "unknown parameter"));
    };
    let limit = parse_field("limit", text)?;
    if (1..=HISTORY_MAX_LIMIT).contains(&limit) {
        return Ok(limit);
    }
    let fault = format!("`{limit}`: expected 1 to {HISTORY_MAX_LIMIT}");
    Err(OperatorError::invalid_field("limit", fault))
}

async fn read_view(context: &OperatorContext) -> Result<ConfigurationView> {
    let view = context.actor.ask(ReadView).await;
    view.map_err(|_| OperatorError::stopping())
}
