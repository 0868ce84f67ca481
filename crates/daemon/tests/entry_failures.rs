//! Guards retries, resumed streams and the outcome of calls whose link is lost: a caller gets the
//! whole answer to its own request or sees that it broke (guarantee P2), a call that was refused as
//! `not-run` never runs (P3), and a non-idempotent call runs at most once (P4).

mod entry_support;

use {
    bytes::Bytes,
    entry_support::{
        FakeAgent, Reply, STREAM, Script, TEAM, TableMode, TestEntry, chunk, end, generate_request,
        head, plain_answer, request, run_test, send_all, three_tokens, token_line, wait_until,
    },
    sassafrasslip_core::{
        claim::{
            AnswerBody, BodyHash, ClaimRecord, ClaimScope, ClaimState, MAX_EXCLUDED, StoredAnswer,
        },
        ids::RequestId,
    },
    sassafrasslip_daemon::platform::TableItem,
    sassafrasslip_proto::link::{AnswerFailed, Dispatch, FailureOutcome, link_frame::Message},
    sassafrasslip_testkit::test_cases,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
    xxhash_rust::xxh3::xxh3_64,
};

/// Returns a script, shared by the agents of a service, that fails the first call after `tokens`
/// tokens, whichever agent gets it, and answers all later ones.
fn fails_first_call(tokens: u64, outcome: FailureOutcome) -> Script {
    let calls = AtomicUsize::new(0);
    Arc::new(move |dispatch, sender| {
        if calls.fetch_add(1, Ordering::SeqCst) > 0 {
            return three_tokens()(dispatch, sender);
        }
        let mut messages = vec![head(&dispatch, 200)];
        let lines = (0..tokens).map(|index| chunk(&dispatch, index, index, &token_line(index)));
        messages.extend(lines);
        messages.push(Message::AnswerFailed(AnswerFailed {
            request_id: dispatch.request_id,
            outcome: outcome.into(),
            reason: "engine_lost".to_owned(),
            load: None,
            attempt: dispatch.attempt,
        }));
        send_all(&sender, messages);
    })
}

/// Calls a model service whose first attempt breaks after two tokens. Returns the reply, the index
/// of the token at which the second attempt had to start, and the entry.
async fn call_with_broken_attempt(headers: &[&str]) -> (Reply, u64, TestEntry) {
    let script = fails_first_call(2, FailureOutcome::Interrupted);
    let first = FakeAgent::model("t1", Arc::clone(&script)).await;
    let second = FakeAgent::model("t2", script).await;
    let entry = TestEntry::with_agents(&[&first, &second]).await;
    let reply = entry.call(&generate_request(headers)).await;
    let mut dispatches = [first.dispatches(), second.dispatches()].concat();
    dispatches.sort_by_key(|dispatch| dispatch.attempt);
    assert_eq!(
        (first.dispatches().len(), second.dispatches().len()),
        (1, 1)
    );
    (reply, dispatches[1].resume_token_index, entry)
}

