//! Guards refusals (status, outcome, reason and `Retry-After`) and the limits on slow callers,
//! stalled callers and oversized requests.

mod entry_support;

use {
    entry_support::{
        FakeAgent, STREAM, Script, TEAM, TestEntry, generate_request, plain_answer, read_reply,
        request, run_test, target_load, three_tokens, wait_until,
    },
    sassafrasslip_core::configuration::{ConfigurationItem, ConfigurationView, SettingKey},
    sassafrasslip_daemon::{
        entry::{callers::stall::StallGuard, listeners::EntryListeners},
        options::EntryOptions,
    },
    sassafrasslip_proto::link::{DispatchRefused, RefusalReason, link_frame::Message},
    sassafrasslip_testkit::test_cases,
    std::{sync::Arc, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpListener, time::sleep},
};

const PATH: &str = "/services/drafting/v1/generate";

fn check_request(call: &str, status: u16, reason: &str) {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(call).await;
        assert_eq!(
            (reply.status, reply.reason().as_str()),
            (status, reason),
            "{reply:?}"
        );
        if reason.is_empty() {
            return;
        }
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
        assert!(reply.header("sassafrasslip-request-id").is_some());
        assert!(reply.header("retry-after").is_some());
        assert!(agent.dispatches().is_empty());
    });
}

test_cases! {
    fn check_request(call: &str, status: u16, reason: &str);
    service_in_a_header_is_accepted: (
        &request("POST", "/v1/generate", &[TEAM, "Sassafrasslip-Service: drafting"], ""), 200, ""
    );
    missing_service_is_malformed: (&request("GET", "/", &[TEAM], ""), 400, "malformed");
    two_services_are_malformed: (
        &request("GET", PATH, &[TEAM, "Sassafrasslip-Service: other"], ""), 400, "malformed"
    );
    missing_team_is_malformed: (&generate_request(&[]), 400, "malformed");
    two_teams_are_malformed: (&generate_request(&[TEAM, TEAM]), 400, "malformed");
    unreadable_deadline_is_malformed:
        (&generate_request(&[TEAM, "Sassafrasslip-Deadline: soon"]), 400, "malformed");
    deadline_of_zero_is_malformed:
        (&generate_request(&[TEAM, "Sassafrasslip-Deadline: 0"]), 400, "malformed");
    key_with_a_slash_is_malformed:
        (&generate_request(&[TEAM, "Idempotency-Key: a/b"]), 400, "malformed");
    quoted_key_is_accepted:
        (&generate_request(&[TEAM, "Idempotency-Key: \"a-b\""]), 200, "");
    unreadable_priority_is_ignored:
        (&generate_request(&[TEAM, "Priority: high"]), 200, "");
    unknown_service_is_not_found:
        (&request("GET", "/services/none/x", &[TEAM], ""), 404, "unknown_service");
    large_head_is_oversized:
        (&generate_request(&[TEAM, &format!("X-Fill: {}", "x".repeat(17_000))]), 413, "oversized");
    large_body_is_oversized:
        (&request("POST", PATH, &[TEAM], &"x".repeat(1_100_000)), 413, "oversized");
}

/// Starts an entry with one agent and one changed default.
async fn start_with_default(agent: &FakeAgent, key: SettingKey, value: &str) -> TestEntry {
    let entry = TestEntry::with_agents(&[agent]).await;
    set_default(&entry, key, value, true);
    entry
}

fn set_default(entry: &TestEntry, key: SettingKey, value: &str, lease_live: bool) {
    let mut view = ConfigurationView::clone(&entry.view.borrow());
    let snapshot = Arc::make_mut(&mut view.snapshot);
    snapshot.revision += 1;
    let (value, revision) = (value.to_owned(), snapshot.revision);
    snapshot
        .defaults
        .insert(key, ConfigurationItem { value, revision });
    view.lease_live = lease_live;
    entry.view.send_replace(Arc::new(view));
}

