//! Waits for the answer of a target, and sends a repeatable request to a second one beside it while
//! the first one is silent.
//!
//! Load pattern: a sound target that sends nothing for a second or two and then goes on. A request
//! that leaves it before another target has answered is lost if that one does not answer, or if no
//! retry is left.

use {
    super::{AttemptRecord, RequestHandler, RequestOutcome},
    crate::gateway::{
        admission::{self, TargetLease},
        exchange::{self, AttemptError, AttemptInput, CallerRequest},
        relay::{self, SILENCE_CHECK_INTERVAL, SILENCE_LIMIT, StartedStream},
        reply::{LocalReply, ReplyBody},
        state::GatewayState,
    },
    bytes::Bytes,
    futures_util::future::{FutureExt, LocalBoxFuture},
    http::{header::CONTENT_LENGTH, response},
    hyper::Response,
    sassafrasslip_core::{
        dispatch::{EventSplitter, FirstAnswer, TargetKey, may_run_beside},
        events::LogEvent::TargetSilent,
        log_event,
    },
    sassafrasslip_platform::answer::forwarded_headers,
    std::{cell::Cell, future, mem, ops::ControlFlow, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Share of the remaining time after which a target that has not answered a repeatable request
/// counts as silent. Streams have their own silence limit.
const SILENCE_SHARE: f64 = 0.45;

/// Maximum age of an event of another target that counts as progress.
const PROGRESS_WINDOW: Duration = Duration::from_millis(400);

/// What an attempt brings if it does not fail.
enum TargetAnswer {
    /// Answer with its whole body.
    Whole(TargetKey, response::Parts, Bytes),
    /// Stream whose first events have been received.
    Stream(Box<StartedStream>),
}

/// Attempt that is under way. Dropping it closes its connection and frees its slot.
struct PendingAttempt<'a> {
    record: AttemptRecord,
    /// When the head of the answer arrived; `None` before that.
    head_at: Rc<Cell<Option<Instant>>>,
    /// When to look next whether the target is silent; `None` if that would change nothing.
    check_at: Option<Instant>,
    answer: LocalBoxFuture<'a, exchange::Result<TargetAnswer>>,
}

/// Wait for a slot at another target, in the queue of the service.
type PendingLease<'a> = LocalBoxFuture<'a, admission::Result<TargetLease>>;

impl PendingAttempt<'_> {
    fn record(&self) -> AttemptRecord {
        AttemptRecord {
            has_head: self.head_at.get().is_some(),
            ..self.record
        }
    }
}

impl RequestHandler {
    /// Sends the request to the target of a lease and waits for the answer. While that target is
    /// silent, the request is sent to another one as well, and the first answer counts. `failure` is
    /// set to the answer of a target that has reported a server error.
    ///
    /// # Errors
    ///
    /// Fails with the next step if no target has answered: another attempt, or the response that
    /// ends the request.
    pub(super) async fn await_answer(
        &mut self,
        lease: TargetLease,
        failure: &mut Option<Response<ReplyBody>>,
    ) -> Result<RequestOutcome, ControlFlow<LocalReply>> {
        let (state, request) = (Rc::clone(&self.state), Rc::clone(&self.request));
        let first = self.start_attempt(&state, &request, lease);
        let mut first = first.map_err(ControlFlow::Break)?;
        let mut second: Option<PendingAttempt<'_>> = None;
        let mut waiting: Option<PendingLease<'_>> = None;
        loop {
            let is_alone = second.is_none() && waiting.is_none();
            let check_at = first.check_at.filter(|_| is_alone);
            let (result, ended) = tokio::select! {
                biased;
                result = first.answer.as_mut() => match second.take() {
                    Some(second) => (result, mem::replace(&mut first, second).record()),
                    None => (result, first.record()),
                },
                (result, ended) = answer_of(&mut second) => {
                    second = None;
                    (result, ended)
                }
                () = sleep_until(check_at.unwrap_or(self.deadline)), if check_at.is_some() => {
                    if self.review_silence(&mut first) {
                        let request = self.admission_request();
                        waiting = Some(admission::acquire(&state, request).boxed_local());
                    }
                    continue;
                }
                lease = lease_of(&mut waiting) => {
                    waiting = None;
                    second = self.start_beside(&state, &request, &mut first, lease);
                    continue;
                }
            };
            let is_other_pending = first.record.number != ended.number;
            self.current = Some(ended);
            let accepted = result.and_then(|answer| self.accept(answer, is_other_pending, failure));
            let error = match accepted {
                Ok(outcome) => {
                    if is_other_pending {
                        self.record_abandoned_attempt();
                    }
                    return Ok(outcome);
                }
                Err(error) => error,
            };
            let next = self.after_failure(&error, is_other_pending).await;
            if !is_other_pending {
                return Err(next);
            }
            self.current = Some(first.record());
            first.check_at = first.check_at.and_then(|at| self.next_check(at));
        }
    }

