//! Guards non-idempotent calls over a real link: each runs at most once, whichever of the table,
//! the object store, the service and the link to the entry fails.

mod agent_support;

use {
    agent_support::{
        TestAgent,
        entry::{TestReply, keyed_dispatch, new_dispatch, request_id},
        eventually,
        platform::TableFault,
        target::TargetMode,
    },
    sassafrasslip_core::{
        claim::{BodyHash, ClaimRecord, ClaimState, StoredAnswer},
        ids::RequestId,
    },
    sassafrasslip_daemon::{
        agent::claims::sweeper::sweep_pass, constants::MAX_INLINE_ANSWER_BYTES,
        options::agent::TargetKind,
    },
    sassafrasslip_proto::link::{
        Cancel, Dispatch, FailureOutcome, RefusalReason, link_frame::Message,
    },
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
};

const CLAIM_KEY: &str = "claim/prints/shop/k";

/// Time that a caller waits whose deadline passes during a write of [`LONG_WRITE`], but not before
/// the agent has admitted the call.
const SHORT_DEADLINE_MS: u64 = 500;

/// Time of a write that lasts beyond [`SHORT_DEADLINE_MS`].
const LONG_WRITE: Duration = Duration::from_millis(1_000);

async fn start() -> TestAgent {
    TestAgent::start(TargetKind::Plain).await
}

fn refused(reason: RefusalReason) -> TestReply {
    TestReply::Refused(reason)
}

fn encoded_record(state: ClaimState, created_ms: u64) -> String {
    let (entry_incarnation, counter) = (1, 1);
    let record = ClaimRecord {
        state,
        body_hash: BodyHash::of_call("POST", "/runs", b"{}"),
        nonce: 5,
        excluded: Vec::new(),
        incarnation: 1,
        request_id: RequestId {
            entry_incarnation,
            counter,
        },
        created_ms,
        retention_ms: 1_000,
    };
    record.encode().unwrap()
}

/// Returns a tombstone that excludes the attempts with these nonces.
fn encoded_tombstone(excluded: &[u64]) -> String {
    let record = ClaimRecord::decode(&encoded_record(ClaimState::Tombstone, 0)).unwrap();
    let excluded = excluded.iter();
    let tombstone = excluded.fold(record, |record, nonce| record.excluding(*nonce));
    tombstone.encode().unwrap()
}

/// Returns the state of the record of [`CLAIM_KEY`], if there is one.
fn stored_state(agent: &TestAgent) -> Option<ClaimState> {
    let state = agent.platform.state.lock().unwrap();
    let (_, value) = state.items.get(CLAIM_KEY)?;
    Some(ClaimRecord::decode(value).unwrap().state)
}

/// Returns the nonces that the record of [`CLAIM_KEY`] excludes, if it is a tombstone.
fn excluded_nonces(agent: &TestAgent) -> Option<Vec<u64>> {
    let state = agent.platform.state.lock().unwrap();
    let (_, value) = state.items.get(CLAIM_KEY)?;
    let record = ClaimRecord::decode(value).unwrap();
    (record.state == ClaimState::Tombstone).then_some(record.excluded)
}

fn is_done(agent: &TestAgent) -> bool {
    matches!(stored_state(agent), Some(ClaimState::Done { .. }))
}

#[tokio::test]
async fn repeated_key_gets_the_stored_answer() {
    let agent = start().await;
    let first = agent.connect().await.ask(keyed_dispatch(1, "k")).await;
    let body = "run 1 /runs".into();
    assert_eq!(
        first,
        TestReply::Answer {
            status: 201,
            body,
            replayed: false
        }
    );
    let mut other_entry = agent.connect().await;
    let body = "run 1 /runs".into();
    let replayed = TestReply::Answer {
        status: 201,
        body,
        replayed: true,
    };
    assert_eq!(other_entry.ask(keyed_dispatch(2, "k")).await, replayed);
    assert_eq!(agent.target.runs(), 1);
}

