//! Guards the agent's handling of dispatches over a real link: admission, model streams, plain
//! calls, cancellation and drain.

mod agent_support;

use {
    agent_support::{
        TestAgent,
        entry::{TestReply, new_dispatch, request_id},
        eventually,
        target::TargetMode,
    },
    sassafrasslip_daemon::{
        agent::admission::DrainReason,
        constants::HEALTH_CHECK_INTERVAL,
        options::agent::TargetKind,
        platform::{ListedInstance, ListedRole, ListedState},
    },
    sassafrasslip_proto::link::{
        Cancel, Dispatch, DrainOrder, FailureOutcome, RefusalReason, link_frame::Message,
    },
    sassafrasslip_testkit::test_cases,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Body of a model answer with two tokens; the line of the second token spans two parts.
const STREAM_PARTS: [&str; 3] = [
    "{\"index\":0,\"token\":\"a\"}\n{\"index\":1,",
    "\"token\":\"b\"}\n",
    "{\"end\":true,\"tokens\":2}\n",
];

fn refused(reason: RefusalReason) -> TestReply {
    TestReply::Refused(reason)
}

#[tokio::test]
async fn plain_call_is_passed_through() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let reply = agent
        .connect()
        .await
        .ask(new_dispatch(1, "GET", "/runs/9?x=1"))
        .await;
    let body = "run 1 /runs/9".into();
    assert_eq!(
        reply,
        TestReply::Answer {
            status: 201,
            body,
            replayed: false
        }
    );
}

/// Guards against a non-idempotent call that runs without a claim: a call without an idempotency
/// scope has no key for one.
#[tokio::test]
async fn non_idempotent_call_without_scope_is_not_run() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let reply = agent
        .connect()
        .await
        .ask(new_dispatch(1, "POST", "/runs"))
        .await;
    assert_eq!(reply, TestReply::Failed(FailureOutcome::NotRun, "".into()));
    assert_eq!(agent.target.runs(), 0);
}

#[tokio::test]
async fn tokens_are_streamed_with_their_indexes() {
    let agent = TestAgent::start(TargetKind::Model).await;
    agent
        .target
        .set_mode(TargetMode::Stream(STREAM_PARTS.to_vec(), false));
    let mut entry = agent.connect().await;
    let reply = entry.ask(new_dispatch(1, "POST", "/generate")).await;
    // The agent does not pass on the end line, because the entry writes it.
    let body = STREAM_PARTS[..2].concat().into();
    assert_eq!(
        reply,
        TestReply::Answer {
            status: 200,
            body,
            replayed: false
        }
    );
    assert_eq!(entry.token_indexes.first(), Some(&0));
    assert_eq!(
        agent.target.last_body.lock().unwrap().as_ref(),
        b"{\"resume_from\":0}"
    );
}

/// Guards against a truncated or gapped stream that looks complete: a caller gets the whole answer
/// to its request or sees that it broke (guarantee P2). The answer fails after the lines in
/// `expected`.
fn check_broken_stream(parts: &[&'static str], aborts: bool, resume_from: u64, expected: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let agent = TestAgent::start(TargetKind::Model).await;
        agent
            .target
            .set_mode(TargetMode::Stream(parts.to_vec(), aborts));
        let dispatch = Dispatch {
            resume_token_index: resume_from,
            ..new_dispatch(1, "POST", "/generate")
        };
        let reply = agent.connect().await.ask(dispatch).await;
        let body = expected.to_owned().into();
        assert_eq!(reply, TestReply::Failed(FailureOutcome::Interrupted, body));
    });
}

test_cases! {
    fn check_broken_stream(parts: &[&'static str], aborts: bool, resume_from: u64, expected: &str);
    stream_without_end_line: (&["{\"index\":0}\n"], false, 0, "{\"index\":0}\n");
    stream_that_breaks: (&["{\"index\":0}\n"], true, 0, "{\"index\":0}\n");
    gap_between_tokens: (&["{\"index\":1}\n{\"end\":true}\n"], false, 0, "");
    resume_at_another_token: (&["{\"index\":0}\n{\"end\":true}\n"], false, 5, "");
    end_with_another_count: (&["{\"index\":0}\n{\"end\":true,\"tokens\":3}\n"], false, 0, "");
}

#[tokio::test]
async fn resumed_stream_starts_at_the_requested_token() {
    let agent = TestAgent::start(TargetKind::Model).await;
    let lines = vec!["{\"index\":5}\n{\"end\":true,\"tokens\":6}\n"];
    agent.target.set_mode(TargetMode::Stream(lines, false));
    let mut entry = agent.connect().await;
    let dispatch = Dispatch {
        resume_token_index: 5,
        ..new_dispatch(1, "POST", "/generate")
    };
    assert!(matches!(
        entry.ask(dispatch).await,
        TestReply::Answer { .. }
    ));
    assert_eq!(entry.token_indexes, [5]);
}

#[tokio::test]
async fn stale_revision_is_refused_and_a_newer_one_is_accepted() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let mut entry = agent.connect().await;
    entry.send_revision_notice(4).await;
    let with_revision = |counter, configuration_revision| Dispatch {
        configuration_revision,
        ..new_dispatch(counter, "GET", "/x")
    };
    assert_eq!(
        entry.ask(with_revision(1, 3)).await,
        refused(RefusalReason::StaleRevision)
    );
    assert!(entry.ask(with_revision(2, 6)).await.is_run(1));
    assert_eq!(
        entry.ask(with_revision(3, 5)).await,
        refused(RefusalReason::StaleRevision)
    );
}

#[tokio::test]
async fn passed_deadline_is_refused() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let dispatch = Dispatch {
        remaining_ms: 0,
        ..new_dispatch(1, "GET", "/x")
    };
    let reply = agent.connect().await.ask(dispatch).await;
    assert_eq!(reply, refused(RefusalReason::Deadline));
    assert_eq!(agent.target.runs(), 0);
}