    /// Starts an attempt at the target of a lease.
    ///
    /// # Errors
    ///
    /// Fails with the response that ends the request if it may not be sent any more.
    fn start_attempt<'a>(
        &mut self,
        state: &'a Rc<GatewayState>,
        request: &'a CallerRequest,
        lease: TargetLease,
    ) -> Result<PendingAttempt<'a>, LocalReply> {
        let now = Instant::now();
        let record = self.begin_attempt(lease.key, now)?;
        let limit = if request.repeat.is_stream() {
            SILENCE_LIMIT
        } else {
            let left = self.deadline.saturating_duration_since(now);
            left.mul_f64(SILENCE_SHARE)
        };
        let input = AttemptInput {
            request,
            number: record.number,
            resume_after: None,
            deadline: self.deadline,
        };
        let head_at = Rc::default();
        Ok(PendingAttempt {
            record,
            check_at: self.next_check(now + limit),
            answer: perform(state, lease, input, Rc::clone(&head_at)).boxed_local(),
            head_at,
        })
    }

    /// Returns `at` if the request may be sent to another target beside the pending one.
    fn next_check(&self, at: Instant) -> Option<Instant> {
        let route = &self.matched.route;
        may_run_beside(route.repeat, self.runs, self.attempts, route.attempts).then_some(at)
    }

    /// Returns whether the target of `first` is silent and a retry is left, so that the request waits
    /// for a slot at another target as well.
    fn review_silence(&mut self, first: &mut PendingAttempt<'_>) -> bool {
        let now = Instant::now();
        first.check_at = Some(now + SILENCE_CHECK_INTERVAL);
        if self.request.repeat.is_stream() {
            let Some(head_at) = first.head_at.get() else {
                return false;
            };
            let limit_at = head_at + SILENCE_LIMIT;
            if now < limit_at {
                first.check_at = Some(limit_at);
                return false;
            }
            if !self.has_other_progress(first.record.key, now) {
                return false;
            }
        }
        if !first.record.is_silent {
            self.current = Some(first.record());
            self.note_silence(first.record.sent_at);
            first.record.is_silent = true;
        }
        // Without a retry, a slot in the queue would only be taken and given back.
        self.state.retry_status(&self.service, now).has_left()
    }

    /// Starts an attempt at the target of a lease beside the silent one of `first` if a retry is left.
    fn start_beside<'a>(
        &mut self,
        state: &'a Rc<GatewayState>,
        request: &'a CallerRequest,
        first: &mut PendingAttempt<'_>,
        lease: admission::Result<TargetLease>,
    ) -> Option<PendingAttempt<'a>> {
        let now = Instant::now();
        first.check_at = Some(now + SILENCE_CHECK_INTERVAL);
        let lease = lease.ok()?;
        let is_refused = self.stop_refusal(now).is_some()
            || self.state.request_restriction(&self.traits, now).is_some();
        if is_refused || !self.state.try_spend_retry(&self.service, now) {
            return None;
        }
        self.start_attempt(state, request, lease).ok()
    }

    /// Returns whether another target of the service has sent an event just now. The ranks of a group
    /// run each pass together and stall together, so that leaving a stalled group would not help.
    pub(in crate::gateway) fn has_other_progress(&self, key: TargetKey, now: Instant) -> bool {
        let since = now - PROGRESS_WINDOW;
        self.state.has_other_progress(&self.service, key, since)
    }

    /// Records that the target of the current attempt has been silent since `since`. It is blamed
    /// although the request stays with it, because one that is cut off must get no further requests.
    /// When a sound one goes on, that ends the ejection.
    pub(in crate::gateway) fn note_silence(&mut self, since: Instant) {
        let Some(current) = &mut self.current else {
            return;
        };
        current.is_silent = true;
        let current = *current;
        let now = Instant::now();
        self.state.record_failure(current.key, now);
        self.state.metrics.silences.inc();
        let name = self.target_name(current.key);
        log_event!(
            TargetSilent,
            request_id = self.request_id(),
            attempt = current.number,
            target = name.as_deref().unwrap_or("left"),
            silent_ms = now.saturating_duration_since(since).as_millis(),
            head = current.has_head,
            begun = current.has_begun
        );
    }

    fn record_paced_answer(&self, key: TargetKey, now: Instant) {
        if let Some(current) = self.current.filter(|current| current.key == key) {
            let answer = FirstAnswer {
                is_stream: self.matched.route.repeat.is_stream(),
                sent_at: current.sent_at,
                arrived_at: now,
            };
            self.state.record_paced_answer(key, answer);
        }
    }

    /// Takes the answer of the current attempt. A server error is no answer if the request may be
    /// repeated: another target may succeed, and `failure` is forwarded if none does. Neither is a
    /// stream without events while another attempt is pending.
    fn accept(
        &mut self,
        answer: TargetAnswer,
        is_other_pending: bool,
        failure: &mut Option<Response<ReplyBody>>,
    ) -> exchange::Result<RequestOutcome> {
        let now = Instant::now();
        let elapsed = self.sent_at().elapsed();
        let (key, parts, body) = match answer {
            TargetAnswer::Whole(key, parts, body) => (key, parts, body),
            TargetAnswer::Stream(started) => {
                let key = started.target();
                if is_other_pending && !started.has_event() {
                    return Err(AttemptError::broken("stream ends before its first event"));
                }
                if started.has_event() {
                    self.record_progress(key, now);
                }
                self.state.record_success(key);
                self.state.record_first_answer(&self.service, elapsed);
                self.record_paced_answer(key, now);
                return Ok(RequestOutcome::Started(started));
            }
        };
        let status = parts.status;
        let response = forwarded_response(&parts, body);
        if status.is_server_error() && self.matched.route.repeat.is_repeatable() {
            self.state.record_error_answer(key);
            *failure = Some(response);
            return Err(AttemptError {
                blames_target: false,
                ..AttemptError::broken(format!("target failed with {status}"))
            });
        }
        self.state.record_success(key);
        if status.is_success() {
            self.state.record_answer(&self.traits, now);
        }
        self.state.record_first_answer(&self.service, elapsed);
        // Errors come faster than answers of a target that works.
        if status.is_success() {
            self.record_paced_answer(key, now);
        } else if status.is_server_error() {
            self.state.record_paced_error(key, now);
        }
        self.record_answered(status);
        Ok(RequestOutcome::Answered(response))
    }
}

