//! Lower bound on the step load, which no placement can beat.

use super::{ExpertCounts, GroupShape, StepLoad};

/// Rounds of the bisection; each halves the error.
const BISECTION_ROUNDS: usize = 40;

/// Returns the lower bound on the step load of any placement.
///
/// A layer cannot be faster than the mean load by weight. Nor can it be faster than the smallest
/// share to which replicas can reduce its hottest experts: if no share may exceed `s` tokens, each
/// expert needs `tokens / s` slots, rounded up, and the live ranks must have that many. Replicas
/// share evenly, and the bound assumes that the largest share is on the fastest rank.
pub fn step_bound(shape: &GroupShape, counts: &ExpertCounts, weights: &[f64]) -> StepLoad {
    let capacity = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let fastest = weights.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let live = weights.iter().filter(|weight| **weight > 0.0).count();
    let mut total = StepLoad::default();
    for layer in 0..counts.layers() {
        let tokens = counts.layer(layer);
        let mean = tokens.iter().sum::<f64>() / capacity;
        let share = smallest_share(tokens, live, shape.slots) / fastest;
        total.mean += mean;
        total.slowest += mean.max(share);
    }
    total
}

/// Returns the smallest number of tokens to which replicas can limit every share of a layer.
fn smallest_share(tokens: &[f64], live: usize, slots: usize) -> f64 {
    let slots_needed = |share: f64| -> f64 {
        let replicas = tokens.iter().map(|tokens| (tokens / share).ceil().max(1.0));
        replicas.sum()
    };
    let hottest = tokens.iter().copied().fold(0.0, f64::max);
    if hottest <= 0.0 || live == 0 {
        return 0.0;
    }
    let total_slots = (live * slots) as f64;
    let (mut low, mut high) = (hottest / live as f64, hottest);
    for _ in 0..BISECTION_ROUNDS {
        let middle = (low + high) / 2.0;
        if slots_needed(middle) <= total_slots {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
