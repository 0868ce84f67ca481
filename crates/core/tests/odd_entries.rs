//! Guards against entries of the instance list and reports of peers whose numbers or names are odd:
//! they must not keep the other targets from being used.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, EngineProfile, GroupLoad, GroupMember, PassGovernor, RepeatRule,
            RouteRule, TargetChoice, TargetEntry, TargetRoster, TargetState, choose_target,
            map_plan::PassLoad,
        },
        ids::{GroupName, ServiceName, ZoneName},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

const RANKS: u32 = 3;

fn service() -> ServiceName {
    "drafting".parse().unwrap()
}

fn group() -> GroupName {
    "g".parse().unwrap()
}

fn rank(id: &str, number: u32) -> TargetEntry {
    TargetEntry {
        cold_for: None,
        id: id.into(),
        service: service(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: 4,
        state: TargetState::Ready,
        started_at_ms: 1,
        group: Some(GroupMember {
            name: group(),
            epoch: 5,
            rank: number,
            size: RANKS,
            is_open: true,
        }),
    }
}

fn ranks() -> Vec<TargetEntry> {
    let numbers = 0..RANKS;
    numbers
        .map(|number| rank(&format!("r{number}"), number))
        .collect()
}

fn choose(roster: &TargetRoster, now: Instant) -> TargetChoice {
    let own_zone: ZoneName = "ruwi".parse().unwrap();
    let input = ChoiceInput {
        service: &service(),
        own_zone: &own_zone,
        tried: &[],
        group_limits: &HashMap::new(),
        draw: 0.5,
        slice: None,
    };
    choose_target(roster, &input, now)
}

/// Guards against a group that looks broken, or a rank that looks replaced, because of an entry of
/// a service that is not configured.
fn check_unknown_service(change: fn(&mut GroupMember)) {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    let mut odd = rank("odd", 1);
    odd.service = "elsewhere".parse().unwrap();
    odd.started_at_ms = 9;
    odd.group.iter_mut().for_each(change);
    let entries = || ranks().into_iter().chain([odd.clone()]).collect();
    roster.apply(entries(), now);
    roster.set_services([service()].into(), now);
    for _ in 0..2 {
        let view = roster.groups()[&group()];
        assert!(view.is_open);
        assert_eq!(view.epoch, 5);
        assert!(
            ranks()
                .iter()
                .all(|rank| !roster.find_target(&rank.id).unwrap().is_superseded)
        );
        assert!(matches!(choose(&roster, now), TargetChoice::Chosen(_)));
        roster.apply(entries(), now + Duration::from_secs(1));
    }
}

test_cases! {
    fn check_unknown_service(change: fn(&mut GroupMember));
    rank_of_an_unknown_service_replaces_another: (|_| ());
    rank_of_an_unknown_service_breaks_its_group: (|member| member.is_open = false);
    rank_of_an_unknown_service_has_a_newer_epoch: (|member| member.epoch = u64::MAX);
}

/// Guards against an entry that a peer passes on unchecked, as earlier builds do with whatever the
/// store holds.
fn check_odd_entry(change: fn(&mut TargetEntry)) {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    let mut odd = rank("odd", 1);
    change(&mut odd);
    for second in 0..2 {
        let entries = ranks().into_iter().chain([odd.clone()]).collect();
        roster.apply(entries, now + Duration::from_secs(second));
        assert_eq!(roster.len(), ranks().len());
        assert_eq!(roster.groups()[&group()].epoch, 5);
    }
}

test_cases! {
    fn check_odd_entry(change: fn(&mut TargetEntry));
    entry_without_a_name: (|entry| entry.id = "".into());
    entry_whose_name_breaks_the_line: (|entry| entry.id = "odd\r\nx-tenant: t".into());
    entry_whose_name_has_a_space: (|entry| entry.id = "od d".into());
    entry_with_port_zero: (|entry| entry.address.set_port(0));
    entry_with_the_address_of_no_host: (|entry| entry.address = "0.0.0.0:80".parse().unwrap());
    entry_with_the_address_of_many_hosts: (|entry| entry.address = "224.0.0.1:80".parse().unwrap());
    entry_with_the_slots_of_no_target: (|entry| entry.slots = u32::MAX);
    entry_that_starts_in_the_far_future: (|entry| entry.started_at_ms = u64::MAX);
    entry_with_the_epoch_of_no_formation: (|entry| entry.group.as_mut().unwrap().epoch = u64::MAX);
    entry_with_a_rank_beyond_its_group: (|entry| entry.group.as_mut().unwrap().rank = RANKS);
    entry_with_the_size_of_no_group: (|entry| entry.group.as_mut().unwrap().size = u32::MAX);
}

/// The store then holds no target under that name.
#[test]
fn odd_entry_takes_the_place_of_a_sound_one() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.apply(ranks(), now);
    let mut entries = ranks();
    entries[1].slots = u32::MAX;
    roster.apply(entries, now + Duration::from_secs(1));
    assert!(roster.find("r1").is_none());
    assert_eq!(roster.len(), ranks().len() - 1);
    roster.apply(ranks(), now + Duration::from_secs(2));
    assert_eq!(roster.len(), ranks().len());
}

