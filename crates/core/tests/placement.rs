//! Tests the placement of experts: balance, cost of moves, slow and lost ranks.

use {
    proptest::prelude::*,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{
        ExpertCounts, ExpertMap, GroupShape, PlacementDecision, PlacementInput, PlacementPolicy,
        PlacementVerdict, RankHealth, RankReport, decide_placement, hot_rank_cost, place_all,
        step_bound, step_load,
    },
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
    tokio::time::Instant,
};

const SHAPE: GroupShape = GroupShape {
    layers: 6,
    experts: 32,
    ranks: 16,
    slots: 4,
    expert_bytes: 40_000_000,
    store_rate: 1e9,
};

fn zipf_counts(shape: &GroupShape, seed: u64) -> ExpertCounts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = ExpertCounts::new(shape.layers, shape.experts);
    for tokens in counts.tokens_mut() {
        *tokens = 1e4 / f64::from(random.random_range(1..=32_u32));
    }
    counts
}

fn policy(skew_weight: f64, hysteresis: f64) -> PlacementPolicy {
    PlacementPolicy {
        enabled: true,
        skew_weight,
        horizon: Duration::from_secs(600),
        hysteresis,
        sources: vec!["default:placement.mode".to_owned()],
    }
}

fn decide(
    map: &ExpertMap,
    counts: &ExpertCounts,
    weights: &[f64],
    policy: &PlacementPolicy,
) -> PlacementDecision {
    let input = PlacementInput {
        shape: &SHAPE,
        map,
        counts,
        weights,
    };
    decide_placement(&input, policy)
}

