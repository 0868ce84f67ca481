//! Tests of the pace of cold, new and recovered targets, by replays without a network.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, ColdRule, FirstAnswer, FleetShare, PaceChange, PaceInput, PaceNews,
            PaceRule, PacedTarget, RequestRate, TargetChoice, TargetEntry, TargetKey, TargetPacer,
            TargetRoster, TargetState, choose_target,
        },
        ids::{GroupName, ServiceName},
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
const TARGET: u32 = 7;

fn service() -> ServiceName {
    "drafts".parse().unwrap()
}

fn group() -> GroupName {
    "g-0".parse().unwrap()
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_value(per_second).unwrap()
}

/// Settings and target that most tests use, with the cold bound of a deployment: 18 requests a
/// second, half as many more, and five.
#[derive(Clone, Copy, Debug)]
struct Replay {
    gateways: u32,
    cold_rate: f64,
    finds_pace: bool,
}

impl Replay {
    const RATIO: f64 = 1.5;
    const ALLOWANCE: f64 = 5.0;

    fn bound(self) -> f64 {
        self.cold_rate * Self::RATIO + Self::ALLOWANCE
    }

    fn input(self, draw: f64) -> PaceInput {
        PaceInput {
            rule: PaceRule {
                ratio: Self::RATIO,
                allowance: Self::ALLOWANCE,
                finds_pace: self.finds_pace,
            },
            gateways: self.gateways,
            has_peers: false,
            draw,
        }
    }

    fn pacer(self, draw: f64, now: Instant) -> TargetPacer {
        let mut pacer = TargetPacer::default();
        pacer.update(self.input(draw), &[], now);
        let cold = (self.cold_rate > 0.0).then(|| ColdRule {
            time: 3 * SECOND,
            rate: rate(self.cold_rate),
        });
        pacer.set_cold_rules([(&service(), cold)].into_iter());
        pacer
    }
}

fn paced<'a>(
    target: u32,
    service: &'a ServiceName,
    group: Option<&'a GroupName>,
) -> PacedTarget<'a> {
    PacedTarget {
        target,
        service,
        group,
        is_usable: true,
    }
}

/// Returns the most starts in any second.
fn peak(starts: &[Instant]) -> usize {
    let seconds = starts.iter().map(|begin| {
        let within = starts
            .iter()
            .filter(|at| *at >= begin && **at < *begin + SECOND);
        within.count()
    });
    seconds.max().unwrap_or_default()
}

/// Guards against more requests to a cold target than the configuration allows, in any second and
/// over all gateways, which do not hear of each other's starts. Each of them has more requests for
/// it than that; `idle` is the time from the start of the target until they have any, at which all
/// begin at the same moment, as after the outage of a group.
fn check_cold_fleet(gateways: u32, cold_rate: f64, idle: Duration) {
    let replay = Replay {
        gateways,
        cold_rate,
        finds_pace: false,
    };
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let service = service();
        let mut fleet: Vec<_> = (0..gateways)
            .map(|_| replay.pacer(random.random(), start))
            .collect();
        for pacer in &mut fleet {
            pacer.record_joined(
                paced(TARGET, &service, None),
                Some(60 * SECOND),
                false,
                start,
            );
        }
        let mut starts = Vec::new();
        for step in 0..1_000 {
            let now = start + idle + STEP * step;
            for pacer in &mut fleet {
                while pacer.admits(TARGET, now) {
                    pacer.record_start(TARGET, &service, now);
                    starts.push(now);
                }
            }
        }
        let peak = peak(&starts);
        assert!(
            peak as f64 <= replay.bound(),
            "seed {seed}: {peak} in a second"
        );
        // Less than a third of what a cold target tolerates would leave it idle.
        let used = starts.len() as f64 / 10.0;
        assert!(
            used >= cold_rate / 3.0,
            "seed {seed}: {used} of {cold_rate} a second"
        );
    }
}

