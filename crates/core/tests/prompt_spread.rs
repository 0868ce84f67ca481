//! Tests how the starts of many gateways that know each other's load late spread over the ranks of a
//! group. Prompts that are read at one rank in the same pass lengthen the pass for every stream.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, GroupMember, StartSlice, TargetChoice, TargetEntry, TargetKey,
            TargetRoster, TargetState, choose_target,
        },
        ids::{ServiceName, ZoneName},
    },
    sassafrasslip_testkit::test_cases,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

const RANKS: usize = 63;
const ZONES: usize = 3;
const PASS: Duration = Duration::from_millis(100);

/// Number of passes for which a stream runs, and of passes until its start is reported to the peers.
const STREAM_PASSES: usize = 23;
const NEWS_PASSES: usize = 6;

/// Number of passes that are played, and of those that are counted.
const PASSES: usize = 150;
const COUNTED: usize = 100;

/// Load of the fullest ranks: prompts read in one pass, and running requests above the mean. Both are
/// means over the counted passes.
#[derive(Clone, Copy, Debug)]
struct FullestRank {
    prompts: f64,
    excess: f64,
}

/// Gateways with the weights of their callers.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    gateways: usize,
    starts_per_pass: usize,
    /// Weight of the callers of busy gateways; the others have 1.
    busy_weight: f64,
    /// Number of gateways after which a busy one comes. A multiple of the number of zones makes one
    /// zone busy.
    busy_interval: usize,
    /// Whether a third of the gateways leaves halfway.
    shrinks: bool,
}

fn zone(index: usize) -> ZoneName {
    format!("luzon-{}", index % ZONES).parse().unwrap()
}

fn service() -> ServiceName {
    "captions".parse().unwrap()
}

fn roster(now: Instant) -> TargetRoster {
    let entries = (0..RANKS).map(|rank| TargetEntry {
        id: format!("i-{rank}").into(),
        service: service(),
        address: ([10, 0, 0, rank as u8], 8000).into(),
        availability_zone: zone(rank),
        slots: 10,
        state: TargetState::Ready,
        started_at_ms: 1,
        cold_for: None,
        group: Some(GroupMember {
            name: "captions-0".parse().unwrap(),
            epoch: 1,
            rank: rank as u32,
            size: RANKS as u32,
            is_open: true,
        }),
    });
    let mut roster = TargetRoster::default();
    roster.apply(entries.collect(), now);
    roster
}

/// Plays the starts of a fleet and returns the load of the fullest ranks.
fn play(fleet: Fleet, has_slices: bool) -> FullestRank {
    let mut now = Instant::now();
    let mut random = StdRng::seed_from_u64(7);
    let mut rosters: Vec<_> = (0..fleet.gateways).map(|_| roster(now)).collect();
    let ranks: Vec<_> = rosters[0].iter().map(|(key, _)| key).collect();
    // For each of the latest passes, the rank of each start by the gateway that made it.
    let mut history: VecDeque<Vec<(usize, TargetKey)>> = VecDeque::new();
    let (mut prompts, mut excess) = (0.0, 0.0);
    for pass in 0..PASSES {
        let live = match fleet.shrinks && pass >= PASSES / 2 {
            true => fleet.gateways - fleet.gateways / 3,
            false => fleet.gateways,
        };
        if history.len() == STREAM_PASSES {
            for (gateway, key) in history.pop_front().unwrap() {
                rosters[gateway].get_mut(key).unwrap().own_in_flight -= 1;
            }
        }
        for (gateway, roster) in rosters.iter_mut().enumerate() {
            // Each gateway hears of the others' starts at another pass.
            if (pass + gateway).is_multiple_of(NEWS_PASSES) {
                let reported = history.len().saturating_sub(NEWS_PASSES / 2);
                let known = history.iter().take(reported).flatten();
                let mut loads: HashMap<TargetKey, u32> = HashMap::new();
                for (_, key) in known.filter(|(other, _)| *other != gateway) {
                    *loads.entry(*key).or_default() += 1;
                }
                for key in &ranks {
                    let load = loads.get(key).copied().unwrap_or_default();
                    roster.get_mut(*key).unwrap().peer_in_flight = load;
                }
            }
        }
        let mut started = Vec::new();
        while started.len() < fleet.starts_per_pass {
            let gateway = random.random_range(0..live);
            let weight = if gateway % fleet.busy_interval == 0 {
                fleet.busy_weight
            } else {
                1.0
            };
            if random.random::<f64>() * fleet.busy_weight > weight {
                continue;
            }
            let slice = StartSlice {
                position: (gateway / ZONES) as u32,
                gateways: ((live + ZONES - 1 - gateway % ZONES) / ZONES) as u32,
                pass: PASS,
            };
            let input = ChoiceInput {
                service: &service(),
                own_zone: &zone(gateway),
                tried: &[],
                group_limits: &HashMap::new(),
                draw: random.random(),
                slice: has_slices.then_some(slice),
            };
            let TargetChoice::Chosen(key) = choose_target(&rosters[gateway], &input, now) else {
                panic!("no rank was chosen");
            };
            let target = rosters[gateway].get_mut(key).unwrap();
            target.own_in_flight += 1;
            target.started_at = Some(now);
            started.push((gateway, key));
        }
        history.push_back(started);
        now += PASS;
        if pass >= PASSES - COUNTED {
            let running = count_by_rank(history.iter().flatten());
            let mean = running.iter().sum::<f64>() / RANKS as f64;
            excess += (running.into_iter().fold(0.0, f64::max) - mean) / COUNTED as f64;
            let read = count_by_rank(history.back().into_iter().flatten());
            prompts += read.into_iter().fold(0.0, f64::max) / COUNTED as f64;
        }
    }
    FullestRank { prompts, excess }
}

fn count_by_rank<'a>(starts: impl Iterator<Item = &'a (usize, TargetKey)>) -> Vec<f64> {
    let mut counts: HashMap<TargetKey, f64> = HashMap::new();
    for (_, key) in starts {
        *counts.entry(*key).or_default() += 1.0;
    }
    counts.into_values().collect()
}

/// A rank that reads several prompts in a pass, or runs several requests more than the others,
/// lengthens each pass of the group.
fn check_fullest_rank(fleet: Fleet) {
    let (drawn, sliced) = (play(fleet, false), play(fleet, true));
    assert!(
        sliced.prompts <= drawn.prompts - 0.5,
        "{sliced:?}, {drawn:?}"
    );
    assert!(sliced.excess <= drawn.excess, "{sliced:?}, {drawn:?}");
}

const EVEN_FLEET: Fleet = Fleet {
    gateways: 64,
    starts_per_pass: 20,
    busy_weight: 1.0,
    busy_interval: 8,
    shrinks: false,
};

test_cases! {
    fn check_fullest_rank(fleet: Fleet);
    fullest_rank_of_many_gateways: (EVEN_FLEET);
    fullest_rank_of_few_gateways: (Fleet { gateways: 13, ..EVEN_FLEET });
    fullest_rank_while_gateways_leave: (Fleet { shrinks: true, ..EVEN_FLEET });
    fullest_rank_of_uneven_callers: (Fleet { busy_weight: 4.0, ..EVEN_FLEET });
    fullest_rank_of_a_busy_zone: (Fleet { busy_weight: 3.0, busy_interval: 3, ..EVEN_FLEET });
    fullest_rank_of_a_crowded_zone: (Fleet { busy_weight: 8.0, busy_interval: 3, ..EVEN_FLEET });
}
