//! Duration of placement decisions by the number of ranks. `scripts/measure.sh balance` measures
//! their peak memory, in a separate process because the peak covers all that a process did.

use {
    super::series::MeasuredSeries,
    crate::harness::{HarnessError, Result},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{
        ExpertCounts, GroupShape, PlacementInput, PlacementPolicy, decide_placement, place_all,
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const LAYERS: usize = 60;
const EXPERTS: usize = 128;
const RANKS: [usize; 3] = [64, 128, 256];
/// Decisions for each number of ranks; the result is their median time.
const RUNS: usize = 7;

fn zipf_counts(seed: u64) -> ExpertCounts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = ExpertCounts::new(LAYERS, EXPERTS);
    for layer in 0..LAYERS {
        for tokens in counts.layer_mut(layer) {
            let position = random.random_range(1..=EXPERTS);
            *tokens = 1e5 / (position as f64).powf(0.7);
        }
    }
    counts
}

fn median_decision_ms(ranks: usize) -> Result<f64> {
    let shape = GroupShape {
        layers: LAYERS,
        experts: EXPERTS,
        ranks,
        slots: EXPERTS.div_ceil(ranks) + 1,
        expert_bytes: 44_000_000,
        store_rate: 10e9,
    };
    let policy = PlacementPolicy {
        enabled: true,
        skew_weight: 0.5,
        horizon: Duration::from_secs(600),
        hysteresis: 0.1,
        sources: Vec::new(),
    };
    let weights = vec![1.0; ranks];
    let (old_counts, new_counts) = (zipf_counts(1), zipf_counts(2));
    let map = place_all(&shape, &old_counts, &weights, 1);
    let map = map.map_err(|error| HarnessError::report("placement", error))?;
    let input = PlacementInput {
        shape: &shape,
        map: &map,
        counts: &new_counts,
        weights: &weights,
    };
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            black_box(decide_placement(black_box(&input), &policy));
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    Ok(times[RUNS / 2])
}

/// Measures decisions after a change of all expert counts.
///
/// # Errors
///
/// Fails if the experts do not fit on the ranks.
pub fn measure() -> Result<Vec<MeasuredSeries>> {
    let mut time = MeasuredSeries::new("placement decision, ms", "ranks");
    for ranks in RANKS {
        time.add(ranks as f64, median_decision_ms(ranks)?);
    }
    Ok(vec![time])
}
