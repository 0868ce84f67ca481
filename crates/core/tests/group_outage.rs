//! Replays the span in which a group misses ranks: how that and its end are known, and who waits.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, DatedView, GroupSeat, GroupView, GroupWatch, LineEntry, OutageStep,
            RankRejection, TargetChoice, TargetEntry, TargetRoster, TargetState, choose_target,
            decide_during_outage, map_plan::PassLoad,
        },
        ids::{GroupName, ServiceName},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

const SLOTS: u32 = 4;

/// Time of a pass before the outage.
const PASS: Duration = Duration::from_millis(70);

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn group() -> GroupName {
    "g".parse().unwrap()
}

fn rank(number: u32, epoch: u64) -> TargetEntry {
    TargetEntry {
        id: format!("r{number}").as_str().into(),
        service: "drafting".parse().unwrap(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: SLOTS,
        state: TargetState::Ready,
        started_at_ms: 1,
        group: Some(GroupSeat {
            name: group(),
            epoch,
            rank: number,
            size: 3,
            is_open: true,
        }),
    }
}

/// Returns the ranks of a group whose last events came at `progress_at`.
fn roster(now: Instant, progress_at: Instant) -> TargetRoster {
    let mut roster = TargetRoster::default();
    roster.apply((0..3).map(|number| rank(number, 1)).collect(), now);
    let keys: Vec<_> = roster.iter().map(|(key, _)| key).collect();
    for key in keys {
        roster.get_mut(key).unwrap().progress_at = Some(progress_at);
    }
    roster
}

fn choose(roster: &TargetRoster, now: Instant) -> TargetChoice {
    let service: ServiceName = "drafting".parse().unwrap();
    let input = ChoiceInput {
        service: &service,
        own_zone: &"ruwi".parse().unwrap(),
        tried: &[],
        group_limits: &HashMap::new(),
        draw: 0.5,
    };
    choose_target(roster, &input, now)
}

fn reject(roster: &mut TargetRoster, names_another: bool, now: Instant) {
    let key = roster.find("r0").unwrap();
    roster.note_rejection(key, names_another, Some(PASS), now);
}

fn check_rejection(in_flight: u32, silent_ms: u64, names_another: bool, expected: bool) {
    let start = Instant::now();
    let now = start + milliseconds(silent_ms);
    let mut roster = roster(start, start);
    let key = roster.find("r0").unwrap();
    roster.get_mut(key).unwrap().own_in_flight = in_flight;
    reject(&mut roster, names_another, now);
    let is_broken = matches!(choose(&roster, now), TargetChoice::GroupBroken(_));
    assert_eq!(is_broken, expected);
}

test_cases! {
    fn check_rejection(in_flight: u32, silent_ms: u64, names_another: bool, expected: bool);
    rank_with_room_in_a_silent_group_shows_the_break: (3, 1_500, false, true);
    rank_with_room_rejects_while_others_go_on: (3, 80, false, false);
    full_rank_shows_nothing: (5, 1_500, false, false);
    rejection_that_names_another_rank_shows_the_break: (5, 80, true, true);
}

fn dated(epoch: u64, is_open: bool, as_of: Instant) -> DatedView {
    let view = GroupView { epoch, is_open };
    DatedView { view, as_of }
}

/// The list of a gateway that is cut off shows the group open for as long as the cut lasts.
#[test]
fn report_of_the_next_formation_opens_the_group_that_the_list_does_not_show() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let broken_at = start + milliseconds(1_500);
    reject(&mut roster, false, broken_at);
    let now = broken_at + milliseconds(4_700);
    roster.note_group_view(&group(), dated(1, false, now), now);
    assert_eq!(choose(&roster, now), TargetChoice::GroupBroken(start));
    roster.note_group_view(&group(), dated(2, true, now), now);
    assert!(matches!(choose(&roster, now), TargetChoice::Chosen(_)));
    // An older list comes late.
    roster.apply((0..3).map(|number| rank(number, 1)).collect(), now);
    assert!(matches!(choose(&roster, now), TargetChoice::Chosen(_)));
}

fn check_doubt(report: (u64, u64, bool), expected: bool) {
    let (as_of_ms, epoch, is_open) = report;
    let doubted_at = Instant::now() + milliseconds(1_000);
    let mut watch = GroupWatch::default();
    watch.note_break(&group(), 1, doubted_at);
    let as_of = doubted_at + milliseconds(as_of_ms) - milliseconds(300);
    watch.note_view(&group(), dated(epoch, is_open, as_of), as_of);
    let listed = GroupView {
        epoch: 1,
        is_open: true,
    };
    assert_eq!(watch.merge(&group(), listed).is_open, expected);
}