#[test]
fn broken_stream_resumes_at_another_target() {
    run_test(async {
        let (reply, resumed_at, entry) = call_with_broken_attempt(&[TEAM, STREAM]).await;
        assert_eq!(resumed_at, 2);
        let lines: Vec<_> = reply
            .body
            .lines()
            .filter(|line| line.starts_with('{'))
            .collect();
        let expected =
            [token_line(0), token_line(1), token_line(2)].map(|line| line.trim_end().to_owned());
        assert_eq!(lines[..3], expected, "{reply:?}");
        assert_eq!(lines[3], r#"{"end":true,"tokens":3}"#);
        assert!(reply.body.ends_with("\r\n0\r\n\r\n"));
        assert_eq!(entry.context.metrics.retries.get(), 1);
    });
}

#[test]
fn broken_whole_answer_restarts_from_the_first_token() {
    run_test(async {
        let (reply, resumed_at, _entry) = call_with_broken_attempt(&[TEAM]).await;
        assert_eq!(resumed_at, 0);
        assert_eq!(reply.body, r#"{"text":"t0 t1 t2 ","tokens":3}"#);
    });
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    run_test(async {
        let script: Script = Arc::new(|dispatch, sender| {
            fails_first_call(0, FailureOutcome::NotRun)(dispatch, sender);
        });
        let first = FakeAgent::model("t1", Arc::clone(&script)).await;
        let second = FakeAgent::model("t2", script).await;
        let entry = TestEntry::with_agents(&[&first, &second]).await;
        for _ in 0..30 {
            let reply = entry.call(&generate_request(&[TEAM])).await;
            assert_eq!(reply.status, 503);
            assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
        }
        let retries = entry.context.metrics.retries.get();
        // The budget starts with one retry, and 30 first attempts add three.
        assert!((3..=4).contains(&retries), "{retries}");
    });
}

/// Guards against a `not-run` for a request whose first attempt may have run, because its last
/// attempt was refused.
#[test]
fn request_that_may_have_run_is_never_reported_as_not_run() {
    run_test(async {
        // The first attempt may have run; the second is refused because no target is left.
        let script = fails_first_call(0, FailureOutcome::Unknown);
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(&generate_request(&[TEAM])).await;
        assert_eq!(reply.status, 502);
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("unknown"));
    });
}

const CLAIM_KEY: &str = "claim/orders/shop/k1";
const CLAIM_HEADERS: [&str; 2] = [TEAM, "Idempotency-Key: k1"];

fn claim_request(headers: &[&str]) -> String {
    let headers = [&CLAIM_HEADERS, headers].concat();
    request("POST", "/services/orders/runs", &headers, "")
}

/// Returns the record that an attempt with nonce 1 writes for the call of [`claim_request`].
fn claim_record(state: ClaimState) -> ClaimRecord {
    let (entry_incarnation, counter) = (1, 1);
    ClaimRecord {
        state,
        body_hash: BodyHash::of_call("POST", "/runs", b""),
        nonce: 1,
        excluded: Vec::new(),
        incarnation: 1,
        request_id: RequestId {
            entry_incarnation,
            counter,
        },
        created_ms: 0,
        retention_ms: 1_000,
    }
}

fn put_record(entry: &TestEntry, record: &ClaimRecord) {
    let item = TableItem {
        key: CLAIM_KEY.to_owned(),
        version: 4,
        value: Some(record.encode().unwrap()),
    };
    let mut items = entry.table.items.lock().unwrap();
    items.insert(CLAIM_KEY.to_owned(), item);
}

fn stored_record(entry: &TestEntry) -> Option<ClaimRecord> {
    let items = entry.table.items.lock().unwrap();
    let value = items.get(CLAIM_KEY)?.value.as_deref()?;
    Some(ClaimRecord::decode(value).unwrap())
}

fn nonce(dispatch: &Dispatch) -> u64 {
    dispatch.idempotency.as_ref().unwrap().attempt_nonce
}

/// Sends a call with an idempotency key and waits until the agent has it; then `change`, which gets
/// the nonce of the attempt, prepares the table, and the link closes. Returns the reply of the
/// entry and the nonce.
async fn lose_link_during_call(
    agent: &FakeAgent,
    entry: &TestEntry,
    headers: &[&str],
    change: impl FnOnce(u64),
) -> (Reply, u64) {
    let stream = entry.send(&claim_request(headers)).await;
    wait_until("call runs", || agent.dispatches().len() == 1).await;
    let nonce = nonce(&agent.dispatches()[0]);
    change(nonce);
    agent.state.close.cancel();
    let reply = entry_support::read_reply(stream).await;
    assert_eq!(agent.dispatches().len(), 1);
    (reply, nonce)
}

/// Guards against a wrong outcome of a call whose link is lost: it is `not-run` only if the table
/// then excludes the attempt.
fn check_lost_call(mode: TableMode, existing: Option<ClaimRecord>, status: u16, outcome: &str) {
    run_test(async move {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let (reply, nonce) =
            lose_link_during_call(&agent, &entry, &["Sassafrasslip-Deadline: 2000"], |_| {
                if let Some(record) = &existing {
                    put_record(&entry, record);
                }
                *entry.table.mode.lock().unwrap() = mode;
            })
            .await;
        assert_eq!(reply.status, status, "{reply:?}");
        assert_eq!(reply.header("sassafrasslip-outcome"), Some(outcome));
        assert!(reply.elapsed < Duration::from_millis(2_500), "{reply:?}");
        let stored = stored_record(&entry);
        let excludes = |nonce| stored.as_ref().is_some_and(|record| record.excludes(nonce));
        assert_eq!(excludes(nonce), outcome == "not-run");
        // Attempts that were excluded before stay excluded.
        let earlier = existing.map(|record| record.excluded).unwrap_or_default();
        assert!(earlier.into_iter().all(excludes));
    });
}

test_cases! {
    fn check_lost_call(mode: TableMode, existing: Option<ClaimRecord>, status: u16, outcome: &str);
    tombstone_proves_that_the_call_was_not_run: (TableMode::Works, None, 503, "not-run");
    start_record_leaves_the_outcome_unknown:
        (TableMode::Works, Some(claim_record(ClaimState::Started)), 502, "unknown");
    earlier_tombstone_is_extended:
        (TableMode::Works, Some(claim_record(ClaimState::Tombstone).excluding(1)), 503, "not-run");
    full_tombstone_leaves_the_outcome_unknown:
        (TableMode::Works, Some(full_tombstone()), 502, "unknown");
    extension_whose_answer_is_lost_is_read_back:
        (TableMode::LosesAnswers, Some(claim_record(ClaimState::Tombstone)), 503, "not-run");
    lost_answer_of_the_table_is_read_back: (TableMode::LosesAnswers, None, 503, "not-run");
    absence_after_a_lost_answer_proves_nothing: (TableMode::LosesWrites, None, 502, "unknown");
    table_down_leaves_the_outcome_unknown: (TableMode::Down, None, 502, "unknown");
}

/// Returns a tombstone that excludes as many attempts as a record can hold.
fn full_tombstone() -> ClaimRecord {
    let nonces = 1..=MAX_EXCLUDED as u64;
    nonces.fold(claim_record(ClaimState::Tombstone), |record, nonce| {
        record.excluding(nonce)
    })
}

/// Guards against an `unknown` outcome of an attempt that the start record of another attempt
/// excludes, so that it cannot run.
#[test]
fn start_record_of_another_attempt_that_excludes_this_one_proves_not_run() {
    run_test(async {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let (reply, _) = lose_link_during_call(&agent, &entry, &[], |nonce| {
            let tombstone = claim_record(ClaimState::Tombstone).excluding(nonce);
            put_record(&entry, &tombstone.with_state(ClaimState::Started));
        })
        .await;
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
    });
}

/// Guards against an entry that waits for the record of a started call until the deadline has
/// passed and the caller has given up.
#[test]
fn started_call_is_unknown_at_once_if_the_deadline_is_near() {
    run_test(async {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        put_record(&entry, &claim_record(ClaimState::Started));
        let reply = entry
            .call(&claim_request(&["Sassafrasslip-Deadline: 200"]))
            .await;
        assert_eq!(reply.status, 504);
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("unknown"));
        assert!(reply.elapsed < Duration::from_millis(400), "{reply:?}");
    });
}

