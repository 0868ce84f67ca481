//! Guards against an entry and an agent that disagree on the table key, the body hash or the record
//! of a non-idempotent call. Then a call that was refused as `not-run` could run later (guarantee
//! P3), or a call could run twice (guarantee P4). Both run against one table here.

mod agent_support;
mod entry_support;

use {
    agent_support::{
        TestAgent,
        entry::{TestReply, request_id},
        eventually,
    },
    entry_support::{FakeAgent, Reply, TEAM, TestEntry, request, wait_until},
    sassafrasslip_core::claim::{BodyHash, ClaimRecord, ClaimState},
    sassafrasslip_daemon::{
        options::agent::TargetKind,
        platform::{ListedInstance, ListedRole, ListedState},
    },
    sassafrasslip_proto::link::{self, Dispatch},
    std::sync::Arc,
};

const CLAIM_KEY: &str = "claim/prints/shop/run~3A7";

fn run_request() -> String {
    let headers = [TEAM, "Idempotency-Key: run:7"];
    request("POST", "/services/prints/runs?copies=2", &headers, "{}")
}

fn listing(agent: &TestAgent) -> ListedInstance {
    ListedInstance {
        instance: "t1".parse().unwrap(),
        role: ListedRole::Target,
        availability_zone: "ruwi".parse().unwrap(),
        region: "muscat".parse().unwrap(),
        service: Some("prints".parse().unwrap()),
        group: None,
        link_address: agent.address,
        state: ListedState::Live,
    }
}

fn stored_record(agent: &TestAgent) -> Option<ClaimRecord> {
    let state = agent.platform.state.lock().unwrap();
    let (_, value) = state.items.get(CLAIM_KEY)?;
    Some(ClaimRecord::decode(value).unwrap())
}

/// Sends a call to an agent that writes no claim and whose link closes before it replies. Then
/// makes `agent` the entry's only target. Returns the entry's reply, the dispatch of the lost
/// attempt, and the entry.
async fn lose_first_call(agent: &TestAgent) -> (Reply, Dispatch, TestEntry) {
    let kind = link::ServiceKind::Plain;
    let silent = FakeAgent::start("t0", "prints", kind, Arc::new(|_, _| {})).await;
    let platform = (agent.platform.clone() as _, agent.platform.clone() as _);
    let entry = TestEntry::start_on("e1", vec![silent.listing()], Some(platform)).await;
    let is_linked = || !entry.context.state().links.is_empty();
    wait_until("link to the silent agent is open", is_linked).await;
    let stream = entry.send(&run_request()).await;
    wait_until("call is dispatched", || silent.dispatches().len() == 1).await;
    let dispatch = silent.dispatches().remove(0);
    silent.state.close.cancel();
    let reply = entry_support::read_reply(stream).await;
    *entry.list.instances.lock().unwrap() = vec![listing(agent)];
    let name = "t1".parse().unwrap();
    let is_linked_to_agent = || {
        let state = entry.context.state();
        let key = state.membership.find(&name);
        key.is_some_and(|key| state.links.contains_key(key))
    };
    wait_until("link to the other agent is open", is_linked_to_agent).await;
    (reply, dispatch, entry)
}

/// Guards against a key that stays blocked: a caller whose call was refused as `not-run` repeats
/// the key, and each repeat is refused. Also guards against a second run by an agent that was
/// paused before it inserted its start record and handles its dispatch late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_runs_once_after_its_first_call_was_not_run() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let (reply, dispatch, entry) = lose_first_call(&agent).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
    let scope = dispatch.idempotency.clone().unwrap();
    let hash = BodyHash::of_call(&dispatch.method, &dispatch.path, &dispatch.body);
    assert_eq!(scope.body_hash.as_ref(), hash.0);
    let tombstone = stored_record(&agent).unwrap();
    assert_eq!(tombstone.state, ClaimState::Tombstone);
    assert_eq!(tombstone.excluded, [scope.attempt_nonce]);
    for _ in 0..2 {
        let reply = entry.call(&run_request()).await;
        assert_eq!(reply.status, 201, "{reply:?}");
        assert!(reply.body.starts_with("run 1 "), "{reply:?}");
        let is_done =
            || matches!(stored_record(&agent), Some(record) if record.state != ClaimState::Started);
        eventually("answer is stored", is_done).await;
    }
    assert!(stored_record(&agent).unwrap().excludes(scope.attempt_nonce));
    // The first dispatch is handled late. The call has run by then, so its answer is replayed.
    let id = Some(request_id(99));
    let late_dispatch = Dispatch {
        request_id: id,
        ..dispatch
    };
    let reply = agent.connect().await.ask(late_dispatch).await;
    assert!(matches!(reply, TestReply::Answer { replayed: true, .. }));
    assert_eq!(agent.target.runs(), 1);
}

/// Guards against a run by an agent that resumes from a pause after its attempt was reported as not
/// run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempt_that_was_reported_as_not_run_is_refused() {
    let agent = TestAgent::start(TargetKind::Plain).await;
    let (reply, dispatch, _entry) = lose_first_call(&agent).await;
    assert_eq!(reply.header("sassafrasslip-outcome"), Some("not-run"));
    let reply = agent.connect().await.ask(dispatch.clone()).await;
    let expected = TestReply::Refused(link::RefusalReason::Tombstone);
    assert_eq!(reply, expected);
    assert_eq!(agent.target.runs(), 0);
}