test_cases! {
    fn check_doubt(report: (u64, u64, bool), expected: bool);
    report_from_before_the_rejections_says_nothing: ((100, 1, true), false);
    report_as_old_as_reports_are_says_nothing: ((600, 1, true), false);
    later_report_of_an_open_group_ends_the_doubt: ((800, 1, true), true);
    next_formation_ends_the_doubt_at_once: ((100, 2, true), true);
    later_report_of_a_broken_group_confirms_it: ((800, 1, false), false);
}

/// All ranks of a group are replaced, and its formations are counted from the start again. What was
/// known about the former ones must not keep such a group closed for good.
#[test]
fn list_overtakes_what_was_known_of_former_formations() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let list = || (0..3).map(|number| rank(number, 1)).collect();
    roster.note_group_view(&group(), dated(7, false, start), start);
    let soon = start + milliseconds(2_000);
    roster.apply(list(), soon);
    assert!(matches!(
        choose(&roster, soon),
        TargetChoice::GroupBroken(_)
    ));
    let later = start + milliseconds(6_000);
    roster.apply(list(), later);
    assert!(matches!(choose(&roster, later), TargetChoice::Chosen(_)));
}

/// News of several gateways arrive in any order.
#[test]
fn views_may_be_merged_in_any_order() {
    let now = Instant::now();
    let views = [(1, true), (1, false), (2, true), (2, false)];
    for first in views {
        for second in views {
            let merged = [[first, second], [second, first]].map(|order| {
                let mut watch = GroupWatch::default();
                for (epoch, is_open) in order {
                    watch.note_view(&group(), dated(epoch, is_open, now), now);
                }
                let listed = GroupView {
                    epoch: 0,
                    is_open: true,
                };
                watch.merge(&group(), listed)
            });
            assert_eq!(merged[0], merged[1], "{first:?} {second:?}");
        }
    }
}

#[test]
fn news_is_told_for_some_seconds() {
    let now = Instant::now();
    let mut watch = GroupWatch::default();
    watch.note_view(&group(), dated(2, true, now), now);
    assert_eq!(watch.news(now + milliseconds(500)).count(), 1);
    assert_eq!(watch.news(now + milliseconds(5_000)).count(), 0);
}

fn check_silence(silent_ms: Option<u64>, pass_ms: u64, expected: bool) {
    let rejection = RankRejection {
        names_another: false,
        had_room: true,
        silent_for: silent_ms.map(milliseconds),
        pass: Some(milliseconds(pass_ms)),
    };
    assert_eq!(rejection.shows_break(), expected);
}

test_cases! {
    fn check_silence(silent_ms: Option<u64>, pass_ms: u64, expected: bool);
    silence_of_several_passes_counts: (Some(600), 70, true);
    silence_of_few_long_passes_does_not: (Some(600), 200, false);
    gateway_that_has_seen_no_event_yet_knows_no_silence: (None, 70, false);
}

/// One gateway of a zone asks all ranks; the others wait for its news, but not with a doubt of
/// their own that no report has confirmed.
#[test]
fn doubt_is_looked_into_until_a_report_confirms_it() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let now = start + milliseconds(1_500);
    reject(&mut roster, false, now);
    assert!(roster.is_suspected(&group()));
    roster.note_group_view(&group(), dated(1, false, now), now);
    assert!(!roster.is_suspected(&group()));
    assert!(matches!(choose(&roster, now), TargetChoice::GroupBroken(_)));
}

#[test]
fn clock_of_an_outage_starts_anew_when_all_ranks_answer() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let now = start + milliseconds(1_500);
    assert!(!roster.note_forming_group(&group(), 1, now));
    reject(&mut roster, false, now);
    roster.note_group_view(&group(), dated(1, false, now), now);
    let answers_at = now + milliseconds(4_000);
    assert!(roster.note_forming_group(&group(), 1, answers_at));
    let choice = choose(&roster, answers_at);
    assert_eq!(choice, TargetChoice::GroupBroken(answers_at));
    let mut news = roster.group_news(answers_at);
    assert!(news.any(|(name, news)| *name == group() && news.is_forming));
    // Told once more by a peer.
    let later = answers_at + milliseconds(300);
    drop(news);
    assert!(!roster.note_forming_group(&group(), 1, later));
    assert_eq!(choose(&roster, later), choice);
}

