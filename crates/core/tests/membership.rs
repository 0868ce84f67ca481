//! Guards what an entry knows about targets.

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
fn unlisted_target_is_kept_while_it_works() {
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
fn replaced_instance_with_the_same_name_starts_afresh() {
    let (mut membership, key) = one_target();
    let changes = membership.apply_list(vec![listing("a", 2, false)]);
    assert_eq!(changes.removed, vec![key]);
    assert_eq!(changes.joined.len(), 1);
    assert!(!membership.target(changes.joined[0]).unwrap().is_connected());
}

#[test]
fn nothing_is_unknown_before_the_first_list() {
    let mut membership = Membership::default();
    assert!(!membership.is_listed());
    membership.apply_list(Vec::new());
    assert!(membership.is_listed());
}

/// Step of a target's life, for the tables below.
#[derive(Clone, Copy)]
enum Step {
    Send,
    Report(u32),
    End(Option<u32>),
}

fn check_in_flight(steps: &[Step], expected: u32) {
    let (mut membership, key) = one_target();
    for step in steps {
        match step {
            Step::Send => membership.dispatched(key),
            Step::Report(in_flight) => {
                membership.reported(key, status(*in_flight, false));
            }
            Step::End(in_flight) => {
                let load = in_flight.map(|in_flight| status(in_flight, false).load);
                membership.finished(key, load);
            }
        }
    }
    assert_eq!(membership.target(key).unwrap().in_flight(), expected);
}

test_cases! {
    fn check_in_flight(steps: &[Step], expected: u32);
    own_requests_count_at_once: (&[Step::Send, Step::Send], 2);
    requests_of_other_entries_count: (&[Step::Report(5), Step::Send], 6);
    late_report_does_not_hide_own_requests: (&[Step::Send, Step::Send, Step::Report(0)], 2);
    exact_load_of_a_reply_replaces_the_estimate:
        (&[Step::Report(5), Step::Send, Step::End(Some(2))], 2);
    end_without_load_takes_back_the_own_request:
        (&[Step::Report(5), Step::Send, Step::End(None)], 5);
    end_at_a_full_target_frees_one_place:
        (&[Step::Report(7), Step::Send, Step::End(Some(3))], 7);
    refusal_of_a_full_target_keeps_it_full:
        (&[Step::Report(7), Step::Send, Step::End(Some(8))], 8);
    report_replaces_the_estimate_of_a_full_target:
        (&[Step::Report(7), Step::Send, Step::End(Some(3)), Step::Report(3)], 3);
    extra_end_is_harmless: (&[Step::End(None), Step::End(None)], 0);
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
    draining_report_counts: (|all, key| { all.reported(key, status(0, true)); }, "draining");
    leaving_in_the_list_counts:
        (|all, _| { all.apply_list(vec![listing("a", 1, true)]); }, "draining");
    failed_health_check_counts: (|all, key| {
        all.reported(key, AgentStatus::default());
    }, "unhealthy");
    drain_in_a_reply_counts: (|all, key| {
        all.dispatched(key);
        all.finished(key, Some(status(0, true).load));
    }, "draining");
}

fn check_idempotence(kind: ServiceKind, method: &str, expected: bool) {
    let facts = AgentFacts { kind, ..facts() };
    assert_eq!(facts.is_idempotent(method), expected);
}

test_cases! {
    fn check_idempotence(kind: ServiceKind, method: &str, expected: bool);
    model_calls_may_run_twice: (ServiceKind::Model, "POST", true);
    listed_method_may_run_twice: (ServiceKind::Plain, "GET", true);
    other_method_runs_once: (ServiceKind::Plain, "POST", false);
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

/// Guards against routing that prefers or avoids the target beside which the placer runs: only its
/// agent reports the costs, but they hold for the whole group.
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
    // The placer has left the agent.
    report_costs(&mut membership, keys[0], &[]);
    assert_eq!(costs(&membership), [1.0, 1.0, 1.0]);
}
