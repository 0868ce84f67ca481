//! Guards against a restore of the store from an older copy that undoes what a gateway knows, or
//! that hides later changes because versions are given out again.

use {
    sassafrasslip_core::dispatch::{
        ChoiceInput, EraChange, FleetShare, KnownEra, ListHistory, RosterChange, StoreEra,
        StoreStamp, TargetChoice, TargetDeparture, TargetEntry, TargetList, TargetRoster,
        TargetState, choose_target, store_history::CONFIRMATION_LIMIT,
    },
    sassafrasslip_testkit::test_cases,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
    tokio::time::Instant,
};

const FIRST: StoreEra = StoreEra::named(0);
const SECOND: StoreEra = StoreEra::named(1);

fn stamp(era: StoreEra, version: u64) -> StoreStamp {
    StoreStamp { era, version }
}

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
    let now = Instant::now();
    let mut known = KnownEra::default();
    let changes: Vec<_> = eras
        .iter()
        .map(|era| known.record_answer(*era, now, now))
        .collect();
    assert_eq!(changes.last(), Some(&expected), "{changes:?}");
}

test_cases! {
    fn check_era(eras: &[StoreEra], expected: EraChange);
    first_era_is_no_restore: (&[SECOND], EraChange::Same);
    later_era_is_a_restore: (&[FIRST, SECOND], EraChange::Restored(FIRST));
    earlier_era_is_outdated: (&[SECOND, FIRST], EraChange::Outdated);
    answer_without_era_is_of_the_known_one: (&[SECOND, StoreEra::UNNAMED], EraChange::Same);
}

/// Source of an era, in order of time: a call to the store, by the milliseconds at which it began
/// and ended, or a peer.
#[derive(Clone, Copy, Debug)]
enum EraSource {
    Store(u64, u64),
    Peer(u64),
}

use EraSource::{Peer, Store};

fn check_known_era(sources: &[(EraSource, StoreEra)], expected: StoreEra) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut known = KnownEra::default();
    for (source, era) in sources {
        match source {
            Store(asked, answered) => known.record_answer(*era, at(*asked), at(*answered)),
            Peer(heard) => known.record_claim(*era, at(*heard)),
        };
    }
    assert_eq!(known.era(), expected);
}

const WRONG: StoreEra = StoreEra::named(98);

test_cases! {
    fn check_known_era(sources: &[(EraSource, StoreEra)], expected: StoreEra);
    peer_may_learn_of_a_restore_first: (&[(Store(0, 1), FIRST), (Peer(5), SECOND)], SECOND);
    call_that_began_before_the_claim_of_a_peer_does_not_disprove_it: (
        &[(Store(0, 1), FIRST), (Peer(5), SECOND), (Store(4, 9), FIRST)], SECOND
    );
    call_after_the_claim_of_a_peer_disproves_it: (
        &[(Store(0, 1), FIRST), (Peer(5), WRONG), (Store(6, 9), FIRST)], FIRST
    );
    first_claim_of_a_peer_can_be_disproved: (&[(Peer(5), WRONG), (Store(6, 9), FIRST)], FIRST);
    disproved_claim_is_not_believed_again: (
        &[(Peer(5), WRONG), (Store(6, 9), FIRST), (Peer(10), WRONG)], FIRST
    );
    later_restore_is_believed_after_a_disproved_claim: (
        &[(Peer(5), WRONG), (Store(6, 9), FIRST), (Peer(10), SECOND)], SECOND
    );
    single_answer_of_an_earlier_era_changes_nothing: (
        &[(Store(0, 1), SECOND), (Store(2, 3), FIRST)], SECOND
    );
    store_that_was_set_up_anew_is_followed: (
        &[(Store(0, 1), WRONG), (Store(600, 601), FIRST), (Store(2600, 2601), FIRST)], FIRST
    );
    answers_of_two_processes_of_the_store_do_not_end_an_era: (
        &[
            (Store(0, 1), SECOND), (Store(600, 601), FIRST), (Store(1200, 1201), SECOND),
            (Store(2600, 2601), FIRST),
        ],
        SECOND
    );
}

#[test]
fn lists_of_an_era_that_was_given_up_are_forgotten() {
    let now = Instant::now();
    let mut history = ListHistory::default();
    assert!(history.record(stamp(WRONG, 100), now));
    history.forget_after(WRONG);
    assert!(!history.record(stamp(FIRST, 20), now));
    history.forget_after(FIRST);
    assert!(history.record(stamp(FIRST, 20), now));
}

fn check_coverage(known: &[StoreEra], named: StoreEra, covered: bool) {
    let now = Instant::now();
    let mut era = KnownEra::default();
    for known in known {
        era.record_answer(*known, now, now);
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

fn choose(roster: &TargetRoster, now: Instant, draw: f64) -> TargetChoice {
    let input = ChoiceInput {
        service: &"orders".parse().unwrap(),
        own_zone: &"ruwi".parse().unwrap(),
        tried: &[],
        group_limits: &HashMap::new(),
        draw,
        slice: None,
    };
    choose_target(roster, &input, now)
}

fn doubtful_roster(now: Instant) -> TargetRoster {
    let mut roster = TargetRoster::default();
    let mut list = unconfirmed(vec![entry("old", 5), entry("renewed", 5)]);
    list.unconfirmed.remove("renewed");
    roster.apply_list(list, now);
    roster.set_doubts_unconfirmed(true);
    roster
}

const DRAWS: [f64; 4] = [0.0, 0.3, 0.6, 0.9];

#[test]
fn gateway_without_informed_peers_prefers_targets_that_have_written_again() {
    let now = Instant::now();
    let mut roster = doubtful_roster(now);
    let (old, renewed) = (roster.find("old").unwrap(), roster.find("renewed").unwrap());
    let share = FleetShare {
        gateways: 1,
        draw: 0.5,
    };
    for _ in 0..4 {
        for draw in DRAWS {
            assert_eq!(choose(&roster, now, draw), TargetChoice::Chosen(renewed));
        }
        roster.record_start(renewed, share, now);
    }
    // The other target is better than none.
    assert_eq!(choose(&roster, now, 0.5), TargetChoice::Chosen(old));
}

#[test]
fn informed_gateway_spreads_requests_over_all_targets() {
    let now = Instant::now();
    let mut roster = doubtful_roster(now);
    roster.set_doubts_unconfirmed(false);
    let chosen: Vec<_> = DRAWS.map(|draw| choose(&roster, now, draw)).into();
    for id in ["old", "renewed"] {
        let key = roster.find(id).unwrap();
        assert!(
            chosen.contains(&TargetChoice::Chosen(key)),
            "{id}: {chosen:?}"
        );
    }
}

#[test]
fn entry_of_a_store_that_was_never_restored_is_confirmed() {
    let now = Instant::now();
    let mut history = ListHistory::default();
    assert!(history.record(stamp(FIRST, 100), now));
    assert!(!history.is_unconfirmed(20, now));
}