test_cases! {
    fn check_cold_fleet(gateways: u32, cold_rate: f64, idle: Duration);
    one_gateway_keeps_the_cold_bound: (1, 18.0, Duration::ZERO);
    four_gateways_keep_the_cold_bound: (4, 18.0, 5 * SECOND);
    thirteen_gateways_keep_the_cold_bound: (13, 18.0, Duration::ZERO);
    thirteen_gateways_keep_the_cold_bound_after_an_outage: (13, 18.0, 5 * SECOND);
    seventeen_gateways_keep_the_cold_bound: (17, 18.0, 5 * SECOND);
    sixty_four_gateways_keep_the_cold_bound: (64, 18.0, Duration::ZERO);
    sixty_four_gateways_keep_the_cold_bound_after_an_outage: (64, 18.0, 5 * SECOND);
    sixty_four_gateways_keep_a_small_cold_bound: (64, 4.0, 5 * SECOND);
    three_hundred_gateways_keep_the_cold_bound: (300, 18.0, 5 * SECOND);
}

/// Guards against a broken bound while the gateways count the fleet differently, as after a
/// partition that has lasted longer than silent peers count.
#[test]
fn healed_partition_keeps_the_cold_bound() {
    let replay = Replay {
        gateways: 13,
        cold_rate: 18.0,
        finds_pace: true,
    };
    let (start, service) = (Instant::now(), service());
    let healed = start + 60 * SECOND;
    let mut fleet: Vec<_> = (0..13)
        .map(|number| {
            let draw = f64::from(number) / 13.0;
            let mut pacer = replay.pacer(draw, start);
            let gateways = if number < 4 { 4 } else { 9 };
            let input = PaceInput {
                gateways,
                ..replay.input(draw)
            };
            pacer.update(input, &[], healed);
            let target = paced(TARGET, &service, None);
            pacer.record_joined(target, Some(3 * SECOND), false, healed);
            pacer
        })
        .collect();
    let mut starts = Vec::new();
    for step in 0..200 {
        let now = healed + STEP * step;
        for pacer in &mut fleet {
            while pacer.admits(TARGET, now) {
                pacer.record_start(TARGET, &service, now);
                starts.push(now);
            }
        }
    }
    let peak = peak(&starts);
    assert!(peak as f64 <= replay.bound(), "{peak} in a second");
}

/// Guards against a flood by a gateway that has just started and counts itself only until it hears
/// of the others: the gateway assumes a large fleet, so that its part is small in any fleet.
#[test]
fn new_gateway_that_assumes_a_large_fleet_takes_a_small_part() {
    let replay = Replay {
        gateways: 64,
        cold_rate: 18.0,
        finds_pace: false,
    };
    let (start, service) = (Instant::now(), service());
    let mut pacer = replay.pacer(0.0, start);
    pacer.record_joined(paced(TARGET, &service, None), Some(3 * SECOND), true, start);
    let mut starts = Vec::new();
    for step in 0..300 {
        let now = start + STEP * step;
        if pacer.admits(TARGET, now) {
            pacer.record_start(TARGET, &service, now);
            starts.push(now);
        }
    }
    assert!(peak(&starts) <= 1, "{} in a second", peak(&starts));
    assert!(
        pacer.admits(TARGET, start + 4 * SECOND),
        "cold time has ended"
    );
}

/// Guards against a target that turns cold under load and still gets all requests, and against one
/// whose bound stays after its cold time.
#[test]
fn target_that_turns_cold_under_load_is_bounded_until_it_is_warm() {
    let replay = Replay {
        gateways: 4,
        cold_rate: 2.0,
        finds_pace: false,
    };
    let (start, service) = (Instant::now(), service());
    let mut pacer = replay.pacer(0.5, start);
    let target = paced(TARGET, &service, None);
    pacer.record_joined(target, Some(Duration::ZERO), true, start);
    let mut counts = [0; 3];
    for step in 0..900 {
        let now = start + STEP * step;
        if step == 300 {
            let change = pacer.note_cold_answer(target, 3 * SECOND, now);
            assert_eq!(change, Some(PaceChange::Cold(3 * SECOND)));
        }
        if pacer.admits(TARGET, now) {
            pacer.record_start(TARGET, &service, now);
            counts[step as usize / 300] += 1;
        }
    }
    assert_eq!((counts[0], counts[2]), (300, 300));
    assert!((1..=2).contains(&counts[1]), "{counts:?}");
}