#[tokio::test]
async fn concurrency_limit_of_a_dispatch_bounds_the_requests_in_flight() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    agent.target.set_mode(TargetMode::Gated);
    let mut entry = agent.connect().await;
    let limited = |counter| Dispatch {
        target_concurrency: 1,
        ..new_dispatch(counter, "GET", "/x")
    };
    entry.dispatch(limited(1)).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    assert_eq!(entry.ask(limited(2)).await, refused(RefusalReason::Full));
    agent.target.gate.add_permits(1);
    assert!(entry.wait_for_reply(request_id(1)).await.is_run(1));
    assert_eq!(agent.agent.admission.load().in_flight, 0);
}

#[tokio::test]
async fn duplicate_dispatch_is_dropped_and_counted() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    agent.target.set_mode(TargetMode::Gated);
    let mut entry = agent.connect().await;
    entry.dispatch(new_dispatch(1, "GET", "/x")).await;
    entry.dispatch(new_dispatch(1, "GET", "/x")).await;
    eventually("duplicate is counted", || {
        agent.agent.metrics.dropped_frames() == 1
    })
    .await;
    agent.target.gate.add_permits(2);
    assert!(entry.wait_for_reply(request_id(1)).await.is_run(1));
    assert_eq!(agent.target.runs(), 1);
}

/// Guards against cancelled calls that keep their slots, so that abandoned requests fill the
/// target.
#[tokio::test]
async fn cancel_ends_the_call_at_the_engine() {
    let agent = TestAgent::start(TargetKind::Model).await;
    agent.target.set_mode(TargetMode::Gated);
    let entry = agent.connect().await;
    entry.dispatch(new_dispatch(1, "POST", "/generate")).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    let request_id = Some(request_id(1));
    entry.send(Message::Cancel(Cancel { request_id })).await;
    eventually("slot is free", || {
        agent.agent.admission.load().in_flight == 0
    })
    .await;
    let cancels = || agent.target.cancels.load(Ordering::SeqCst);
    eventually("engine receives the cancellation", || cancels() == 1).await;
}

#[tokio::test]
async fn closed_link_cancels_its_calls() {
    let agent = TestAgent::start(TargetKind::Model).await;
    agent.target.set_mode(TargetMode::Gated);
    let entry = agent.connect().await;
    entry.dispatch(new_dispatch(1, "POST", "/generate")).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    drop(entry);
    eventually("slot is free", || {
        agent.agent.admission.load().in_flight == 0
    })
    .await;
}

#[tokio::test]
async fn unhealthy_target_gets_no_work_until_it_recovers() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let mut entry = agent.connect().await;
    agent.target.healthy.store(false, Ordering::SeqCst);
    let waited = entry.wait_for_report(|report| !report.target_healthy).await;
    assert!(waited < HEALTH_CHECK_INTERVAL * 3, "{waited:?}");
    let reply = entry.ask(new_dispatch(1, "GET", "/x")).await;
    assert_eq!(reply, refused(RefusalReason::TargetDown));
    agent.target.healthy.store(true, Ordering::SeqCst);
    entry.wait_for_report(|report| report.target_healthy).await;
    assert!(entry.ask(new_dispatch(2, "GET", "/x")).await.is_run(1));
}

/// Guards against a graceful stop that takes new work or interrupts a request in flight
/// (guarantee P6).
#[tokio::test]
async fn drain_refuses_new_work_and_finishes_the_work_in_flight() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    agent.target.set_mode(TargetMode::Gated);
    let mut entry = agent.connect().await;
    entry.dispatch(new_dispatch(1, "GET", "/x")).await;
    eventually("call runs", || agent.target.runs() == 1).await;
    agent.agent.admission.set_draining(DrainReason::Stop, true);
    let is_draining = |report: &sassafrasslip_proto::link::AgentReport| {
        report.load.is_some_and(|load| load.draining)
    };
    assert!(entry.wait_for_report(is_draining).await < Duration::from_millis(900));
    assert_eq!(
        entry.ask(new_dispatch(2, "GET", "/x")).await,
        refused(RefusalReason::Draining)
    );
    agent.work.close();
    assert!(!agent.work.is_empty());
    agent.target.gate.add_permits(1);
    agent.work.wait().await;
    let close = tokio::spawn({
        let agent = agent.agent.clone();
        async move { agent.close_links().await }
    });
    assert!(entry.wait_for_reply(request_id(1)).await.is_run(1));
    assert!(matches!(entry.link.receive().await, Ok(None)));
    drop(entry);
    close.await.unwrap();
}

#[tokio::test]
async fn operator_and_instance_list_drain_the_agent() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let mut entry = agent.connect().await;
    let order = |draining| {
        let instance = "t1".to_owned();
        Message::DrainOrder(DrainOrder { instance, draining })
    };
    entry.send(order(true)).await;
    assert_eq!(
        entry.ask(new_dispatch(1, "GET", "/x")).await,
        refused(RefusalReason::Draining)
    );
    entry.send(order(false)).await;
    assert!(entry.ask(new_dispatch(2, "GET", "/x")).await.is_run(1));
    agent.platform.state.lock().unwrap().instances = vec![ListedInstance {
        instance: "t1".parse().unwrap(),
        role: ListedRole::Target,
        availability_zone: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        service: None,
        group: None,
        link_address: agent.address,
        state: ListedState::Leaving,
    }];
    let admission = &agent.agent.admission;
    eventually("agent drains", || admission.load().draining).await;
    assert_eq!(
        entry.ask(new_dispatch(3, "GET", "/x")).await,
        refused(RefusalReason::Draining)
    );
}
