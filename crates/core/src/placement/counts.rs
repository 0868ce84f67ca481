//! Counts of the tokens that each expert processed.

use std::time::Duration;

/// Number of tokens that each expert of each layer processed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExpertCounts {
    experts: usize,
    /// Counts of all experts, layer by layer.
    tokens: Vec<f64>,
}

impl ExpertCounts {
    /// Creates counts of zero for `layers` layers with `experts` experts each.
    pub fn new(layers: usize, experts: usize) -> Self {
        let tokens = vec![0.0; layers * experts];
        Self { experts, tokens }
    }

    /// Returns the number of layers.
    pub fn layers(&self) -> usize {
        self.tokens.len() / self.experts.max(1)
    }

    /// Returns the number of experts in a layer.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Returns the counts of a layer, by expert.
    pub fn layer(&self, layer: usize) -> &[f64] {
        &self.tokens[layer * self.experts..(layer + 1) * self.experts]
    }

    /// Returns the counts of a layer, by expert, for modification.
    pub fn layer_mut(&mut self, layer: usize) -> &mut [f64] {
        &mut self.tokens[layer * self.experts..(layer + 1) * self.experts]
    }

    /// Adds `factor` times the counts of `other`.
    pub fn add(&mut self, other: &Self, factor: f64) {
        for (tokens, more) in self.tokens.iter_mut().zip(&other.tokens) {
            *tokens += more * factor;
        }
    }

    /// Multiplies all counts by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.tokens.iter_mut().for_each(|tokens| *tokens *= factor);
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f64 {
        self.tokens.iter().sum()
    }

    /// Returns all counts, layer by layer.
    pub fn tokens(&self) -> &[f64] {
        &self.tokens
    }

    /// Returns all counts, layer by layer, for modification.
    pub fn tokens_mut(&mut self) -> &mut [f64] {
        &mut self.tokens
    }
}

/// Exponentially weighted average of counts, in tokens per second.
#[derive(Clone, Debug)]
pub struct CountsAverage {
    half_life: Duration,
    rates: ExpertCounts,
    /// Sum of the weights in the average; it starts at 0 and approaches 1.
    weight: f64,
}

impl CountsAverage {
    /// Creates an empty average in which counts that are `half_life` old weigh half.
    pub fn new(layers: usize, experts: usize, half_life: Duration) -> Self {
        Self {
            half_life,
            rates: ExpertCounts::new(layers, experts),
            weight: 0.0,
        }
    }

    /// Adds the counts of an interval; an interval of zero length has no effect.
    pub fn observe(&mut self, counts: &ExpertCounts, interval: Duration) {
        let seconds = interval.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let decay = 0.5_f64.powf(seconds / self.half_life.as_secs_f64().max(0.001));
        self.rates.scale(decay);
        self.rates.add(counts, (1.0 - decay) / seconds);
        self.weight = self.weight * decay + 1.0 - decay;
    }

    /// Returns the average rates; `None` before the first counts.
    pub fn rates(&self) -> Option<ExpertCounts> {
        if self.weight <= 0.0 {
            return None;
        }
        let mut rates = self.rates.clone();
        rates.scale(1.0 / self.weight);
        Some(rates)
    }
}
