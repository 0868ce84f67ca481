//! State of one request from its arrival to its outcome.

use {
    super::{
        attempt::{AttemptFailure, Result},
        pending::AttemptHandle,
        settings::RunSettings,
        tokens,
        waiting::{AcquireError, RouteQuery},
    },
    crate::{
        constants::{MAX_ANSWER_BYTES, STREAM_BUFFER_BYTES},
        entry::{
            callers::{
                answer::{self, AnswerBody, CallerResponse, Refusal, StreamPart},
                request::{CallerRequest, is_forwarded},
            },
            context::EntryContext,
        },
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    sassafrasslip_core::{
        events::LogEvent::{
            AnswerCut, RequestAnswered, RequestRetried, RetryBudgetExhausted, RouteDecided,
            StreamResumed,
        },
        explanation::{AttemptRecord, CandidateFigures, RequestExplanation},
        limits::QueueRefusal,
        log_event,
        membership::TargetKey,
        retry::{AttemptEvent, DispatchRefusal, RequestOutcome},
        routing::RouteError,
    },
    sassafrasslip_proto::link::AnswerHead,
    std::{borrow::Cow, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, timeout_at},
    },
};

/// Candidates that a log line shows.
const LOGGED_CANDIDATES: usize = 4;

/// How a request ended.
#[derive(Clone, Debug)]
pub enum RunEnd {
    /// The caller got the whole answer.
    Answered,
    /// The caller closed its connection.
    CallerGone,
    /// A streamed answer was cut.
    Cut(Cow<'static, str>),
    /// The request was refused, or its outcome is unknown.
    Refused(Refusal),
}

/// Request that is being served.
#[derive(Debug)]
pub struct RequestRun {
    /// Shared state of the entry.
    pub context: Arc<EntryContext>,
    /// Request.
    pub request: CallerRequest,
    /// Settings.
    pub settings: RunSettings,
    /// Time by which the answer has to be complete.
    pub deadline: Instant,
    /// Attempts so far.
    pub attempt: u32,
    /// Whether an earlier attempt may have run, so that the request can no longer be `not-run`.
    pub maybe_ran: bool,
    /// Tokens that have reached the caller.
    pub tokens: u64,
    tried: Vec<TargetKey>,
    respond: Option<oneshot::Sender<CallerResponse>>,
    stream: Option<mpsc::Sender<StreamPart>>,
}

impl RequestRun {
    /// Starts to serve a request.
    pub fn new(
        context: Arc<EntryContext>,
        request: CallerRequest,
        respond: oneshot::Sender<CallerResponse>,
    ) -> Self {
        let head = &request.head;
        let settings = RunSettings::resolve(&context, &head.service, &head.team);
        let deadline = request.arrived + head.deadline.unwrap_or(settings.deadline);
        let run = Self {
            context,
            request,
            settings,
            deadline,
            attempt: 0,
            maybe_ran: false,
            tokens: 0,
            tried: Vec::new(),
            respond: Some(respond),
            stream: None,
        };
        run.remember();
        run
    }

    fn remember(&self) {
        let head = &self.request.head;
        let view = self.context.current_view();
        let explanation = RequestExplanation {
            request_id: self.request.id,
            entry: self.context.identity.instance.clone(),
            team: head.team.clone(),
            service: head.service.clone(),
            kind: head.kind.clone(),
            revision: view.revision(),
            cut_off: !view.lease_live,
            attempts: Vec::new(),
            outcome: "in progress".to_owned(),
            reason: None,
        };
        self.context.state().explanations.insert(explanation);
    }

    fn explain(&self, change: impl FnOnce(&mut RequestExplanation)) {
        let mut state = self.context.state();
        if let Some(explanation) = state.explanations.get_mut(self.request.id) {
            change(explanation);
        }
    }

    /// Returns the key under which a non-idempotent call runs at most once.
    pub fn idempotency_key(&self) -> String {
        let own = || format!("entry:{}", self.request.id);
        self.request.head.key.clone().unwrap_or_else(own)
    }

    /// Returns whether part of a streamed answer has been given to the caller.
    pub fn is_answer_started(&self) -> bool {
        self.stream.is_some()
    }

    /// Returns what the next attempt needs.
    pub fn next_query(&mut self) -> RouteQuery {
        self.attempt += 1;
        let head = &self.request.head;
        let buffer_limit = if head.streamed {
            STREAM_BUFFER_BYTES
        } else {
            MAX_ANSWER_BYTES
        };
        RouteQuery {
            request_id: self.request.id,
            attempt: self.attempt,
            service: head.service.clone(),
            team: head.team.clone(),
            kind: head.kind.clone(),
            method: head.method.to_string(),
            priority: head.priority,
            prefix: self.request.prefix,
            tried: self.tried.clone(),
            deadline: self.deadline,
            buffer_limit,
        }
    }

