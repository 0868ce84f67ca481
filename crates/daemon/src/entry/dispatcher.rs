//! Lifecycle of one request: admission, target selection, attempts with retries, and outcome.

pub mod attempt;
pub mod ending;
pub mod pending;
pub mod run;
pub mod settings;
pub mod settlement;
pub mod sums;
pub mod tokens;
pub mod waiting;

use {
    self::{
        attempt::AttemptFailure, ending::RunEnd, pending::AttemptHandle, run::RequestRun,
        settings::RunSettings, settlement::SettlementOutcome, waiting::AcquireError,
    },
    super::{
        callers::{
            answer::{CallerResponse, Refusal},
            request::CallerRequest,
        },
        context::EntryContext,
    },
    http::StatusCode,
    sassafrasslip_core::{
        claim::StoredAnswer,
        configuration::{ConfigurationView, Revision, SettingContext},
        events::LogEvent::{AnswerReplayed, CallerGone, TeamLimited},
        ids::TeamName,
        limits::{TeamLimits, TeamRefusal},
        log_event,
        retry::{AttemptContext, RetryAction, decide_attempt},
    },
    sassafrasslip_proto::link::AnswerHead,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

/// Longest wait of a request for a configuration revision that an agent requires. Covers one lease
/// renewal interval (1 s) and the table's response.
const REVISION_WAIT: Duration = Duration::from_millis(1500);

/// Serves a request and sends the response through `respond`.
///
/// Cancelling `caller_gone` aborts the request, because its caller has closed the connection.
pub async fn run(
    context: Arc<EntryContext>,
    request: CallerRequest,
    respond: oneshot::Sender<CallerResponse>,
    caller_gone: CancellationToken,
) {
    let mut run = RequestRun::new(context, request, respond);
    let end = tokio::select! {
        biased;
        end = serve(&mut run) => end,
        () = caller_gone.cancelled() => {
            log_event!(CallerGone, request_id = run.request.id, attempt = run.attempt);
            RunEnd::CallerGone
        }
    };
    run.finish(end);
}

/// Slot of a request in the concurrency limit of its team; dropping it releases the slot.
struct TeamSlot {
    context: Arc<EntryContext>,
    team: TeamName,
}

impl Drop for TeamSlot {
    fn drop(&mut self) {
        self.context.state().limiter.release(&self.team);
    }
}

async fn serve(run: &mut RequestRun) -> RunEnd {
    let _slot = match admit(run) {
        Ok(slot) => slot,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    loop {
        let mut handle = match acquire(run).await {
            Ok(handle) => handle,
            Err(error) => return run.end_without_target(error),
        };
        run.begin_attempt(&handle);
        let failure = match attempt::execute(run, &mut handle).await {
            Ok(()) => {
                handle.succeed();
                return RunEnd::Answered;
            }
            Err(failure) => failure,
        };
        let failed = FailedAttempt {
            idempotent: handle.idempotent,
            nonce: handle.nonce,
        };
        run.end_attempt(&handle, &failure);
        drop(handle);
        if let Some(revision) = failure.required_revision {
            await_revision(&run.context, revision, run.deadline).await;
        }
        if let Some(end) = handle_failure(run, &failure, failed).await {
            return end;
        }
    }
}

/// Waits until the entry has a configuration revision that an agent already knows, at most until
/// the deadline. Peers send it within milliseconds; without them, the entry reads it at its next
/// lease renewal.
async fn await_revision(context: &EntryContext, revision: Revision, deadline: Instant) {
    let mut view = context.view.clone();
    let latest = deadline.min(Instant::now() + REVISION_WAIT);
    let _ = timeout_at(latest, view.wait_for(|view| view.revision() >= revision)).await;
}

/// Admits a request to a known service within the limits of its team.
fn admit(run: &RequestRun) -> Result<TeamSlot, Refusal> {
    let (context, head) = (&run.context, &run.request.head);
    let view = context.current_view();
    let scope = SettingContext {
        team: Some(&head.team),
        service: Some(&head.service),
        availability_zone: Some(&context.identity.availability_zone),
        ..SettingContext::default()
    };
    check_service(run, &view, &scope)?;
    let limits = run.settings.team;
    let now = Instant::now();
    let admitted = context.state().limiter.admit(&head.team, limits, now);
    admitted.map_err(|refusal| refuse_team(run, refusal, limits))?;
    Ok(TeamSlot {
        context: Arc::clone(context),
        team: head.team.clone(),
    })
}

/// Checks that the entry may serve the request and that some target provides its service.
fn check_service(
    run: &RequestRun,
    view: &ConfigurationView,
    scope: &SettingContext<'_>,
) -> Result<(), Refusal> {
    let after = run.settings.retry_after;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    if !view.serves(scope) {
        let message = "the entry has no live configuration lease and cut_off.mode is refuse";
        return Err(Refusal::not_run(unavailable, "cut_off", message).retry_after(after));
    }
    let state = run.context.state();
    if !state
        .membership
        .of_service(&run.request.head.service)
        .is_empty()
    {
        return Ok(());
    }
    if !state.membership.is_listed() {
        let message = "the entry has not read the instance list yet";
        return Err(Refusal::not_run(unavailable, "not_ready", message).retry_after(after));
    }
    let message = format!(
        "no target provides the service {}",
        run.request.head.service
    );
    Err(Refusal::not_run(StatusCode::NOT_FOUND, "unknown_service", message).retry_after(after))
}

fn refuse_team(run: &RequestRun, refusal: TeamRefusal, limits: TeamLimits) -> Refusal {
    let TeamLimits { concurrency, rate } = limits;
    log_event!(
        TeamLimited,
        request_id = run.request.id,
        team = run.request.head.team,
        concurrency = concurrency,
        rate = rate,
        limit = refusal,
    );
    let (reason, after) = match refusal {
        TeamRefusal::Concurrency => ("team_concurrency", run.settings.retry_after),
        TeamRefusal::Rate { retry_after } => {
            ("team_rate", retry_after.max(run.settings.retry_after))
        }
    };
    let status = StatusCode::TOO_MANY_REQUESTS;
    Refusal::not_run(status, reason, refusal.to_string()).retry_after(after)
}

async fn acquire(run: &mut RequestRun) -> Result<AttemptHandle, AcquireError> {
    let query = run.next_query();
    let RunSettings { queue, .. } = run.settings;
    waiting::acquire(&run.context, query, queue).await
}

/// Properties of a failed attempt that decide whether it may be retried.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    idempotent: bool,
    nonce: u64,
}

/// Decides how to continue after a failed attempt; `None` means that another attempt follows.
async fn handle_failure(
    run: &mut RequestRun,
    failure: &AttemptFailure,
    failed: FailedAttempt,
) -> Option<RunEnd> {
    let attempt = AttemptContext {
        idempotent: failed.idempotent,
        answer_started: run.is_answer_started(),
    };
    match decide_attempt(failure.event, attempt) {
        RetryAction::Conflict => Some(run.unknown(StatusCode::CONFLICT, failure)),
        RetryAction::Cut => Some(RunEnd::Cut(failure.reason.clone())),
        RetryAction::Refuse(status) => Some(run.not_run(status_code(status), failure)),
        RetryAction::Resume if run.try_start_retry(failure) => None,
        RetryAction::Resume => Some(RunEnd::Cut(failure.reason.clone())),
        RetryAction::RetryNotRun if run.try_start_retry(failure) => None,
        RetryAction::RetryNotRun => Some(run.not_run(StatusCode::SERVICE_UNAVAILABLE, failure)),
        RetryAction::RetryUnknown => {
            run.may_have_run = true;
            let retry = run.try_start_retry(failure);
            (!retry).then(|| run.unknown(StatusCode::BAD_GATEWAY, failure))
        }
        RetryAction::Tombstone(status) => {
            let status = status_code(status);
            settle_claim(run, failure, failed.nonce, status).await
        }
        RetryAction::Unknown(status) => Some(run.unknown(status_code(status), failure)),
    }
}

/// Determines from the claim record whether an attempt of a non-idempotent call has run, after its
/// answer was lost.
async fn settle_claim(
    run: &mut RequestRun,
    failure: &AttemptFailure,
    nonce: u64,
    status: StatusCode,
) -> Option<RunEnd> {
    match settlement::settle(run, failure, nonce).await {
        SettlementOutcome::NotRun if run.try_start_retry(failure) => None,
        SettlementOutcome::NotRun => Some(run.not_run(StatusCode::SERVICE_UNAVAILABLE, failure)),
        SettlementOutcome::Replay(stored) => Some(replay(run, &stored).await),
        SettlementOutcome::Unknown => Some(run.unknown(status, failure)),
    }
}

/// Responds with the answer that is stored in the claim record of the call.
async fn replay(run: &mut RequestRun, stored: &StoredAnswer) -> RunEnd {
    let answer = match settlement::load(run, stored).await {
        Ok(answer) => answer,
        Err(failure) => return run.unknown(StatusCode::CONFLICT, &failure),
    };
    let head = AnswerHead {
        status: answer.status.into(),
        headers: answer.headers,
        ..AnswerHead::default()
    };
    run.respond_complete(&head, answer.body, false);
    log_event!(AnswerReplayed, request_id = run.request.id);
    RunEnd::Answered
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}
