//! Tests what an entry knows about its targets: list, load, state and costs of request kinds.

use {
    sassafrasslip_core::membership::{
        AgentFacts, AgentStatus, Membership, ServiceKind, TargetKey, TargetListing, TargetLoad,
        target::kind_hash,
    },
    sassafrasslip_testkit::test_cases,
    std::net::SocketAddr,
};

fn listing(name: &str, port: u16, leaving: bool) -> TargetListing {
    TargetListing {
        name: name.parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        service: "orders".parse().unwrap(),
        group: None,
        link_address: SocketAddr::from(([127, 0, 0, 1], port)),
        leaving,
    }
}

fn facts() -> AgentFacts {
    AgentFacts {
        kind: ServiceKind::Plain,
        concurrency: 8,
        idempotent_methods: vec!["GET".to_owned()],
        revision: 3,
    }
}

fn one_target() -> (Membership, TargetKey) {
    let mut membership = Membership::default();
    let changes = membership.apply_list(vec![listing("a", 1, false)]);
    let key = changes.joined[0];
    membership.connected(key, facts());
    (membership, key)
}

fn status(in_flight: u32, draining: bool) -> AgentStatus {
    AgentStatus {
        load: TargetLoad {
            in_flight,
            concurrency: 8,
            draining,
        },
        healthy: true,
        ..AgentStatus::default()
    }
}

#[test]
fn unlisted_target_is_kept_while_requests_are_in_flight() {
    let (mut membership, key) = one_target();
    membership.dispatched(key);
    let changes = membership.apply_list(Vec::new());
    assert_eq!((changes.leaving, changes.removed), (vec![key], vec![]));
    assert!(membership.target(key).unwrap().is_draining());
    membership.finished(key, None);
    assert_eq!(membership.apply_list(Vec::new()).removed, vec![key]);
    assert!(membership.of_service(&"orders".parse().unwrap()).is_empty());
}

#[test]
fn unlisted_target_that_comes_back_is_used_again() {
    let (mut membership, key) = one_target();
    membership.dispatched(key);
    membership.apply_list(Vec::new());
    let changes = membership.apply_list(vec![listing("a", 1, false)]);
    assert!(changes.joined.is_empty());
    assert!(!membership.target(key).unwrap().is_draining());
}

#[test]
fn replaced_instance_with_the_same_name_is_a_new_target() {
    let (mut membership, key) = one_target();
    let changes = membership.apply_list(vec![listing("a", 2, false)]);
    assert_eq!(changes.removed, vec![key]);
    assert_eq!(changes.joined.len(), 1);
    assert!(!membership.target(changes.joined[0]).unwrap().is_connected());
}

#[test]
fn membership_is_listed_after_the_first_list() {
    let mut membership = Membership::default();
    assert!(!membership.is_listed());
    membership.apply_list(Vec::new());
    assert!(membership.is_listed());
}

/// Event that changes the load of a target, with the requests in flight that the agent reports.
#[derive(Clone, Copy)]
enum LoadEvent {
    Dispatch,
    Report(u32),
    Finish(Option<u32>),
}

fn check_in_flight(events: &[LoadEvent], expected: u32) {
    let (mut membership, key) = one_target();
    for event in events {
        match event {
            LoadEvent::Dispatch => membership.dispatched(key),
            LoadEvent::Report(in_flight) => {
                membership.reported(key, status(*in_flight, false));
            }
            LoadEvent::Finish(in_flight) => {
                let load = in_flight.map(|in_flight| status(in_flight, false).load);
                membership.finished(key, load);
            }
        }
    }
    assert_eq!(membership.target(key).unwrap().in_flight(), expected);
}