/// Sends a request and waits for its whole answer, or for the first events of its stream.
async fn perform(
    state: &Rc<GatewayState>,
    lease: TargetLease,
    input: AttemptInput<'_>,
    head_at: Rc<Cell<Option<Instant>>>,
) -> exchange::Result<TargetAnswer> {
    let open = exchange::send(state, lease, &input).await?;
    head_at.set(Some(Instant::now()));
    if input.request.repeat.is_stream() && relay::is_stream(&open) {
        let started = relay::start(open, EventSplitter::default(), input.deadline).await?;
        return Ok(TargetAnswer::Stream(Box::new(started)));
    }
    let key = open.lease.key;
    let (parts, body) = open.collect(state, input.deadline).await?;
    Ok(TargetAnswer::Whole(key, parts, body))
}

/// Waits for the end of an attempt; never returns if there is none.
async fn answer_of(
    attempt: &mut Option<PendingAttempt<'_>>,
) -> (exchange::Result<TargetAnswer>, AttemptRecord) {
    match attempt {
        Some(attempt) => {
            let result = attempt.answer.as_mut().await;
            (result, attempt.record())
        }
        None => future::pending().await,
    }
}

/// Waits for the end of a wait for a slot; never returns if there is none.
async fn lease_of(waiting: &mut Option<PendingLease<'_>>) -> admission::Result<TargetLease> {
    match waiting {
        Some(waiting) => waiting.as_mut().await,
        None => future::pending().await,
    }
}

fn forwarded_response(parts: &response::Parts, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::Whole(body.into()));
    *response.headers_mut() = forwarded_headers(&parts.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    *response.status_mut() = parts.status;
    response
}
