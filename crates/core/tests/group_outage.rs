//! Tests how a gateway detects that a group lacks ranks and that it runs again, and which requests
//! wait for a group during the outage.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, DatedView, GroupMember, GroupView, GroupWatch, OutageStep, RankRejection,
            TargetChoice, TargetEntry, TargetRoster, TargetState, WaitingRequest, choose_target,
            decide_during_outage, map_plan::PassLoad,
        },
        ids::{GroupName, ServiceName},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

const SLOTS: u32 = 4;

/// Duration of one pass of the group before the outage.
const PASS_TIME: Duration = Duration::from_millis(70);

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn group() -> GroupName {
    "g".parse().unwrap()
}

fn rank(number: u32, epoch: u64) -> TargetEntry {
    TargetEntry {
        cold_for: None,
        id: format!("r{number}").as_str().into(),
        service: "drafting".parse().unwrap(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: SLOTS,
        state: TargetState::Ready,
        started_at_ms: 1,
        group: Some(GroupMember {
            name: group(),
            epoch,
            rank: number,
            size: 3,
            is_open: true,
        }),
    }
}

/// Returns a roster with the three ranks of a group that last sent an event at `progress_at`.
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
        slice: None,
    };
    choose_target(roster, &input, now)
}

fn reject(roster: &mut TargetRoster, names_another: bool, now: Instant) {
    let key = roster.find("r0").unwrap();
    roster.note_rejection(key, names_another, Some(PASS_TIME), now);
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
    rejection_with_free_slots_in_a_silent_group_marks_it_broken: (3, 1_500, false, true);
    rejection_while_other_ranks_send_events_keeps_the_group_open: (3, 80, false, false);
    rejection_by_a_full_rank_keeps_the_group_open: (5, 1_500, false, false);
    rejection_that_names_another_rank_marks_the_group_broken: (5, 80, true, true);
}

fn dated_view(epoch: u64, is_open: bool, as_of: Instant) -> DatedView {
    let view = GroupView { epoch, is_open };
    DatedView { view, as_of }
}

/// A gateway in a zone that is cut off reads no new list: until the partition ends, its last list
/// shows the group as open in the epoch that is broken.
#[test]
fn report_of_a_newer_epoch_reopens_the_group_before_the_list_does() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let broken_at = start + milliseconds(1_500);
    reject(&mut roster, false, broken_at);
    let now = broken_at + milliseconds(4_700);
    roster.note_group_view(&group(), dated_view(1, false, now), now);
    assert_eq!(choose(&roster, now), TargetChoice::GroupBroken(start));
    roster.note_group_view(&group(), dated_view(2, true, now), now);
    assert!(matches!(choose(&roster, now), TargetChoice::Chosen(_)));
    // A list from before the new epoch arrives late.
    roster.apply((0..3).map(|number| rank(number, 1)).collect(), now);
    assert!(matches!(choose(&roster, now), TargetChoice::Chosen(_)));
}

fn check_suspicion(report: (u64, u64, bool), expected: bool) {
    let (as_of_ms, epoch, is_open) = report;
    let suspected_at = Instant::now() + milliseconds(1_000);
    let mut watch = GroupWatch::default();
    watch.note_break(&group(), 1, suspected_at);
    let as_of = suspected_at + milliseconds(as_of_ms) - milliseconds(300);
    watch.note_view(&group(), dated_view(epoch, is_open, as_of), as_of);
    let listed = GroupView {
        epoch: 1,
        is_open: true,
    };
    assert_eq!(watch.merge(&group(), listed).is_open, expected);
}

test_cases! {
    fn check_suspicion(report: (u64, u64, bool), expected: bool);
    report_from_before_the_rejections_is_ignored: ((100, 1, true), false);
    report_from_just_after_the_rejections_is_ignored: ((600, 1, true), false);
    later_report_of_an_open_group_clears_the_suspicion: ((800, 1, true), true);
    newer_epoch_clears_the_suspicion_at_once: ((100, 2, true), true);
    later_report_of_a_broken_group_confirms_the_suspicion: ((800, 1, false), false);
}

/// When all ranks of a group are replaced, its epochs are counted from the start again. What is
/// known about the earlier, higher epochs must not keep such a group closed forever.
#[test]
fn list_supersedes_what_is_known_about_earlier_epochs() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let list = || (0..3).map(|number| rank(number, 1)).collect();
    roster.note_group_view(&group(), dated_view(7, false, start), start);
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