/// Guards against a cold time that starts anew each time that the same entry is read.
#[test]
fn same_entry_does_not_prolong_the_cold_time() {
    let replay = Replay {
        gateways: 4,
        cold_rate: 2.0,
        finds_pace: false,
    };
    let (start, service) = (Instant::now(), service());
    let mut pacer = replay.pacer(0.5, start);
    let target = paced(TARGET, &service, None);
    pacer.record_joined(target, Some(3 * SECOND), true, start);
    pacer.record_listed(target, Some(3 * SECOND), start + 2 * SECOND);
    assert_eq!(pacer.cold_time(TARGET, start + 3 * SECOND), None);
    pacer.record_listed(target, Some(SECOND), start + 3 * SECOND);
    assert!(pacer.cold_time(TARGET, start + 3 * SECOND).is_some());
}

/// Figures of the replay of a recovery.
#[derive(Clone, Copy, Debug, Default)]
struct Recovery {
    /// Time until the target got its share of a whole second's requests.
    until_share: Option<Duration>,
    /// Answers of the target that were later than those of the others by more than half.
    slow: u32,
    /// Requests that the target got.
    all: u32,
    /// Requests that no target admitted.
    waiting: u32,
    /// Time until the pace ended.
    until_end: Option<Duration>,
}

/// How a recovered target answers. It answers quickly until its requests in flight pass a number
/// that grows from 2 on, and waits for each request beyond it.
#[derive(Clone, Copy, Debug)]
struct Warmth {
    /// Requests in flight that a second adds.
    growth: f64,
}

const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Replays the return of one of `targets` targets under a steady load of `load` requests a second
/// for each, sent by `gateways` that give each request to the least loaded target that takes it,
/// as they know the load: their own.
fn replay_return(
    gateways: u32,
    targets: u32,
    load: f64,
    warmth: Warmth,
    finds_pace: bool,
    is_group: bool,
) -> Recovery {
    let replay = Replay {
        gateways,
        cold_rate: 0.0,
        finds_pace,
    };
    let mut random = StdRng::seed_from_u64(11);
    let (start, service, group) = (Instant::now(), service(), group());
    let group = is_group.then_some(&group);
    let mut fleet: Vec<_> = (0..gateways)
        .map(|_| replay.pacer(random.random(), start))
        .collect();
    let all: Vec<_> = (0..targets)
        .map(|target| paced(target, &service, group))
        .collect();
    let returned = 5 * SECOND;
    // Requests in flight: target, gateway, start, end.
    let mut in_flight: Vec<(u32, usize, Instant, Instant)> = Vec::new();
    let mut starts = Vec::new();
    let (mut result, mut due) = (Recovery::default(), 0.0);
    for step in 0..2_500_u32 {
        let now = start + STEP * step;
        let elapsed = now - start;
        let is_back = elapsed >= returned;
        let (ended, running): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|(_, _, _, end)| *end <= now);
        in_flight = running;
        for (target, gateway, sent_at, arrived_at) in ended {
            let answer = FirstAnswer {
                is_stream: is_group,
                sent_at,
                arrived_at,
            };
            let change = fleet[gateway].record_answer(target, &service, answer);
            if let Some(PaceChange::Carries(_)) = change {
                result
                    .until_end
                    .get_or_insert(elapsed.saturating_sub(returned));
            }
            let is_slow = arrived_at - sent_at > ANSWER_TIME.mul_f64(1.5);
            result.slow += u32::from(is_back && target == 0 && is_slow);
        }
        if elapsed == returned {
            for pacer in &mut fleet {
                pacer.begin(all[0], now);
            }
        }
        if step % 10 == 0 {
            let news: Vec<(u32, PaceNews)> = fleet
                .iter()
                .flat_map(|pacer| pacer.found_news(now))
                .collect();
            for pacer in &mut fleet {
                pacer.update(
                    replay.input(random.random()),
                    if is_back { &all } else { &all[1..] },
                    now,
                );
                for (target, news) in &news {
                    pacer.note_found(*target, *news);
                }
            }
        }
        due += load * f64::from(targets) * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let gateway = random.random_range(0..gateways) as usize;
            let own = |target| {
                let own = in_flight
                    .iter()
                    .filter(|(to, from, ..)| *to == target && *from == gateway);
                own.count()
            };
            let open =
                (u32::from(!is_back)..targets).filter(|target| fleet[gateway].admits(*target, now));
            // A target that has just come back is the least loaded one for all gateways.
            let Some(target) = open.min_by_key(|target| {
                let known = in_flight.iter().filter(|(to, ..)| to == target).count();
                (own(*target) + known, random.random::<u32>())
            }) else {
                result.waiting += 1;
                continue;
            };
            fleet[gateway].record_start(target, &service, now);
            let took = if target == 0 {
                let held = in_flight.iter().filter(|(to, ..)| *to == 0).count() as f64;
                let room = 2.0 + warmth.growth * (elapsed - returned).as_secs_f64();
                ANSWER_TIME.mul_f64((held / room).max(1.0))
            } else {
                ANSWER_TIME
            };
            in_flight.push((target, gateway, now, now + took));
            if target == 0 {
                result.all += 1;
                starts.push(now);
                let last = starts.iter().filter(|at| **at + SECOND > now).count();
                if last as f64 >= 0.8 * load {
                    result.until_share.get_or_insert(elapsed - returned);
                }
            }
        }
    }
    result
}

