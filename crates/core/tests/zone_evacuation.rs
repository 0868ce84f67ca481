//! Guards against an emptied zone that gets requests, or one that stays empty after the operator has
//! taken it back, because news of it comes late, twice or in another order.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, EmptiedZones, GroupMember, HomeZones, MissedChanges, StoreEra, StoreStamp,
            TargetChoice, TargetEntry, TargetRoster, TargetState, ZoneChange, ZoneEvacuation,
            ZoneRegions, choose_home_target, choose_target,
        },
        ids::{RegionName, ServiceName, ZoneName},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn stamp((era, version): (u64, u64)) -> StoreStamp {
    StoreStamp {
        era: StoreEra::named(era),
        version,
    }
}

fn set(at: (u64, u64), zones: &[&str]) -> EmptiedZones {
    EmptiedZones {
        zones: zones.iter().map(|name| zone(name)).collect(),
        stamp: stamp(at),
    }
}

fn change(name: &str, is_emptied: bool) -> ZoneChange {
    ZoneChange {
        zone: zone(name),
        is_emptied,
    }
}

/// Whole sets, with era and version, in the order in which they arrive.
type ArrivingNews<'a> = &'a [((u64, u64), &'a [&'a str])];

fn check_news(arriving: ArrivingNews<'_>, expected: &[&str]) {
    let mut evacuation = ZoneEvacuation::default();
    for (at, zones) in arriving {
        evacuation.apply(set(*at, zones), Instant::now());
    }
    let zones = &evacuation.latest().unwrap().zones;
    assert_eq!(zones, &set((0, 0), expected).zones);
}

