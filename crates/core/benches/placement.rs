//! Benchmarks of placement at the target size of 256 ranks and 128 experts in each of 60 layers. A
//! decision may take 100 ms on one core.

#![allow(
    missing_docs,
    reason = "criterion's macros generate undocumented items"
)]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{
        ExpertCounts, GroupShape, KindProfiles, PlacementInput, PlacementPolicy, decide_placement,
        hot_rank_cost, place_all,
    },
    std::{hint::black_box, time::Duration},
};

const SHAPE: GroupShape = GroupShape {
    layers: 60,
    experts: 128,
    ranks: 256,
    slots: 2,
    expert_bytes: 44_000_000,
    store_rate: 10e9,
};

/// Returns counts with a Zipf-like popularity, in a different order of the experts in each layer.
fn zipf_counts(seed: u64) -> ExpertCounts {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = ExpertCounts::new(SHAPE.layers, SHAPE.experts);
    for layer in 0..SHAPE.layers {
        for tokens in counts.layer_mut(layer) {
            let popularity_rank = generator.random_range(1..=SHAPE.experts);
            *tokens = 1e5 / (popularity_rank as f64).powf(0.7);
        }
    }
    counts
}

fn policy() -> PlacementPolicy {
    PlacementPolicy {
        enabled: true,
        skew_weight: 0.5,
        horizon: Duration::from_secs(600),
        hysteresis: 0.1,
        sources: Vec::new(),
    }
}

fn measure(criterion: &mut Criterion) {
    let weights = vec![1.0; SHAPE.ranks];
    let (old, new) = (zipf_counts(1), zipf_counts(2));
    let map = place_all(&SHAPE, &old, &weights, 1).unwrap();
    criterion.bench_function("place_all", |bencher| {
        bencher.iter(|| place_all(black_box(&SHAPE), &new, &weights, 1));
    });
    let input = PlacementInput {
        shape: &SHAPE,
        map: &map,
        counts: &new,
        weights: &weights,
    };
    criterion.bench_function("decide_placement", |bencher| {
        bencher.iter(|| decide_placement(black_box(&input), &policy()));
    });
    let mut profiles = KindProfiles::default();
    profiles.observe(&"captions".parse().unwrap(), 100.0, &new);
    let profile = profiles.profiles().next().unwrap().1;
    criterion.bench_function("hot_rank_cost", |bencher| {
        bencher.iter(|| hot_rank_cost(black_box(&map), &old, &weights, &profile));
    });
}

criterion_group!(benches, measure);
criterion_main!(benches);