/// Guards against idleness: a target that is quick from the first request on gets its share soon.
/// The operators want it neither flooded nor idle; a caller notices waits of some seconds.
fn check_quick_target(gateways: u32, targets: u32, load: f64, is_group: bool) {
    let quick = Warmth { growth: 1e6 };
    let recovery = replay_return(gateways, targets, load, quick, true, is_group);
    let until_share = recovery.until_share.expect("gets its share");
    assert!(until_share <= 4 * SECOND, "{recovery:?}");
    assert_eq!(recovery.waiting, 0, "{recovery:?}");
    assert!(recovery.until_end.is_some(), "{recovery:?}");
}

test_cases! {
    fn check_quick_target(gateways: u32, targets: u32, load: f64, is_group: bool);
    quick_plain_target_gets_its_share: (4, 3, 30.0, false);
    quick_plain_target_of_many_gateways_gets_its_share: (13, 3, 30.0, false);
    quick_rank_gets_its_share: (13, 16, 20.0, true);
    quick_rank_of_many_gateways_gets_its_share: (64, 16, 20.0, true);
}

/// Guards against the flood of a target that warms up: with the pace, fewer of its answers are slow,
/// and it still gets its share.
fn check_warming_target(gateways: u32, targets: u32, load: f64, is_group: bool) {
    let warming = Warmth { growth: 2.0 };
    let before = replay_return(gateways, targets, load, warming, false, is_group);
    let after = replay_return(gateways, targets, load, warming, true, is_group);
    println!("before {before:?}\nafter {after:?}");
    // A rank that is quick anyway has hardly any slow answers without the pace.
    let most = before.slow - u32::from(!is_group);
    assert!(after.slow <= most, "{before:?} {after:?}");
    let until_share = after.until_share.expect("gets its share");
    assert!(until_share <= 4 * SECOND, "{after:?}");
    assert_eq!((before.waiting, after.waiting), (0, 0));
}

test_cases! {
    fn check_warming_target(gateways: u32, targets: u32, load: f64, is_group: bool);
    warming_plain_target_is_not_flooded: (4, 3, 30.0, false);
    warming_plain_target_of_many_gateways_is_not_flooded: (13, 3, 30.0, false);
    warming_rank_is_not_flooded: (13, 16, 20.0, true);
    warming_rank_of_many_gateways_is_not_flooded: (64, 16, 20.0, true);
}

