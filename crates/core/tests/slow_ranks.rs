//! Tests how a group gets along with a rank that works several times as slowly as the others. Every
//! pass of the group waits for that rank, so that all streams are late while it has work.

use {
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, DatedSlowdown, EngineProfile, ExpertProfile, GroupMember, PassModel,
            SlowRanks, Slowdown, TargetChoice, TargetEntry, TargetRoster, TargetState,
            choose_target,
            map_plan::{plan_change, slow_ranks_changed},
            slow_ranks::MAX_SLOWDOWN,
        },
        placement::{ExpertCounts, ExpertMap},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

const RANKS: usize = 63;
const SETS: usize = 8;
const EXPERTS: usize = 252;
const SLOW_RANK: usize = 17;

/// Objective for the pause between two events, and with it for the duration of a pass.
const OBJECTIVE: Duration = Duration::from_millis(150);

/// Number of requests in flight at the usual load of the group.
const IN_FLIGHT: u32 = 360;

fn experts() -> ExpertProfile {
    ExpertProfile {
        sets: SETS,
        experts: EXPERTS,
        places: 5,
        loads_per_set: 2,
        share: 0.85,
        bytes: 320_000_000,
        load_time: Duration::from_millis(14),
    }
}

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 10,
        stride: 5,
        step: Duration::from_micros(4_550),
        step_per_request: Duration::from_micros(1_090),
        read_tokens_per_s: 61_400.0,
        usual_prompt_tokens: 865.0,
        usual_answer_tokens: 97.0,
        report_age: Duration::from_millis(200),
        experts: Some(experts()),
    }
}

fn even_demand() -> ExpertCounts {
    let mut counts = ExpertCounts::new(SETS, EXPERTS);
    for (index, tokens) in counts.tokens_mut().iter_mut().enumerate() {
        // Small differences, as between experts that are about equally popular.
        *tokens = 1_000.0 + (index * 37 % 101) as f64 * 5.0;
    }
    counts
}

fn weights(slowdown: f64) -> Vec<f64> {
    let mut weights = vec![1.0; RANKS];
    weights[SLOW_RANK] = 1.0 / slowdown;
    weights
}

/// Returns the duration of a pass: the longest work of a rank outside the experts, and for each set
/// the longest expert work of a rank. A rank without work does not hold up the others.
fn pass_time(map: &ExpertMap, counts: &ExpertCounts, requests: &[u32], slowdown: f64) -> Duration {
    let model = PassModel::new(&engine());
    let share = experts().share;
    let slowdown_of = |rank: usize| if rank == SLOW_RANK { slowdown } else { 1.0 };
    let own = requests.iter().enumerate().map(|(rank, running)| {
        let running = f64::from(*running);
        let work = model.fixed() + model.balanced(running) * (1.0 - share);
        if running > 0.0 {
            work * slowdown_of(rank)
        } else {
            0.0
        }
    });
    let own = own.fold(0.0, f64::max);
    let total = requests.iter().sum::<u32>();
    let work_per_set = model.balanced(f64::from(total)) * share / SETS as f64;
    let expert_work = (0..SETS).map(|set| {
        let tokens = counts.layer(set);
        let sum = tokens.iter().sum::<f64>();
        let mut loads = vec![0.0; RANKS];
        for (expert, tokens) in tokens.iter().enumerate() {
            let holders = map.replicas(set, expert);
            for holder in holders {
                let rank = usize::from(*holder);
                loads[rank] += tokens / holders.len() as f64 * slowdown_of(rank);
            }
        }
        loads.into_iter().fold(0.0, f64::max) / sum * work_per_set
    });
    Duration::from_secs_f64(own + expert_work.sum::<f64>())
}

/// Starts `IN_FLIGHT` requests at the ranks of the group, one by one, and returns how many run at
/// each rank.
fn requests_by_rank(roster: &mut TargetRoster, now: Instant) -> Vec<u32> {
    let (service, zone) = ("press".parse().unwrap(), "ruwi".parse().unwrap());
    for start in 0..IN_FLIGHT {
        let input = ChoiceInput {
            service: &service,
            own_zone: &zone,
            tried: &[],
            group_limits: &HashMap::new(),
            draw: f64::from(start * 37 % 100) / 100.0,
            slice: None,
        };
        let TargetChoice::Chosen(key) = choose_target(roster, &input, now) else {
            panic!("no target for request {start}");
        };
        roster.get_mut(key).unwrap().own_in_flight += 1;
    }
    let mut requests = vec![0; RANKS];
    for (_, target) in roster.iter() {
        let member = target.entry.group.as_ref().unwrap();
        requests[member.rank as usize] = target.own_in_flight;
    }
    requests
}