/// Guards against waiting for a record that never becomes done, because the agent has reported the
/// outcome as unknown.
#[test]
fn started_call_whose_agent_reports_unknown_is_unknown_at_once() {
    run_test(async {
        let script = fails_first_call(0, FailureOutcome::Unknown);
        let agent = FakeAgent::plain("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        put_record(&entry, &claim_record(ClaimState::Started));
        let reply = entry.call(&claim_request(&[])).await;
        assert_eq!(reply.status, 502, "{reply:?}");
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("unknown"));
        assert!(reply.elapsed < Duration::from_secs(1), "{reply:?}");
    });
}

/// Guards against a second run: a caller that gets `unknown` may send the call again, although its
/// answer is stored while the entry waits.
fn check_replayed(in_object_store: bool) {
    run_test(async move {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let answer = if in_object_store {
            let body = Bytes::from_static(b"large run");
            let checksum = xxh3_64(&body);
            let mut objects = entry.table.objects.lock().unwrap();
            objects.insert("answer/1".to_owned(), body);
            StoredAnswer::Object {
                status: 201,
                headers: Vec::new(),
                key: "answer/1".to_owned(),
                length: 9,
                checksum,
            }
        } else {
            StoredAnswer::Inline {
                status: 201,
                headers: Vec::new(),
                body: AnswerBody::from(b"large run".as_slice()),
            }
        };
        let started = claim_record(ClaimState::Started);
        put_record(&entry, &started);
        let stream = entry.send(&claim_request(&[])).await;
        wait_until("call runs", || agent.dispatches().len() == 1).await;
        agent.state.close.cancel();
        // The answer is stored while the entry waits.
        sleep(Duration::from_millis(100)).await;
        put_record(&entry, &started.with_state(ClaimState::Done { answer }));
        let reply = entry_support::read_reply(stream).await;
        assert_eq!((reply.status, reply.body.as_str()), (201, "large run"));
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("answered"));
    });
}

