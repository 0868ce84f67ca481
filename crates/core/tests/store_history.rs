//! Guards against a restore of the store from an older copy that undoes what a gateway knows, or
//! that hides later changes because versions are given out again.

use {
    sassafrasslip_core::dispatch::{
        EraChange, KnownEra, ListHistory, RosterChange, StoreEra, StoreStamp, TargetDeparture,
        TargetEntry, TargetList, TargetRoster, TargetState, store_history::CONFIRMATION_LIMIT,
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashSet, time::Duration},
    tokio::time::Instant,
};

const FIRST: StoreEra = StoreEra::named(0);
const SECOND: StoreEra = StoreEra::named(1);

fn stamp(era: StoreEra, version: u64) -> StoreStamp {
    StoreStamp { era, version }
}

fn entry(id: &str, started_at_ms: u64) -> TargetEntry {
    TargetEntry {
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

fn unconfirmed(entries: Vec<TargetEntry>) -> TargetList {
    let ids: HashSet<_> = entries.iter().map(|entry| entry.id.clone()).collect();
    TargetList {
        entries,
        unconfirmed: ids,
    }
}

fn check_list_order(lists: &[StoreStamp], is_newest: bool) {
    let now = Instant::now();
    let mut history = ListHistory::default();
    let recorded: Vec<_> = lists
        .iter()
        .map(|stamp| history.record(*stamp, now))
        .collect();
    assert_eq!(recorded.last(), Some(&is_newest), "{recorded:?}");
}

test_cases! {
    fn check_list_order(lists: &[StoreStamp], is_newest: bool);
    list_with_a_lower_version_is_old: (&[stamp(FIRST, 9), stamp(FIRST, 8)], false);
    list_with_the_same_version_is_new: (&[stamp(FIRST, 9), stamp(FIRST, 9)], true);
    list_of_a_later_era_is_new: (&[stamp(FIRST, 9), stamp(SECOND, 2)], true);
    list_of_an_earlier_era_is_old: (&[stamp(SECOND, 2), stamp(FIRST, 9)], false);
    list_of_a_store_without_eras_is_ordered_by_version: (
        &[stamp(StoreEra::UNNAMED, 9), stamp(StoreEra::UNNAMED, 8)], false
    );
}

fn check_era(eras: &[StoreEra], expected: EraChange) {
    let mut known = KnownEra::default();
    let changes: Vec<_> = eras.iter().map(|era| known.record(*era)).collect();
    assert_eq!(changes.last(), Some(&expected), "{changes:?}");
}

test_cases! {
    fn check_era(eras: &[StoreEra], expected: EraChange);
    first_era_is_no_restore: (&[SECOND], EraChange::Same);
    later_era_is_a_restore: (&[FIRST, SECOND], EraChange::Restored(FIRST));
    earlier_era_is_outdated: (&[SECOND, FIRST], EraChange::Outdated);
    answer_without_era_is_of_the_known_one: (&[SECOND, StoreEra::UNNAMED], EraChange::Same);
}

fn check_coverage(known: &[StoreEra], named: StoreEra, covered: bool) {
    let mut era = KnownEra::default();
    for known in known {
        era.record(*known);
    }
    assert_eq!(era.covers(named), covered);
}

test_cases! {
    fn check_coverage(known: &[StoreEra], named: StoreEra, covered: bool);
    peer_without_era_is_not_relied_on: (&[FIRST], StoreEra::UNNAMED, false);
    peer_without_era_is_not_relied_on_before_the_store_was_read: (&[], StoreEra::UNNAMED, false);
    peer_of_an_earlier_era_is_not_relied_on: (&[SECOND], FIRST, false);
    peer_of_the_same_era_is_relied_on: (&[SECOND], SECOND, true);
    peer_is_relied_on_before_the_store_was_read: (&[], FIRST, true);
    peer_without_era_is_relied_on_if_the_store_names_none: (
        &[StoreEra::UNNAMED], StoreEra::UNNAMED, true
    );
}

#[test]
fn entry_is_confirmed_once_it_was_written_after_the_first_list_of_the_era() {
    let now = Instant::now();
    let mut history = ListHistory::default();
    assert!(history.record(stamp(FIRST, 100), now));
    assert!(history.record(stamp(SECOND, 20), now));
    assert!(history.record(stamp(SECOND, 30), now));
    assert!(history.is_unconfirmed(20, now));
    assert!(!history.is_unconfirmed(21, now));
    assert!(!history.is_unconfirmed(20, now + CONFIRMATION_LIMIT));
}

#[test]
fn unconfirmed_entry_does_not_bring_a_target_back() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.apply(vec![entry("gone", 5)], now);
    roster.apply(vec![], now + Duration::from_secs(1));
    let later = now + Duration::from_secs(2);
    roster.apply_list(unconfirmed(vec![entry("gone", 5)]), later);
    assert!(roster.is_empty());
    // Its entry had only expired.
    roster.apply(vec![entry("gone", 5)], later + Duration::from_secs(1));
    assert_eq!(roster.len(), 1);
}

#[test]
fn unconfirmed_entry_of_a_new_incarnation_is_used() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.apply(vec![entry("back", 5)], now);
    roster.apply(vec![], now + Duration::from_secs(1));
    let later = now + Duration::from_secs(2);
    roster.apply_list(unconfirmed(vec![entry("back", 6)]), later);
    assert_eq!(roster.len(), 1);
}

#[test]
fn unconfirmed_entry_does_not_replace_a_later_incarnation() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.apply(vec![entry("restarted", 6)], now);
    let later = now + Duration::from_secs(1);
    roster.note_list_regained(later);
    let changes = roster.apply_list(unconfirmed(vec![entry("restarted", 5)]), later);
    assert_eq!(changes, vec![]);
    assert_eq!(
        roster.find_target("restarted").unwrap().entry.started_at_ms,
        6
    );
}

#[test]
fn unconfirmed_entry_does_not_end_a_drain() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    let draining = TargetEntry {
        state: TargetState::Draining,
        ..entry("leaving", 5)
    };
    roster.apply(vec![draining], now);
    let later = now + Duration::from_secs(1);
    roster.apply_list(unconfirmed(vec![entry("leaving", 5)]), later);
    assert!(!roster.find_target("leaving").unwrap().takes_work());
}

#[test]
fn unconfirmed_entry_of_a_target_that_a_peer_knows_to_have_left_gets_no_work() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    roster.apply_list(unconfirmed(vec![entry("left", 5), entry("other", 5)]), now);
    roster.apply_list(unconfirmed(vec![entry("left", 5), entry("other", 5)]), now);
    let departure = TargetDeparture {
        id: "left".into(),
        started_at_ms: 5,
    };
    let key = roster.find("left").unwrap();
    let changes = roster.note_departures([departure], now);
    assert_eq!(changes, vec![RosterChange::Draining(key)]);
    assert!(roster.find_target("other").unwrap().takes_work());
    // The target writes its entry again, so that the peer was wrong.
    roster.apply(vec![entry("left", 5), entry("other", 5)], now);
    assert!(roster.find_target("left").unwrap().takes_work());
}
