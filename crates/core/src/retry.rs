//! Retry budget, and the rules that decide what follows an attempt without a whole answer.

pub mod budget;
pub mod outcome;

pub use {
    budget::RetryBudget,
    outcome::{
        AttemptContext, AttemptEvent, DispatchRefusal, RequestOutcome, RetryAction, decide_attempt,
    },
};
