//! State of one request from its arrival to its outcome.

use {
    super::{
        attempt::{AttemptFailure, Result},
        pending::AttemptHandle,
        settings::RunSettings,
        tokens,
        waiting::RouteQuery,
    },
    crate::{
        constants::{MAX_ANSWER_BYTES, STREAM_BUFFER_BYTES},
        entry::{
            callers::{
                answer::{self, AnswerBody, CallerResponse, StreamPart},
                request::{CallerRequest, is_forwarded},
            },
            context::EntryContext,
        },
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    sassafrasslip_core::{
        claim::ClaimScope,
        events::LogEvent::{RequestRetried, RetryBudgetExhausted, RouteDecided, StreamResumed},
        explanation::{AttemptRecord, CandidateRecord, RequestExplanation},
        log_event,
        membership::TargetKey,
        retry::{AttemptEvent, DispatchRefusal, RequestOutcome},
    },
    sassafrasslip_proto::link::AnswerHead,
    std::{borrow::Cow, sync::Arc},
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, timeout_at},
    },
};

/// Maximum number of routing candidates in a log line.
const LOGGED_CANDIDATES: usize = 4;

/// Request that is being served, across all its attempts.
#[derive(Debug)]
pub struct RequestRun {
    /// Shared state of the entry.
    pub context: Arc<EntryContext>,
    /// Request, as received from the caller.
    pub request: CallerRequest,
    /// Settings, as resolved when the request arrived.
    pub settings: RunSettings,
    /// Deadline for the complete answer.
    pub deadline: Instant,
    /// Number of the current attempt, starting at 1; 0 before the first.
    pub attempt: u32,
    /// Whether an earlier attempt may have run, so that the outcome can no longer be `not-run`.
    pub may_have_run: bool,
    /// Tokens that were passed to the caller's connection; a resumed stream continues after them.
    pub tokens_sent: u64,
    tried: Vec<TargetKey>,
    pub(super) respond: Option<oneshot::Sender<CallerResponse>>,
    stream: Option<mpsc::Sender<StreamPart>>,
}