/// Returns a script that never answers.
fn never_answers() -> Script {
    Arc::new(|_, _| {})
}

#[test]
fn team_over_its_concurrency_is_refused_at_once() {
    run_test(async {
        let agent = FakeAgent::model("t1", never_answers()).await;
        let entry = start_with_default(&agent, SettingKey::TeamConcurrency, "1").await;
        let _first_call = entry.send(&generate_request(&[TEAM])).await;
        wait_until("first call runs", || agent.dispatches().len() == 1).await;
        let reply = entry.call(&generate_request(&[TEAM])).await;
        assert_eq!(
            (reply.status, reply.reason().as_str()),
            (429, "team_concurrency")
        );
        assert!(reply.elapsed < Duration::from_millis(500), "{reply:?}");
    });
}

#[test]
fn full_target_makes_requests_wait_up_to_the_queue_wait() {
    run_test(async {
        let agent = FakeAgent::model("t1", never_answers()).await;
        let entry = start_with_default(&agent, SettingKey::TargetConcurrency, "1").await;
        set_default(&entry, SettingKey::QueueWait, "300", true);
        let first_call = entry.send(&generate_request(&[TEAM])).await;
        wait_until("first call runs", || agent.dispatches().len() == 1).await;
        let timed_out = entry.call(&generate_request(&[TEAM])).await;
        assert_eq!(
            (timed_out.status, timed_out.reason().as_str()),
            (503, "queue_wait")
        );
        // When the first caller closes its connection, its slot goes to the waiting request.
        let second_call = entry.send(&generate_request(&[TEAM])).await;
        wait_until("second call waits", || {
            entry.context.metrics.queue_length.get() == 1
        })
        .await;
        drop(first_call);
        wait_until("second call runs", || agent.dispatches().len() == 2).await;
        drop(second_call);
    });
}

#[test]
fn cut_off_entry_refuses_if_configured_to() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        set_default(&entry, SettingKey::CutOffMode, "refuse", false);
        let reply = entry.call(&generate_request(&[TEAM])).await;
        assert_eq!((reply.status, reply.reason().as_str()), (503, "cut_off"));
    });
}

/// Checks how the entry answers a call that its only target refused, without a retry.
fn check_agent_refusal(reason: RefusalReason, status: u16, outcome: &str, reason_text: &str) {
    run_test(async move {
        let script: Script = Arc::new(move |dispatch, sender| {
            let refused = DispatchRefused {
                request_id: dispatch.request_id,
                reason: reason.into(),
                retry_after_ms: 4200,
                load: target_load(1),
                configuration_revision: 0,
                attempt: dispatch.attempt,
            };
            sender.try_send(Message::DispatchRefused(refused)).unwrap();
        });
        let agent = FakeAgent::plain("t1", script).await;
        let entry = start_with_default(&agent, SettingKey::RetryAttempts, "1").await;
        let call = request("POST", "/services/orders/runs", &[TEAM], "");
        let reply = entry.call(&call).await;
        assert_eq!(
            (reply.status, reply.reason().as_str()),
            (status, reason_text)
        );
        assert_eq!(reply.header("sassafrasslip-outcome"), Some(outcome));
        assert_eq!(reply.header("retry-after"), Some("5"));
    });
}

test_cases! {
    fn check_agent_refusal(reason: RefusalReason, status: u16, outcome: &str, reason_text: &str);
    draining_agent_is_not_run: (RefusalReason::Draining, 503, "not-run", "draining");
    table_down_is_not_run: (RefusalReason::TableDown, 503, "not-run", "table_down");
    running_key_is_a_conflict: (RefusalReason::KeyInUse, 409, "unknown", "key_in_use");
    unstored_answer_is_a_conflict:
        (RefusalReason::AnswerNotStored, 409, "unknown", "answer_not_stored");
    reused_key_is_unprocessable: (RefusalReason::KeyReused, 422, "not-run", "key_reused");
}

