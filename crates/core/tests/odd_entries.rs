//! Guards against entries of the instance list and reports of peers whose numbers or names are odd:
//! they must not keep the other targets from being used.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, GroupMember, RouteRule, TargetChoice, TargetEntry, TargetRoster,
            TargetState, choose_target,
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
