//! Retry budget, and the rules that settle how an attempt ended.

pub mod budget;
pub mod outcome;

pub use {
    budget::RetryBudget,
    outcome::{AttemptContext, AttemptEvent, DispatchRefusal, RequestOutcome, Verdict, judge},
};
