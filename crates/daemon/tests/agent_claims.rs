//! Guards non-idempotent calls over a real link: they run at most once, whatever the table, the
//! object store, the service and the entry's link do.

mod agent_support;

use {
    agent_support::{
        TestAgent,
        entry::{TestReply, call, claimed_call, request_id},
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

const KEY: &str = "claim/prints/shop/k";

async fn start() -> TestAgent {
    TestAgent::start(TargetKind::Plain).await
}

fn refused(reason: RefusalReason) -> TestReply {
    TestReply::Refused(reason)
}

fn record(state: ClaimState, created_ms: u64) -> String {
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

fn tombstone(excluded: &[u64]) -> String {
    let record = ClaimRecord::decode(&record(ClaimState::Tombstone, 0)).unwrap();
    let excluded = excluded.iter();
    let tombstone = excluded.fold(record, |one, nonce| one.excluding(*nonce));
    tombstone.encode().unwrap()
}

fn stored(agent: &TestAgent) -> Option<ClaimState> {
    let state = agent.platform.state.lock().unwrap();
    let (_, value) = state.items.get(KEY)?;
    Some(ClaimRecord::decode(value).unwrap().state)
}

/// Returns the attempts that the tombstone of the key excludes.
fn excluded(agent: &TestAgent) -> Option<Vec<u64>> {
    let state = agent.platform.state.lock().unwrap();
    let (_, value) = state.items.get(KEY)?;
    let record = ClaimRecord::decode(value).unwrap();
    (record.state == ClaimState::Tombstone).then_some(record.excluded)
}

fn is_done(agent: &TestAgent) -> bool {
    matches!(stored(agent), Some(ClaimState::Done { .. }))
}

#[tokio::test]
async fn repeated_key_gets_the_stored_answer() {
    let agent = start().await;
    let first = agent.connect().await.ask(claimed_call(1, "k")).await;
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
    assert_eq!(other_entry.ask(claimed_call(2, "k")).await, replayed);
    assert_eq!(agent.target.runs(), 1);
}

/// Runs one call under faults of the table, then repeats it.
fn check_fault(faults: &[TableFault], first_runs: bool, runs: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let agent = start().await;
        agent.platform.fail_next(faults.iter().copied());
        let mut entry = agent.connect().await;
        let first = entry.ask(claimed_call(1, "k")).await;
        assert_eq!(first.is_run(1), first_runs, "{first:?}");
        if first_runs {
            eventually("answer is stored", || is_done(&agent)).await;
        } else {
            assert_eq!(first, refused(RefusalReason::TableDown));
            assert_eq!(agent.target.runs(), 0);
        }
        assert!(entry.ask(claimed_call(2, "k")).await.is_run(1));
        assert_eq!(agent.target.runs(), runs);
    });
}

test_cases! {
    fn check_fault(faults: &[TableFault], first_runs: bool, runs: u64);
    insert_answer_lost: (&[TableFault::LoseAnswer], true, 1);
    insert_request_lost: (&[TableFault::LoseRequest], true, 1);
    insert_lost_twice: (&[TableFault::LoseRequest, TableFault::LoseAnswer], true, 1);
    table_down_refuses: (&[TableFault::Down], false, 1);
    store_answer_lost: (&[TableFault::Delay(Duration::ZERO), TableFault::LoseAnswer], true, 1);
    store_fails: (&[TableFault::Delay(Duration::ZERO), TableFault::Down], true, 1);
}

#[tokio::test]
async fn idempotent_calls_go_on_while_the_table_is_down() {
    let agent = start().await;
    agent.platform.state.lock().unwrap().reads_down = true;
    let mut entry = agent.connect().await;
    let reply = entry.ask(claimed_call(1, "k")).await;
    assert_eq!(reply, refused(RefusalReason::TableDown));
    assert!(entry.ask(call(2, "GET", "/x")).await.is_run(1));
}

/// The nonce of a call of these tests is 1000 plus its counter.
#[tokio::test]
async fn tombstone_excludes_its_attempts_and_no_other() {
    let agent = start().await;
    let tombstone = tombstone(&[1_001]);
    agent.platform.state.lock().unwrap().put(KEY, tombstone);
    let mut entry = agent.connect().await;
    let reply = entry.ask(claimed_call(1, "k")).await;
    assert_eq!(reply, refused(RefusalReason::Tombstone));
    assert_eq!(agent.target.runs(), 0);
    // The caller repeats its key, and the attempt that was excluded still never runs.
    assert!(entry.ask(claimed_call(2, "k")).await.is_run(1));
    eventually("answer is stored", || is_done(&agent)).await;
    let value = agent.platform.state.lock().unwrap().items[KEY].1.clone();
    assert_eq!(ClaimRecord::decode(&value).unwrap().excluded, [1_001]);
    assert!(entry.ask(claimed_call(1, "k")).await.is_run(1));
    assert_eq!(agent.target.runs(), 1);
}

/// Guards the replacement of a tombstone against lost answers and requests of the table.
fn check_replacement_fault(faults: &[TableFault]) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let agent = start().await;
        let tombstone = tombstone(&[7]);
        agent.platform.state.lock().unwrap().put(KEY, tombstone);
        // The first transaction is the insert, which conflicts.
        let insert = TableFault::Delay(Duration::ZERO);
        agent
            .platform
            .fail_next([insert].into_iter().chain(faults.iter().copied()));
        let mut entry = agent.connect().await;
        assert!(entry.ask(claimed_call(1, "k")).await.is_run(1));
        assert!(entry.ask(claimed_call(2, "k")).await.is_run(1));
        assert_eq!(agent.target.runs(), 1);
    });
}