impl RequestRun {
    /// Resolves settings and deadline of a request, and starts its explanation.
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
            may_have_run: false,
            tokens_sent: 0,
            tried: Vec::new(),
            respond: Some(respond),
            stream: None,
        };
        run.start_explanation();
        run
    }

    fn start_explanation(&self) {
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

    /// Changes the explanation of the request, if it is still remembered.
    pub(super) fn explain(&self, change: impl FnOnce(&mut RequestExplanation)) {
        let mut state = self.context.state();
        if let Some(explanation) = state.explanations.get_mut(self.request.id) {
            change(explanation);
        }
    }

    /// Returns the key under which a non-idempotent call runs at most once: that of the caller, or
    /// one derived from the request identifier.
    pub fn idempotency_key(&self) -> String {
        let own = || format!("entry:{}", self.request.id);
        self.request.head.key.clone().unwrap_or_else(own)
    }

    /// Returns the scope of the claim record: service, team and idempotency key.
    pub fn claim_scope(&self) -> ClaimScope {
        let head = &self.request.head;
        ClaimScope {
            service: head.service.clone(),
            team: head.team.clone(),
            key: self.idempotency_key(),
        }
    }

    /// Returns whether the head of a streamed answer has been sent to the caller.
    pub fn is_answer_started(&self) -> bool {
        self.stream.is_some()
    }

    /// Counts the next attempt and returns the data for routing it.
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

    /// Logs the routing decision of an attempt and adds it to the explanation.
    pub fn begin_attempt(&self, handle: &AttemptHandle) {
        if self.attempt == 1 {
            // Counted only once a target is reserved: requests that get no target would enlarge the
            // retry budget, so that retries under overload would exceed their share.
            let percent = self.settings.retry_budget;
            self.context.state().budget.record_first_try(percent);
        }
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
            candidates = candidate_text(&handle.candidate_records),
        );
        let record = AttemptRecord {
            attempt: self.attempt,
            target: handle.target.clone(),
            rule: decision.rule.to_string(),
            sources,
            candidates: handle.candidate_records.clone(),
            result: None,
        };
        self.explain(|explanation| explanation.attempts.push(record));
    }

    /// Records the failure of an attempt, and excludes its target from further attempts unless the
    /// failure is temporary.
    pub fn end_attempt(&mut self, handle: &AttemptHandle, failure: &AttemptFailure) {
        // Routing skips a full or draining target by its reported load, and the target may become
        // usable again. A target that requires a newer revision accepts the request once the entry
        // has that revision.
        let is_temporary = matches!(
            failure.event,
            AttemptEvent::Refused(
                DispatchRefusal::Draining | DispatchRefusal::Full | DispatchRefusal::StaleRevision
            )
        );
        if !is_temporary {
            self.tried.push(handle.decision.key);
        }
        self.set_result(&failure.reason);
    }

    pub(super) fn set_result(&self, result: &str) {
        self.explain(|explanation| {
            if let Some(attempt) = explanation.attempts.last_mut() {
                attempt.result = Some(result.to_owned());
            }
        });
    }

    /// Takes a retry from the retry budget; returns `false` if the attempts, the deadline or the
    /// budget are used up.
    pub fn try_start_retry(&self, failure: &AttemptFailure) -> bool {
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
            tokens = self.tokens_sent
        );
        true
    }

    /// Responds with a complete, buffered answer; the body of a token answer is JSON.
    pub fn respond_complete(&mut self, head: &AnswerHead, body: Bytes, is_token_answer: bool) {
        let mut response = Response::new(AnswerBody::whole(body));
        let status = u16::try_from(head.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        // An informational (1xx) status is not valid for a final response.
        let status = status.filter(|status| !status.is_informational());
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        copy_headers(head, &mut response);
        if is_token_answer {
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
        }
        self.respond(response);
    }

    fn respond(&mut self, mut response: CallerResponse) {
        answer::add_answer_headers(&mut response, self.request.id, RequestOutcome::Answered);
        if let Some(respond) = self.respond.take() {
            let _ = respond.send(response);
        }
    }

    /// Sends token lines to the caller; the first call sends the head of the response before them.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone, or takes no data until the deadline.
    pub async fn send_tokens(&mut self, head: &AnswerHead, lines: Bytes, count: u64) -> Result<()> {
        self.send_part(head, StreamPart::Data(lines)).await?;
        self.tokens_sent += count;
        Ok(())
    }

    /// Sends the end line of a streamed answer and ends the response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone, or takes no data until the deadline.
    pub async fn send_stream_end(&mut self, head: &AnswerHead) -> Result<()> {
        let line = tokens::end_line(self.tokens_sent);
        self.send_part(head, StreamPart::Data(line)).await?;
        self.send_part(head, StreamPart::End).await
    }

    async fn send_part(&mut self, head: &AnswerHead, part: StreamPart) -> Result<()> {
        let sender = self.stream_sender(head);
        let failure = |reason| AttemptFailure {
            event: AttemptEvent::DeadlinePassed,
            reason: Cow::Borrowed(reason),
            retry_after: None,
            required_revision: None,
        };
        let sent = timeout_at(self.deadline, sender.send(part)).await;
        sent.map_err(|_| failure("caller_slow"))?
            .map_err(|_| failure("caller_gone"))
    }

    /// Returns the sender of the response stream; the first call sends the head of the response.
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
}

fn candidate_text(candidates: &[CandidateRecord]) -> String {
    let shown = candidates.iter().take(LOGGED_CANDIDATES).map(|candidate| {
        let excluded = candidate.excluded.as_deref().unwrap_or("usable");
        let (target, in_flight, limit) = (&candidate.target, candidate.in_flight, candidate.limit);
        format!(
            "{target} {in_flight}/{limit} {:.1} {excluded}",
            candidate.score
        )
    });
    shown.collect::<Vec<_>>().join("; ")
}

/// Copies the headers of an answer that may be forwarded; malformed ones are skipped.
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
