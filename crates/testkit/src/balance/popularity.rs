//! Popularity of the experts for each kind of request.

use {
    rand::seq::SliceRandom,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{ExpertCounts, GroupShape},
};

/// Experts that a token uses in each layer.
const EXPERTS_PER_TOKEN: f64 = 8.0;
/// Exponent of the Zipf-like popularity.
const ZIPF_EXPONENT: f64 = 0.8;

/// Expert tokens of one token of a kind. Each kind has its own hot experts in each layer.
pub fn draw_profile(shape: &GroupShape, random: &mut ChaCha8Rng) -> ExpertCounts {
    let weights: Vec<f64> = (1..=shape.experts)
        .map(|place| (place as f64).powf(-ZIPF_EXPONENT))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut profile = ExpertCounts::new(shape.layers, shape.experts);
    for layer in 0..shape.layers {
        let mut shuffled = weights.clone();
        shuffled.shuffle(random);
        let tokens = profile.layer_mut(layer).iter_mut();
        for (tokens, weight) in tokens.zip(shuffled) {
            *tokens = EXPERTS_PER_TOKEN * weight / total;
        }
    }
    profile
}

/// Popularity of each kind at the start and at the end of a run.
#[derive(Clone, Debug)]
pub struct KindPopularity {
    start: Vec<ExpertCounts>,
    end: Vec<ExpertCounts>,
}

impl KindPopularity {
    /// Draws the popularity of all kinds.
    pub fn draw(shape: &GroupShape, kinds: usize, random: &mut ChaCha8Rng) -> Self {
        let mut profiles = || (0..kinds).map(|_| draw_profile(shape, random)).collect();
        Self {
            start: profiles(),
            end: profiles(),
        }
    }

    /// Returns the expert tokens of a step with the given requests in flight, after a share
    /// `drift` of the popularity has moved to other experts.
    pub fn counts(&self, in_flight: &[f64], drift: f64) -> ExpertCounts {
        let first = &self.start[0];
        let mut counts = ExpertCounts::new(first.layers(), first.experts());
        for (kind, requests) in in_flight.iter().enumerate() {
            counts.add(&self.start[kind], requests * (1.0 - drift));
            if drift > 0.0 {
                counts.add(&self.end[kind], requests * drift);
            }
        }
        counts
    }
}
