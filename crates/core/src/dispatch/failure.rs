//! What happens after an attempt at a target has failed.

use super::route_table::RepeatRule;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The target said that it did not run the request, or no byte of it left.
    NotRun,
    /// The target may have run the request.
    MayHaveRun,
}

/// What to do with the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another target.
    Retry,
    /// Tell the caller that it was not run.
    RefuseNotRun,
    /// Tell the caller that it is unknown whether it ran.
    ReportUnknown,
}

/// What is known about the request when an attempt fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailureContext {
    /// How often the request may run.
    pub repeat: RepeatRule,
    /// Attempts that may have run, the failed one included.
    pub runs: u32,
    /// Attempts that reached a target, the failed one included.
    pub arrivals: u32,
    /// Most targets on which it may run.
    pub run_limit: u32,
    /// Whether the budget of retries allows another arrival.
    pub has_budget: bool,
}

/// Most targets that one request visits, rejections included. Each visit draws on the budget of
/// retries that all requests of a service share.
pub const MOST_ARRIVALS: u32 = 4;

/// Decides what follows a failed attempt. A request that may not be repeated goes to another
/// target only if no earlier attempt can have run.
pub fn decide_next_step(failure: AttemptFailure, context: &FailureContext) -> NextStep {
    let may_have_run = failure == AttemptFailure::MayHaveRun || context.runs > 0;
    let may_run_again = if may_have_run {
        context.repeat.is_repeatable() && context.runs < context.run_limit
    } else {
        true
    };
    if may_run_again && context.has_budget && context.arrivals < MOST_ARRIVALS {
        NextStep::Retry
    } else if may_have_run {
        NextStep::ReportUnknown
    } else {
        NextStep::RefuseNotRun
    }
}
