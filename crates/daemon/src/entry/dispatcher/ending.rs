//! Outcome of a request: response to the caller, log event, metrics and explanation.

use {
    super::{attempt::AttemptFailure, run::RequestRun, waiting::AcquireError},
    crate::entry::callers::answer::Refusal,
    http::StatusCode,
    sassafrasslip_core::{
        events::LogEvent::{AnswerCut, RequestAnswered},
        limits::QueueRefusal,
        log_event,
        retry::RequestOutcome,
    },
    std::{borrow::Cow, time::Duration},
};

/// How a request ended.
#[derive(Clone, Debug)]
pub enum RunEnd {
    /// The caller got the complete answer.
    Answered,
    /// The caller closed its connection before the answer was complete.
    CallerGone,
    /// A streamed answer was cut off after it had started, for this reason.
    Cut(Cow<'static, str>),
    /// The caller gets an error: the request was not run, or its outcome is unknown.
    Refused(Refusal),
}

impl RequestRun {
    /// Ends the request with outcome `not-run`, or with an unknown outcome if an earlier attempt
    /// may have run.
    pub fn not_run(&self, status: StatusCode, failure: &AttemptFailure) -> RunEnd {
        let reason = failure.reason.clone();
        if self.may_have_run {
            return self.unknown(StatusCode::BAD_GATEWAY, failure);
        }
        let message = format!("the request was not run: {reason}");
        let refusal = Refusal {
            reason,
            ..Refusal::not_run(status, "", message)
        };
        RunEnd::Refused(refusal.retry_after(self.retry_after(failure)))
    }

    /// Ends the request with an unknown outcome, because an attempt may have run.
    pub fn unknown(&self, status: StatusCode, failure: &AttemptFailure) -> RunEnd {
        let reason = failure.reason.clone();
        let message = format!("the request may have run: {reason}");
        let refusal = Refusal::unknown(status, reason, message);
        RunEnd::Refused(refusal.retry_after(self.retry_after(failure)))
    }

    fn retry_after(&self, failure: &AttemptFailure) -> Duration {
        failure.retry_after.unwrap_or(self.settings.retry_after)
    }

    /// Ends a request that got no target: cuts off an answer that has started, else refuses the
    /// request.
    pub fn end_without_target(&self, error: AcquireError) -> RunEnd {
        let (reason, message, after) = describe_error(error);
        if self.is_answer_started() {
            return RunEnd::Cut(Cow::Borrowed(reason));
        }
        let after = after.max(self.settings.retry_after);
        let refusal = if self.may_have_run {
            Refusal::unknown(StatusCode::BAD_GATEWAY, reason, message)
        } else {
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message)
        };
        RunEnd::Refused(refusal.retry_after(after))
    }

    /// Sends the refusal, if the request was refused, and records the outcome.
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
                    tokens = self.tokens_sent
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

    /// Records the outcome in metrics and in the explanation of the request.
    fn record(&self, outcome: RequestOutcome, reason: Option<String>) {
        let service = &self.request.head.service;
        // Callers choose the service name freely, so only names of listed services become metric
        // labels; others would create a time series each.
        let is_listed = !self
            .context
            .state()
            .membership
            .of_service(service)
            .is_empty();
        let service = if is_listed { service.as_str() } else { "" };
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

/// Returns reason and message of a refusal, and the time after which a retry is useful.
fn describe_error(error: AcquireError) -> (&'static str, Cow<'static, str>, Duration) {
    let no_delay = Duration::ZERO;
    match error {
        AcquireError::Displaced => {
            let message = "the queue is full; a team with fewer waiting requests took the place";
            ("queue_full", Cow::Borrowed(message), no_delay)
        }
        AcquireError::Queue(QueueRefusal::Late { expected_wait }) => {
            let message = QueueRefusal::Late { expected_wait }.to_string();
            ("queue_wait", Cow::Owned(message), expected_wait)
        }
        AcquireError::Queue(QueueRefusal::QueueFull) => (
            "queue_full",
            Cow::Owned(QueueRefusal::QueueFull.to_string()),
            no_delay,
        ),
        AcquireError::Route(error) => ("no_target", Cow::Owned(error.to_string()), no_delay),
        AcquireError::TimedOut => {
            let message = "no target became free within the queue wait limit or the deadline";
            ("queue_wait", Cow::Borrowed(message), no_delay)
        }
    }
}
