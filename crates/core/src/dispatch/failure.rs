//! Decision after a failed attempt: retry the request, or refuse it, or report it as unknown.

use super::route_table::RepeatRule;

/// Kind of a failed attempt, by whether the target may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The target answered that it did not run the request, or no byte of the request was sent.
    NotRun,
    /// The target may have run the request.
    MayHaveRun,
}

/// Next step for a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Wait for the answer of another target, at which an attempt is still under way.
    AwaitOther,
    /// Send the request to another target.
    Retry,
    /// Tell the caller that the request was not run.
    RefuseNotRun,
    /// Tell the caller that it is unknown whether the request ran.
    ReportUnknown,
}

/// State of the request when an attempt fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailureContext {
    /// Whether the request may run more than once, and whether its answer is a stream.
    pub repeat: RepeatRule,
    /// Number of attempts in which the request may have run, the failed one included.
    pub runs: u32,
    /// Number of attempts that reached a target, the failed one included.
    pub arrivals: u32,
    /// Highest number of targets on which the request may run.
    pub run_limit: u32,
    /// Whether the retry budget allows another attempt.
    pub has_budget: bool,
    /// Whether an attempt at another target is still under way.
    pub is_other_pending: bool,
}

/// Highest number of targets that one request reaches, rejections included. Each attempt after the
/// first one uses up a part of the retry budget that all requests of a service share.
pub const MAX_ARRIVALS: u32 = 4;

/// Returns whether a request that is unanswered at a silent target may be sent to another one while
/// it stays where it is. `runs` and `arrivals` are those of [`FailureContext`], without the attempt
/// that is under way.
pub fn may_run_beside(repeat: RepeatRule, runs: u32, arrivals: u32, run_limit: u32) -> bool {
    repeat.is_repeatable() && runs + 1 < run_limit && arrivals < MAX_ARRIVALS
}

/// Decides what follows a failed attempt. A request that may not be repeated is sent to another
/// target only if it cannot have run in any attempt.
pub fn decide_next_step(failure: AttemptFailure, context: &FailureContext) -> NextStep {
    if context.is_other_pending {
        return NextStep::AwaitOther;
    }
    let may_have_run = failure == AttemptFailure::MayHaveRun || context.runs > 0;
    let may_run_again = if may_have_run {
        context.repeat.is_repeatable() && context.runs < context.run_limit
    } else {
        true
    };
    if may_run_again && context.has_budget && context.arrivals < MAX_ARRIVALS {
        NextStep::Retry
    } else if may_have_run {
        NextStep::ReportUnknown
    } else {
        NextStep::RefuseNotRun
    }
}
