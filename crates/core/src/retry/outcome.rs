//! Rules that map what happened to an attempt to what has to be done.

use std::fmt;

/// Outcome of a request, as callers are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The caller has the whole answer.
    Answered,
    /// The request was proved not to have run.
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
    /// The call of this key ran, but its answer could not be stored.
    AnswerNotStored,
    /// The deadline does not allow a start.
    Deadline,
    /// The target takes no new work.
    Draining,
    /// The target is full.
    Full,
    /// The call of this key is still running.
    KeyInUse,
    /// The key was used with another body.
    KeyReused,
    /// The dispatch carried an older configuration revision than the agent has seen.
    StaleRevision,
    /// The table does not answer, so a non-idempotent call cannot be claimed.
    TableDown,
    /// The target does not answer.
    TargetDown,
    /// The key has a tombstone.
    Tombstone,
}

impl DispatchRefusal {
    /// Returns the reason as callers read it.
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
    /// Chunks are missing, or the answer does not match its sums.
    AnswerBroken,
    /// The deadline passed.
    DeadlinePassed,
    /// The agent reports that the call was interrupted after part of the answer.
    Interrupted,
    /// The link closed after the dispatch was sent.
    LinkLost,
    /// The dispatch was never sent.
    NeverSent,
    /// The agent reports that the call did not run.
    NotRun,
    /// The answer is larger than the entry or the caller can take.
    Oversized,
    /// The agent refused the dispatch.
    Refused(DispatchRefusal),
    /// The agent does not know whether the call ran.
    Unknown,
}

/// What the rules have to know about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptContext {
    /// Whether the call may run twice.
    pub idempotent: bool,
    /// Whether part of a streamed answer has reached the caller.
    pub answer_started: bool,
}

/// What has to be done after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Answer 409 with the outcome `unknown`.
    Conflict,
    /// Close the caller's connection without the end of the body.
    Cut,
    /// Refuse the request as `not-run` with this status.
    Refuse(u16),
    /// Resume the stream at another target within the budget, or cut it.
    Resume,
    /// Send the request to another target within the budget; without one, refuse it as `not-run`.
    RetryNotRun,
    /// Send the request to another target within the budget; without one, answer `unknown`.
    RetryUnknown,
    /// Settle the attempt in the table. If a tombstone excludes it, send the request to another
    /// target within the budget, or refuse it as `not-run`; if the call has run, answer with the
    /// stored answer; otherwise the outcome is `unknown` with this status.
    Tombstone(u16),
    /// The outcome is `unknown`; answer with this status.
    Unknown(u16),
}

const UNPROCESSABLE_CONTENT: u16 = 422;
const BAD_GATEWAY: u16 = 502;
const SERVICE_UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;

/// Decides what has to be done after an attempt has ended without a whole answer.
pub fn judge(event: AttemptEvent, context: AttemptContext) -> Verdict {
    if context.answer_started {
        return judge_started(event);
    }
    match event {
        AttemptEvent::NeverSent | AttemptEvent::NotRun => Verdict::RetryNotRun,
        AttemptEvent::Refused(refusal) => judge_refusal(refusal),
        AttemptEvent::DeadlinePassed if context.idempotent => Verdict::Unknown(GATEWAY_TIMEOUT),
        AttemptEvent::DeadlinePassed => Verdict::Tombstone(GATEWAY_TIMEOUT),
        AttemptEvent::Oversized => Verdict::Unknown(BAD_GATEWAY),
        _ if context.idempotent => Verdict::RetryUnknown,
        _ => Verdict::Tombstone(BAD_GATEWAY),
    }
}

fn judge_started(event: AttemptEvent) -> Verdict {
    match event {
        // Tokens that have reached the caller cannot be taken back, and after a broken answer
        // they cannot be trusted.
        AttemptEvent::AnswerBroken | AttemptEvent::DeadlinePassed | AttemptEvent::Oversized => {
            Verdict::Cut
        }
        _ => Verdict::Resume,
    }
}

fn judge_refusal(refusal: DispatchRefusal) -> Verdict {
    match refusal {
        DispatchRefusal::Draining
        | DispatchRefusal::Full
        | DispatchRefusal::StaleRevision
        | DispatchRefusal::TargetDown => Verdict::RetryNotRun,
        DispatchRefusal::AnswerNotStored | DispatchRefusal::KeyInUse => Verdict::Conflict,
        DispatchRefusal::KeyReused => Verdict::Refuse(UNPROCESSABLE_CONTENT),
        DispatchRefusal::Deadline | DispatchRefusal::TableDown | DispatchRefusal::Tombstone => {
            Verdict::Refuse(SERVICE_UNAVAILABLE)
        }
    }
}