test_cases! {
    fn check_in_flight(events: &[LoadEvent], expected: u32);
    own_requests_count_at_once: (&[LoadEvent::Dispatch, LoadEvent::Dispatch], 2);
    requests_of_other_entries_count: (&[LoadEvent::Report(5), LoadEvent::Dispatch], 6);
    late_report_does_not_hide_own_requests:
        (&[LoadEvent::Dispatch, LoadEvent::Dispatch, LoadEvent::Report(0)], 2);
    exact_load_of_a_reply_replaces_the_estimate:
        (&[LoadEvent::Report(5), LoadEvent::Dispatch, LoadEvent::Finish(Some(2))], 2);
    finish_without_load_subtracts_the_own_request:
        (&[LoadEvent::Report(5), LoadEvent::Dispatch, LoadEvent::Finish(None)], 5);
    finish_at_a_full_target_frees_one_slot:
        (&[LoadEvent::Report(7), LoadEvent::Dispatch, LoadEvent::Finish(Some(3))], 7);
    refusal_of_a_full_target_keeps_it_full:
        (&[LoadEvent::Report(7), LoadEvent::Dispatch, LoadEvent::Finish(Some(8))], 8);
    report_replaces_the_estimate_of_a_full_target:
        (&[LoadEvent::Report(7), LoadEvent::Dispatch, LoadEvent::Finish(Some(3)),
            LoadEvent::Report(3)], 3);
    extra_finish_is_ignored: (&[LoadEvent::Finish(None), LoadEvent::Finish(None)], 0);
}

fn check_state(change: fn(&mut Membership, TargetKey), expected: &str) {
    let (mut membership, key) = one_target();
    change(&mut membership, key);
    assert_eq!(membership.target(key).unwrap().state_name(), expected);
}

test_cases! {
    fn check_state(change: fn(&mut Membership, TargetKey), expected: &str);
    connected_target_serves: (|_, _| {}, "connected");
    closed_link_makes_a_target_unreachable: (Membership::disconnected, "unreachable");
    report_marks_a_target_as_draining:
        (|membership, key| { membership.reported(key, status(0, true)); }, "draining");
    list_marks_a_target_as_draining:
        (|membership, _| { membership.apply_list(vec![listing("a", 1, true)]); }, "draining");
    failed_health_check_marks_a_target_as_unhealthy: (|membership, key| {
        membership.reported(key, AgentStatus::default());
    }, "unhealthy");
    reply_marks_a_target_as_draining: (|membership, key| {
        membership.dispatched(key);
        membership.finished(key, Some(status(0, true).load));
    }, "draining");
}

fn check_idempotence(kind: ServiceKind, method: &str, expected: bool) {
    let facts = AgentFacts { kind, ..facts() };
    assert_eq!(facts.is_idempotent(method), expected);
}

test_cases! {
    fn check_idempotence(kind: ServiceKind, method: &str, expected: bool);
    model_calls_are_idempotent: (ServiceKind::Model, "POST", true);
    listed_method_is_idempotent: (ServiceKind::Plain, "GET", true);
    other_method_is_not_idempotent: (ServiceKind::Plain, "POST", false);
}

fn group_listing(name: &str, port: u16, group: &str) -> TargetListing {
    TargetListing {
        group: Some(group.parse().unwrap()),
        ..listing(name, port, false)
    }
}

fn report_costs(membership: &mut Membership, key: TargetKey, costs: &[(&str, f32)]) {
    let costs = costs
        .iter()
        .map(|(kind, cost)| (kind.parse().unwrap(), *cost));
    let status = AgentStatus {
        kind_costs: costs.collect(),
        ..status(0, false)
    };
    membership.reported(key, status);
}

/// Only the agent that hosts the placer reports costs, but they apply to the whole group. If only
/// its own target got them, routing would prefer or avoid that target.
#[test]
fn costs_of_request_kinds_hold_for_all_targets_of_the_group() {
    let captions = kind_hash(&"captions".parse().unwrap());
    let mut membership = Membership::default();
    let listings = vec![
        group_listing("a", 1, "g1"),
        group_listing("b", 2, "g1"),
        group_listing("c", 3, "g2"),
    ];
    let keys = membership.apply_list(listings).joined;
    let costs = |membership: &Membership| {
        let cost = |key: &TargetKey| membership.target(*key).unwrap().kind_cost(captions);
        keys.iter().map(cost).collect::<Vec<_>>()
    };
    report_costs(&mut membership, keys[0], &[("captions", 3.0)]);
    assert_eq!(costs(&membership), [3.0, 3.0, 1.0]);
    // Agents without the placer report no costs; that must not clear those of the group.
    report_costs(&mut membership, keys[1], &[]);
    assert_eq!(costs(&membership), [3.0, 3.0, 1.0]);
    // The agent no longer hosts the placer.
    report_costs(&mut membership, keys[0], &[]);
    assert_eq!(costs(&membership), [1.0, 1.0, 1.0]);
}
