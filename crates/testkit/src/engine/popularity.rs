//! Popularity of the experts for each request kind: a Zipf distribution over the experts of a
//! layer, in an order that is random but fixed by the seed.

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

/// Distributions from which the experts of a token are drawn, by request kind and layer.
#[derive(Debug)]
pub struct PopularityTable {
    seed: u64,
    layers: usize,
    experts: usize,
    skew: f64,
    kinds: HashMap<String, Vec<WeightedIndex<f64>>>,
}

impl PopularityTable {
    /// Creates a table for `layers` layers of `experts` experts; request kinds are added on first
    /// use. The weight of the expert at position `n` of the popularity order, from 1, is `n` to the
    /// power of minus `skew`.
    pub fn new(seed: u64, layers: usize, experts: usize, skew: f64) -> Self {
        Self {
            seed,
            layers,
            experts,
            skew,
            kinds: HashMap::new(),
        }
    }

    /// Draws `count` experts in each layer for one token, as pairs of layer and expert. An expert
    /// may be drawn more than once.
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

    /// Changes which experts are popular for a request kind, as a drift of the traffic does. Each
    /// value of `shift` stands for one order of the experts.
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
