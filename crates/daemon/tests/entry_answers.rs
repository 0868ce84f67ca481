//! Guards whole and streamed answers against truncation, frames of other requests and changed
//! bytes: a caller gets the whole answer to its own request or sees that it broke (guarantee P2).

mod entry_support;

use {
    entry_support::{
        FakeAgent, STREAM, Script, TEAM, TestEntry, chunk, end, generate_request, head,
        plain_answer, request, run_test, send_all, target_load, three_tokens, token_line,
        token_messages, wait_until,
    },
    sassafrasslip_proto::link::{
        AnswerFailed, Dispatch, FailureOutcome, RequestId, link_frame::Message,
    },
    sassafrasslip_testkit::test_cases,
    std::sync::Arc,
};

/// Last chunk of a complete chunked HTTP body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

#[test]
fn whole_answer_has_its_length_and_outcome() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(&generate_request(&[TEAM])).await;
        let body = r#"{"text":"t0 t1 t2 ","tokens":3}"#;
        assert_eq!((reply.status, reply.body.as_str()), (200, body));
        let length = body.len().to_string();
        assert_eq!(reply.header("content-length"), Some(length.as_str()));
        assert_eq!(reply.header("sassafrasslip-outcome"), Some("answered"));
        assert!(reply.header("sassafrasslip-request-id").is_some());
    });
}

#[test]
fn streamed_answer_ends_with_the_end_line() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(&generate_request(&[TEAM, STREAM])).await;
        assert_eq!(reply.status, 200);
        assert!(reply.body.contains(token_line(2).trim_end()), "{reply:?}");
        assert!(
            reply.body.contains(r#"{"end":true,"tokens":3}"#),
            "{reply:?}"
        );
        assert!(reply.body.ends_with(LAST_CHUNK), "{reply:?}");
    });
}

#[test]
fn plain_answer_passes_status_and_body() {
    run_test(async {
        let agent = FakeAgent::plain("t1", plain_answer("run 5")).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let call = request("POST", "/services/orders/runs?x=1", &[TEAM], "abc");
        let reply = entry.call(&call).await;
        assert_eq!((reply.status, reply.body.as_str()), (201, "run 5"));
        let dispatch = &agent.dispatches()[0];
        assert_eq!(dispatch.path, "/runs?x=1");
        assert!(dispatch.idempotency.is_some());
    });
}

