//! Rules that decide what to do after an attempt that ended without a whole answer.

use std::fmt;

/// Outcome of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The caller received the whole answer.
    Answered,
    /// The request is known not to have run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the header `Sassafrasslip-Outcome`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why an agent refused a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchRefusal {
    /// The call with this idempotency key ran, but its answer could not be stored.
    AnswerNotStored,
    /// Too little time is left before the deadline to start the call.
    Deadline,
    /// The target is draining and takes no new requests.
    Draining,
    /// The target has as many requests in flight as its limit allows.
    Full,
    /// The call with this idempotency key is still running.
    KeyInUse,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The configuration revision of the dispatch is older than one that the agent has seen.
    StaleRevision,
    /// The table does not answer, so a non-idempotent call cannot be claimed.
    TableDown,
    /// The target does not answer.
    TargetDown,
    /// A tombstone in the table excludes the call with this key.
    Tombstone,
}

impl DispatchRefusal {
    /// Returns the reason in the form that callers receive.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AnswerNotStored => "answer_not_stored",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::Full => "full",
            Self::KeyInUse => "key_in_use",
            Self::KeyReused => "key_reused",
            Self::StaleRevision => "stale_revision",
            Self::TableDown => "table_down",
            Self::TargetDown => "target_down",
            Self::Tombstone => "tombstone",
        }
    }
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// Chunks are missing, or the answer does not match the sums that the agent sent with its end.
    AnswerBroken,
    /// The deadline passed before the whole answer arrived.
    DeadlinePassed,
    /// The agent reports that the call was interrupted after a part of the answer.
    Interrupted,
    /// The link closed after the dispatch was sent.
    LinkLost,
    /// The dispatch was never sent.
    NeverSent,
    /// The agent reports that the call did not run.
    NotRun,
    /// The answer exceeds the size that the entry or the caller accepts.
    Oversized,
    /// The agent refused the dispatch.
    Refused(DispatchRefusal),
    /// The agent does not know whether the call ran.
    Unknown,
}

/// Properties of the request that the rules depend on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptContext {
    /// Whether the call is idempotent, so that it may run twice.
    pub idempotent: bool,
    /// Whether part of a streamed answer has reached the caller.
    pub answer_started: bool,
}

/// What to do after an attempt that ended without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAction {
    /// Answer 409 with the outcome `unknown`.
    Conflict,
    /// Close the caller's connection before the end of the body.
    Cut,
    /// Refuse the request with the outcome `not-run` and this status.
    Refuse(u16),
    /// Resume the stream at another target, or cut it if the retry budget is exhausted.
    Resume,
    /// Send the request to another target, or answer with the outcome `not-run` if the retry budget
    /// is exhausted.
    RetryNotRun,
    /// Send the request to another target, or answer with the outcome `unknown` if the retry budget
    /// is exhausted.
    RetryUnknown,
    /// Try to insert a tombstone into the table. If the tombstone excludes the call, send the
    /// request to another target, or answer with the outcome `not-run` if the retry budget is
    /// exhausted. If the call has run, send the stored answer. Otherwise answer with the outcome
    /// `unknown` and this status.
    Tombstone(u16),
    /// Answer with the outcome `unknown` and this status.
    Unknown(u16),
}

const UNPROCESSABLE_CONTENT: u16 = 422;
const BAD_GATEWAY: u16 = 502;
const SERVICE_UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;

/// Decides what to do after an attempt that ended without a whole answer.
pub fn decide_attempt(event: AttemptEvent, context: AttemptContext) -> RetryAction {
    if context.answer_started {
        return decide_started(event);
    }
    match event {
        AttemptEvent::NeverSent | AttemptEvent::NotRun => RetryAction::RetryNotRun,
        AttemptEvent::Refused(refusal) => decide_refused(refusal),
        AttemptEvent::DeadlinePassed if context.idempotent => RetryAction::Unknown(GATEWAY_TIMEOUT),
        AttemptEvent::DeadlinePassed => RetryAction::Tombstone(GATEWAY_TIMEOUT),
        AttemptEvent::Oversized => RetryAction::Unknown(BAD_GATEWAY),
        _ if context.idempotent => RetryAction::RetryUnknown,
        _ => RetryAction::Tombstone(BAD_GATEWAY),
    }
}

fn decide_started(event: AttemptEvent) -> RetryAction {
    match event {
        // What has reached the caller cannot be taken back, and after a broken answer it may be
        // wrong, so the stream is not resumed from it.
        AttemptEvent::AnswerBroken | AttemptEvent::DeadlinePassed | AttemptEvent::Oversized => {
            RetryAction::Cut
        }
        _ => RetryAction::Resume,
    }
}

fn decide_refused(refusal: DispatchRefusal) -> RetryAction {
    match refusal {
        DispatchRefusal::Draining
        | DispatchRefusal::Full
        | DispatchRefusal::StaleRevision
        | DispatchRefusal::TargetDown => RetryAction::RetryNotRun,
        DispatchRefusal::AnswerNotStored | DispatchRefusal::KeyInUse => RetryAction::Conflict,
        DispatchRefusal::KeyReused => RetryAction::Refuse(UNPROCESSABLE_CONTENT),
        DispatchRefusal::Deadline | DispatchRefusal::TableDown | DispatchRefusal::Tombstone => {
            RetryAction::Refuse(SERVICE_UNAVAILABLE)
        }
    }
}