/// Sends a call while the first transactions of the table fail, then repeats it with the same key.
/// Guards against a second run of a call whose start record or answer may have been written.
fn check_table_fault(faults: &[TableFault], first_call_runs: bool, expected_runs: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let agent = start().await;
        agent.platform.fail_next(faults.iter().copied());
        let mut entry = agent.connect().await;
        let first = entry.ask(keyed_dispatch(1, "k")).await;
        assert_eq!(first.is_run(1), first_call_runs, "{first:?}");
        if first_call_runs {
            eventually("answer is stored", || is_done(&agent)).await;
        } else {
            assert_eq!(first, refused(RefusalReason::TableDown));
            assert_eq!(agent.target.runs(), 0);
        }
        assert!(entry.ask(keyed_dispatch(2, "k")).await.is_run(1));
        assert_eq!(agent.target.runs(), expected_runs);
    });
}

test_cases! {
    fn check_table_fault(faults: &[TableFault], first_call_runs: bool, expected_runs: u64);
    insert_answer_lost: (&[TableFault::LoseAnswer], true, 1);
    insert_request_lost: (&[TableFault::LoseRequest], true, 1);
    insert_lost_twice: (&[TableFault::LoseRequest, TableFault::LoseAnswer], true, 1);
    table_down_refuses: (&[TableFault::Down], false, 1);
    store_answer_lost: (&[TableFault::Delay(Duration::ZERO), TableFault::LoseAnswer], true, 1);
    store_fails: (&[TableFault::Delay(Duration::ZERO), TableFault::Down], true, 1);
}

/// Guards against idempotent calls that are refused during an outage of the table, which they do
/// not need.
#[tokio::test]
async fn idempotent_calls_continue_while_the_table_is_down() {
    let agent = start().await;
    agent.platform.state.lock().unwrap().reads_down = true;
    let mut entry = agent.connect().await;
    let reply = entry.ask(keyed_dispatch(1, "k")).await;
    assert_eq!(reply, refused(RefusalReason::TableDown));
    assert!(entry.ask(new_dispatch(2, "GET", "/x")).await.is_run(1));
}

/// Guards against a tombstone that blocks its key for good, and against a later attempt that drops
/// the exclusions. The nonce of an attempt is 1000 plus its counter.
#[tokio::test]
async fn tombstone_excludes_its_attempts_and_no_other() {
    let agent = start().await;
    let tombstone = encoded_tombstone(&[1_001]);
    agent
        .platform
        .state
        .lock()
        .unwrap()
        .put(CLAIM_KEY, tombstone);
    let mut entry = agent.connect().await;
    let reply = entry.ask(keyed_dispatch(1, "k")).await;
    assert_eq!(reply, refused(RefusalReason::Tombstone));
    assert_eq!(agent.target.runs(), 0);
    // The caller repeats its key, and the excluded attempt still never runs.
    assert!(entry.ask(keyed_dispatch(2, "k")).await.is_run(1));
    eventually("answer is stored", || is_done(&agent)).await;
    let value = agent.platform.state.lock().unwrap().items[CLAIM_KEY]
        .1
        .clone();
    assert_eq!(ClaimRecord::decode(&value).unwrap().excluded, [1_001]);
    assert!(entry.ask(keyed_dispatch(1, "k")).await.is_run(1));
    assert_eq!(agent.target.runs(), 1);
}

/// Guards against a second run when the transaction that replaces a tombstone with a start record,
/// or its answer, is lost.
fn check_replacement_fault(faults: &[TableFault]) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let agent = start().await;
        let tombstone = encoded_tombstone(&[7]);
        agent
            .platform
            .state
            .lock()
            .unwrap()
            .put(CLAIM_KEY, tombstone);
        // The first transaction is the insert, which conflicts with the tombstone.
        let insert = TableFault::Delay(Duration::ZERO);
        agent
            .platform
            .fail_next([insert].into_iter().chain(faults.iter().copied()));
        let mut entry = agent.connect().await;
        assert!(entry.ask(keyed_dispatch(1, "k")).await.is_run(1));
        assert!(entry.ask(keyed_dispatch(2, "k")).await.is_run(1));
        assert_eq!(agent.target.runs(), 1);
    });
}