/// Gives a pacer the demand of a service whose targets get 20 requests a second each, answered in
/// [`ANSWER_TIME`].
fn loaded_pacer(targets: &[PacedTarget<'_>], service: &ServiceName, start: Instant) -> TargetPacer {
    let replay = Replay {
        gateways: 1,
        cold_rate: 0.0,
        finds_pace: true,
    };
    let mut pacer = replay.pacer(0.5, start);
    let count = targets.len() as u32;
    for number in 0..20 * count * 4 {
        let now = start + SECOND.mul_f64(f64::from(number) / f64::from(20 * count));
        let target = targets[(number % count) as usize].target;
        pacer.record_start(target, service, now);
        let answer = FirstAnswer {
            is_stream: true,
            sent_at: now,
            arrived_at: now + ANSWER_TIME,
        };
        pacer.record_answer(target, service, answer);
    }
    pacer.update(replay.input(0.5), targets, start + 4 * SECOND);
    pacer
}

/// Guards against a target that never gets quick and is flooded, and against one that gets nothing.
#[test]
fn target_that_stays_slow_keeps_its_first_rate() {
    let (start, service) = (Instant::now(), service());
    let targets: Vec<_> = (0..4).map(|target| paced(target, &service, None)).collect();
    let mut pacer = loaded_pacer(&targets, &service, start);
    let begin = start + 4 * SECOND;
    assert!(matches!(
        pacer.begin(targets[0], begin),
        Some(PaceChange::Begun(..))
    ));
    let first = pacer.found_rate(0).unwrap();
    let (mut count, mut end) = (0, None);
    for step in 0..3_200 {
        let now = begin + STEP * step;
        if !pacer.admits(0, now) {
            continue;
        }
        pacer.record_start(0, &service, now);
        count += u32::from(step < 2_000);
        let answer = FirstAnswer {
            is_stream: true,
            sent_at: now,
            arrived_at: now + 3 * ANSWER_TIME,
        };
        let change = pacer.record_answer(0, &service, answer);
        if answer.arrived_at < begin + 30 * SECOND {
            assert_eq!((change, pacer.found_rate(0)), (None, Some(first)));
        } else {
            end = end.or(change);
        }
    }
    assert!((10..=100).contains(&count), "{count} in 20 s");
    // A target that is slow for longer is the business of its health and of the slow ranks.
    assert!(matches!(end, Some(PaceChange::Carries(_))), "{end:?}");
    assert_eq!(pacer.found_rate(0), None);
}

/// Guards against failures that leave the rate of a returned target as it is.
#[test]
fn failure_lowers_the_rate() {
    let (start, service) = (Instant::now(), service());
    let targets: Vec<_> = (0..4).map(|target| paced(target, &service, None)).collect();
    let mut pacer = loaded_pacer(&targets, &service, start);
    let begin = start + 4 * SECOND;
    pacer.begin(targets[0], begin);
    let first = pacer.found_rate(0).unwrap();
    let answer = FirstAnswer {
        is_stream: true,
        sent_at: begin,
        arrived_at: begin + ANSWER_TIME,
    };
    pacer.record_answer(0, &service, answer);
    assert!(pacer.found_rate(0) > Some(first));
    pacer.record_failure(0, begin + SECOND);
    assert_eq!(pacer.found_rate(0), Some(first));
}

/// Guards against a group that forms anew, with all of its ranks new, and is throttled as a whole;
/// a single new rank is paced.
fn check_new_ranks(new: usize, is_paced: bool) {
    let (start, service, group) = (Instant::now(), service(), group());
    let targets: Vec<_> = (0..16)
        .map(|target| paced(target, &service, Some(&group)))
        .collect();
    let mut pacer = loaded_pacer(&targets, &service, start);
    let begin = start + 4 * SECOND;
    for target in &targets[..new] {
        pacer.begin(*target, begin);
    }
    let replay = Replay {
        gateways: 1,
        cold_rate: 0.0,
        finds_pace: true,
    };
    pacer.update(replay.input(0.5), &targets, begin);
    let mut count = 0;
    for step in 0..100 {
        let now = begin + STEP * step;
        if pacer.admits(0, now) {
            pacer.record_start(0, &service, now);
            count += 1;
        }
    }
    assert_eq!(count < 20, is_paced, "{count} requests in a second");
}

test_cases! {
    fn check_new_ranks(new: usize, is_paced: bool);
    one_new_rank_is_paced: (1, true);
    zone_of_new_ranks_does_not_throttle_its_group: (5, false);
    group_of_new_ranks_is_not_throttled: (16, false);
}

/// Guards against a change for deployments whose settings and configuration name neither a found
/// pace nor a cold bound.
#[test]
fn nothing_is_paced_unless_asked_for() {
    let (start, service) = (Instant::now(), service());
    let mut pacer = TargetPacer::default();
    let target = paced(TARGET, &service, None);
    pacer.record_joined(target, Some(3 * SECOND), false, start);
    assert_eq!(pacer.note_cold_answer(target, 3 * SECOND, start), None);
    assert_eq!(pacer.begin(target, start), None);
    for _ in 0..100 {
        assert!(pacer.admits(TARGET, start));
        pacer.record_start(TARGET, &service, start);
    }
}

const SHARE: FleetShare = FleetShare {
    gateways: 1,
    draw: 0.5,
};

const LONE_REPLAY: Replay = Replay {
    gateways: 1,
    cold_rate: 0.0,
    finds_pace: true,
};

fn entry(number: u8, cold_for: Duration) -> TargetEntry {
    TargetEntry {
        cold_for: Some(cold_for),
        id: format!("t{number}").as_str().into(),
        service: service(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        availability_zone: "ruwi".parse().unwrap(),
        slots: 6,
        state: TargetState::Ready,
        started_at_ms: 1,
        group: None,
    }
}

/// Returns a roster of three targets that get 20 requests a second each for four seconds.
fn loaded_roster(start: Instant) -> (TargetRoster, Vec<TargetKey>) {
    let mut roster = TargetRoster::default();
    roster.update_paces(LONE_REPLAY.input(0.5), start);
    let entries = (0..3).map(|number| entry(number, Duration::ZERO));
    roster.apply(entries.collect(), start);
    let keys: Vec<_> = (0..3)
        .map(|number| roster.find(&format!("t{number}")).unwrap())
        .collect();
    for number in 0..240_u32 {
        let now = start + Duration::from_secs_f64(f64::from(number) / 60.0);
        let key = keys[(number % 3) as usize];
        roster.record_start(key, SHARE, now);
        roster.get_mut(key).unwrap().own_in_flight = 0;
    }
    roster.update_paces(LONE_REPLAY.input(0.5), start + 4 * SECOND);
    (roster, keys)
}

fn choose(roster: &TargetRoster, tried: &[TargetKey], now: Instant) -> TargetChoice {
    let (service, own_zone) = (service(), "ruwi".parse().unwrap());
    let input = ChoiceInput {
        service: &service,
        own_zone: &own_zone,
        tried,
        group_limits: &HashMap::new(),
        draw: 0.5,
        slice: None,
    };
    choose_target(roster, &input, now)
}

/// Guards against a recovered target that is held to a part of its share while all others are
/// ejected: these carry nothing.
#[test]
fn only_sound_target_is_not_held_back() {
    let start = Instant::now();
    let (mut roster, keys) = loaded_roster(start);
    let now = start + 4 * SECOND;
    for key in &keys {
        let health = &mut roster.get_mut(*key).unwrap().health;
        health.record_failure(now);
        health.record_failure(now);
    }
    let now = now + Duration::from_millis(400);
    let health = &mut roster.get_mut(keys[0]).unwrap().health;
    health.record_success(now);
    assert!(roster.begin_pace(keys[0], now).is_some());
    let target = roster.get(keys[0]).unwrap().name_hash;
    let mut count = 0;
    for step in 0..50 {
        let now = now + STEP * step;
        for key in &keys[1..] {
            roster.get_mut(*key).unwrap().health.record_failure(now);
        }
        roster.update_paces(LONE_REPLAY.input(0.5), now);
        let sound = roster.get(keys[0]).unwrap();
        assert!(roster.admits(sound, now), "step {step}");
        if let TargetChoice::Chosen(key) = choose(&roster, &[], now) {
            roster.record_start(key, SHARE, now);
            roster.get_mut(key).unwrap().own_in_flight = 0;
            count += 1;
            let answer = FirstAnswer {
                is_stream: false,
                sent_at: now,
                arrived_at: now + STEP / 2,
            };
            roster.pacer_mut().record_answer(target, &service(), answer);
        }
    }
    assert!(count >= 25, "{count} of 50 requests");
}

/// Guards against requests that wait although a paced target is idle: the found pace holds only
/// while another target takes the request, and one request at a time may pass it over.
#[test]
fn idle_paced_target_takes_what_no_other_target_takes() {
    let start = Instant::now();
    let (mut roster, keys) = loaded_roster(start);
    let now = start + 4 * SECOND;
    assert!(roster.begin_pace(keys[0], now).is_some());
    while roster.admits(roster.get(keys[0]).unwrap(), now) {
        roster.record_start(keys[0], SHARE, now);
        roster.get_mut(keys[0]).unwrap().own_in_flight = 0;
    }
    assert!(matches!(choose(&roster, &[], now), TargetChoice::Chosen(key) if key != keys[0]));
    let others = &keys[1..];
    assert_eq!(choose(&roster, others, now), TargetChoice::Chosen(keys[0]));
    roster.record_start(keys[0], SHARE, now);
    assert_eq!(choose(&roster, others, now), TargetChoice::Full);
}

/// Guards against idle targets that pass over the cold bound, which is hard: a listed cold time
/// reaches the choice, and beyond the bound a request waits.
#[test]
fn listed_cold_target_keeps_its_bound_when_no_other_target_takes_the_request() {
    let (start, service) = (Instant::now(), service());
    let mut roster = TargetRoster::default();
    roster.update_paces(LONE_REPLAY.input(0.5), start);
    let cold = ColdRule {
        time: 3 * SECOND,
        rate: rate(2.0),
    };
    let pacer = roster.pacer_mut();
    pacer.set_cold_rules([(&service, Some(cold))].into_iter());
    roster.apply([entry(0, 3 * SECOND)].into_iter().collect(), start);
    let key = roster.find("t0").unwrap();
    let mut starts = Vec::new();
    for step in 0..290 {
        let now = start + STEP * step;
        if let TargetChoice::Chosen(key) = choose(&roster, &[], now) {
            roster.record_start(key, SHARE, now);
            roster.get_mut(key).unwrap().own_in_flight = 0;
            starts.push(now);
        }
    }
    assert!((1..=8).contains(&peak(&starts)), "{}", peak(&starts));
    assert!(starts.len() <= 24, "{} in 2.9 s", starts.len());
    assert_eq!(
        choose(&roster, &[], start + 3 * SECOND),
        TargetChoice::Chosen(key)
    );
}

/// Guards against a new gateway that counts itself only: until some seconds after it has first heard
/// of another gateway, it assumes a large fleet, also if that takes long.
#[test]
fn new_gateway_assumes_a_large_fleet_until_it_has_heard_of_others() {
    let replay = Replay {
        gateways: 1,
        cold_rate: 18.0,
        finds_pace: false,
    };
    let (start, service) = (Instant::now(), service());
    let mut pacer = replay.pacer(0.0, start);
    let input = |gateways| PaceInput {
        gateways,
        has_peers: true,
        ..replay.input(0.0)
    };
    let most = |pacer: &mut TargetPacer, begin: Instant| {
        let mut count = 0;
        for step in 0..200 {
            let now = begin + STEP * step;
            if pacer.admits(TARGET, now) {
                pacer.record_start(TARGET, &service, now);
                count += 1;
            }
        }
        count
    };
    pacer.update(input(1), &[], start);
    let target = paced(TARGET, &service, None);
    pacer.record_joined(target, Some(60 * SECOND), false, start);
    pacer.update(input(1), &[], start + 20 * SECOND);
    assert!(most(&mut pacer, start + 20 * SECOND) <= 2);
    pacer.update(input(2), &[], start + 25 * SECOND);
    assert!(most(&mut pacer, start + 25 * SECOND) <= 2);
    pacer.update(input(2), &[], start + 29 * SECOND);
    assert!(most(&mut pacer, start + 30 * SECOND) > 10);
}

/// Guards against server errors that count as quick answers, and against a full share at once for a
/// target whose ejection such an answer ends.
#[test]
fn error_answer_lowers_the_rate_and_begins_a_pace() {
    let start = Instant::now();
    let (mut roster, keys) = loaded_roster(start);
    let now = start + 4 * SECOND;
    let target = roster.get(keys[0]).unwrap().name_hash;
    let health = &mut roster.get_mut(keys[0]).unwrap().health;
    health.record_failure(now);
    health.record_failure(now);
    let begun = roster.record_error_answer(keys[0], now + SECOND);
    assert!(matches!(begun, Some(PaceChange::Begun(..))), "{begun:?}");
    let first = roster.pacer().found_rate(target).unwrap();
    let answer = FirstAnswer {
        is_stream: false,
        sent_at: now + SECOND,
        arrived_at: now + SECOND + STEP,
    };
    roster.pacer_mut().record_answer(target, &service(), answer);
    assert_eq!(roster.pacer().found_rate(target), Some(2.0 * first));
    assert_eq!(roster.record_error_answer(keys[0], now + 2 * SECOND), None);
    assert_eq!(roster.pacer().found_rate(target), Some(first));
}

/// Guards against a flood of the targets of a zone that is taken back.
#[test]
fn targets_of_a_zone_that_is_taken_back_are_paced() {
    let start = Instant::now();
    let (mut roster, keys) = loaded_roster(start);
    let now = start + 4 * SECOND;
    let other = "sohar".parse().unwrap();
    assert_eq!(roster.begin_zone_paces(&other, now), []);
    let begun = roster.begin_zone_paces(&"ruwi".parse().unwrap(), now);
    assert_eq!(begun.len(), keys.len());
}

/// Guards against a group that forms anew and throttles the ranks that have not reached their share
/// when the others have.
#[test]
fn second_half_of_a_new_group_is_not_held_back() {
    let (start, service, group) = (Instant::now(), service(), group());
    let targets: Vec<_> = (0..16)
        .map(|target| paced(target, &service, Some(&group)))
        .collect();
    let mut pacer = loaded_pacer(&targets, &service, start);
    let begin = start + 4 * SECOND;
    for target in &targets {
        pacer.begin(*target, begin);
    }
    pacer.update(LONE_REPLAY.input(0.5), &targets, begin);
    let answer = |sent_at| FirstAnswer {
        is_stream: true,
        sent_at,
        arrived_at: sent_at + ANSWER_TIME,
    };
    for round in 0..4 {
        let now = begin + Duration::from_millis(210 * round + 1);
        for target in 0..8 {
            pacer.record_start(target, &service, now);
            pacer.record_answer(target, &service, answer(now));
        }
    }
    let now = begin + SECOND;
    pacer.update(LONE_REPLAY.input(0.5), &targets, now);
    for target in 0..16 {
        let mut count = 0;
        for step in 0..100 {
            let now = now + STEP * step;
            if pacer.admits(target, now) {
                pacer.record_start(target, &service, now);
                pacer.record_answer(target, &service, answer(now));
                count += 1;
            }
        }
        assert!(count >= 20, "rank {target}: {count} in a second");
    }
}