test_cases! {
    fn check_replayed(in_object_store: bool);
    done_record_is_replayed_from_the_table: (false);
    done_record_is_replayed_from_the_object_store: (true);
}

#[test]
fn done_call_without_a_stored_answer_is_a_conflict() {
    run_test(async {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let answer = StoredAnswer::NotStored;
        let (reply, _) = lose_link_during_call(&agent, &entry, &[], |_| {
            put_record(&entry, &claim_record(ClaimState::Done { answer }));
        })
        .await;
        let reason = reply.reason();
        assert_eq!((reply.status, reason.as_str()), (409, "answer_not_stored"));
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("unknown"));
    });
}

/// Guards against a call that is refused, or that runs twice, although a tombstone proves that its
/// first attempt did not run.
#[test]
fn excluded_attempt_is_followed_by_one_at_another_target() {
    run_test(async {
        // The agent that gets the first call stays silent and loses its link; the other answers.
        let calls = Arc::new(AtomicUsize::new(0));
        let script: Script = Arc::new(move |dispatch, sender| {
            if calls.fetch_add(1, Ordering::SeqCst) > 0 {
                plain_answer("run 1")(dispatch, sender);
            }
        });
        let first = FakeAgent::plain("t1", Arc::clone(&script)).await;
        let second = FakeAgent::plain("t2", script).await;
        let entry = TestEntry::with_agents(&[&first, &second]).await;
        let stream = entry.send(&claim_request(&[])).await;
        let dispatch_count = || first.dispatches().len() + second.dispatches().len();
        wait_until("call runs", || dispatch_count() == 1).await;
        let (lost, other) = if first.dispatches().is_empty() {
            (&second, &first)
        } else {
            (&first, &second)
        };
        lost.state.close.cancel();
        let reply = entry_support::read_reply(stream).await;
        assert_eq!((reply.status, reply.body.as_str()), (201, "run 1"));
        let (lost, other) = (nonce(&lost.dispatches()[0]), nonce(&other.dispatches()[0]));
        assert_ne!(lost, other);
        let record = stored_record(&entry).unwrap();
        assert!(record.excludes(lost) && !record.excludes(other));
        assert_eq!(entry.context.metrics.retries.get(), 1);
    });
}

/// Guards against an entry and an agent that use different table keys for one call, so that a
/// tombstone does not exclude it. A call without a key gets one with a colon, which the table key
/// escapes.
#[test]
fn tombstone_of_a_call_without_a_key_has_the_table_key_of_the_agent() {
    run_test(async {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let stream = entry
            .send(&request("POST", "/services/orders/runs", &[TEAM], ""))
            .await;
        wait_until("call runs", || agent.dispatches().len() == 1).await;
        agent.state.close.cancel();
        let reply = entry_support::read_reply(stream).await;
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
        let scope = ClaimScope {
            service: "orders".parse().unwrap(),
            team: "shop".parse().unwrap(),
            key: agent.dispatches()[0].idempotency.clone().unwrap().key,
        };
        let items = entry.table.items.lock().unwrap();
        assert!(items.contains_key(&scope.table_key()));
    });
}

#[test]
fn deadline_ends_and_cancels_an_unanswered_call() {
    run_test(async {
        let agent = FakeAgent::model("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry
            .call(&generate_request(&[TEAM, "Sassafrasslip-Deadline: 200"]))
            .await;
        assert_eq!((reply.status, reply.reason().as_str()), (504, "deadline"));
        assert!(reply.elapsed < Duration::from_secs(2));
        wait_until("call is cancelled", || agent.was_cancelled()).await;
    });
}

#[test]
fn error_of_the_engine_is_passed_on() {
    run_test(async {
        let script: Script = Arc::new(|dispatch, sender| {
            let body = "bad prompt";
            let messages = vec![
                head(&dispatch, 400),
                chunk(&dispatch, 0, 0, body),
                end(&dispatch, 1, body),
            ];
            send_all(&sender, messages);
        });
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(&generate_request(&[TEAM, STREAM])).await;
        assert_eq!((reply.status, reply.body.as_str()), (400, "bad prompt"));
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("answered"));
    });
}
