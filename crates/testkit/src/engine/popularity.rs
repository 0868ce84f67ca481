//! Popularity of the experts for each request kind.

use {
    rand::{
        SeedableRng,
        distr::{Distribution, weighted::WeightedIndex},
        seq::SliceRandom,
    },
    rand_chacha::ChaCha8Rng,
    std::{collections::HashMap, iter},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Distributions of the experts, by kind and layer.
#[derive(Debug)]
pub struct PopularityTable {
    seed: u64,
    layers: usize,
    experts: usize,
    skew: f64,
    kinds: HashMap<String, Vec<WeightedIndex<f64>>>,
}

impl PopularityTable {
    /// Creates a table; kinds are added on first use.
    pub fn new(seed: u64, layers: usize, experts: usize, skew: f64) -> Self {
        Self {
            seed,
            layers,
            experts,
            skew,
            kinds: HashMap::new(),
        }
    }

    /// Draws the experts of one token, as pairs of layer and expert.
    pub fn draw(
        &mut self,
        kind: &str,
        count: usize,
        generator: &mut ChaCha8Rng,
    ) -> Vec<(usize, usize)> {
        if !self.kinds.contains_key(kind) {
            self.shift(kind, 0);
        }
        let layers = self.kinds.get(kind).into_iter().flatten().enumerate();
        let draws = layers.flat_map(|(layer, weights)| iter::repeat_n((layer, weights), count));
        draws
            .map(|(layer, weights)| (layer, weights.sample(generator)))
            .collect()
    }

    /// Gives a kind another order of popular experts, as a drift of the traffic does.
    pub fn shift(&mut self, kind: &str, shift: u64) {
        let layers = 0..self.layers as u64;
        let weights = layers.filter_map(|layer| self.layer_weights(kind, shift, layer));
        let weights = weights.collect();
        self.kinds.insert(kind.to_owned(), weights);
    }

    fn layer_weights(&self, kind: &str, shift: u64, layer: u64) -> Option<WeightedIndex<f64>> {
        let seed = xxh3_64_with_seed(kind.as_bytes(), self.seed ^ (layer << 32) ^ shift);
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let positions = 1..=self.experts as u32;
        let mut weights: Vec<_> = positions
            .map(|position| f64::from(position).powf(-self.skew))
            .collect();
        weights.shuffle(&mut generator);
        WeightedIndex::new(weights).ok()
    }
}