test_cases! {
    fn check_replacement_fault(faults: &[TableFault]);
    replacement_answer_lost: (&[TableFault::LoseAnswer]);
    replacement_request_lost: (&[TableFault::LoseRequest]);
    replacement_lost_twice: (&[TableFault::LoseRequest, TableFault::LoseAnswer]);
}

/// Guards against an agent that was frozen before its insert: its attempt was settled as not run,
/// and two later attempts came and went at another agent.
#[tokio::test]
async fn frozen_attempt_never_runs_after_later_attempts() {
    let frozen = start().await;
    let agent = TestAgent::start_with(TargetKind::Plain, frozen.platform.clone()).await;
    let platform = &frozen.platform;
    platform.fail_next([TableFault::Hold(Duration::from_millis(800))]);
    let mut frozen_entry = frozen.connect().await;
    frozen_entry.dispatch(claimed_call(1, "k")).await;
    let is_held = || platform.state.lock().unwrap().faults.is_empty();
    eventually("insert is on its way", is_held).await;
    // What the settlement of the frozen attempt writes.
    let settled = tombstone(&[1_001]);
    platform.state.lock().unwrap().put(KEY, settled);
    let mut entry = agent.connect().await;
    for (counter, expected) in [(2, vec![1_001, 1_002]), (3, vec![1_001, 1_002, 1_003])] {
        let insert = TableFault::Delay(Duration::ZERO);
        let replacement = TableFault::Delay(Duration::from_millis(100));
        platform.fail_next([insert, replacement]);
        let late = Dispatch {
            remaining_ms: 50,
            ..claimed_call(counter, "k")
        };
        let reply = entry.ask(late).await;
        assert_eq!(reply, refused(RefusalReason::Deadline));
        assert_eq!(excluded(&agent), Some(expected));
    }
    let reply = frozen_entry.reply(request_id(1)).await;
    assert_eq!(reply, refused(RefusalReason::Tombstone));
    assert_eq!((frozen.target.runs(), agent.target.runs()), (0, 0));
    assert!(entry.ask(claimed_call(4, "k")).await.is_run(1));
}

/// Guards against a key that stays blocked because the table failed when the start record was
/// withdrawn.
#[tokio::test]
async fn failed_withdrawal_is_repeated() {
    let agent = start().await;
    agent.platform.fail_next([
        TableFault::Delay(Duration::from_millis(100)),
        TableFault::Down,
    ]);
    let late = Dispatch {
        remaining_ms: 50,
        ..claimed_call(1, "k")
    };
    let mut entry = agent.connect().await;
    assert_eq!(entry.ask(late).await, refused(RefusalReason::Deadline));
    assert_eq!(stored(&agent), Some(ClaimState::Started));
    eventually("record is withdrawn", || excluded(&agent).is_some()).await;
    assert!(entry.ask(claimed_call(2, "k")).await.is_run(1));
}

/// Guards against a start record that an attempt leaves when it gives up reading back a lost write.
#[tokio::test]
async fn write_that_is_never_read_back_is_withdrawn() {
    let agent = start().await;
    let mut entry = agent.connect().await;
    // The first call lets the agent learn the table's time, so that the next one only writes.
    assert!(entry.ask(claimed_call(9, "other")).await.is_run(1));
    agent.platform.fail_next([TableFault::LoseAnswer]);
    agent.platform.state.lock().unwrap().reads_down = true;
    let late = Dispatch {
        remaining_ms: 200,
        ..claimed_call(1, "k")
    };
    assert_eq!(entry.ask(late).await, refused(RefusalReason::TableDown));
    assert_eq!(stored(&agent), Some(ClaimState::Started));
    agent.platform.state.lock().unwrap().reads_down = false;
    eventually("record is withdrawn", || excluded(&agent).is_some()).await;
    assert!(entry.ask(claimed_call(2, "k")).await.is_run(2));
}

#[tokio::test]
async fn key_is_in_use_while_its_call_runs_and_belongs_to_one_body() {
    let agent = start().await;
    agent.target.set_mode(TargetMode::Gated);
    let mut entry = agent.connect().await;
    entry.dispatch(claimed_call(1, "k")).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    let reply = entry.ask(claimed_call(2, "k")).await;
    assert_eq!(reply, refused(RefusalReason::KeyInUse));
    let mut other = claimed_call(3, "k");
    let scope = other.idempotency.as_mut().unwrap();
    scope.body_hash = BodyHash::of_call("POST", "/runs", b"other")
        .0
        .to_vec()
        .into();
    assert_eq!(entry.ask(other).await, refused(RefusalReason::KeyReused));
    agent.target.gate.add_permits(1);
    assert!(entry.reply(request_id(1)).await.is_run(1));
}

