//! Guards the links to agents and peers, and the status and explanations that operators read. A
//! leaving target gets no new work (guarantee P5), and a configuration change reaches all entries
//! and agents (P7).

mod entry_support;

use {
    entry_support::{
        FakeAgent, Script, TEAM, TestEntry, generate_request, read_reply, run_test, three_tokens,
        wait_until,
    },
    sassafrasslip_core::{
        configuration::{ConfigurationItem, ConfigurationView, SettingKey},
        ids::TeamName,
    },
    sassafrasslip_daemon::{
        entry::{
            fleet::{EntryFleet, FleetView},
            targets::wait_for_links,
        },
        platform::{ListedInstance, ListedRole, ListedState},
    },
    sassafrasslip_proto::link::{DispatchRefused, RefusalReason, link_frame::Message},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Returns a live view at this revision, which changes the default queue length.
fn newer_view(revision: u64) -> Arc<ConfigurationView> {
    let mut view = ConfigurationView {
        lease_live: true,
        ..ConfigurationView::default()
    };
    let snapshot = Arc::make_mut(&mut view.snapshot);
    snapshot.revision = revision;
    let value = "50".to_owned();
    let item = ConfigurationItem { value, revision };
    snapshot.defaults.insert(SettingKey::QueueLength, item);
    Arc::new(view)
}

/// Guards against an entry that is ready before its links are open and refuses the first requests.
/// When an attempt to open a link failed and was repeated after 0.5 s, it refused 43 requests.
#[test]
fn entry_is_ready_when_its_links_are_open() {
    run_test(async {
        let agents = [
            FakeAgent::model("t1", three_tokens()).await,
            FakeAgent::model("t2", three_tokens()).await,
        ];
        let listed = agents.iter().map(FakeAgent::listing).collect();
        let entry = TestEntry::start("e1", listed).await;
        wait_for_links(&entry.context).await;
        assert_eq!(entry.context.state().links.len(), 2);
    });
}

#[test]
fn target_that_cannot_be_reached_delays_readiness_for_two_seconds_at_most() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let mut unreachable = agent.listing();
        unreachable.instance = "t2".parse().unwrap();
        unreachable.link_address = "127.0.0.1:9".parse().unwrap();
        let entry = TestEntry::start("e1", vec![agent.listing(), unreachable]).await;
        let start = Instant::now();
        wait_for_links(&entry.context).await;
        let waited = start.elapsed();
        assert!(waited >= Duration::from_millis(1_900), "{waited:?}");
        assert!(waited <= Duration::from_millis(2_500), "{waited:?}");
    });
}

#[test]
fn answered_request_can_be_explained() {
    run_test(async {
        let agents = [
            FakeAgent::model("t1", three_tokens()).await,
            FakeAgent::model("t2", three_tokens()).await,
        ];
        let entry = TestEntry::with_agents(&[&agents[0], &agents[1]]).await;
        let headers = [TEAM, "Sassafrasslip-Kind: captions"];
        let reply = entry.call(&generate_request(&headers)).await;
        let request_id = reply.header("sassafrasslip-request-id").unwrap();
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        let explanation = fleet.explain(request_id.parse().unwrap()).unwrap();
        assert_eq!(explanation.outcome, "answered");
        assert_eq!(explanation.kind.unwrap().as_str(), "captions");
        let attempt = &explanation.attempts[0];
        assert_eq!(attempt.result.as_deref(), Some("answered"));
        assert_eq!(attempt.candidates.len(), 2);
        assert_eq!(attempt.candidates[0].target, attempt.target);
        assert!(
            attempt
                .sources
                .contains(&"default:routing.other_zone_cost".to_owned())
        );
        assert!(
            fleet
                .explain("0000000000000007-99999".parse().unwrap())
                .is_none()
        );
    });
}

#[test]
fn leaving_target_gets_no_new_work() {
    run_test(async {
        let agents = [
            FakeAgent::model("t1", three_tokens()).await,
            FakeAgent::model("t2", three_tokens()).await,
        ];
        let entry = TestEntry::with_agents(&[&agents[0], &agents[1]]).await;
        // The report of the agent takes effect although the instance list still shows it as live.
        let mut report = agents[0].state.report.lock().unwrap().clone();
        report.load.as_mut().unwrap().draining = true;
        *agents[0].state.report.lock().unwrap() = report;
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        wait_until("drain is reported", || {
            fleet.status().targets[0].state == "draining"
        })
        .await;
        for _ in 0..10 {
            assert_eq!(entry.call(&generate_request(&[TEAM])).await.status, 200);
        }
        assert!(agents[0].dispatches().is_empty());
        // The instance list shows the other target as leaving, so no target remains.
        entry.list.instances.lock().unwrap()[1].state = ListedState::Leaving;
        wait_until("list is read", || {
            fleet.status().targets[1].state == "draining"
        })
        .await;
        let reply = entry.call(&generate_request(&[TEAM])).await;
        assert_eq!((reply.status, reply.reason().as_str()), (503, "no_target"));
    });
}

