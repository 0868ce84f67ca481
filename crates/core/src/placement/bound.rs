//! Lower bound of the step load that no placement can beat.

use super::{ExpertCounts, GroupShape, StepLoad};

/// Rounds of the bisection; each halves the error.
const ROUNDS: usize = 40;

/// Returns the bound. A layer cannot be faster than the mean by weight, nor than the smallest
/// share that its hottest experts can have: shares of at most `s` need the sum of `tokens / s`,
/// rounded up, in slots. Replicas share evenly, and a share may be on the fastest rank.
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

fn smallest_share(tokens: &[f64], live: usize, slots: usize) -> f64 {
    let needed = |share: f64| -> f64 {
        let replicas = tokens.iter().map(|tokens| (tokens / share).ceil().max(1.0));
        replicas.sum()
    };
    let hottest = tokens.iter().copied().fold(0.0, f64::max);
    if hottest <= 0.0 || live == 0 {
        return 0.0;
    }
    let room = (live * slots) as f64;
    let (mut low, mut high) = (hottest / live as f64, hottest);
    for _ in 0..ROUNDS {
        let middle = (low + high) / 2.0;
        if needed(middle) <= room {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