/// Guards the rule that a call that was handed over runs to its end, so that a repeat gets its
/// answer: neither a closed link nor a Cancel stops it.
#[tokio::test]
async fn call_in_flight_outlives_cancel_and_link() {
    let agent = start().await;
    agent.target.set_mode(TargetMode::Gated);
    let entry = agent.connect().await;
    entry.dispatch(claimed_call(1, "k")).await;
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
            .ask(claimed_call(2, "k"))
            .await
            .is_run(1)
    );
}

/// A frozen or slow insert must not lead to a run that nobody waits for.
#[tokio::test]
async fn insert_that_ends_after_the_deadline_is_withdrawn() {
    let agent = start().await;
    let delay = TableFault::Delay(Duration::from_millis(100));
    agent.platform.fail_next([delay]);
    let late = Dispatch {
        remaining_ms: 50,
        ..claimed_call(1, "k")
    };
    let reply = agent.connect().await.ask(late).await;
    assert_eq!(reply, refused(RefusalReason::Deadline));
    assert_eq!(agent.target.runs(), 0);
    assert_eq!(excluded(&agent), Some(vec![1_001]));
}

#[tokio::test]
async fn cancel_before_the_hand_over_keeps_the_call_from_running() {
    let agent = start().await;
    let delay = TableFault::Delay(Duration::from_millis(100));
    agent.platform.fail_next([delay]);
    let mut entry = agent.connect().await;
    entry.dispatch(claimed_call(1, "k")).await;
    eventually("record is there", || stored(&agent).is_some()).await;
    let id = Some(request_id(1));
    entry.send(Message::Cancel(Cancel { request_id: id })).await;
    let reply = entry.reply(request_id(1)).await;
    assert_eq!(reply, refused(RefusalReason::Deadline));
    assert_eq!(agent.target.runs(), 0);
    assert_eq!(excluded(&agent), Some(vec![1_001]));
}

#[tokio::test]
async fn lost_answer_of_the_service_is_unknown_and_not_repeated() {
    let agent = start().await;
    agent.target.set_mode(TargetMode::Hangup);
    let mut entry = agent.connect().await;
    let reply = entry.ask(claimed_call(1, "k")).await;
    assert_eq!(reply, TestReply::Failed(FailureOutcome::Unknown, "".into()));
    let reply = entry.ask(claimed_call(2, "k")).await;
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
    let TestReply::Answer { body, .. } = entry.ask(claimed_call(1, "k")).await else {
        panic!("call is answered");
    };
    assert_eq!(agent.platform.state.lock().unwrap().objects.len(), 1);
    let replayed = TestReply::Answer {
        status: 201,
        body,
        replayed: true,
    };
    assert_eq!(entry.ask(claimed_call(2, "k")).await, replayed);
    assert_eq!(agent.target.runs(), 1);
}

#[tokio::test]
async fn answer_that_could_not_be_stored_is_never_reported_as_not_run() {
    let agent = start().await;
    agent
        .target
        .set_mode(TargetMode::Large(MAX_INLINE_ANSWER_BYTES + 1));
    agent.platform.state.lock().unwrap().objects_down = true;
    let mut entry = agent.connect().await;
    let first = entry.ask(claimed_call(1, "k")).await;
    assert!(matches!(
        first,
        TestReply::Answer {
            replayed: false,
            ..
        }
    ));
    let answer = StoredAnswer::NotStored;
    assert_eq!(stored(&agent), Some(ClaimState::Done { answer }));
    let reply = entry.ask(claimed_call(2, "k")).await;
    assert_eq!(reply, refused(RefusalReason::AnswerNotStored));
}

/// Guards the table's limit of several hundred writes a second, and the fallback: one taken key
/// must not refuse the other calls of its group.
#[tokio::test]
async fn inserts_during_a_transaction_share_the_next_one() {
    let agent = start().await;
    agent
        .platform
        .state
        .lock()
        .unwrap()
        .put(KEY, tombstone(&[1_003]));
    let delay = TableFault::Delay(Duration::from_millis(100));
    agent.platform.fail_next([delay]);
    let mut entry = agent.connect().await;
    agent.target.set_mode(TargetMode::Gated);
    entry.dispatch(claimed_call(1, "a")).await;
    let transactions = || agent.platform.state.lock().unwrap().transactions.clone();
    eventually("first insert is on its way", || transactions() == [1]).await;
    for (counter, key) in [(2, "b"), (3, "k"), (4, "c")] {
        entry.dispatch(claimed_call(counter, key)).await;
    }
    assert_eq!(
        entry.reply(request_id(3)).await,
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
        state.put("claim/prints/shop/old", record(ClaimState::Started, 4_000));
        state.put("claim/prints/shop/new", record(ClaimState::Started, 4_001));
        state.put("claim/prints/shop/bad", "not a record".to_owned());
        state.put("claim/lanes/shop/old", record(ClaimState::Started, 0));
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