test_cases! {
    fn check_replacement_fault(faults: &[TableFault]);
    replacement_answer_lost: (&[TableFault::LoseAnswer]);
    replacement_request_lost: (&[TableFault::LoseRequest]);
    replacement_lost_twice: (&[TableFault::LoseRequest, TableFault::LoseAnswer]);
}

/// Guards against a run by an agent that was paused before it inserted its start record. Meanwhile
/// its attempt is settled as not run, and two later attempts at another agent write a start record
/// and withdraw it.
#[tokio::test]
async fn delayed_attempt_never_runs_after_later_attempts() {
    let delayed = start().await;
    let agent = TestAgent::start_with(TargetKind::Plain, delayed.platform.clone()).await;
    let platform = &delayed.platform;
    platform.fail_next([TableFault::Hold(LONG_WRITE * 4)]);
    let mut delayed_entry = delayed.connect().await;
    delayed_entry.dispatch(keyed_dispatch(1, "k")).await;
    let is_held = || platform.state.lock().unwrap().faults.is_empty();
    eventually("insert is in flight", is_held).await;
    // The entry settles the delayed attempt by writing this tombstone.
    let settled = encoded_tombstone(&[1_001]);
    platform.state.lock().unwrap().put(CLAIM_KEY, settled);
    let mut entry = agent.connect().await;
    for (counter, expected) in [(2, vec![1_001, 1_002]), (3, vec![1_001, 1_002, 1_003])] {
        let insert = TableFault::Delay(Duration::ZERO);
        let replacement = TableFault::Delay(LONG_WRITE);
        platform.fail_next([insert, replacement]);
        let short_deadline = Dispatch {
            remaining_ms: SHORT_DEADLINE_MS,
            ..keyed_dispatch(counter, "k")
        };
        let reply = entry.ask(short_deadline).await;
        assert_eq!(reply, refused(RefusalReason::Deadline));
        assert_eq!(excluded_nonces(&agent), Some(expected));
    }
    let reply = delayed_entry.wait_for_reply(request_id(1)).await;
    assert_eq!(reply, refused(RefusalReason::Tombstone));
    assert_eq!((delayed.target.runs(), agent.target.runs()), (0, 0));
    assert!(entry.ask(keyed_dispatch(4, "k")).await.is_run(1));
}

/// Guards against a key that stays blocked because the table was down when the agent withdrew the
/// start record.
#[tokio::test]
async fn failed_withdrawal_is_repeated() {
    let agent = start().await;
    agent
        .platform
        .fail_next([TableFault::Delay(LONG_WRITE), TableFault::Down]);
    let short_deadline = Dispatch {
        remaining_ms: SHORT_DEADLINE_MS,
        ..keyed_dispatch(1, "k")
    };
    let mut entry = agent.connect().await;
    assert_eq!(
        entry.ask(short_deadline).await,
        refused(RefusalReason::Deadline)
    );
    assert_eq!(stored_state(&agent), Some(ClaimState::Started));
    eventually("record is withdrawn", || excluded_nonces(&agent).is_some()).await;
    assert!(entry.ask(keyed_dispatch(2, "k")).await.is_run(1));
}

/// Guards against a start record that stays behind: the answer to its write is lost, and the
/// attempt reaches its deadline before it can read the record back.
#[tokio::test]
async fn write_that_is_never_read_back_is_withdrawn() {
    let agent = start().await;
    let mut entry = agent.connect().await;
    // From the first call the agent learns the table's time, so the next call needs no read.
    assert!(entry.ask(keyed_dispatch(9, "other")).await.is_run(1));
    agent.platform.fail_next([TableFault::LoseAnswer]);
    agent.platform.state.lock().unwrap().reads_down = true;
    let short_deadline = Dispatch {
        remaining_ms: 200,
        ..keyed_dispatch(1, "k")
    };
    assert_eq!(
        entry.ask(short_deadline).await,
        refused(RefusalReason::TableDown)
    );
    assert_eq!(stored_state(&agent), Some(ClaimState::Started));
    agent.platform.state.lock().unwrap().reads_down = false;
    eventually("record is withdrawn", || excluded_nonces(&agent).is_some()).await;
    assert!(entry.ask(keyed_dispatch(2, "k")).await.is_run(2));
}