/// Guards against a frame of another request, incarnation or attempt, or a repeated one, that
/// becomes part of an answer.
fn check_stray_frames(stray: fn(&Dispatch) -> Vec<Message>) {
    run_test(async move {
        let script: Script = Arc::new(move |dispatch, sender| {
            let mut messages = token_messages(&dispatch, 0, 3);
            messages.splice(2..2, stray(&dispatch));
            send_all(&sender, messages);
        });
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let reply = entry.call(&generate_request(&[TEAM])).await;
        assert_eq!(reply.body, r#"{"text":"t0 t1 t2 ","tokens":3}"#);
        assert_eq!(entry.context.metrics.dropped_frames.get(), 1);
    });
}

fn altered(dispatch: &Dispatch, change: impl FnOnce(&mut Dispatch)) -> Dispatch {
    let mut dispatch = dispatch.clone();
    change(&mut dispatch);
    dispatch
}

test_cases! {
    fn check_stray_frames(stray: fn(&Dispatch) -> Vec<Message>);
    frame_of_an_unknown_request_is_dropped: (|dispatch| {
        let stray = altered(dispatch, |copy| copy.request_id.as_mut().unwrap().counter += 1000);
        vec![chunk(&stray, 1, 1, "x\n")]
    });
    frame_of_another_incarnation_is_dropped: (|dispatch| {
        let advance = |copy: &mut Dispatch| copy.request_id.as_mut().map(|id: &mut RequestId| {
            id.entry_incarnation += 1;
        });
        vec![chunk(&altered(dispatch, |copy| { advance(copy); }), 1, 1, "x\n")]
    });
    frame_of_another_attempt_is_dropped: (|dispatch| {
        vec![chunk(&altered(dispatch, |copy| copy.attempt = 9), 1, 1, "x\n")]
    });
    repeated_chunk_is_dropped: (|dispatch| vec![chunk(dispatch, 0, 0, &token_line(0))]);
    second_head_is_dropped: (|dispatch| vec![head(dispatch, 200)]);
}

/// Guards against an incomplete or damaged answer that looks complete to the caller.
fn check_broken_answer(streamed: bool, answer: fn(&Dispatch) -> Vec<Message>) {
    run_test(async move {
        let script: Script = Arc::new(move |dispatch, sender| {
            send_all(&sender, answer(&dispatch));
        });
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        if streamed {
            let reply = entry.call(&generate_request(&[TEAM, STREAM])).await;
            assert!(reply.body.contains("t0"), "{reply:?}");
            assert!(!reply.body.ends_with(LAST_CHUNK), "{reply:?}");
            assert!(!reply.body.contains("\"end\""), "{reply:?}");
        } else {
            let reply = entry.call(&generate_request(&[TEAM])).await;
            assert_eq!(reply.status, 502, "{reply:?}");
            assert_eq!(reply.header("sassafrasslip-outcome"), Some("unknown"));
        }
    });
}

/// Returns an answer whose end carries the length and checksum of other bytes.
fn wrong_checksum(dispatch: &Dispatch) -> Vec<Message> {
    let line = token_line(0);
    vec![
        head(dispatch, 200),
        chunk(dispatch, 0, 0, &line),
        end(dispatch, 1, "other"),
    ]
}

fn missing_chunk(dispatch: &Dispatch) -> Vec<Message> {
    let mut messages = token_messages(dispatch, 0, 3);
    messages.remove(2);
    messages
}

fn failed(dispatch: &Dispatch) -> Vec<Message> {
    let mut messages = token_messages(dispatch, 0, 3);
    messages.truncate(2);
    messages.push(Message::AnswerFailed(AnswerFailed {
        request_id: dispatch.request_id,
        outcome: FailureOutcome::Interrupted.into(),
        reason: "engine_lost".to_owned(),
        load: target_load(0),
        attempt: dispatch.attempt,
    }));
    messages
}

test_cases! {
    fn check_broken_answer(streamed: bool, answer: fn(&Dispatch) -> Vec<Message>);
    whole_answer_with_a_wrong_checksum_is_unknown: (false, wrong_checksum);
    whole_answer_with_a_gap_is_unknown: (false, missing_chunk);
    failed_whole_answer_is_unknown: (false, failed);
    streamed_answer_with_a_wrong_checksum_is_cut: (true, wrong_checksum);
    streamed_answer_with_a_gap_is_cut: (true, missing_chunk);
    failed_streamed_answer_is_cut: (true, failed);
}

#[test]
fn tokens_reach_the_caller_before_the_answer_ends() {
    use tokio::io::AsyncReadExt;
    run_test(async {
        let script: Script = Arc::new(|dispatch, sender| {
            let mut messages = token_messages(&dispatch, 0, 3);
            messages.truncate(2);
            send_all(&sender, messages);
        });
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let mut stream = entry.send(&generate_request(&[TEAM, STREAM])).await;
        let mut text = String::new();
        while !text.contains("t0") {
            let mut buffer = [0; 1024];
            let length = stream.read(&mut buffer).await.unwrap();
            assert!(length > 0, "{text}");
            text.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
        }
        // A caller that has closed its connection must not keep its slot at the target.
        drop(stream);
        wait_until("call is cancelled", || agent.was_cancelled()).await;
        let in_flight = || {
            let service = "drafting".parse().unwrap();
            entry.context.state().membership.own_in_flight(&service)
        };
        wait_until("slot is free", || in_flight() == 0).await;
    });
}
