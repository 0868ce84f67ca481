//! Guards against requests that are refused for a broken group although its ranks are only silent or
//! idle and one of them is full, and against an outage of a group that is known later for it.

use {
    self::BreakEvidence::{LaterNamedRank, LaterReport, NamedRank, OldReport, Rejection, Report},
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, DatedView, GroupMember, GroupView, OutageStep, TargetChoice, TargetEntry,
            TargetRoster, TargetState, WaitingRequest, choose_target, decide_during_outage,
        },
        ids::{GroupName, ServiceName},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Duration of one pass of the group.
const PASS_TIME: Duration = Duration::from_millis(70);

/// Time from the rejection to the decision on a request.
const DECISION_DELAY: Duration = Duration::from_millis(100);

/// What shows, besides a rejection by a rank with a free slot, whether the group is broken.
#[derive(Clone, Copy, Debug)]
enum BreakEvidence {
    /// Nothing.
    Rejection,
    /// The rejection names another rank.
    NamedRank,
    /// A later rejection names another rank.
    LaterNamedRank,
    /// A rank reports that the group is broken.
    Report,
    /// A rank reports that the group is open, as of a time before the rejection.
    OldReport,
    /// A rank reports that the group is open, as of a later time.
    LaterReport,
}

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn group() -> GroupName {
    "g".parse().unwrap()
}

fn rank(number: u32) -> TargetEntry {
    TargetEntry {
        cold_for: None,
        id: format!("r{number}").as_str().into(),
        service: "drafting".parse().unwrap(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: 4,
        state: TargetState::Ready,
        started_at_ms: 1,
        group: Some(GroupMember {
            name: group(),
            epoch: 1,
            rank: number,
            size: 3,
            is_open: true,
        }),
    }
}

/// Returns a roster with the three ranks of a group that last sent an event at `progress_at`.
fn roster(progress_at: Instant) -> TargetRoster {
    let mut roster = TargetRoster::default();
    roster.apply((0..3).map(rank).collect(), progress_at);
    let keys: Vec<_> = roster.iter().map(|(key, _)| key).collect();
    for key in keys {
        roster.get_mut(key).unwrap().progress_at = Some(progress_at);
    }
    roster
}

fn reject(roster: &mut TargetRoster, names_another: bool, now: Instant) {
    let key = roster.find("r0").unwrap();
    roster.note_rejection(key, names_another, Some(PASS_TIME), now);
}

fn report(roster: &mut TargetRoster, is_open: bool, as_of: Instant, now: Instant) {
    let view = GroupView { epoch: 1, is_open };
    roster.note_group_view(&group(), DatedView { view, as_of }, now);
}

/// Returns what happens to a request that can start for another two seconds; `None` if there is a
/// target for it.
fn decide(roster: &TargetRoster, now: Instant) -> Option<OutageStep> {
    let service: ServiceName = "drafting".parse().unwrap();
    let input = ChoiceInput {
        service: &service,
        own_zone: &"ruwi".parse().unwrap(),
        tried: &[],
        group_limits: &HashMap::new(),
        draw: 0.5,
        slice: None,
    };
    let since = match choose_target(roster, &input, now) {
        TargetChoice::Chosen(_) => return None,
        TargetChoice::GroupBroken(since) => since,
        choice => panic!("{choice:?}"),
    };
    let request = WaitingRequest {
        priority: 0,
        on_time_until: now + milliseconds(1_000),
        start_until: now + milliseconds(2_000),
        arrived_at: now,
        deadline: now + milliseconds(3_000),
        can_return: true,
    };
    Some(decide_during_outage(&request, since, now))
}

fn check_decision(silent_ms: u64, evidence: BreakEvidence, expected: Option<OutageStep>) {
    let start = Instant::now();
    let rejected_at = start + milliseconds(silent_ms);
    let mut roster = roster(start);
    reject(&mut roster, matches!(evidence, NamedRank), rejected_at);
    let mut now = rejected_at + DECISION_DELAY;
    match evidence {
        Rejection | NamedRank => {}
        LaterNamedRank => reject(&mut roster, true, now),
        Report => report(&mut roster, false, now, now),
        OldReport => report(&mut roster, true, rejected_at - DECISION_DELAY, now),
        LaterReport => {
            now = rejected_at + milliseconds(500);
            report(&mut roster, true, now, now);
        }
    }
    assert_eq!(decide(&roster, now), expected);
}

const WAITS: Option<OutageStep> = Some(OutageStep::Wait);
const REFUSED: Option<OutageStep> = Some(OutageStep::Refuse(Duration::from_secs(1)));

test_cases! {
    fn check_decision(silent_ms: u64, evidence: BreakEvidence, expected: Option<OutageStep>);
    request_is_refused_after_a_second_of_silence: (1_000, Rejection, WAITS);
    request_is_refused_because_the_group_was_idle_before: (4_000, Rejection, WAITS);
    report_from_before_the_rejection_has_requests_refused: (4_000, OldReport, WAITS);
    request_waits_although_a_report_shows_the_group_open: (4_000, LaterReport, None);
    age_of_an_outage_is_lost_for_a_rejection_that_names_a_rank: (4_000, NamedRank, REFUSED);
    age_of_an_outage_is_lost_for_a_later_rejection_that_names_a_rank:
        (4_000, LaterNamedRank, REFUSED);
    age_of_an_outage_is_lost_for_a_report_of_the_break: (4_000, Report, REFUSED);
}

/// Guards against requests that wait without end because each rejection makes an unconfirmed outage
/// look as if it had just begun.
#[test]
fn unconfirmed_outage_stays_young() {
    let start = Instant::now();
    let mut roster = roster(start);
    let rejected_at = start + milliseconds(4_000);
    reject(&mut roster, false, rejected_at);
    reject(&mut roster, false, rejected_at + milliseconds(1_500));
    let now = rejected_at + milliseconds(2_100);
    assert_eq!(decide(&roster, now), REFUSED);
}
