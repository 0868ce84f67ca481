//! Runs admitted dispatches, each as a call to the target.

pub mod claimed;
pub mod model;
pub mod plain;

use {
    super::{
        AgentContext,
        admission::{AdmissionPermit, offers::LinkNumber},
        answers::{AnswerSender, Refusal},
        backend::{BackendError, BackendStep},
    },
    crate::options::agent::TargetKind,
    error_stack::Report,
    sassafrasslip_core::{
        configuration::SettingKey,
        events::LogEvent::{DispatchDeclined, DispatchEnded},
        ids::RequestId,
        log_event,
    },
    sassafrasslip_proto::link::{Dispatch, FailureOutcome, RefusalReason},
    std::sync::Arc,
    tokio::time::Instant,
};

/// How a dispatch ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnding {
    /// The whole answer was sent.
    Answered {
        /// Whether the answer was replayed from the claim record.
        replayed: bool,
    },
    /// This attempt did not run the call; the entry is told the reason.
    Refused(RefusalReason),
    /// The call failed: whether it may have run, and the cause.
    Failed(FailureOutcome, String),
    /// The entry cancelled the request or its link closed, so no reply is sent.
    Cancelled,
}

impl CallEnding {
    /// Returns the name of the result in logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Answered { replayed: false } => "answered",
            Self::Answered { replayed: true } => "replayed",
            Self::Refused(reason) => refusal_name(*reason),
            Self::Failed(FailureOutcome::NotRun, _) => "not_run",
            Self::Failed(FailureOutcome::Interrupted, _) => "interrupted",
            Self::Failed(_, _) => "unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Returns the name of a refusal in logs and metrics.
pub fn refusal_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Unspecified => "refused",
        RefusalReason::Draining => "refused_draining",
        RefusalReason::Full => "refused_full",
        RefusalReason::StaleRevision => "refused_stale_revision",
        RefusalReason::Deadline => "refused_deadline",
        RefusalReason::TableDown => "refused_table_down",
        RefusalReason::KeyInUse => "refused_key_in_use",
        RefusalReason::KeyReused => "refused_key_reused",
        RefusalReason::Tombstone => "refused_tombstone",
        RefusalReason::TargetDown => "refused_target_down",
        RefusalReason::AnswerNotStored => "refused_answer_not_stored",
    }
}

/// Admitted dispatch with all that its call needs.
pub struct AdmittedCall {
    /// State of the agent.
    pub agent: Arc<AgentContext>,
    /// Dispatch as the entry sent it.
    pub dispatch: Dispatch,
    /// Request that the dispatch belongs to.
    pub request_id: RequestId,
    /// Deadline of the request by the agent's clock.
    pub deadline: Instant,
    /// Permit for the slot. It is dropped before the final reply, whose load must not count the
    /// slot.
    pub permit: AdmissionPermit,
    /// Link on which the dispatch arrived.
    pub link: LinkNumber,
    /// Sender of the answer frames.
    pub answers: AnswerSender,
}

impl AdmittedCall {
    /// Runs the call and sends its answer. A non-idempotent call to a plain service needs an
    /// idempotency scope.
    pub async fn run(self) {
        let options = &self.agent.options;
        match (options.kind, &self.dispatch.idempotency) {
            (TargetKind::Model, _) => model::run(self).await,
            (TargetKind::Plain, Some(_)) => claimed::run(self).await,
            (TargetKind::Plain, None) if self.is_idempotent() => plain::run(self).await,
            (TargetKind::Plain, None) => {
                let reason = "non-idempotent call has no idempotency scope".to_owned();
                self.finish(CallEnding::Failed(FailureOutcome::NotRun, reason))
                    .await;
            }
        }
    }

    fn is_idempotent(&self) -> bool {
        let methods = &self.agent.options.idempotent_methods;
        methods.contains(&self.dispatch.method)
    }

    /// Returns whether the deadline has passed or the request was cancelled.
    pub fn should_stop(&self) -> bool {
        self.permit.cancelled().is_cancelled() || self.agent.clock.now() >= self.deadline
    }

    /// Frees the slot, then logs the result and sends the final reply.
    pub async fn finish(self, ending: CallEnding) {
        let Self {
            agent,
            request_id,
            permit,
            link,
            mut answers,
            ..
        } = self;
        // Keeps a graceful stop waiting until the reply is queued, although the permit is dropped.
        let _work = agent.work.token();
        drop(permit);
        agent.metrics.count_dispatch(ending.name());
        log_event!(
            DispatchEnded,
            request_id = request_id,
            result = ending.name()
        );
        send_ending(&agent, link, &mut answers, ending).await;
    }
}

async fn send_ending(
    agent: &AgentContext,
    link: LinkNumber,
    answers: &mut AnswerSender,
    ending: CallEnding,
) {
    let load = agent.admission.load_for(link);
    match ending {
        CallEnding::Answered { replayed } => answers.end(replayed, load).await,
        CallEnding::Cancelled => {}
        CallEnding::Failed(outcome, reason) => answers.failed(outcome, &reason, load).await,
        CallEnding::Refused(reason) => answers.refused(refusal(agent, link, reason)).await,
    }
}

fn refusal(agent: &AgentContext, link: LinkNumber, reason: RefusalReason) -> Refusal {
    let snapshot = agent.configuration.borrow().clone();
    let retry_after = snapshot.default_value(SettingKey::RetryAfter);
    Refusal {
        reason,
        retry_after_ms: retry_after.as_number(),
        load: agent.admission.load_for(link),
        revision: agent.admission.revision(),
    }
}

/// Logs and sends the refusal of a dispatch that was not admitted.
pub async fn decline(
    agent: &AgentContext,
    request_id: RequestId,
    link: LinkNumber,
    answers: &mut AnswerSender,
    reason: RefusalReason,
) {
    let result = refusal_name(reason);
    agent.metrics.count_dispatch(result);
    log_event!(
        DispatchDeclined,
        request_id = request_id,
        reason = result,
        revision = agent.admission.revision()
    );
    answers.refused(refusal(agent, link, reason)).await;
}

/// Returns the ending of a call that failed before the head of its answer. A failed connect also
/// marks the target as unhealthy.
fn ending_before_head(agent: &AgentContext, report: &Report<BackendError>) -> CallEnding {
    let error = report.current_context();
    match error.step {
        BackendStep::AwaitAnswer | BackendStep::ReadAnswer => {
            CallEnding::Failed(FailureOutcome::Unknown, error.to_string())
        }
        BackendStep::Build => CallEnding::Failed(FailureOutcome::NotRun, error.to_string()),
        BackendStep::Connect => {
            agent.admission.set_healthy(false, &error.to_string());
            CallEnding::Refused(RefusalReason::TargetDown)
        }
    }
}