fn check_capacity(shape: &GroupShape, map: &ExpertMap) {
    for layer in 0..shape.layers {
        for experts in map.experts_by_rank(layer, shape.ranks) {
            assert!(experts.len() <= shape.slots, "layer {layer}: {experts:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A placement must fit into the slots, and its slowest rank cannot be faster than the bound.
    #[test]
    fn placement_fits_and_respects_the_bound(
        seed in any::<u64>(),
        ranks in 2..40_usize,
        slots in 1..5_usize,
    ) {
        prop_assume!(ranks * slots >= SHAPE.experts);
        let shape = GroupShape { ranks, slots, ..SHAPE };
        let counts = zipf_counts(&shape, seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let weights: Vec<f64> =
            (0..ranks).map(|_| f64::from(random.random_range(10..=20_u32)) / 20.0).collect();
        let map = place_all(&shape, &counts, &weights, 1).unwrap();
        check_capacity(&shape, &map);
        let load = step_load(&map, &counts, &weights);
        let bound = step_bound(&shape, &counts, &weights);
        prop_assert!(load.slowest >= bound.slowest * (1.0 - 1e-9));
    }

    /// A new map must fit and reduce the skew, and must load as many experts as the decision says.
    #[test]
    fn decision_is_consistent(seed in any::<u64>(), skew_weight in 0.0..1.0_f64) {
        let weights = vec![1.0; SHAPE.ranks];
        let map = place_all(&SHAPE, &zipf_counts(&SHAPE, seed), &weights, 1).unwrap();
        let counts = zipf_counts(&SHAPE, seed ^ 1);
        let decision = decide(&map, &counts, &weights, &policy(skew_weight, 0.0));
        if let Some(next) = &decision.map {
            check_capacity(&SHAPE, next);
            let figures = &decision.figures;
            prop_assert_eq!(map.loads_to(next), figures.experts_loaded);
            prop_assert!(figures.skew_after < figures.skew_before);
            prop_assert!(figures.weighted_benefit >= figures.weighted_cost);
            prop_assert!(figures.moving_seconds <= 0.03 * 600.0);
        }
    }
}

#[test]
fn placement_comes_close_to_the_bound() {
    let weights = vec![1.0; SHAPE.ranks];
    let counts = zipf_counts(&SHAPE, 7);
    let map = place_all(&SHAPE, &counts, &weights, 1).unwrap();
    let load = step_load(&map, &counts, &weights).slowest;
    let bound = step_bound(&SHAPE, &counts, &weights).slowest;
    assert!(load < bound * 1.05, "{load} against {bound}");
}

fn check_verdict(skew_weight: f64, hysteresis: f64, expected: PlacementVerdict) {
    let weights = vec![1.0; SHAPE.ranks];
    let map = place_all(&SHAPE, &zipf_counts(&SHAPE, 1), &weights, 1).unwrap();
    let counts = zipf_counts(&SHAPE, 2);
    let decision = decide(&map, &counts, &weights, &policy(skew_weight, hysteresis));
    assert_eq!(decision.verdict, expected, "{:?}", decision.figures);
    assert_eq!(decision.sources, ["default:placement.mode"]);
}

test_cases! {
    fn check_verdict(skew_weight: f64, hysteresis: f64, expected: PlacementVerdict);
    changed_demand_moves_hot_experts: (0.8, 0.1, PlacementVerdict::MoveHotExperts);
    nothing_moves_if_only_the_cost_of_moves_counts: (0.0, 0.1, PlacementVerdict::NoGain);
    improvement_below_the_hysteresis_moves_nothing: (0.8, 0.99, PlacementVerdict::BelowHysteresis);
}

#[test]
fn higher_weight_of_move_costs_loads_fewer_experts() {
    let weights = vec![1.0; SHAPE.ranks];
    let map = place_all(&SHAPE, &zipf_counts(&SHAPE, 1), &weights, 1).unwrap();
    let counts = zipf_counts(&SHAPE, 2);
    let loaded = |skew_weight| {
        let decision = decide(&map, &counts, &weights, &policy(skew_weight, 0.0));
        decision.figures.experts_loaded
    };
    assert!(
        loaded(0.01) < loaded(0.8),
        "{} {}",
        loaded(0.01),
        loaded(0.8)
    );
}

#[test]
fn lost_experts_are_replaced_while_placement_is_off() {
    let mut weights = vec![1.0; SHAPE.ranks];
    let counts = zipf_counts(&SHAPE, 1);
    let map = place_all(&SHAPE, &counts, &weights, 1).unwrap();
    weights[..4].fill(0.0);
    let mut off = policy(0.5, 0.1);
    off.enabled = false;
    let decision = decide(&map, &counts, &weights, &off);
    assert_eq!(decision.verdict, PlacementVerdict::ReplaceLostExperts);
    let next = decision.map.unwrap();
    check_capacity(&SHAPE, &next);
    for layer in 0..SHAPE.layers {
        let by_rank = next.experts_by_rank(layer, SHAPE.ranks);
        assert!(by_rank[..4].iter().all(Vec::is_empty), "{by_rank:?}");
    }
}

/// Repeats reports of 8 ranks, of which rank 3 differs, and checks the weight that rank 3 gets.
fn check_weight(load: f64, step_us: f64, reports: usize, expected: f64) {
    let mut health = RankHealth::new(8);
    let even = RankReport {
        load: 100.0,
        step_us: 1_000.0,
    };
    let mut all = vec![even; 8];
    all[3] = RankReport { load, step_us };
    for _ in 0..reports {
        health.observe(&all, Instant::now());
    }
    assert_eq!(health.weights()[3], expected);
}

test_cases! {
    fn check_weight(load: f64, step_us: f64, reports: usize, expected: f64);
    rank_with_a_hot_expert_is_not_slow: (150.0, 1_450.0, 10, 1.0);
    late_rank_with_an_even_load_is_slow: (100.0, 2_000.0, 3, 0.5);
    two_late_reports_are_too_few_for_a_slow_rank: (100.0, 2_000.0, 2, 1.0);
    unrelieved_rank_keeps_its_weight: (100.0, 2_000.0, 30, 0.5);
    relieved_rank_that_is_still_late_loses_more_weight: (50.0, 1_250.0, 3, 0.4);
    late_rank_with_a_high_load_is_slow_by_the_excess: (120.0, 1_500.0, 3, 0.8);
    rank_with_a_low_load_and_a_normal_step_is_healthy: (50.0, 1_000.0, 10, 1.0);
}

#[test]
fn slow_rank_is_relieved_with_few_moves() {
    let mut weights = vec![1.0; SHAPE.ranks];
    let counts = zipf_counts(&SHAPE, 1);
    let map = place_all(&SHAPE, &counts, &weights, 1).unwrap();
    weights[5] = 0.5;
    let decision = decide(&map, &counts, &weights, &policy(0.8, 0.1));
    assert_eq!(decision.verdict, PlacementVerdict::RelieveSlowRank);
    let slots = SHAPE.layers * SHAPE.ranks * SHAPE.slots;
    let loaded = decision.figures.experts_loaded;
    assert!(loaded * 4 < slots, "{loaded} of {slots}");
}

#[test]
fn request_whose_experts_are_hot_costs_more() {
    let weights = vec![1.0; SHAPE.ranks];
    let counts = zipf_counts(&SHAPE, 1);
    let map = ExpertMap::round_robin(1, SHAPE.layers, SHAPE.experts, SHAPE.ranks);
    let mut cold = ExpertCounts::new(SHAPE.layers, SHAPE.experts);
    for (tokens, count) in cold.tokens_mut().iter_mut().zip(counts.tokens()) {
        *tokens = 1.0 / count;
    }
    cold.scale(1.0 / cold.total());
    let mut hot = counts.clone();
    hot.scale(1.0 / counts.total());
    let cost = |profile| hot_rank_cost(&map, &counts, &weights, profile);
    assert!(cost(&hot) > 2.0 * cost(&cold));
}

/// Guards against a cost in units other than one average request, with which it is compared.
#[test]
fn request_that_loads_all_ranks_evenly_costs_one_request() {
    let weights = vec![1.0; SHAPE.ranks];
    let mut even = ExpertCounts::new(SHAPE.layers, SHAPE.experts);
    even.tokens_mut().fill(1.0);
    let map = ExpertMap::round_robin(1, SHAPE.layers, SHAPE.experts, SHAPE.ranks);
    let cost = hot_rank_cost(&map, &even, &weights, &even);
    assert!((cost - 1.0).abs() < 1e-9, "{cost}");
}