/// Updates from several gateways arrive in any order.
#[test]
fn views_may_be_merged_in_any_order() {
    let now = Instant::now();
    let views = [(1, true), (1, false), (2, true), (2, false)];
    for first in views {
        for second in views {
            let merged = [[first, second], [second, first]].map(|order| {
                let mut watch = GroupWatch::default();
                for (epoch, is_open) in order {
                    watch.note_view(&group(), dated_view(epoch, is_open, now), now);
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
fn group_updates_are_sent_for_a_few_seconds() {
    let now = Instant::now();
    let mut watch = GroupWatch::default();
    watch.note_view(&group(), dated_view(2, true, now), now);
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
    silence_of_several_passes_shows_a_break: (Some(600), 70, true);
    silence_of_few_long_passes_shows_no_break: (Some(600), 200, false);
    no_silence_is_known_before_the_first_event: (None, 70, false);
}

/// One gateway of a zone queries all ranks of a broken group, and the others wait for its updates.
/// A gateway does not wait while it suspects a break itself and no report has confirmed it.
#[test]
fn group_stays_suspected_until_a_report_confirms_the_break() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let now = start + milliseconds(1_500);
    reject(&mut roster, false, now);
    assert!(roster.is_suspected(&group()));
    roster.note_group_view(&group(), dated_view(1, false, now), now);
    assert!(!roster.is_suspected(&group()));
    assert!(matches!(choose(&roster, now), TargetChoice::GroupBroken(_)));
}

#[test]
fn outage_start_is_reset_when_all_ranks_answer_again() {
    let start = Instant::now();
    let mut roster = roster(start, start);
    let now = start + milliseconds(1_500);
    assert!(!roster.note_forming_group(&group(), 1, now));
    reject(&mut roster, false, now);
    roster.note_group_view(&group(), dated_view(1, false, now), now);
    let answers_at = now + milliseconds(4_000);
    assert!(roster.note_forming_group(&group(), 1, answers_at));
    let choice = choose(&roster, answers_at);
    assert_eq!(choice, TargetChoice::GroupBroken(answers_at));
    let mut news = roster.group_news(answers_at);
    assert!(news.any(|(name, news)| *name == group() && news.is_forming));
    // A peer sends the same update again.
    let later = answers_at + milliseconds(300);
    drop(news);
    assert!(!roster.note_forming_group(&group(), 1, later));
    assert_eq!(choose(&roster, later), choice);
}

/// Returns a waiting stream request of a route with a timeout of 8 s. Its caller leaves after 2 s
/// without an event.
fn stream_request(arrived_at: Instant, deadline: Instant, can_return: bool) -> WaitingRequest {
    WaitingRequest {
        priority: 1,
        on_time_until: arrived_at + milliseconds(250),
        start_until: arrived_at + milliseconds(1_850),
        arrived_at,
        deadline,
        can_return,
    }
}

/// A caller sends a request every 20 ms during an outage that is detected after 1.5 s and ends
/// after 6.5 s; all ranks answer again 0.6 s before the end. Each refused caller retries once. No
/// request waits for more than 300 ms before a refusal. Retries that arrive after the ranks answer
/// are served, and so is every request from 3.2 s before the end on.
#[test]
fn requests_are_served_after_the_outage_or_refused_early() {
    let stalled_at = Instant::now();
    let (detected_at, answers_at, opens_at) = (
        stalled_at + milliseconds(1_500),
        stalled_at + milliseconds(5_900),
        stalled_at + milliseconds(6_500),
    );
    // Returns when the request is served, or when it is refused and the delay before its retry.
    let outcome_of = |request: &WaitingRequest| {
        for step in 0..200_u64 {
            let now = request.arrived_at + milliseconds(step * 10);
            if now >= opens_at {
                return Ok(now);
            }
            let since = if now >= answers_at {
                answers_at
            } else {
                stalled_at
            };
            if let OutageStep::Refuse(delay) = decide_during_outage(request, since, now) {
                return Err((now, delay));
            }
        }
        panic!("the caller left before a decision");
    };
    let (mut longest_wasted_wait, mut all_served_from) = (Duration::ZERO, None);
    let mut asked_at = detected_at;
    while asked_at < opens_at {
        let deadline = asked_at + milliseconds(8_000);
        let served = match outcome_of(&stream_request(asked_at, deadline, true)) {
            Ok(_) => true,
            Err((refused_at, delay)) => {
                longest_wasted_wait = longest_wasted_wait.max(refused_at - asked_at);
                let left = deadline - refused_at;
                assert!(delay <= left / 3 + milliseconds(1), "{delay:?}");
                let retry_at = refused_at + delay;
                match outcome_of(&stream_request(retry_at, deadline, false)) {
                    Ok(_) => true,
                    Err((refused_at, _)) => {
                        longest_wasted_wait = longest_wasted_wait.max(refused_at - retry_at);
                        false
                    }
                }
            }
        };
        if served {
            all_served_from.get_or_insert(asked_at);
        } else {
            assert!(all_served_from.is_none(), "{:?}", asked_at - stalled_at);
        }
        asked_at += milliseconds(20);
    }
    assert!(
        longest_wasted_wait <= milliseconds(300),
        "{longest_wasted_wait:?}"
    );
    let before_end = opens_at - all_served_from.unwrap();
    assert!(before_end >= milliseconds(3_200), "{before_end:?}");
}

/// A request waits through a short outage instead of being refused.
#[test]
fn request_waits_while_the_outage_is_short() {
    let now = Instant::now() + milliseconds(1_000);
    let request = stream_request(now, now + milliseconds(8_000), true);
    let since = now - milliseconds(600);
    assert_eq!(decide_during_outage(&request, since, now), OutageStep::Wait);
}

/// When a group opens in a new epoch, all waiting requests start at once, and its first map is not
/// fitted to any demand.
#[test]
fn high_load_endangers_pauses_before_the_first_measured_pause() {
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