#[tokio::test]
async fn key_is_in_use_while_its_call_runs_and_belongs_to_one_body() {
    let agent = start().await;
    agent.target.set_mode(TargetMode::Gated);
    let mut entry = agent.connect().await;
    entry.dispatch(keyed_dispatch(1, "k")).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    let reply = entry.ask(keyed_dispatch(2, "k")).await;
    assert_eq!(reply, refused(RefusalReason::KeyInUse));
    let mut other = keyed_dispatch(3, "k");
    let scope = other.idempotency.as_mut().unwrap();
    scope.body_hash = BodyHash::of_call("POST", "/runs", b"other")
        .0
        .to_vec()
        .into();
    assert_eq!(entry.ask(other).await, refused(RefusalReason::KeyReused));
    agent.target.gate.add_permits(1);
    assert!(entry.wait_for_reply(request_id(1)).await.is_run(1));
}

/// Guards against a call that a Cancel or a closed link stops after it was handed to the target: it
/// has to run to its end, so that a repeat gets its answer.
#[tokio::test]
async fn cancel_and_closed_link_do_not_stop_a_call_in_flight() {
    let agent = start().await;
    agent.target.set_mode(TargetMode::Gated);
    let entry = agent.connect().await;
    entry.dispatch(keyed_dispatch(1, "k")).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    let request_id = Some(request_id(1));
    entry.send(Message::Cancel(Cancel { request_id })).await;
    drop(entry);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(agent.agent.admission.load().in_flight, 1);
    agent.target.gate.add_permits(1);
    eventually("answer is stored", || is_done(&agent)).await;
    assert!(
        agent
            .connect()
            .await
            .ask(keyed_dispatch(2, "k"))
            .await
            .is_run(1)
    );
}

/// Guards against a run after the deadline, for which no caller waits any more, because the insert
/// of the start record was slow or the agent was paused.
#[tokio::test]
async fn insert_that_ends_after_the_deadline_is_withdrawn() {
    let agent = start().await;
    let delay = TableFault::Delay(LONG_WRITE);
    agent.platform.fail_next([delay]);
    let short_deadline = Dispatch {
        remaining_ms: SHORT_DEADLINE_MS,
        ..keyed_dispatch(1, "k")
    };
    let reply = agent.connect().await.ask(short_deadline).await;
    assert_eq!(reply, refused(RefusalReason::Deadline));
    assert_eq!(agent.target.runs(), 0);
    assert_eq!(excluded_nonces(&agent), Some(vec![1_001]));
}

/// Guards against a run of a call that was cancelled while its start record was being written.
#[tokio::test]
async fn call_cancelled_before_it_reaches_the_target_does_not_run() {
    let agent = start().await;
    let delay = TableFault::Delay(Duration::from_millis(100));
    agent.platform.fail_next([delay]);
    let mut entry = agent.connect().await;
    entry.dispatch(keyed_dispatch(1, "k")).await;
    eventually("start record is written", || stored_state(&agent).is_some()).await;
    let id = Some(request_id(1));
    entry.send(Message::Cancel(Cancel { request_id: id })).await;
    let reply = entry.wait_for_reply(request_id(1)).await;
    assert_eq!(reply, refused(RefusalReason::Deadline));
    assert_eq!(agent.target.runs(), 0);
    assert_eq!(excluded_nonces(&agent), Some(vec![1_001]));
}

/// Guards against a second run when the service closes the connection before it answers.
#[tokio::test]
async fn lost_answer_of_the_service_is_unknown_and_not_repeated() {
    let agent = start().await;
    agent.target.set_mode(TargetMode::Hangup);
    let mut entry = agent.connect().await;
    let reply = entry.ask(keyed_dispatch(1, "k")).await;
    assert_eq!(reply, TestReply::Failed(FailureOutcome::Unknown, "".into()));
    let reply = entry.ask(keyed_dispatch(2, "k")).await;
    assert_eq!(reply, refused(RefusalReason::KeyInUse));
    assert_eq!(agent.target.runs(), 1);
}

