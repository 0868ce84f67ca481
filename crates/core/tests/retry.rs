//! Guards the retry budget and the rules on outcomes (P3, P4).

use {
    sassafrasslip_core::retry::{
        AttemptContext, AttemptEvent, DispatchRefusal, RetryAction, RetryBudget, decide_attempt,
    },
    sassafrasslip_testkit::test_cases,
};

const REPEATABLE: AttemptContext = AttemptContext {
    idempotent: true,
    answer_started: false,
};
const ONCE: AttemptContext = AttemptContext {
    idempotent: false,
    answer_started: false,
};
const STARTED: AttemptContext = AttemptContext {
    idempotent: true,
    answer_started: true,
};

fn check_verdict(event: AttemptEvent, context: AttemptContext, expected: RetryAction) {
    assert_eq!(decide_attempt(event, context), expected);
}

test_cases! {
    fn check_verdict(event: AttemptEvent, context: AttemptContext, expected: Verdict);
    unsent_call_is_repeated: (AttemptEvent::NeverSent, ONCE, RetryAction::RetryNotRun);
    call_that_did_not_run_is_repeated: (AttemptEvent::NotRun, ONCE, RetryAction::RetryNotRun);
    lost_idempotent_call_is_repeated:
        (AttemptEvent::LinkLost, REPEATABLE, RetryAction::RetryUnknown);
    lost_call_is_not_repeated: (AttemptEvent::LinkLost, ONCE, RetryAction::Tombstone(502));
    broken_answer_is_not_repeated: (AttemptEvent::AnswerBroken, ONCE, RetryAction::Tombstone(502));
    unknown_call_is_not_repeated: (AttemptEvent::Unknown, ONCE, RetryAction::Tombstone(502));
    late_call_is_settled_by_a_tombstone:
        (AttemptEvent::DeadlinePassed, ONCE, RetryAction::Tombstone(504));
    late_idempotent_call_is_unknown:
        (AttemptEvent::DeadlinePassed, REPEATABLE, RetryAction::Unknown(504));
    oversized_answer_is_unknown: (AttemptEvent::Oversized, ONCE, RetryAction::Unknown(502));
    broken_stream_is_resumed: (AttemptEvent::LinkLost, STARTED, RetryAction::Resume);
    refused_resumption_tries_another_target:
        (AttemptEvent::Refused(DispatchRefusal::Full), STARTED, RetryAction::Resume);
    stream_with_wrong_sums_is_cut: (AttemptEvent::AnswerBroken, STARTED, RetryAction::Cut);
    late_stream_is_cut: (AttemptEvent::DeadlinePassed, STARTED, RetryAction::Cut);
    draining_target_is_left:
        (AttemptEvent::Refused(DispatchRefusal::Draining), ONCE, RetryAction::RetryNotRun);
    key_in_use_is_a_conflict:
        (AttemptEvent::Refused(DispatchRefusal::KeyInUse), ONCE, RetryAction::Conflict);
    unstored_answer_is_a_conflict:
        (AttemptEvent::Refused(DispatchRefusal::AnswerNotStored), ONCE, RetryAction::Conflict);
    reused_key_is_an_error:
        (AttemptEvent::Refused(DispatchRefusal::KeyReused), ONCE, RetryAction::Refuse(422));
    table_down_refuses_the_call:
        (AttemptEvent::Refused(DispatchRefusal::TableDown), ONCE, RetryAction::Refuse(503));
}

#[test]
fn no_event_repeats_a_call_that_may_have_run() {
    let uncertain = [
        AttemptEvent::AnswerBroken,
        AttemptEvent::DeadlinePassed,
        AttemptEvent::Interrupted,
        AttemptEvent::LinkLost,
        AttemptEvent::Oversized,
        AttemptEvent::Unknown,
    ];
    for event in uncertain {
        let verdict = decide_attempt(event, ONCE);
        let is_final = matches!(verdict, RetryAction::Tombstone(_) | RetryAction::Unknown(_));
        assert!(is_final, "{event:?} gives {verdict:?}");
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
    lone_request_may_be_repeated_once: (1, 10, 1);
    a_tenth_of_many_requests_is_repeated: (1000, 10, 101);
    smaller_share_is_kept: (1000, 5, 51);
    no_share_allows_only_the_first_one: (1000, 0, 1);
}

#[test]
fn quiet_time_does_not_save_up_more_than_a_burst() {
    let mut budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.record_first_try(10);
    }
    let burst = (0..1000).filter(|_| budget.try_spend()).count();
    assert_eq!(burst, 100);
}