fn roster(ranks: usize, now: Instant) -> TargetRoster {
    let entries = (0..ranks).map(|rank| TargetEntry {
        cold_for: None,
        id: format!("i-{rank}").into(),
        service: "press".parse().unwrap(),
        address: ([10, 0, 0, rank as u8], 8000).into(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: 10,
        state: TargetState::Ready,
        started_at_ms: 1,
        group: Some(GroupMember {
            name: "g0".parse().unwrap(),
            epoch: 1,
            rank: rank as u32,
            size: ranks as u32,
            is_open: true,
        }),
    });
    let mut roster = TargetRoster::default();
    roster.apply(entries.collect(), now);
    roster
}

fn note_slowdown(roster: &mut TargetRoster, rank: usize, factor: f64, as_of: Instant) -> bool {
    let key = roster.find(&format!("i-{rank}")).unwrap();
    let name_hash = roster.get(key).unwrap().name_hash;
    let slowdown = Slowdown::from_factor(factor).unwrap();
    let report = DatedSlowdown { slowdown, as_of };
    roster.note_slowdown(name_hash, report, as_of)
}

/// Replays the second in which a rank becomes slow: requests start as before and with the report
/// of the rank, and the map is changed once, as the loads of one change allow.
fn check_slow_rank(slowdown: f64) {
    let now = Instant::now();
    let counts = even_demand();
    let map = ExpertMap::round_robin(0, SETS, EXPERTS, RANKS);
    let mut unaware = roster(RANKS, now);
    let spread = requests_by_rank(&mut unaware, now);
    let before = pass_time(&map, &counts, &spread, slowdown);
    assert!(before > OBJECTIVE, "{before:?}");

    let mut aware = roster(RANKS, now);
    assert!(note_slowdown(&mut aware, SLOW_RANK, slowdown, now));
    let requests = requests_by_rank(&mut aware, now);
    assert_eq!(requests[SLOW_RANK], 0);
    let (changed, figures) =
        plan_change(&experts(), &weights(slowdown), &map, &counts, 0.04).unwrap();
    let after = pass_time(&changed.unwrap(), &counts, &requests, slowdown);
    assert!(after < OBJECTIVE.mul_f64(0.74), "{after:?} {figures:?}");
}

test_cases! {
    fn check_slow_rank(slowdown: f64);
    slow_rank_at_four_times: (4.0);
    slow_rank_at_twelve_times: (12.0);
}

/// While a rank stays slow, its reported slowdown varies. If that counted as a change, the demand
/// would not be sampled again, and a shift in that time would go unnoticed.
#[test]
fn varying_slowdown_is_no_change_of_the_slow_ranks() {
    assert!(!slow_ranks_changed(&weights(6.8), &weights(6.2)));
    assert!(slow_ranks_changed(&weights(1.0), &weights(6.8)));
    assert!(slow_ranks_changed(&weights(6.8), &weights(1.0)));
}

#[test]
fn recovered_rank_gets_requests_again() {
    let now = Instant::now();
    let mut roster = roster(RANKS, now);
    note_slowdown(&mut roster, SLOW_RANK, 4.0, now);
    let later = now + Duration::from_millis(500);
    assert!(note_slowdown(&mut roster, SLOW_RANK, 1.0, later));
    assert!(requests_by_rank(&mut roster, later)[SLOW_RANK] > 0);
}

/// The gateway that reads the reports may stop, so that nobody tells the others of the recovery.
#[test]
fn slowdown_that_nobody_repeats_ends() {
    let now = Instant::now();
    let mut roster = roster(RANKS, now);
    note_slowdown(&mut roster, SLOW_RANK, 4.0, now);
    let later = now + Duration::from_secs(4);
    assert!(requests_by_rank(&mut roster, later)[SLOW_RANK] > 0);
}

/// With all ranks equally slow, or only slow ones left, requests still have to go somewhere.
#[test]
fn slow_ranks_serve_if_there_are_no_faster_ones() {
    let now = Instant::now();
    let mut roster = roster(3, now);
    (0..3).for_each(|rank| {
        note_slowdown(&mut roster, rank, 4.0, now);
    });
    let (service, zone) = ("press".parse().unwrap(), "ruwi".parse().unwrap());
    let tried = [roster.find("i-0").unwrap(), roster.find("i-1").unwrap()];
    let input = ChoiceInput {
        service: &service,
        own_zone: &zone,
        tried: &tried,
        group_limits: &HashMap::new(),
        draw: 0.0,
        slice: None,
    };
    let choice = choose_target(&roster, &input, now);
    assert!(matches!(choice, TargetChoice::Chosen(_)), "{choice:?}");
}

fn check_factor(factor: f64, expected: Option<f64>) {
    assert_eq!(
        Slowdown::from_factor(factor).map(Slowdown::factor),
        expected
    );
}

test_cases! {
    fn check_factor(factor: f64, expected: Option<f64>);
    factor_of_a_usual_rank: (1.0, Some(1.0));
    factor_of_a_slow_rank: (2.5, Some(2.5));
    factor_of_a_fast_rank_counts_as_usual: (0.8, Some(1.0));
    factor_of_zero_is_invalid: (0.0, None);
    negative_factor_is_invalid: (-3.0, None);
    factor_that_is_no_number_is_invalid: (f64::NAN, None);
    infinite_factor_is_invalid: (f64::INFINITY, None);
    huge_factor_is_invalid: (MAX_SLOWDOWN * 1.01, None);
}

/// Datagrams of peers arrive late and out of order; an old slowdown must not undo a recovery.
#[test]
fn outdated_report_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let report = |factor, as_of| DatedSlowdown {
        slowdown: Slowdown::from_factor(factor).unwrap(),
        as_of,
    };
    let at = |ms| now + Duration::from_millis(ms);
    let mut ranks = SlowRanks::default();
    assert!(ranks.record(7, report(4.0, at(0)), at(10)));
    assert!(ranks.record(7, report(1.0, at(500)), at(510)));
    assert!(!ranks.record(7, report(4.0, at(400)), at(520)));
    assert_eq!(ranks.slowdown(7, at(520)), Slowdown::NONE);
    // The recovery is sent to the peers for a while, in case a datagram is lost.
    assert_eq!(ranks.news(at(600)).count(), 1);
    assert_eq!(ranks.news(at(2_000)).count(), 0);
}