#[tokio::test]
async fn large_answer_is_kept_in_the_object_store() {
    let agent = start().await;
    agent
        .target
        .set_mode(TargetMode::Large(MAX_INLINE_ANSWER_BYTES + 1));
    let mut entry = agent.connect().await;
    let TestReply::Answer { body, .. } = entry.ask(keyed_dispatch(1, "k")).await else {
        panic!("the call was not answered");
    };
    assert_eq!(agent.platform.state.lock().unwrap().objects.len(), 1);
    let replayed = TestReply::Answer {
        status: 201,
        body,
        replayed: true,
    };
    assert_eq!(entry.ask(keyed_dispatch(2, "k")).await, replayed);
    assert_eq!(agent.target.runs(), 1);
}

/// Guards against a second run of a call that ran while the object store was down, so that its
/// answer could not be stored.
#[tokio::test]
async fn answer_that_could_not_be_stored_is_never_reported_as_not_run() {
    let agent = start().await;
    agent
        .target
        .set_mode(TargetMode::Large(MAX_INLINE_ANSWER_BYTES + 1));
    agent.platform.state.lock().unwrap().objects_down = true;
    let mut entry = agent.connect().await;
    let first = entry.ask(keyed_dispatch(1, "k")).await;
    assert!(matches!(
        first,
        TestReply::Answer {
            replayed: false,
            ..
        }
    ));
    let answer = StoredAnswer::NotStored;
    assert_eq!(stored_state(&agent), Some(ClaimState::Done { answer }));
    let reply = entry.ask(keyed_dispatch(2, "k")).await;
    assert_eq!(reply, refused(RefusalReason::AnswerNotStored));
}

/// Guards against an overload of the table, which takes several hundred writes a second: inserts
/// that arrive during a transaction share the next one. If that conflicts because one key is taken,
/// the other inserts are repeated one by one and their calls still run.
#[tokio::test]
async fn inserts_during_a_transaction_share_the_next_one() {
    let agent = start().await;
    agent
        .platform
        .state
        .lock()
        .unwrap()
        .put(CLAIM_KEY, encoded_tombstone(&[1_003]));
    let delay = TableFault::Delay(Duration::from_millis(100));
    agent.platform.fail_next([delay]);
    let mut entry = agent.connect().await;
    agent.target.set_mode(TargetMode::Gated);
    entry.dispatch(keyed_dispatch(1, "a")).await;
    let transactions = || agent.platform.state.lock().unwrap().transactions.clone();
    eventually("first insert is in flight", || transactions() == [1]).await;
    for (counter, key) in [(2, "b"), (3, "k"), (4, "c")] {
        entry.dispatch(keyed_dispatch(counter, key)).await;
    }
    assert_eq!(
        entry.wait_for_reply(request_id(3)).await,
        refused(RefusalReason::Tombstone)
    );
    eventually("other calls run", || agent.target.runs() == 3).await;
    assert_eq!(transactions(), [1, 3, 1, 1, 1]);
}

#[tokio::test]
async fn sweeper_deletes_expired_records_of_its_service_only() {
    let agent = start().await;
    {
        let mut state = agent.platform.state.lock().unwrap();
        state.time_ms = 5_000;
        state.put(
            "claim/prints/shop/old",
            encoded_record(ClaimState::Started, 4_000),
        );
        state.put(
            "claim/prints/shop/new",
            encoded_record(ClaimState::Started, 4_001),
        );
        state.put("claim/prints/shop/bad", "not a record".to_owned());
        state.put(
            "claim/lanes/shop/old",
            encoded_record(ClaimState::Started, 0),
        );
    }
    let service = "prints".parse().unwrap();
    let deleted = sweep_pass(&agent.agent.claims, &service).await.unwrap();
    assert_eq!(deleted, 1);
    let state = agent.platform.state.lock().unwrap();
    let keys: Vec<_> = state.items.keys().map(String::as_str).collect();
    let kept = [
        "claim/lanes/shop/old",
        "claim/prints/shop/bad",
        "claim/prints/shop/new",
    ];
    assert_eq!(keys, kept);
}