    /// Logs and remembers the decision for an attempt.
    pub fn begin_attempt(&self, handle: &AttemptHandle) {
        let decision = &handle.decision;
        let sources: Vec<_> = decision.sources.iter().map(ToString::to_string).collect();
        log_event!(
            RouteDecided,
            request_id = self.request.id,
            attempt = self.attempt,
            revision = handle.revision,
            target = handle.target,
            rule = decision.rule,
            sources = sources.join(","),
            candidates = candidate_text(&handle.figures),
        );
        let record = AttemptRecord {
            attempt: self.attempt,
            target: handle.target.clone(),
            rule: decision.rule.to_string(),
            sources,
            candidates: handle.figures.clone(),
            result: None,
        };
        self.explain(|explanation| explanation.attempts.push(record));
    }

    /// Remembers how an attempt failed.
    pub fn end_attempt(&mut self, handle: &AttemptHandle, failure: &AttemptFailure) {
        // A full or draining target is left out by its own figures and may be free again later.
        let is_temporary = matches!(
            failure.event,
            AttemptEvent::Refused(DispatchRefusal::Draining | DispatchRefusal::Full)
        );
        if !is_temporary {
            self.tried.push(handle.decision.key);
        }
        self.set_result(&failure.reason);
    }

    fn set_result(&self, result: &str) {
        self.explain(|explanation| {
            if let Some(attempt) = explanation.attempts.last_mut() {
                attempt.result = Some(result.to_owned());
            }
        });
    }

    /// Returns whether another attempt may be made, and takes it from the budget.
    pub fn may_repeat(&self, failure: &AttemptFailure) -> bool {
        if self.attempt >= self.settings.attempts || Instant::now() >= self.deadline {
            return false;
        }
        let request_id = self.request.id;
        if !self.context.state().budget.try_spend() {
            log_event!(RetryBudgetExhausted, request_id = request_id);
            return false;
        }
        self.context.metrics.retries.inc();
        let event = if self.is_answer_started() {
            StreamResumed
        } else {
            RequestRetried
        };
        let reason = &failure.reason;
        log_event!(
            event,
            request_id = request_id,
            reason = reason,
            tokens = self.tokens
        );
        true
    }

    /// Ends the request as `not-run`, unless an earlier attempt may have run.
    pub fn not_run(&self, status: StatusCode, failure: &AttemptFailure) -> RunEnd {
        let reason = failure.reason.clone();
        if self.maybe_ran {
            return self.unknown(StatusCode::BAD_GATEWAY, failure);
        }
        let message = format!("the request was not run: {reason}");
        let refusal = Refusal {
            reason,
            ..Refusal::not_run(status, "", message)
        };
        RunEnd::Refused(refusal.retry_after(self.after(failure)))
    }

    /// Ends the request with an unknown outcome.
    pub fn unknown(&self, status: StatusCode, failure: &AttemptFailure) -> RunEnd {
        let reason = failure.reason.clone();
        let message = format!("the request may have run: {reason}");
        let refusal = Refusal::unknown(status, reason, message);
        RunEnd::Refused(refusal.retry_after(self.after(failure)))
    }

    fn after(&self, failure: &AttemptFailure) -> Duration {
        failure.retry_after.unwrap_or(self.settings.retry_after)
    }

    /// Ends a request that got no target.
    pub fn end_without_target(&self, error: AcquireError) -> RunEnd {
        let (reason, message, after) = describe(error);
        if self.is_answer_started() {
            return RunEnd::Cut(Cow::Borrowed(reason));
        }
        let after = after.max(self.settings.retry_after);
        let refusal = if self.maybe_ran {
            Refusal::unknown(StatusCode::BAD_GATEWAY, reason, message)
        } else {
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message)
        };
        RunEnd::Refused(refusal.retry_after(after))
    }

