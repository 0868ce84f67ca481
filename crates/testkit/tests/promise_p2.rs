//! Tests of guarantee P2: a caller gets the complete answer to its own request, or sees that it was
//! interrupted.

mod promise_support;

use {
    promise_support::{StreamEnd, model_zone, run, start, stream},
    sassafrasslip_testkit::harness::{Fleet, ProcessSignal},
};

const TOKENS: u64 = 150;

/// Returns the index of the agent with a call in flight.
async fn serving_agent(fleet: &Fleet) -> usize {
    for (position, agent) in fleet.agents.iter().enumerate() {
        let metrics = fleet.read(agent.metrics_address, "/metrics").await.unwrap();
        if metrics.contains("agent_in_flight 1") {
            return position;
        }
    }
    panic!("no agent serves the stream");
}

/// Guards against a resumed stream with a gap, with repeated tokens or with tokens of another
/// answer.
#[test]
fn stream_is_resumed_at_another_target_after_its_agent_is_killed() {
    run(async {
        let mut fleet = start(model_zone(2)).await;
        let entry = fleet.entries[0].caller_address;
        let mut stream = stream(entry, "resumed", TOKENS).await;
        stream.read_tokens(10).await;
        let agent = serving_agent(&fleet).await;
        let process = &mut fleet.agents[agent].process;
        process.signal(ProcessSignal::Kill).unwrap();
        assert_eq!(stream.read_end().await, StreamEnd::Complete);
        assert!(stream.check(), "the end is missing");
    });
}

/// Guards against a stream that ends where its engine failed but looks complete.
#[test]
fn stream_is_resumed_at_another_target_after_its_engine_is_down() {
    run(async {
        let fleet = start(model_zone(2)).await;
        let entry = fleet.entries[0].caller_address;
        let mut stream = stream(entry, "engine", TOKENS).await;
        stream.read_tokens(10).await;
        let agent = serving_agent(&fleet).await;
        let engine = fleet.agents[agent].target_address;
        let body = serde_json::json!({"down": true});
        fleet
            .post_admin(engine, "/admin/server", &body)
            .await
            .unwrap();
        assert_eq!(stream.read_end().await, StreamEnd::Complete);
        assert!(stream.check(), "the end is missing");
    });
}

/// Guards against a truncated stream that looks complete because no other target can resume it.
#[test]
fn stream_breaks_visibly_without_another_target() {
    run(async {
        let mut fleet = start(model_zone(1)).await;
        let entry = fleet.entries[0].caller_address;
        let mut stream = stream(entry, "broken", TOKENS).await;
        stream.read_tokens(10).await;
        let process = &mut fleet.agents[0].process;
        process.signal(ProcessSignal::Kill).unwrap();
        assert_eq!(stream.read_end().await, StreamEnd::Broken);
        assert!(!stream.check());
    });
}

/// Guards against tokens of another request in a stream: an agent that was frozen goes on sending
/// frames after its stream was resumed at another target.
#[test]
fn late_frames_of_a_frozen_agent_do_not_reach_the_caller() {
    run(async {
        let mut fleet = start(model_zone(2)).await;
        let entry = fleet.entries[0].caller_address;
        let mut first = stream(entry, "frozen", TOKENS).await;
        first.read_tokens(10).await;
        let agent = serving_agent(&fleet).await;
        let process = &mut fleet.agents[agent].process;
        process.signal(ProcessSignal::Stop).unwrap();
        // The entry closes the silent link after 3 s and resumes the stream at the other target.
        first.read_tokens(40).await;
        let process = &mut fleet.agents[agent].process;
        process.signal(ProcessSignal::Continue).unwrap();
        let mut second = stream(entry, "second", TOKENS).await;
        assert_eq!(first.read_end().await, StreamEnd::Complete);
        assert!(first.check(), "the end is missing");
        assert_eq!(second.read_end().await, StreamEnd::Complete);
        assert!(second.check(), "the end is missing");
    });
}
