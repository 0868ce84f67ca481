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

/// Candidates that a log line shows.
const LOGGED_CANDIDATES: usize = 4;

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
    pub(super) respond: Option<oneshot::Sender<CallerResponse>>,
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

    pub(super) fn explain(&self, change: impl FnOnce(&mut RequestExplanation)) {
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

    /// Returns the scope of that key.
    pub fn claim_scope(&self) -> ClaimScope {
        let head = &self.request.head;
        ClaimScope {
            service: head.service.clone(),
            team: head.team.clone(),
            key: self.idempotency_key(),
        }
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
        if self.attempt == 1 {
            // Requests that get no target are no first tries; counting them would let the retries
            // under overload exceed their share.
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
            candidates = candidate_text(&handle.records),
        );
        let record = AttemptRecord {
            attempt: self.attempt,
            target: handle.target.clone(),
            rule: decision.rule.to_string(),
            sources,
            candidates: handle.records.clone(),
            result: None,
        };
        self.explain(|explanation| explanation.attempts.push(record));
    }

    /// Remembers how an attempt failed.
    pub fn end_attempt(&mut self, handle: &AttemptHandle, failure: &AttemptFailure) {
        // A full or draining target is left out by its own figures and may be free again later,
        // and a target that wants a newer revision takes the request once the entry has it.
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

    /// Sends a whole answer.
    pub fn respond_whole(&mut self, head: &AnswerHead, body: Bytes, is_token_answer: bool) {
        let mut response = Response::new(AnswerBody::whole(body));
        let status = u16::try_from(head.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        // An informational status cannot end an answer.
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
            wanted_revision: None,
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
}

fn candidate_text(figures: &[CandidateRecord]) -> String {
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
