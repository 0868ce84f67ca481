//! Handlers of the operator API that concern targets and requests in the fleet.

use {
    super::{
        OperatorContext,
        answers::{OperatorError, Result},
        fields::{RequestFields, parse_field},
    },
    hyper::StatusCode,
    sassafrasslip_core::{
        configuration::report::DrainReport,
        events::LogEvent::DrainOrdered,
        explanation::RequestExplanation,
        ids::{InstanceName, OperatorName},
        log_event,
    },
};

/// Handles `GET /v1/explain/<request-id>`: explains how this entry routed a recent request.
pub(super) fn explain(context: &OperatorContext, request_id: &str) -> Result<RequestExplanation> {
    let request_id = parse_field("request_id", request_id)?;
    context.fleet.explain(request_id).ok_or_else(|| {
        let message = format!(
            "field `request_id`: this entry does not remember `{request_id}`; ask the entry that \
             accepted the request, or look into its log"
        );
        OperatorError::new(StatusCode::NOT_FOUND, "not_found", message)
    })
}

/// Handles `POST /v1/drain/<instance>`: starts the drain of a target, or ends it if the field
/// `draining` is false.
pub(super) async fn drain(
    context: &OperatorContext,
    target: &str,
    mut fields: RequestFields,
) -> Result<DrainReport> {
    let target: InstanceName = parse_field("instance", target)?;
    let operator: OperatorName = fields.parsed("operator")?;
    let draining = fields.optional_flag("draining")?.unwrap_or(true);
    let reason = fields.optional_text("reason")?.unwrap_or_default();
    fields.finish()?;
    let targets = context.fleet.status().targets;
    if !targets.iter().any(|status| status.target == target) {
        let message = format!("field `instance`: there is no target `{target}`");
        return Err(OperatorError::new(
            StatusCode::NOT_FOUND,
            "not_found",
            message,
        ));
    }
    let reached = context.fleet.drain(&target, draining).await;
    log_event!(
        DrainOrdered,
        target = target,
        draining = draining,
        reached = reached,
        operator = operator,
        reason = reason
    );
    if !reached {
        let message = format!("the agent of `{target}` was not reached");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(OperatorError::new(status, "target_unreachable", message));
    }
    Ok(DrainReport { target, draining })
}
