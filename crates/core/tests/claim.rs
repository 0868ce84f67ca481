//! Tests the claim protocol: its state charts, its records, and properties P3 and P4 under lost
//! answers, late requests, freezes and crashes.

mod claim_model;

use {
    claim_model::{ClaimModel, Rule, find_violation},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    sassafrasslip_core::{
        claim::{
            AnswerBody, AttemptAction, AttemptInput, BodyHash, ClaimAttempt, ClaimRecord,
            ClaimScope, ClaimSettlement, ClaimState, MAX_EXCLUDED, SettlementAction,
            SettlementInput, StoredAnswer, release_record,
        },
        ids::RequestId,
    },
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
    tokio::time::Instant,
};

const BODY_HASH: BodyHash = BodyHash([7; 32]);

fn record(state: ClaimState, nonce: u64, body_hash: BodyHash) -> ClaimRecord {
    let (entry_incarnation, counter) = (1, 2);
    ClaimRecord {
        state,
        body_hash,
        nonce,
        excluded: Vec::new(),
        incarnation: 9,
        request_id: RequestId {
            entry_incarnation,
            counter,
        },
        created_ms: 1_000,
        retention_ms: 500,
    }
}

fn done() -> ClaimState {
    let answer = StoredAnswer::NotStored;
    ClaimState::Done { answer }
}

