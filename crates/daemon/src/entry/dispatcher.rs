//! Life of one request: admission, attempts, outcome.

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

/// Time for which a request waits for a configuration revision that an agent asks for: one renewal
/// interval and an answer of the table.
const REVISION_WAIT: Duration = Duration::from_millis(1500);

/// Serves a request and responds; `gone` cancels it.
pub async fn run(
    context: Arc<EntryContext>,
    request: CallerRequest,
    respond: oneshot::Sender<CallerResponse>,
    gone: CancellationToken,
) {
    let mut run = RequestRun::new(context, request, respond);
    let end = tokio::select! {
        biased;
        end = serve(&mut run) => end,
        () = gone.cancelled() => {
            log_event!(CallerGone, request_id = run.request.id, attempt = run.attempt);
            RunEnd::CallerGone
        }
    };
    run.finish(end);
}

/// Counts the request among those of its team while it lives.
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
        let settled = SettledAttempt {
            idempotent: handle.idempotent,
            nonce: handle.nonce,
        };
        run.end_attempt(&handle, &failure);
        drop(handle);
        if let Some(revision) = failure.wanted_revision {
            await_revision(&run.context, revision, run.deadline).await;
        }
        if let Some(end) = settle(run, &failure, settled).await {
            return end;
        }
    }
}

/// Waits until the entry has a revision that an agent has already seen. Peers send it within
/// milliseconds, and without them the entry reads it with its next lease renewal.
async fn await_revision(context: &EntryContext, revision: Revision, deadline: Instant) {
    let mut view = context.view.clone();
    let latest = deadline.min(Instant::now() + REVISION_WAIT);
    let _ = timeout_at(latest, view.wait_for(|view| view.revision() >= revision)).await;
}

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

/// What the rules have to know about an attempt that failed.
#[derive(Clone, Copy, Debug)]
struct SettledAttempt {
    idempotent: bool,
    nonce: u64,
}

/// Decides what follows a failed attempt; `None` asks for another one.
async fn settle(
    run: &mut RequestRun,
    failure: &AttemptFailure,
    settled: SettledAttempt,
) -> Option<RunEnd> {
    let attempt = AttemptContext {
        idempotent: settled.idempotent,
        answer_started: run.is_answer_started(),
    };
    match decide_attempt(failure.event, attempt) {
        RetryAction::Conflict => Some(run.unknown(StatusCode::CONFLICT, failure)),
        RetryAction::Cut => Some(RunEnd::Cut(failure.reason.clone())),
        RetryAction::Refuse(status) => Some(run.not_run(status_code(status), failure)),
        RetryAction::Resume if run.may_repeat(failure) => None,
        RetryAction::Resume => Some(RunEnd::Cut(failure.reason.clone())),
        RetryAction::RetryNotRun if run.may_repeat(failure) => None,
        RetryAction::RetryNotRun => Some(run.not_run(StatusCode::SERVICE_UNAVAILABLE, failure)),
        RetryAction::RetryUnknown => {
            run.maybe_ran = true;
            let repeat = run.may_repeat(failure);
            (!repeat).then(|| run.unknown(StatusCode::BAD_GATEWAY, failure))
        }
        RetryAction::Tombstone(status) => {
            let status = status_code(status);
            settle_claim(run, failure, settled.nonce, status).await
        }
        RetryAction::Unknown(status) => Some(run.unknown(status_code(status), failure)),
    }
}

/// Finds out what became of an attempt at a non-idempotent call whose reply was lost.
async fn settle_claim(
    run: &mut RequestRun,
    failure: &AttemptFailure,
    nonce: u64,
    status: StatusCode,
) -> Option<RunEnd> {
    match settlement::settle(run, failure, nonce).await {
        SettlementOutcome::NotRun if run.may_repeat(failure) => None,
        SettlementOutcome::NotRun => Some(run.not_run(StatusCode::SERVICE_UNAVAILABLE, failure)),
        SettlementOutcome::Replay(stored) => Some(replay(run, &stored).await),
        SettlementOutcome::Unknown => Some(run.unknown(status, failure)),
    }
}

/// Answers a call with the answer that its record holds.
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
    run.respond_whole(&head, answer.body, false);
    log_event!(AnswerReplayed, request_id = run.request.id);
    RunEnd::Answered
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}