/// A service may be added to the configuration after its targets are listed.
#[test]
fn ranks_count_once_their_service_is_configured() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.set_services(["elsewhere".parse().unwrap()].into(), now);
    roster.apply(ranks(), now);
    assert!(roster.groups().is_empty());
    let changes = roster.set_services([service()].into(), now);
    assert_eq!(changes.len(), 1);
    assert!(matches!(choose(&roster, now), TargetChoice::Chosen(_)));
}

/// Guards against sums of the loads that peers report that are out of range.
#[test]
fn huge_loads_of_peers_are_added_up() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.apply(ranks(), now);
    let hashes: Vec<_> = roster.iter().map(|(_, target)| target.name_hash).collect();
    let loads = hashes
        .iter()
        .flat_map(|hash| [(*hash, u32::MAX), (*hash, 1)]);
    roster.set_peer_loads(loads);
    let keys: Vec<_> = roster.iter().map(|(key, _)| key).collect();
    for key in keys {
        roster.get_mut(key).unwrap().own_in_flight = 1;
    }
    assert_eq!(roster.group_load(&group()), u32::MAX);
    assert_eq!(choose(&roster, now), TargetChoice::Full);
}

fn engine(slots: u32) -> EngineProfile {
    EngineProfile {
        slots,
        stride: 1,
        step: Duration::from_millis(5),
        step_per_request: Duration::from_micros(300),
        read_tokens_per_s: 70_000.0,
        usual_prompt_tokens: 800.0,
        usual_answer_tokens: 150.0,
        report_age: Duration::ZERO,
        experts: None,
    }
}

/// Guards against a limit of no requests, since the product of ranks and slots is out of range.
fn check_capacity(ranks: u32, slots: u32) {
    let now = Instant::now();
    let mut governor = PassGovernor::new();
    for _ in 0..100 {
        governor.record_pause(Duration::from_millis(6));
    }
    let load = GroupLoad {
        ranks,
        in_flight: 1,
        pause_objective: Duration::from_millis(120),
        slow_ranks: 0,
    };
    assert!(governor.update(&engine(slots), &load, now));
    assert!(governor.limit().unwrap() >= 1);
}

test_cases! {
    fn check_capacity(ranks: u32, slots: u32);
    size_of_an_odd_group: (1 << 28, 16);
    largest_size_of_a_group: (u32::MAX, 16);
    largest_size_and_slots: (u32::MAX, u32::MAX);
}

/// Guards against a placer that ends because the expected duration of a pass is no duration.
fn check_pass(in_flight: u32, read_tokens_per_s: f64) {
    let load = PassLoad {
        ranks: 4,
        in_flight,
        pause_objective: None,
    };
    let odd = EngineProfile {
        read_tokens_per_s,
        ..engine(4)
    };
    assert!(load.new_formation_pass(&odd) >= odd.step);
}

test_cases! {
    fn check_pass(in_flight: u32, read_tokens_per_s: f64);
    idle_group_that_reads_nothing: (0, 0.0);
    busy_group_that_reads_nothing: (8, 0.0);
    busy_group_that_hardly_reads: (8, 1e-300);
    group_that_reads_backwards: (8, -1.0);
}

/// Guards against a route that has no service, since the sum of its weights is out of range.
#[test]
fn huge_weights_of_services_are_added_up() {
    let route = RouteRule {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        repeat: RepeatRule::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0,
        services: vec![(service(), u32::MAX), ("other".parse().unwrap(), u32::MAX)],
        attempts: 1,
        allows_anonymous: true,
        pause_objective: None,
        event_timeout: Duration::from_secs(2),
        homes: Vec::new(),
    };
    assert_eq!(route.pick_service(0.25), Some(&service()));
    assert_ne!(route.pick_service(0.75), Some(&service()));
}