#[test]
fn lost_link_is_opened_again() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        let key = entry
            .context
            .state()
            .membership
            .find(&"t1".parse().unwrap())
            .unwrap();
        agent.state.close.cancel();
        wait_until("link is lost", || {
            fleet.status().targets[0].state == "unreachable"
        })
        .await;
        assert!(entry.context.state().links.get(key).is_none());
        let second = FakeAgent::model("t1", three_tokens()).await;
        *entry.list.instances.lock().unwrap() = vec![second.listing()];
        wait_until("link is open", || {
            fleet.status().targets[0].state == "connected"
        })
        .await;
        assert_eq!(entry.call(&generate_request(&[TEAM])).await.status, 200);
    });
}

#[test]
fn drain_and_revisions_reach_the_agent() {
    run_test(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        assert!(fleet.drain(&"t1".parse().unwrap(), true).await);
        assert!(!fleet.drain(&"t9".parse().unwrap(), true).await);
        let view = newer_view(8);
        entry.view.send_replace(Arc::clone(&view));
        fleet.publish(view).await;
        let received = |wanted: fn(&Message) -> bool| {
            let messages = agent.state.messages.lock().unwrap();
            messages.iter().any(wanted)
        };
        let is_drain =
            |message: &Message| matches!(message, Message::DrainOrder(order) if order.draining);
        let is_snapshot = |message: &Message| {
            matches!(message, Message::RevisionNotice(notice)
                if notice.revision == 8 && notice.snapshot.is_some())
        };
        wait_until("drain order arrives", || received(is_drain)).await;
        wait_until("revision arrives", || received(is_snapshot)).await;
    });
}

/// Starts two entries that list each other, and waits until they are linked.
async fn start_linked_entries() -> (TestEntry, TestEntry) {
    let first = TestEntry::start("e1", Vec::new()).await;
    let second = TestEntry::start("e2", Vec::new()).await;
    let listed = [("e1", &first), ("e2", &second)].map(|(name, entry)| ListedInstance {
        instance: name.parse().unwrap(),
        role: ListedRole::Entry,
        availability_zone: "ruwi".parse().unwrap(),
        region: "muscat".parse().unwrap(),
        service: None,
        group: None,
        link_address: entry.link_address,
        state: ListedState::Live,
    });
    for entry in [&first, &second] {
        *entry.list.instances.lock().unwrap() = listed.to_vec();
    }
    for entry in [&first, &second] {
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        let linked = || fleet.status().peers.iter().any(|peer| peer.connected);
        wait_until("peers are linked", linked).await;
        assert_eq!(fleet.status().peers.len(), 1);
    }
    (first, second)
}

#[test]
fn peers_share_team_usage_and_catch_up_on_revisions() {
    run_test(async {
        let (first, mut second) = start_linked_entries().await;
        let team: TeamName = "shop".parse().unwrap();
        let limits = sassafrasslip_core::limits::TeamLimits {
            concurrency: 9,
            rate: 9,
        };
        let now = tokio::time::Instant::now();
        first
            .context
            .state()
            .limiter
            .admit(&team, limits, now)
            .unwrap();
        let known = || second.context.state().limiter.fleet_in_flight(&team) == 1;
        wait_until("usage is known to the peer", known).await;
        // The view is not published, so the peer learns of the revision only from the report.
        first.view.send_replace(newer_view(4));
        let snapshot = timeout(Duration::from_secs(5), second.requested_snapshots.recv()).await;
        let snapshot = snapshot.unwrap().unwrap();
        assert_eq!(snapshot, *newer_view(4).snapshot);
        // The older revision of the second entry is not requested.
        sleep(Duration::from_millis(1200)).await;
        assert_eq!(first.context.current_view().revision(), 4);
    });
}

#[test]
fn dispatch_with_an_old_revision_is_repeated_with_the_new_one() {
    run_test(async {
        let script: Script = Arc::new(|dispatch, sender| {
            if dispatch.configuration_revision >= 6 {
                return three_tokens()(dispatch, sender);
            }
            let refused = DispatchRefused {
                request_id: dispatch.request_id,
                reason: RefusalReason::StaleRevision.into(),
                configuration_revision: 6,
                attempt: dispatch.attempt,
                ..DispatchRefused::default()
            };
            sender.try_send(Message::DispatchRefused(refused)).unwrap();
        });
        let agent = FakeAgent::model("t1", script).await;
        let entry = TestEntry::with_agents(&[&agent]).await;
        let stream = entry.send(&generate_request(&[TEAM])).await;
        wait_until("first dispatch is refused", || {
            agent.dispatches().len() == 1
        })
        .await;
        entry.view.send_replace(newer_view(6));
        assert_eq!(read_reply(stream).await.status, 200);
        assert_eq!(agent.dispatches().len(), 2);
    });
}