/// Feeds the steps to an attempt with nonce 1 and a deadline after 10 ms, and checks the actions.
/// Each step is a time in milliseconds and an input.
fn check_attempt(steps: &[(u64, AttemptInput<'_>)], expected: &[Option<AttemptAction>]) {
    let start = Instant::now();
    let mut attempt = ClaimAttempt::new(1, BODY_HASH, start + Duration::from_millis(10));
    let handle = |(at, input): &(u64, AttemptInput<'_>)| {
        attempt.handle(*input, start + Duration::from_millis(*at))
    };
    let actions: Vec<_> = steps.iter().map(handle).collect();
    assert_eq!(actions, expected);
}

fn start_excluding(nonce: u64) -> ClaimRecord {
    let tombstone = record(ClaimState::Tombstone, 3, BODY_HASH).excluding(nonce);
    tombstone.with_state(ClaimState::Started)
}

fn finished_excluding(nonce: u64) -> ClaimRecord {
    start_excluding(nonce).with_state(done())
}

/// Returns a tombstone that has no room to exclude a further attempt.
fn full_tombstone() -> ClaimRecord {
    let tombstone = record(ClaimState::Tombstone, 3, BODY_HASH);
    (0..MAX_EXCLUDED as u64).fold(tombstone, |record, index| record.excluding(100 + index))
}

const START: (u64, AttemptInput<'static>) = (0, AttemptInput::Start);
const INSERT: Option<AttemptAction> = Some(AttemptAction::Insert);

fn check_found(state: ClaimState, nonce: u64, body_hash: BodyHash, expected: AttemptAction) {
    let record = record(state, nonce, body_hash);
    let found = AttemptInput::Found(Some(&record));
    check_attempt(&[START, (1, found)], &[INSERT, Some(expected)]);
    // A record that is read back after a lost answer leads to the same action.
    check_attempt(
        &[START, (1, AttemptInput::AnswerLost), (2, found)],
        &[INSERT, Some(AttemptAction::Read), Some(expected)],
    );
}

test_cases! {
    fn check_found(state: ClaimState, nonce: u64, body_hash: BodyHash, expected: AttemptAction);
    own_start_is_forwarded: (ClaimState::Started, 1, BODY_HASH, AttemptAction::Forward);
    other_start_is_in_use: (ClaimState::Started, 2, BODY_HASH, AttemptAction::RefuseInUse);
    done_is_replayed: (done(), 2, BODY_HASH, AttemptAction::Replay);
    tombstone_of_another_attempt_is_replaced:
        (ClaimState::Tombstone, 1, BODY_HASH, AttemptAction::Replace);
    other_body_is_refused: (done(), 1, BodyHash([8; 32]), AttemptAction::RefuseReused);
}

fn check_excluded(record: &ClaimRecord) {
    let found = AttemptInput::Found(Some(record));
    let refuse = Some(AttemptAction::RefuseTombstone);
    check_attempt(&[START, (1, found)], &[INSERT, refuse]);
    check_attempt(
        &[START, (1, AttemptInput::AnswerLost), (2, found)],
        &[INSERT, Some(AttemptAction::Read), refuse],
    );
}

test_cases! {
    fn check_excluded(record: &ClaimRecord);
    tombstone_that_excludes_the_attempt_refuses_it:
        (&record(ClaimState::Tombstone, 1, BODY_HASH).excluding(1));
    start_record_that_excludes_the_attempt_refuses_it: (&start_excluding(1));
    tombstone_without_room_refuses_the_attempt: (&full_tombstone());
}

/// Guards against a refused attempt that leaves its key blocked, and against lost exclusions.
#[test]
fn released_key_has_a_tombstone_that_keeps_all_exclusions() {
    let own = record(ClaimState::Started, 1, BODY_HASH);
    let excluded = |found: Option<&ClaimRecord>| {
        let written = release_record(&own, found)?;
        assert_eq!(written.state, ClaimState::Tombstone);
        Some(written.excluded)
    };
    assert_eq!(excluded(None), Some(vec![1]));
    assert_eq!(excluded(Some(&own)), Some(vec![1]));
    let mut carrying = own.clone();
    carrying.excluded = vec![7];
    assert_eq!(excluded(Some(&carrying)), Some(vec![7, 1]));
    let tombstone = record(ClaimState::Tombstone, 3, BODY_HASH).excluding(7);
    assert_eq!(excluded(Some(&tombstone)), Some(vec![7, 1]));
    for kept in [
        tombstone.excluding(1),
        full_tombstone(),
        record(ClaimState::Started, 3, BODY_HASH),
        record(done(), 3, BODY_HASH),
        record(ClaimState::Tombstone, 3, BodyHash([8; 32])),
    ] {
        assert_eq!(excluded(Some(&kept)), None);
    }
}

use AttemptInput::{
    AnswerLost, Answered, Found, Inserted, Malformed, NoAnswer, NotSent, Retry, StoreFailed,
    Stored, TableDown,
};

test_cases! {
    fn check_attempt(steps: &[(u64, AttemptInput<'_>)], expected: &[Option<AttemptAction>]);
    insert_in_time_is_forwarded_and_stored: (
        &[START, (9, Inserted), (50, Answered), (51, Stored)],
        &[INSERT, Some(AttemptAction::Forward), Some(AttemptAction::Store),
            Some(AttemptAction::ReportAnswer)]
    );
    insert_after_the_deadline_is_withdrawn: (
        &[START, (10, Inserted)], &[INSERT, Some(AttemptAction::WithdrawLate)]
    );
    absent_record_after_a_lost_answer_is_inserted_again: (
        &[START, (1, AnswerLost), (2, Found(None))],
        &[INSERT, Some(AttemptAction::Read), INSERT]
    );
    reading_ends_at_the_deadline: (
        &[START, (1, AnswerLost), (9, TableDown), (10, AnswerLost)],
        &[INSERT, Some(AttemptAction::Read), Some(AttemptAction::Read),
            Some(AttemptAction::RefuseTableDown)]
    );
    table_down_is_refused: (
        &[START, (1, TableDown)], &[INSERT, Some(AttemptAction::RefuseTableDown)]
    );
    malformed_record_is_in_use: (
        &[START, (1, Malformed)], &[INSERT, Some(AttemptAction::RefuseInUse)]
    );
    unsent_call_is_withdrawn: (
        &[START, (1, Inserted), (2, NotSent)],
        &[INSERT, Some(AttemptAction::Forward), Some(AttemptAction::WithdrawUnsent)]
    );
    sent_call_without_answer_is_unknown: (
        &[START, (1, Inserted), (2, NoAnswer)],
        &[INSERT, Some(AttemptAction::Forward), Some(AttemptAction::ReportUnknown)]
    );
    failed_store_reports_the_answer_and_is_repeated_for_a_minute: (
        &[START, (1, Inserted), (2, Answered), (3, StoreFailed), (4, Retry), (5, StoreFailed),
            (60_002, Retry), (60_003, Retry)],
        &[INSERT, Some(AttemptAction::Forward), Some(AttemptAction::Store),
            Some(AttemptAction::ReportAnswer), Some(AttemptAction::Store), None, None, None]
    );
}

#[test]
fn cancelled_attempt_is_withdrawn_before_it_runs() {
    let now = Instant::now();
    let mut attempt = ClaimAttempt::new(1, BODY_HASH, now + Duration::from_secs(1));
    assert_eq!(attempt.handle(AttemptInput::Start, now), INSERT);
    attempt.cancel();
    let action = attempt.handle(AttemptInput::Inserted, now);
    assert_eq!(action, Some(AttemptAction::WithdrawLate));
}

fn check_settlement(steps: &[(u64, SettlementInput<'_>)], expected: &[SettlementAction]) {
    let start = Instant::now();
    let mut settlement = ClaimSettlement::new(1, BODY_HASH, start + Duration::from_millis(10));
    let handle = |(at, input): &(u64, SettlementInput<'_>)| {
        settlement.handle(*input, start + Duration::from_millis(*at))
    };
    let actions: Vec<_> = steps.iter().map(handle).collect();
    let expected: Vec<_> = expected.iter().copied().map(Some).collect();
    assert_eq!(actions, expected);
}

#[test]
fn settlement_depends_on_the_record_found() {
    use {SettlementAction as Action, SettlementInput as Input};
    let start = (0, Input::Start);
    let started = record(ClaimState::Started, 3, BODY_HASH);
    let finished = record(done(), 3, BODY_HASH);
    let tombstone = record(ClaimState::Tombstone, 3, BODY_HASH);
    let other = record(done(), 3, BodyHash([8; 32]));
    let (excluded, full) = (tombstone.excluding(1), full_tombstone());
    let other_excluding = start_excluding(1);
    let finished_excluding = finished_excluding(1);
    let others = [1, 3].map(|nonce| record(ClaimState::Started, nonce, BODY_HASH));
    let found = |record| (1, Input::Found(Some(record)));
    check_settlement(
        &[start, (1, Input::Inserted)],
        &[Action::Insert, Action::ReportNotRun],
    );
    check_settlement(
        &[start, found(&finished)],
        &[Action::Insert, Action::Replay],
    );
    check_settlement(
        &[start, found(&tombstone), (2, Input::Inserted)],
        &[Action::Insert, Action::Extend, Action::ReportNotRun],
    );
    for excluding in [&excluded, &other_excluding] {
        check_settlement(
            &[start, found(excluding)],
            &[Action::Insert, Action::ReportNotRun],
        );
    }
    // A start record that does not exclude the attempt proves nothing, even if it is its own.
    for started in &others {
        check_settlement(&[start, found(started)], &[Action::Insert, Action::Wait]);
    }
    // After a lost answer to an extension the record is read back, and extended again if need be.
    check_settlement(
        &[
            start,
            found(&tombstone),
            (2, Input::AnswerLost),
            found(&tombstone),
            (3, Input::AnswerLost),
            found(&excluded),
        ],
        &[
            Action::Insert,
            Action::Extend,
            Action::Read,
            Action::Extend,
            Action::Read,
            Action::ReportNotRun,
        ],
    );
    check_settlement(
        &[start, found(&full)],
        &[Action::Insert, Action::ReportUnknown],
    );
    check_settlement(
        &[start, found(&finished_excluding)],
        &[Action::Insert, Action::Replay],
    );
    check_settlement(
        &[start, found(&other)],
        &[Action::Insert, Action::ReportUnknown],
    );
    check_settlement(
        &[
            start,
            (1, Input::AnswerLost),
            (2, Input::Found(None)),
            (3, Input::TableDown),
        ],
        &[Action::Insert, Action::Read, Action::Insert, Action::Insert],
    );
    check_settlement(
        &[start, found(&started), (2, Input::Poll), found(&finished)],
        &[Action::Insert, Action::Wait, Action::Read, Action::Replay],
    );
    check_settlement(
        &[start, found(&started), (10, Input::Poll)],
        &[Action::Insert, Action::Wait, Action::ReportUnknown],
    );
}

#[test]
fn records_survive_the_table_and_expire_by_its_clock() {
    let headers = Vec::new();
    let body = AnswerBody::from([0xff, 0].as_slice());
    let answer = StoredAnswer::Inline {
        status: 200,
        headers,
        body,
    };
    for state in [
        ClaimState::Started,
        ClaimState::Tombstone,
        ClaimState::Done { answer },
    ] {
        let record = record(state, u64::MAX, BODY_HASH);
        let value = record.encode().unwrap();
        assert_eq!(ClaimRecord::decode(&value).unwrap(), record);
        assert!(!record.is_expired(1_499));
        assert!(record.is_expired(1_500));
    }
    assert!(ClaimRecord::decode("{}").is_err());
}

/// Guards against a caller's key that refers to records of another team or service.
#[test]
fn keys_of_callers_stay_in_their_scope() {
    let scope = |key: &str| ClaimScope {
        service: "prints".parse().unwrap(),
        team: "shop".parse().unwrap(),
        key: key.to_owned(),
    };
    assert_eq!(
        scope("../x y~").table_key(),
        "claim/prints/shop/..~2Fx~20y~7E"
    );
    assert_ne!(scope("a/b").table_key(), scope("a~2Fb").table_key());
}

#[test]
fn complete_protocol_keeps_p3_and_p4() {
    assert_eq!(find_violation::<{ Rule::NONE }>(), None);
}

fn check_rule_is_needed<const RULE: u8>(expected: &str)
where
    ClaimModel<RULE>: ReferenceStateMachine,
    claim_model::ClaimWorld<RULE>: StateMachineTest,
{
    let violation = find_violation::<RULE>().expect("the search finds a violation");
    assert!(violation.contains(expected), "{violation}");
}

// Each property must fail without the rule that guards it; otherwise the model proves nothing.
#[test]
fn unconditional_insert_runs_twice() {
    check_rule_is_needed::<{ Rule::UNCONDITIONAL_INSERT }>("calls run at most once");
}

#[test]
fn replaceable_tombstone_does_not_exclude_a_run() {
    check_rule_is_needed::<{ Rule::REPLACEABLE_TOMBSTONE }>("tombstone excludes");
}

#[test]
fn absence_taken_as_proof_breaks_not_run() {
    check_rule_is_needed::<{ Rule::ABSENCE_IS_PROOF }>("not-run");
}

#[test]
fn stale_time_forwards_after_the_deadline() {
    check_rule_is_needed::<{ Rule::STALE_TIME }>("deadline");
}

#[test]
fn dropped_exclusions_let_a_refused_attempt_run() {
    check_rule_is_needed::<{ Rule::DROPPED_EXCLUSIONS }>("not-run");
}

#[test]
fn start_record_that_is_not_withdrawn_blocks_the_key() {
    check_rule_is_needed::<{ Rule::NO_WITHDRAWAL }>("key is blocked");
}

// The properties above would also hold if no retry ever ran.
#[test]
fn retry_of_a_refused_call_runs() {
    check_rule_is_needed::<{ Rule::RETRIES_NEVER_RUN }>("retried call runs");
}
