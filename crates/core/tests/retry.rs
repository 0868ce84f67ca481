//! Tests the retry budget and the rules for the outcome of an attempt (properties P3 and P4).

use {
    sassafrasslip_core::retry::{
        AttemptContext, AttemptEvent, DispatchRefusal, RetryAction, RetryBudget, decide_attempt,
    },
    sassafrasslip_testkit::test_cases,
};

const IDEMPOTENT: AttemptContext = AttemptContext {
    idempotent: true,
    answer_started: false,
};
const NON_IDEMPOTENT: AttemptContext = AttemptContext {
    idempotent: false,
    answer_started: false,
};
const ANSWER_STARTED: AttemptContext = AttemptContext {
    idempotent: true,
    answer_started: true,
};

fn check_action(event: AttemptEvent, context: AttemptContext, expected: RetryAction) {
    assert_eq!(decide_attempt(event, context), expected);
}

test_cases! {
    fn check_action(event: AttemptEvent, context: AttemptContext, expected: RetryAction);
    unsent_call_is_retried: (AttemptEvent::NeverSent, NON_IDEMPOTENT, RetryAction::RetryNotRun);
    call_that_did_not_run_is_retried: (AttemptEvent::NotRun, NON_IDEMPOTENT, RetryAction::RetryNotRun);
    lost_idempotent_call_is_retried:
        (AttemptEvent::LinkLost, IDEMPOTENT, RetryAction::RetryUnknown);
    lost_call_is_not_retried: (AttemptEvent::LinkLost, NON_IDEMPOTENT, RetryAction::Tombstone(502));
    broken_answer_is_not_retried:
        (AttemptEvent::AnswerBroken, NON_IDEMPOTENT, RetryAction::Tombstone(502));
    unknown_call_is_not_retried: (AttemptEvent::Unknown, NON_IDEMPOTENT, RetryAction::Tombstone(502));
    late_call_is_settled_by_a_tombstone:
        (AttemptEvent::DeadlinePassed, NON_IDEMPOTENT, RetryAction::Tombstone(504));
    late_idempotent_call_is_unknown:
        (AttemptEvent::DeadlinePassed, IDEMPOTENT, RetryAction::Unknown(504));
    oversized_answer_is_unknown: (AttemptEvent::Oversized, NON_IDEMPOTENT, RetryAction::Unknown(502));
    broken_stream_is_resumed: (AttemptEvent::LinkLost, ANSWER_STARTED, RetryAction::Resume);
    refused_resumption_tries_another_target:
        (AttemptEvent::Refused(DispatchRefusal::Full), ANSWER_STARTED, RetryAction::Resume);
    stream_with_wrong_checksums_is_cut: (AttemptEvent::AnswerBroken, ANSWER_STARTED, RetryAction::Cut);
    late_stream_is_cut: (AttemptEvent::DeadlinePassed, ANSWER_STARTED, RetryAction::Cut);
    call_refused_by_a_draining_target_is_retried:
        (AttemptEvent::Refused(DispatchRefusal::Draining), NON_IDEMPOTENT, RetryAction::RetryNotRun);
    key_in_use_is_a_conflict:
        (AttemptEvent::Refused(DispatchRefusal::KeyInUse), NON_IDEMPOTENT, RetryAction::Conflict);
    unstored_answer_is_a_conflict:
        (AttemptEvent::Refused(DispatchRefusal::AnswerNotStored), NON_IDEMPOTENT,
         RetryAction::Conflict);
    reused_key_is_an_error:
        (AttemptEvent::Refused(DispatchRefusal::KeyReused), NON_IDEMPOTENT, RetryAction::Refuse(422));
    table_down_refuses_the_call:
        (AttemptEvent::Refused(DispatchRefusal::TableDown), NON_IDEMPOTENT, RetryAction::Refuse(503));
}

#[test]
fn call_that_may_have_run_is_never_retried() {
    let uncertain = [
        AttemptEvent::AnswerBroken,
        AttemptEvent::DeadlinePassed,
        AttemptEvent::Interrupted,
        AttemptEvent::LinkLost,
        AttemptEvent::Oversized,
        AttemptEvent::Unknown,
    ];
    for event in uncertain {
        let action = decide_attempt(event, NON_IDEMPOTENT);
        let is_final = matches!(action, RetryAction::Tombstone(_) | RetryAction::Unknown(_));
        assert!(is_final, "{event:?} gives {action:?}");
    }
}

fn check_budget(first_tries: usize, percent: u64, expected: usize) {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..first_tries {
        budget.record_first_try(percent);
        retries += usize::from(budget.try_spend());
    }
    assert_eq!(retries, expected);
}

test_cases! {
    fn check_budget(first_tries: usize, percent: u64, expected: usize);
    single_request_may_be_retried_once: (1, 10, 1);
    a_tenth_of_many_requests_is_retried: (1000, 10, 101);
    smaller_share_allows_fewer_retries: (1000, 5, 51);
    zero_share_allows_a_single_retry: (1000, 0, 1);
}

#[test]
fn unused_budget_is_capped_at_a_burst() {
    let mut budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.record_first_try(10);
    }
    let burst = (0..1000).filter(|_| budget.try_spend()).count();
    assert_eq!(burst, 100);
}
