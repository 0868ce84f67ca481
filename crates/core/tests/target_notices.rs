//! Tests how a gateway treats targets whose answers announce that they leave or ask for a hold-off.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, TargetChoice, TargetEntry, TargetKey, TargetRoster, TargetState,
            choose_target,
        },
        ids::{ServiceName, ZoneName},
    },
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

fn entry(id: &str, started_at_ms: u64) -> TargetEntry {
    TargetEntry {
        cold_for: None,
        id: id.into(),
        service: "orders".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: 4,
        state: TargetState::Ready,
        started_at_ms,
        group: None,
    }
}

fn choose(roster: &TargetRoster, now: Instant) -> TargetChoice {
    let service: ServiceName = "orders".parse().unwrap();
    let own_zone: ZoneName = "ruwi".parse().unwrap();
    let input = ChoiceInput {
        service: &service,
        own_zone: &own_zone,
        tried: &[],
        group_limits: &HashMap::new(),
        draw: 0.5,
        slice: None,
    };
    choose_target(roster, &input, now)
}

fn roster_of(ids: &[&str], now: Instant) -> (TargetRoster, Vec<TargetKey>) {
    let mut roster = TargetRoster::default();
    roster.apply(ids.iter().map(|id| entry(id, 1)).collect(), now);
    let keys = ids.iter().map(|id| roster.find(id).unwrap()).collect();
    (roster, keys)
}

/// Lists and peers lag: for some seconds they show a target as ready that has announced to leave.
#[test]
fn list_does_not_override_a_leaving_notice() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one", "two"], now);
    assert!(roster.note_leaving(keys[0]));
    assert!(
        !roster.note_leaving(keys[0]),
        "the same notice is new twice"
    );
    for second in 1..4 {
        let later = now + Duration::from_secs(second);
        roster.apply(vec![entry("one", 1), entry("two", 1)], later);
        assert_eq!(choose(&roster, later), TargetChoice::Chosen(keys[1]));
    }
}

/// After an outage of the store, or a restart of the peer that reads it, an outdated list may show
/// a target again that has left.
#[test]
fn leaving_target_is_not_used_again_after_its_entry_lapsed() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one"], now);
    roster.note_leaving(keys[0]);
    roster.apply(vec![], now + Duration::from_secs(1));
    roster.apply(vec![entry("one", 1)], now + Duration::from_secs(2));
    let later = now + Duration::from_secs(2);
    assert_eq!(choose(&roster, later), TargetChoice::Absent);
}

#[test]
fn new_incarnation_of_a_leaving_target_is_used() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one"], now);
    roster.note_leaving(keys[0]);
    roster.note_hold_off(keys[0], now + Duration::from_secs(60));
    let later = now + Duration::from_secs(1);
    roster.apply(vec![entry("one", 2)], later);
    let restarted = roster.find("one").unwrap();
    assert_eq!(choose(&roster, later), TargetChoice::Chosen(restarted));
}

#[test]
fn service_whose_targets_all_leave_has_no_target() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one", "two"], now);
    for key in keys {
        roster.note_leaving(key);
    }
    assert_eq!(choose(&roster, now), TargetChoice::Absent);
}

#[test]
fn target_gets_no_requests_during_its_hold_off() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one", "two"], now);
    let until = now + Duration::from_secs(3);
    assert!(roster.note_hold_off(keys[0], until));
    assert!(!roster.note_hold_off(keys[0], now + Duration::from_secs(1)));
    // Answers to requests that were sent before the hold-off do not end it.
    roster.get_mut(keys[0]).unwrap().health.record_success(now);
    for millisecond in [0, 1_500, 2_999] {
        let later = now + Duration::from_millis(millisecond);
        assert_eq!(choose(&roster, later), TargetChoice::Chosen(keys[1]));
    }
}

#[test]
fn earliest_end_is_returned_when_all_targets_are_held_off() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one", "two"], now);
    let (first, second) = (now + Duration::from_secs(2), now + Duration::from_secs(5));
    roster.note_hold_off(keys[0], second);
    roster.note_hold_off(keys[1], first);
    assert_eq!(choose(&roster, now), TargetChoice::HeldOff(first));
}

#[test]
fn hold_off_survives_a_lapsed_entry() {
    let now = Instant::now();
    let (mut roster, keys) = roster_of(&["one"], now);
    let until = now + Duration::from_secs(5);
    roster.note_hold_off(keys[0], until);
    roster.apply(vec![], now + Duration::from_secs(1));
    let later = now + Duration::from_secs(2);
    roster.apply(vec![entry("one", 1)], later);
    assert_eq!(choose(&roster, later), TargetChoice::HeldOff(until));
}

/// All targets of a service hold off sixteen gateways until the same moment, and each gateway has
/// ten waiting requests. When the hold-off ends, each gateway must send each target only one
/// request. If it sent all of them at once, the targets would hold the gateways off again.
#[test]
fn each_gateway_probes_a_target_with_one_request_after_a_hold_off() {
    const GATEWAYS: usize = 16;
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    let mut arrivals = [0; 2];
    for _ in 0..GATEWAYS {
        let (mut roster, keys) = roster_of(&["one", "two"], now);
        for key in &keys {
            roster.note_hold_off(*key, until);
        }
        for _ in 0..10 {
            assert!(matches!(choose(&roster, now), TargetChoice::HeldOff(_)));
            if let TargetChoice::Chosen(key) = choose(&roster, until) {
                let target = roster.get_mut(key).unwrap();
                target.own_in_flight += 1;
                target.health.record_start();
                arrivals[keys.iter().position(|known| *known == key).unwrap()] += 1;
            }
        }
        // The first answer from a target allows further requests to it.
        let target = roster.get_mut(keys[0]).unwrap();
        target.health.record_success(until);
        assert_eq!(choose(&roster, until), TargetChoice::Chosen(keys[0]));
    }
    assert_eq!(arrivals, [GATEWAYS; 2]);
}