/// A stream of a route with 8 seconds whose caller leaves after 2 seconds without an event.
fn stream_entry(arrived_at: Instant, deadline: Instant, can_return: bool) -> LineEntry {
    LineEntry {
        priority: 1,
        on_time_until: arrived_at + milliseconds(250),
        start_until: arrived_at + milliseconds(1_850),
        arrived_at,
        deadline,
        can_return,
    }
}

/// Callers ask each 20 ms through an outage that shows after 1.5 s and ends after 6.5 s; all ranks
/// answer again 0.6 s before. Each comes back once. Nobody waits for long in vain, those who come
/// back after the ranks answer are served, and so are all who ask from 2.6 s before the end on.
#[test]
fn outage_serves_those_whom_it_can_and_tells_the_others_at_once() {
    let stalled_at = Instant::now();
    let (shows_at, answers_at, opens_at) = (
        stalled_at + milliseconds(1_500),
        stalled_at + milliseconds(5_900),
        stalled_at + milliseconds(6_500),
    );
    // Returns when a request that arrives then is served, or when it is refused and may come back.
    let fate = |entry: &LineEntry| {
        for step in 0..200_u64 {
            let now = entry.arrived_at + milliseconds(step * 10);
            if now >= opens_at {
                return Ok(now);
            }
            let since = if now >= answers_at {
                answers_at
            } else {
                stalled_at
            };
            if let OutageStep::Refuse(delay) = decide_during_outage(entry, since, now) {
                return Err((now, delay));
            }
        }
        panic!("the caller has left");
    };
    let (mut vain, mut served_from) = (Duration::ZERO, None);
    let mut asked_at = shows_at;
    while asked_at < opens_at {
        let deadline = asked_at + milliseconds(8_000);
        let served = match fate(&stream_entry(asked_at, deadline, true)) {
            Ok(_) => true,
            Err((refused_at, delay)) => {
                vain = vain.max(refused_at - asked_at);
                let left = deadline - refused_at;
                assert!(delay <= left / 3 + milliseconds(1), "{delay:?}");
                let back_at = refused_at + delay;
                match fate(&stream_entry(back_at, deadline, false)) {
                    Ok(_) => true,
                    Err((refused_at, _)) => {
                        vain = vain.max(refused_at - back_at);
                        false
                    }
                }
            }
        };
        if served {
            served_from.get_or_insert(asked_at);
        } else {
            assert!(served_from.is_none(), "{:?}", asked_at - stalled_at);
        }
        asked_at += milliseconds(20);
    }
    assert!(vain <= milliseconds(300), "{vain:?}");
    let before_end = opens_at - served_from.unwrap();
    assert!(before_end >= milliseconds(3_200), "{before_end:?}");
}

/// A short outage is waited out.
#[test]
fn request_waits_while_the_outage_is_young() {
    let now = Instant::now() + milliseconds(1_000);
    let entry = stream_entry(now, now + milliseconds(8_000), true);
    let since = now - milliseconds(600);
    assert_eq!(decide_during_outage(&entry, since, now), OutageStep::Wait);
}

/// Requests that have waited start at once in a new formation, whose first map suits no demand.
#[test]
fn first_map_of_a_formation_is_due_before_a_pause_was_seen() {
    let engine = engine();
    let load = |in_flight| PassLoad {
        ranks: 12,
        in_flight,
        pause_objective: Some(milliseconds(120)),
    };
    assert!(!load(10).expects_slow_passes(&engine));
    assert!(load(80).expects_slow_passes(&engine));
}

fn engine() -> sassafrasslip_core::dispatch::EngineProfile {
    use sassafrasslip_core::dispatch::{EngineProfile, ExpertProfile};
    EngineProfile {
        slots: 12,
        stride: 5,
        step: Duration::from_micros(5_850),
        step_per_request: Duration::from_micros(355),
        read_tokens_per_s: 61_200.0,
        usual_prompt_tokens: 800.0,
        usual_answer_tokens: 139.0,
        report_age: milliseconds(200),
        experts: Some(ExpertProfile {
            sets: 4,
            experts: 72,
            places: 8,
            loads_per_set: 3,
            share: 0.85,
            bytes: 780_000_000,
            load_time: milliseconds(35),
        }),
    }
}
