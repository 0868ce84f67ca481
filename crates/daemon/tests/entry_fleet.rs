//! Guards links to agents and peers, and what operators are told (P5, P7).

mod entry_support;

use {
    entry_support::{
        FakeAgent, Script, TEAM, TestEntry, generate, read_reply, run, three_tokens, until,
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

/// An entry once said that it was ready while its links were not open yet, and refused the first
/// requests: 43 of them when an attempt to open a link failed and was repeated after 0.5 s.
#[test]
fn entry_is_ready_when_its_links_are_open() {
    run(async {
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
    run(async {
        let agent = FakeAgent::model("t1", three_tokens()).await;
        let mut gone = agent.listing();
        gone.instance = "t2".parse().unwrap();
        gone.link_address = "127.0.0.1:9".parse().unwrap();
        let entry = TestEntry::start("e1", vec![agent.listing(), gone]).await;
        let start = Instant::now();
        wait_for_links(&entry.context).await;
        let waited = start.elapsed();
        assert!(waited >= Duration::from_millis(1_900), "{waited:?}");
        assert!(waited <= Duration::from_millis(2_500), "{waited:?}");
    });
}

#[test]
fn answered_request_can_be_explained() {
    run(async {
        let agents = [
            FakeAgent::model("t1", three_tokens()).await,
            FakeAgent::model("t2", three_tokens()).await,
        ];
        let entry = TestEntry::with_agents(&[&agents[0], &agents[1]]).await;
        let headers = [TEAM, "Sassafrasslip-Kind: captions"];
        let reply = entry.call(&generate(&headers)).await;
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
    run(async {
        let agents = [
            FakeAgent::model("t1", three_tokens()).await,
            FakeAgent::model("t2", three_tokens()).await,
        ];
        let entry = TestEntry::with_agents(&[&agents[0], &agents[1]]).await;
        // The agent's own report counts although the list still calls it live.
        let mut report = agents[0].state.report.lock().unwrap().clone();
        report.load.as_mut().unwrap().draining = true;
        *agents[0].state.report.lock().unwrap() = report;
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        until("drain is known", || {
            fleet.status().targets[0].state == "draining"
        })
        .await;
        for _ in 0..10 {
            assert_eq!(entry.call(&generate(&[TEAM])).await.status, 200);
        }
        assert!(agents[0].dispatches().is_empty());
        // The other one leaves by the list, and no target is left.
        entry.list.instances.lock().unwrap()[1].state = ListedState::Leaving;
        until("list is read", || {
            fleet.status().targets[1].state == "draining"
        })
        .await;
        let reply = entry.call(&generate(&[TEAM])).await;
        assert_eq!((reply.status, reply.reason().as_str()), (503, "no_target"));
    });
}

#[test]
fn lost_link_is_opened_again() {
    run(async {
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
        until("link is lost", || {
            fleet.status().targets[0].state == "unreachable"
        })
        .await;
        assert!(entry.context.state().links.get(key).is_none());
        let second = FakeAgent::model("t1", three_tokens()).await;
        *entry.list.instances.lock().unwrap() = vec![second.listing()];
        until("link is open", || {
            fleet.status().targets[0].state == "connected"
        })
        .await;
        assert_eq!(entry.call(&generate(&[TEAM])).await.status, 200);
    });
}

#[test]
fn drain_and_revisions_reach_the_agent() {
    run(async {
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
        until("drain order arrives", || received(is_drain)).await;
        until("revision arrives", || received(is_snapshot)).await;
    });
}

/// Starts two entries that know each other.
async fn two_entries() -> (TestEntry, TestEntry) {
    let first = TestEntry::start("e1", Vec::new()).await;
    let second = TestEntry::start("e2", Vec::new()).await;
    let listed = [("e1", &first), ("e2", &second)].map(|(name, entry)| ListedInstance {
        instance: name.parse().unwrap(),
        role: ListedRole::Entry,
        availability_zone: "ruwi".parse().unwrap(),
        region: "muscat".parse().unwrap(),
        service: None,
        group: None,
        link_address: entry.links,
        state: ListedState::Live,
    });
    for entry in [&first, &second] {
        *entry.list.instances.lock().unwrap() = listed.to_vec();
    }
    for entry in [&first, &second] {
        let fleet = EntryFleet::new(Arc::clone(&entry.context));
        let linked = || fleet.status().peers.iter().any(|peer| peer.connected);
        until("peers are linked", linked).await;
        assert_eq!(fleet.status().peers.len(), 1);
    }
    (first, second)
}

#[test]
fn peers_share_team_usage_and_catch_up_on_revisions() {
    run(async {
        let (first, mut second) = two_entries().await;
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
        until("usage is known to the peer", known).await;
        // The view changes without a publication, so only the report tells of it.
        first.view.send_replace(newer_view(4));
        let snapshot = timeout(Duration::from_secs(5), second.snapshots.recv()).await;
        let snapshot = snapshot.unwrap().unwrap();
        assert_eq!(snapshot, *newer_view(4).snapshot);
        // An older revision is never asked for.
        sleep(Duration::from_millis(1200)).await;
        assert_eq!(first.context.current_view().revision(), 4);
    });
}

#[test]
fn dispatch_with_an_old_revision_is_repeated_with_the_new_one() {
    run(async {
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
        let stream = entry.send(&generate(&[TEAM])).await;
        until("first dispatch is refused", || {
            agent.dispatches().len() == 1
        })
        .await;
        entry.view.send_replace(newer_view(6));
        assert_eq!(read_reply(stream).await.status, 200);
        assert_eq!(agent.dispatches().len(), 2);
    });
}
