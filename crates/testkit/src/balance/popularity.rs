//! Expert popularity by request kind: how many tokens each kind routes to each expert.

use {
    rand::seq::SliceRandom,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{ExpertCounts, GroupShape},
};

/// Number of experts that process each token in a layer.
const EXPERTS_PER_TOKEN: f64 = 8.0;
/// Exponent of the Zipf distribution of expert popularity.
const ZIPF_EXPONENT: f64 = 0.8;

/// Draws how many tokens reach each expert, on average, for one token of a request kind. The
/// popularity is shuffled in each layer, so each kind has its own hot experts there.
pub fn draw_profile(shape: &GroupShape, random: &mut ChaCha8Rng) -> ExpertCounts {
    let weights: Vec<f64> = (1..=shape.experts)
        .map(|position| (position as f64).powf(-ZIPF_EXPONENT))
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

/// Expert popularity of each request kind at the start and at the end of a run.
#[derive(Clone, Debug)]
pub struct KindPopularity {
    start: Vec<ExpertCounts>,
    end: Vec<ExpertCounts>,
}

impl KindPopularity {
    /// Draws the start and end popularity of `kinds` request kinds.
    pub fn draw(shape: &GroupShape, kinds: usize, random: &mut ChaCha8Rng) -> Self {
        let mut profiles = || (0..kinds).map(|_| draw_profile(shape, random)).collect();
        Self {
            start: profiles(),
            end: profiles(),
        }
    }

    /// Returns the tokens that each expert processes in one step. `in_flight` holds the requests
    /// of each kind, which contribute one token each; `drift` is the share of the popularity that
    /// has moved from the start to the end profile, from 0 to 1.
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