#[test]
fn slow_body_is_refused_after_the_read_timeout() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let call = generate_request(&[TEAM]);
        let mut stream = entry.send(&call[..call.len() - 5]).await;
        let writing = async {
            sleep(Duration::from_millis(9500)).await;
            let _ = stream.write_all(b"x").await;
            read_reply(stream).await
        };
        let reply = writing.await;
        assert_eq!(
            (reply.status, reply.reason().as_str()),
            (408, "slow_caller")
        );
    });
}

#[test]
fn caller_that_reads_nothing_loses_its_connection() {
    run_test(async {
        let (writer, _reader) = tokio::io::duplex(16);
        let mut guarded = StallGuard::new(writer, Duration::from_millis(100));
        let error = guarded.write_all(&[0; 64]).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    });
}

#[test]
fn graceful_stop_finishes_open_requests_and_refuses_new_connections() {
    run_test(async {
        let script: Script = Arc::new(|dispatch, sender| {
            tokio::spawn(async move {
                sleep(Duration::from_millis(400)).await;
                three_tokens()(dispatch, sender);
            });
        });
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let call = generate_request(&[TEAM, STREAM]).replace("Connection: close\r\n", "");
        let stream = entry.send(&call).await;
        wait_until("call runs", || agent.dispatches().len() == 1).await;
        entry.context.draining.cancel();
        entry.context.work.close();
        let reply = read_reply(stream).await;
        assert!(reply.body.ends_with("\r\n0\r\n\r\n"), "{reply:?}");
        assert_eq!(reply.header("connection"), Some("close"));
        entry.context.work.wait().await;
        assert!(
            tokio::net::TcpStream::connect(entry.caller_address)
                .await
                .is_err()
        );
    });
}

#[test]
fn address_in_use_names_section_key_and_value() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let options = EntryOptions {
            caller_address: address,
            operator_address: "127.0.0.1:0".parse().unwrap(),
            link_address: "127.0.0.1:0".parse().unwrap(),
        };
        let error = EntryListeners::bind(&options).await.unwrap_err();
        let text = sassafrasslip_daemon::describe(&error);
        let expected = format!("[entry] caller_address = {address}: ");
        assert!(text.starts_with(&expected), "{text}");
    });
}

#[test]
fn plain_calls_of_other_methods_carry_the_key_of_the_caller() {
    run_test(async {
        let agent = FakeAgent::plain("t1", plain_answer("ok")).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let path = "/services/orders/runs";
        entry
            .call(&request("POST", path, &[TEAM, "Idempotency-Key: k1"], ""))
            .await;
        entry.call(&request("POST", path, &[TEAM], "")).await;
        entry.call(&request("GET", path, &[TEAM], "")).await;
        let dispatches = agent.dispatches();
        let keys = dispatches
            .iter()
            .map(|dispatch| dispatch.idempotency.as_ref().map(|scope| &*scope.key));
        let keys: Vec<_> = keys.collect();
        assert_eq!(keys[0], Some("k1"));
        assert!(
            keys[1].is_some_and(|key| key.starts_with("entry:")),
            "{keys:?}"
        );
        assert_eq!(keys[2], None);
    });
}

/// Callers of a crowd whose bodies take more than the memory for bodies.
const CROWD: usize = 80;

/// Guards against callers that stop short of the end of large bodies and stay, so that the entry has
/// no memory left for ordinary requests.
#[test]
fn stalled_large_bodies_leave_memory_for_small_ones() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let body = "x".repeat(1_000_000);
        let mut open = Vec::new();
        // The smaller bodies take what the large ones leave.
        for length in [body.len(), 10_000] {
            for _ in 0..CROWD {
                let whole = request("POST", PATH, &[TEAM], &body[..length]);
                open.push(entry.send(&whole[..whole.len() - 1]).await);
            }
        }
        for _ in 0..8 {
            let reply = entry
                .call(&request("POST", PATH, &[TEAM], &body[..10_000]))
                .await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    });
}
