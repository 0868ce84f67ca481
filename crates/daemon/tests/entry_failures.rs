//! Guards retries, resumed streams and the outcome of lost calls (P2, P3, P4).

mod entry_support;

use {
    entry_support::{
        FakeAgent, Reply, STREAM, Script, TEAM, TableMode, TestEntry, chunk, end, generate, head,
        request, run, send_all, three_tokens, token, until,
    },
    sassafrasslip_daemon::platform::TableItem,
    sassafrasslip_proto::link::{AnswerFailed, FailureOutcome, link_frame::Message},
    sassafrasslip_testkit::test_cases,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Script for agents of one service that breaks the first call after `tokens` tokens, whichever
/// agent gets it, and answers the following ones.
fn breaks_first(tokens: u64, outcome: FailureOutcome) -> Script {
    let calls = AtomicUsize::new(0);
    Arc::new(move |dispatch, sender| {
        if calls.fetch_add(1, Ordering::SeqCst) > 0 {
            return three_tokens()(dispatch, sender);
        }
        let mut messages = vec![head(&dispatch, 200)];
        let lines = (0..tokens).map(|index| chunk(&dispatch, index, index, &token(index)));
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

/// Calls a model service whose first attempt breaks after two tokens; returns the reply and the
/// token from which the second attempt was asked to go on.
async fn broken_call(headers: &[&str]) -> (Reply, u64, TestEntry) {
    let script = breaks_first(2, FailureOutcome::Interrupted);
    let first = FakeAgent::model("t1", Arc::clone(&script)).await;
    let second = FakeAgent::model("t2", script).await;
    let entry = TestEntry::with_agents(&[&first, &second]).await;
    let reply = entry.call(&generate(headers)).await;
    let mut dispatches = [first.dispatches(), second.dispatches()].concat();
    dispatches.sort_by_key(|dispatch| dispatch.attempt);
    assert_eq!(
        (first.dispatches().len(), second.dispatches().len()),
        (1, 1)
    );
    (reply, dispatches[1].resume_token_index, entry)
}

#[test]
fn broken_stream_goes_on_at_another_target() {
    run(async {
        let (reply, resumed_at, entry) = broken_call(&[TEAM, STREAM]).await;
        assert_eq!(resumed_at, 2);
        let lines: Vec<_> = reply
            .body
            .lines()
            .filter(|line| line.starts_with('{'))
            .collect();
        let expected = [token(0), token(1), token(2)].map(|line| line.trim_end().to_owned());
        assert_eq!(lines[..3], expected, "{reply:?}");
        assert_eq!(lines[3], r#"{"end":true,"tokens":3}"#);
        assert!(reply.body.ends_with("\r\n0\r\n\r\n"));
        assert_eq!(entry.context.metrics.retries.get(), 1);
    });
}

#[test]
fn broken_whole_answer_starts_again() {
    run(async {
        let (reply, resumed_at, _entry) = broken_call(&[TEAM]).await;
        assert_eq!(resumed_at, 0);
        assert_eq!(reply.body, r#"{"text":"t0 t1 t2 ","tokens":3}"#);
    });
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    run(async {
        let script: Script = Arc::new(|dispatch, sender| {
            breaks_first(0, FailureOutcome::NotRun)(dispatch, sender);
        });
        let first = FakeAgent::model("t1", Arc::clone(&script)).await;
        let second = FakeAgent::model("t2", script).await;
        let entry = TestEntry::with_agents(&[&first, &second]).await;
        for _ in 0..30 {
            let reply = entry.call(&generate(&[TEAM])).await;
            assert_eq!(reply.status, 503);
            assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
        }
        let retries = entry.context.metrics.retries.get();
        // One retry is there at the start, and 30 first tries earn three.
        assert!((3..=4).contains(&retries), "{retries}");
    });
}

#[test]
fn request_that_may_have_run_is_never_called_not_run() {
    run(async {
        // The first attempt may have run; the second is refused because no target is left.
        let script = breaks_first(0, FailureOutcome::Unknown);
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(&generate(&[TEAM])).await;
        assert_eq!(reply.status, 502);
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("unknown"));
    });
}

/// What stands in the table when the entry loses the reply of a non-idempotent call.
const START_RECORD: &str = r#"{"state":"started","nonce":1}"#;
const OTHER_TOMBSTONE: &str = r#"{"state":"tombstone","request_id":"0000000000000001-1"}"#;

fn check_lost_call(mode: TableMode, record: Option<&str>, status: u16, outcome: &str) {
    run(async move {
        let agent = FakeAgent::plain("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let key = "claim/orders/shop/k1";
        if let Some(record) = record {
            let item = TableItem {
                key: key.to_owned(),
                version: 4,
                value: Some(record.to_owned()),
            };
            entry
                .table
                .items
                .lock()
                .unwrap()
                .insert(key.to_owned(), item);
        }
        *entry.table.mode.lock().unwrap() = mode;
        let headers = [TEAM, "Idempotency-Key: k1"];
        let stream = entry
            .send(&request("POST", "/services/orders/runs", &headers, ""))
            .await;
        until("call runs", || agent.dispatches().len() == 1).await;
        agent.state.close.cancel();
        let reply = entry_support::read_reply(stream).await;
        assert_eq!(reply.status, status, "{reply:?}");
        assert_eq!(reply.header("sassafrasslip-outcome"), Some(outcome));
        assert_eq!(agent.dispatches().len(), 1);
        let items = entry.table.items.lock().unwrap();
        let stands = items.get(key).and_then(|item| item.value.clone());
        assert_eq!(
            stands.is_some_and(|value| value.contains("tombstone")),
            outcome == "not-run"
        );
    });
}

test_cases! {
    fn check_lost_call(mode: TableMode, record: Option<&str>, status: u16, outcome: &str);
    tombstone_proves_that_the_call_was_not_run: (TableMode::Works, None, 503, "not-run");
    start_record_leaves_the_outcome_unknown:
        (TableMode::Works, Some(START_RECORD), 502, "unknown");
    earlier_tombstone_proves_it_too: (TableMode::Works, Some(OTHER_TOMBSTONE), 503, "not-run");
    lost_answer_of_the_table_is_read_back: (TableMode::LosesAnswers, None, 503, "not-run");
    absence_after_a_lost_answer_proves_nothing: (TableMode::LosesWrites, None, 502, "unknown");
    table_down_leaves_the_outcome_unknown: (TableMode::Down, None, 502, "unknown");
}

#[test]
fn deadline_ends_a_silent_call_and_cancels_it() {
    run(async {
        let agent = FakeAgent::model("t1", Arc::new(|_, _| {})).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry
            .call(&generate(&[TEAM, "Sassafrasslip-Deadline: 200"]))
            .await;
        assert_eq!((reply.status, reply.reason().as_str()), (504, "deadline"));
        assert!(reply.elapsed < Duration::from_secs(2));
        until("call is cancelled", || agent.was_cancelled()).await;
    });
}

#[test]
fn error_of_the_engine_is_passed_on() {
    run(async {
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
        let reply = entry.call(&generate(&[TEAM, STREAM])).await;
        assert_eq!((reply.status, reply.body.as_str()), (400, "bad prompt"));
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("answered"));
    });
}