test_cases! {
    fn check_news(arriving: ArrivingNews<'_>, expected: &[&str]);
    zone_is_emptied: (&[((0, 1), &[]), ((0, 2), &["a"])], &["a"]);
    zone_is_taken_back: (&[((0, 2), &["a"]), ((0, 3), &[])], &[]);
    late_news_does_not_refill: (&[((0, 2), &["a"]), ((0, 1), &[])], &["a"]);
    late_news_does_not_empty: (&[((0, 3), &[]), ((0, 2), &["a"])], &[]);
    doubled_news: (&[((0, 2), &["a"]), ((0, 2), &["a"]), ((0, 3), &[]), ((0, 2), &["a"])], &[]);
    two_zones: (&[((0, 2), &["a"]), ((0, 3), &["a", "b"]), ((0, 2), &["a"])], &["a", "b"]);
    earlier_era_with_a_higher_version: (&[((1, 2), &["a"]), ((0, 9), &[])], &["a"]);
    restored_store_with_a_lower_version: (&[((0, 9), &[]), ((1, 2), &["a"])], &["a"]);
    start_after_the_evacuation: (&[((0, 7), &["a", "b"])], &["a", "b"]);
}

/// Guards against a set that depends on the order in which a feed, other reads and peers bring it.
#[test]
fn every_order_of_news_ends_with_the_latest_set() {
    let history = [
        set((0, 1), &[]),
        set((0, 3), &["a"]),
        set((0, 5), &["a", "b"]),
        set((0, 6), &["b"]),
        set((1, 2), &["c"]),
    ];
    let count = history.len();
    for order in 0..count.pow(5) {
        let order = (0..count).map(|place| order / count.pow(place as u32) % count);
        let mut evacuation = ZoneEvacuation::default();
        let mut latest = StoreStamp::default();
        for news in order.map(|index| &history[index]) {
            latest = latest.max(news.stamp);
            evacuation.apply(news.clone(), Instant::now());
            let expected = history.iter().find(|news| news.stamp == latest);
            assert_eq!(evacuation.latest(), expected);
        }
    }
}

/// Guards against changes that are applied to a set which is older than they assume.
#[test]
fn changes_apply_only_to_the_set_that_they_follow() {
    let now = Instant::now();
    let mut evacuation = ZoneEvacuation::default();
    let emptied = vec![change("b", true)];
    let unknown = evacuation.follow(emptied.clone(), stamp((0, 2)), stamp((0, 4)), now);
    assert_eq!(unknown, Err(MissedChanges));
    evacuation.apply(set((0, 2), &["a"]), now);
    let missed = evacuation.follow(emptied.clone(), stamp((0, 3)), stamp((0, 4)), now);
    assert_eq!(missed, Err(MissedChanges));
    let followed = evacuation.follow(emptied.clone(), stamp((0, 2)), stamp((0, 4)), now);
    assert_eq!(followed, Ok(emptied));
    let twice = vec![change("a", false), change("a", true), change("b", false)];
    let followed = evacuation.follow(twice, stamp((0, 4)), stamp((0, 7)), now);
    assert_eq!(followed, Ok(vec![change("b", false)]));
    assert_eq!(evacuation.latest(), Some(&set((0, 7), &["a"])));
    // A peer has told a later set while the call was under way.
    evacuation.apply(set((0, 9), &[]), now);
    let late = evacuation.follow(vec![change("a", true)], stamp((0, 7)), stamp((0, 8)), now);
    assert_eq!(late, Ok(Vec::new()));
    assert_eq!(evacuation.latest(), Some(&set((0, 9), &[])));
}

/// Guards against a zone that stays emptied for good by a peer's news of an era that the store never
/// had, and against one that is refilled before the store has said so.
#[test]
fn news_of_an_abandoned_era_holds_until_the_store_is_read() {
    let mut evacuation = ZoneEvacuation::default();
    evacuation.apply(set((4, 2), &["a"]), Instant::now());
    evacuation.forget_after(StoreEra::named(1));
    assert_eq!(
        evacuation.latest().unwrap().zones,
        set((0, 0), &["a"]).zones
    );
    evacuation.apply(set((1, 3), &[]), Instant::now());
    assert_eq!(evacuation.latest(), Some(&set((1, 3), &[])));
}

/// Guards against load reports that never tell of the last zone that was taken back, and against
/// ones that tell of it for good.
#[test]
fn reports_tell_of_emptied_zones_and_for_a_while_of_the_last_one() {
    let now = Instant::now();
    let mut evacuation = ZoneEvacuation::default();
    evacuation.apply(set((0, 1), &[]), now);
    assert_eq!(evacuation.reported(now), None);
    evacuation.apply(set((0, 2), &["a"]), now);
    assert!(
        evacuation
            .reported(now + Duration::from_secs(3600))
            .is_some()
    );
    evacuation.apply(set((0, 3), &[]), now);
    assert!(evacuation.reported(now + Duration::from_secs(9)).is_some());
    assert_eq!(evacuation.reported(now + Duration::from_secs(11)), None);
}

fn service() -> ServiceName {
    "orders".parse().unwrap()
}

fn entry(zone_name: &str) -> TargetEntry {
    TargetEntry {
        id: zone_name.into(),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        availability_zone: zone(zone_name),
        slots: 1,
        state: TargetState::Ready,
        started_at_ms: 1,
        cold_for: None,
        group: None,
    }
}

fn roster(zones: &[&str], now: Instant) -> TargetRoster {
    let mut roster = TargetRoster::default();
    roster.apply(zones.iter().map(|name| entry(name)).collect(), now);
    roster
}

/// Returns the name of the chosen target, or the reason why there is none.
fn choose(roster: &TargetRoster, homes: &HomeZones, now: Instant) -> Result<String, TargetChoice> {
    let input = ChoiceInput {
        service: &service(),
        own_zone: &zone("a"),
        tried: &[],
        group_limits: &HashMap::new(),
        draw: 0.0,
        slice: None,
    };
    match choose_home_target(roster, &input, homes, now) {
        TargetChoice::Chosen(key) => Ok(roster.get(key).unwrap().entry.id.to_string()),
        choice => {
            if !homes.is_bound() {
                assert_eq!(choose_target(roster, &input, now), choice);
            }
            Err(choice)
        }
    }
}

/// Guards against targets of an emptied zone that are chosen because their zone is the nearest or the
/// only one, or because they are listed after the zone was emptied.
#[test]
fn targets_of_emptied_zones_are_not_chosen() {
    let now = Instant::now();
    let anywhere = HomeZones::default();
    let mut roster = roster(&["a", "b"], now);
    assert_eq!(choose(&roster, &anywhere, now), Ok("a".to_owned()));
    roster.set_emptied_zones([zone("a")].into());
    assert_eq!(choose(&roster, &anywhere, now), Ok("b".to_owned()));
    roster.set_emptied_zones([zone("a"), zone("b")].into());
    assert_eq!(choose(&roster, &anywhere, now), Err(TargetChoice::Emptied));
    assert_eq!(roster.departures().count(), 0);
    let later = now + Duration::from_secs(1);
    let mut entries: Vec<_> = roster.listed().cloned().collect();
    for entry in &mut entries {
        entry.started_at_ms += 1;
    }
    roster.apply(entries, later);
    assert_eq!(
        choose(&roster, &anywhere, later),
        Err(TargetChoice::Emptied)
    );
    roster.set_emptied_zones([zone("a")].into());
    assert_eq!(choose(&roster, &anywhere, later), Ok("b".to_owned()));
}

fn check_homes(route: &[&str], team: &[&str], expected: &[&str]) {
    let regions = [("a", "east"), ("b", "east"), ("c", "west"), ("d", "north")];
    let regions = regions.map(|(name, region)| (zone(name), region.parse().unwrap()));
    let regions: ZoneRegions = regions.into_iter().collect();
    let names = |names: &[&str]| -> Vec<RegionName> {
        let names = names.iter().map(|name| name.parse().unwrap());
        names.collect()
    };
    let homes = regions.home_zones(&[&names(route), &names(team)]);
    let zones = ["a", "b", "c", "d", "unknown"];
    let allowed = zones.into_iter().filter(|name| homes.contains(&zone(name)));
    assert_eq!(allowed.collect::<Vec<_>>(), expected);
}

test_cases! {
    fn check_homes(route: &[&str], team: &[&str], expected: &[&str]);
    no_homes: (&[], &[], &["a", "b", "c", "d", "unknown"]);
    homes_of_the_route: (&["east"], &[], &["a", "b"]);
    homes_of_the_team: (&[], &["west", "north"], &["c", "d"]);
    homes_of_both_bind: (&["east", "west"], &["west", "north"], &["c"]);
    homes_without_a_common_region: (&["east"], &["west"], &[]);
    homes_without_a_zone: (&["south"], &[], &[]);
}

/// Guards against a request that leaves its home zones because they are full, emptied or unknown.
#[test]
fn requests_stay_in_their_home_zones() {
    let now = Instant::now();
    let regions: ZoneRegions = [(zone("b"), "east".parse().unwrap())].into_iter().collect();
    let east = ["east".parse().unwrap()];
    let homes = regions.home_zones(&[&east]);
    let mut roster = roster(&["a", "b"], now);
    assert_eq!(choose(&roster, &homes, now), Ok("b".to_owned()));
    let key = roster.find("b").unwrap();
    roster.get_mut(key).unwrap().own_in_flight = 1;
    assert_eq!(choose(&roster, &homes, now), Err(TargetChoice::Full));
    roster.set_emptied_zones([zone("b")].into());
    assert_eq!(choose(&roster, &homes, now), Err(TargetChoice::Emptied));
    let nowhere = regions.home_zones(&[&["west".parse().unwrap()]]);
    assert_eq!(choose(&roster, &nowhere, now), Err(TargetChoice::Absent));
}

/// A peer may name an era that the store has never had. Once the store has disproved it, changes of the
/// store's own era must count again.
#[test]
fn changes_of_the_store_count_after_a_disproved_era() {
    let now = Instant::now();
    let mut evacuation = ZoneEvacuation::default();
    evacuation.apply(set((1, 3), &[]), now);
    evacuation.apply(set((5, 2), &[]), now);
    evacuation.forget_after(stamp((1, 3)).era);
    let changes = vec![change("b", true)];
    let followed = evacuation.follow(changes, stamp((1, 3)), stamp((1, 4)), now);
    assert!(followed.is_err(), "all rows are read again");
    evacuation.apply(set((1, 4), &["b"]), now);
    assert_eq!(evacuation.latest(), Some(&set((1, 4), &["b"])));
}

/// A request that must stay in its home is not told to return when a target elsewhere takes requests.
#[test]
fn hold_off_elsewhere_says_nothing_of_the_home() {
    let now = Instant::now();
    let regions: ZoneRegions = [(zone("b"), "east".parse().unwrap())].into_iter().collect();
    let homes = regions.home_zones(&[&["east".parse().unwrap()]]);
    let mut roster = roster(&["a", "b"], now);
    let key = roster.find("b").unwrap();
    roster.get_mut(key).unwrap().is_superseded = true;
    let key = roster.find("a").unwrap();
    let held_off_until = now + Duration::from_secs(5);
    roster.get_mut(key).unwrap().notice.held_off_until = Some(held_off_until);
    assert_eq!(choose(&roster, &homes, now), Err(TargetChoice::Unusable));
}

/// All ranks of a group run each pass together, so that what still runs in an emptied zone takes part
/// of the limit of the group.
#[test]
fn group_limit_counts_what_runs_in_the_emptied_zone() {
    let now = Instant::now();
    let mut roster = TargetRoster::default();
    let ranks = [("a", 0), ("b", 1)].map(|(name, rank)| TargetEntry {
        slots: 4,
        group: Some(GroupMember {
            name: "captions".parse().unwrap(),
            epoch: 1,
            rank,
            size: 2,
            is_open: true,
        }),
        ..entry(name)
    });
    roster.apply(ranks.into(), now);
    let key = roster.find("a").unwrap();
    roster.get_mut(key).unwrap().own_in_flight = 3;
    let limits: HashMap<_, _> = [("captions".parse().unwrap(), 3)].into();
    let input = ChoiceInput {
        service: &service(),
        own_zone: &zone("b"),
        tried: &[],
        group_limits: &limits,
        draw: 0.0,
        slice: None,
    };
    roster.set_emptied_zones([zone("a")].into());
    assert_eq!(choose_target(&roster, &input, now), TargetChoice::Full);
}