    /// Sends a whole answer.
    pub fn respond_whole(&mut self, head: &AnswerHead, body: Bytes, is_token_answer: bool) {
        let mut response = Response::new(AnswerBody::whole(body));
        let status = u16::try_from(head.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        copy_headers(head, &mut response);
        if is_token_answer {
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
        }
        self.respond(response);
    }

    fn respond(&mut self, mut response: CallerResponse) {
        answer::mark(&mut response, self.request.id, RequestOutcome::Answered);
        if let Some(respond) = self.respond.take() {
            let _ = respond.send(response);
        }
    }

    /// Gives token lines to the caller, after the head of the response if they are the first.
    pub async fn send_tokens(&mut self, head: &AnswerHead, lines: Bytes, count: u64) -> Result<()> {
        self.send_part(head, StreamPart::Data(lines)).await?;
        self.tokens += count;
        Ok(())
    }

    /// Ends a streamed answer.
    pub async fn send_stream_end(&mut self, head: &AnswerHead) -> Result<()> {
        let line = tokens::end_line(self.tokens);
        self.send_part(head, StreamPart::Data(line)).await?;
        self.send_part(head, StreamPart::End).await
    }

    async fn send_part(&mut self, head: &AnswerHead, part: StreamPart) -> Result<()> {
        let sender = self.stream_sender(head);
        let failure = |reason| AttemptFailure {
            event: AttemptEvent::DeadlinePassed,
            reason: Cow::Borrowed(reason),
            retry_after: None,
        };
        let sent = timeout_at(self.deadline, sender.send(part)).await;
        sent.map_err(|_| failure("caller_slow"))?
            .map_err(|_| failure("caller_gone"))
    }

    fn stream_sender(&mut self, head: &AnswerHead) -> mpsc::Sender<StreamPart> {
        if let Some(sender) = &self.stream {
            return sender.clone();
        }
        let (sender, body) = AnswerBody::stream();
        let mut response = Response::new(body);
        copy_headers(head, &mut response);
        let ndjson = HeaderValue::from_static("application/x-ndjson");
        response.headers_mut().insert(CONTENT_TYPE, ndjson);
        self.stream = Some(sender.clone());
        self.respond(response);
        sender
    }

    /// Sends a refusal if one is due, and records the outcome.
    pub fn finish(mut self, end: RunEnd) {
        let request_id = self.request.id;
        let (outcome, reason) = match end {
            RunEnd::Answered => {
                self.set_result("answered");
                let attempts = self.attempt;
                log_event!(
                    RequestAnswered,
                    request_id = request_id,
                    attempts = attempts
                );
                (RequestOutcome::Answered, None)
            }
            RunEnd::CallerGone => (RequestOutcome::Unknown, Some("caller_gone".to_owned())),
            RunEnd::Cut(reason) => {
                log_event!(
                    AnswerCut,
                    request_id = request_id,
                    reason = reason,
                    tokens = self.tokens
                );
                (RequestOutcome::Unknown, Some(reason.into_owned()))
            }
            RunEnd::Refused(refusal) => {
                refusal.log(request_id);
                let (outcome, reason) = (refusal.outcome, refusal.reason.to_string());
                if let Some(respond) = self.respond.take() {
                    let _ = respond.send(refusal.into_response(request_id));
                }
                (outcome, Some(reason))
            }
        };
        self.record(outcome, reason);
    }

    fn record(&self, outcome: RequestOutcome, reason: Option<String>) {
        let service = self.request.head.service.as_str();
        let known = reason.as_deref() != Some("unknown_service");
        let service = if known { service } else { "" };
        let duration = self.request.arrived.elapsed();
        self.context
            .metrics
            .record(service, outcome.as_str(), duration);
        self.explain(|explanation| {
            explanation.outcome = outcome.to_string();
            explanation.reason = reason;
        });
    }
}

fn describe(error: AcquireError) -> (&'static str, Cow<'static, str>, Duration) {
    let none = Duration::ZERO;
    match error {
        AcquireError::Displaced => {
            let message = "a request of a team that waits less took the place in the queue";
            ("queue_full", Cow::Borrowed(message), none)
        }
        AcquireError::Queue(QueueRefusal::Late { expected_wait }) => {
            let message = QueueRefusal::Late { expected_wait }.to_string();
            ("queue_wait", Cow::Owned(message), expected_wait)
        }
        AcquireError::Queue(QueueRefusal::QueueFull) => (
            "queue_full",
            Cow::Owned(QueueRefusal::QueueFull.to_string()),
            none,
        ),
        AcquireError::Route(RouteError::UnknownService) => (
            "no_target",
            Cow::Owned(RouteError::UnknownService.to_string()),
            none,
        ),
        AcquireError::Route(error) => ("no_target", Cow::Owned(error.to_string()), none),
        AcquireError::Waited => {
            let message = "no target became free in the time that the request may wait";
            ("queue_wait", Cow::Borrowed(message), none)
        }
    }
}

fn candidate_text(figures: &[CandidateFigures]) -> String {
    let shown = figures.iter().take(LOGGED_CANDIDATES).map(|one| {
        let excluded = one.excluded.as_deref().unwrap_or("usable");
        let (target, in_flight, limit) = (&one.target, one.in_flight, one.limit);
        format!("{target} {in_flight}/{limit} {:.1} {excluded}", one.score)
    });
    shown.collect::<Vec<_>>().join("; ")
}

fn copy_headers(head: &AnswerHead, response: &mut CallerResponse) {
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && is_forwarded(&name)
        {
            response.headers_mut().append(name, value);
        }
    }
}
