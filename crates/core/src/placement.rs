//! Placement of the experts of a model on the ranks of a group.
//!
//! A layer ends when its slowest rank has finished. The time of a step is therefore the sum over
//! the layers of the load of the hottest rank, where the load of a rank is the number of tokens
//! that it processes divided by its weight: 1 for a healthy rank, less for a slow one, 0 for a lost
//! one.

pub mod bound;
pub mod counts;
pub mod decision;
pub mod expert_map;
pub mod greedy;
pub mod improve;
pub mod kind_costs;
mod layer_options;
pub mod layer_plan;
pub mod policy;
pub mod rank_health;
pub mod responsive;

pub use {
    bound::step_bound,
    counts::{CountsAverage, ExpertCounts},
    decision::{
        PlacementDecision, PlacementFigures, PlacementInput, PlacementVerdict, decide_placement,
    },
    expert_map::{ExpertMap, MapError},
    greedy::place_all,
    kind_costs::{KindProfiles, hot_rank_cost},
    layer_plan::LayerPlan,
    policy::PlacementPolicy,
    rank_health::{RankHealth, RankReport},
    responsive::{ChangeBounds, plan_small_change},
};

/// Number of a rank in its group.
pub type RankNumber = u16;

/// Number of an expert in its layer.
pub type ExpertNumber = u16;

/// Size of a group, and the figures that determine the cost of moving an expert.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupShape {
    /// Number of layers with experts.
    pub layers: usize,
    /// Number of experts in a layer.
    pub experts: usize,
    /// Number of ranks.
    pub ranks: usize,
    /// Number of experts of one layer that a rank has room for.
    pub slots: usize,
    /// Size of an expert, in bytes.
    pub expert_bytes: u64,
    /// Rate at which the group can load from the weight store, in bytes per second.
    pub store_rate: f64,
}

impl GroupShape {
    /// Returns the time to load `experts` experts from the weight store, in seconds.
    pub fn loading_seconds(&self, experts: usize) -> f64 {
        experts as f64 * self.expert_bytes as f64 / self.store_rate.max(1.0)
    }
}

/// Step time of a map under given expert counts, in tokens by weight, summed over the layers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepLoad {
    /// Load of the hottest rank.
    pub slowest: f64,
    /// Mean load of the ranks: all tokens divided by the sum of the weights.
    pub mean: f64,
}

impl StepLoad {
    /// Returns the skew: the load of the hottest rank over the mean, or 1 without any load.
    pub fn skew(&self) -> f64 {
        if self.mean > 0.0 {
            self.slowest / self.mean
        } else {
            1.0
        }
    }
}

/// Returns the step load of a map under the given counts and weights of the ranks.
pub fn step_load(map: &ExpertMap, counts: &ExpertCounts, weights: &[f64]) -> StepLoad {
    let capacity = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let mut total = StepLoad::default();
    let mut loads = vec![0.0; weights.len()];
    for layer in 0..map.layers() {
        layer_loads(map, counts, layer, &mut loads);
        total.slowest += slowest(&loads, weights);
        total.mean += counts.layer(layer).iter().sum::<f64>() / capacity;
    }
    total
}

/// Writes the tokens that each rank processes in one layer to `loads`. The replicas of an expert
/// share its tokens evenly.
pub fn layer_loads(map: &ExpertMap, counts: &ExpertCounts, layer: usize, loads: &mut [f64]) {
    loads.fill(0.0);
    for (expert, tokens) in counts.layer(layer).iter().enumerate() {
        let ranks = map.replicas(layer, expert);
        let share = tokens / ranks.len().max(1) as f64;
        for rank in ranks {
            loads[usize::from(*rank)] += share;
        }
    }
}

/// Returns the load of the hottest rank, by weight. Lost ranks, whose weight is 0, are ignored.
pub fn slowest(loads: &[f64], weights: &[f64]) -> f64 {
    let live = loads
        .iter()
        .zip(weights)
        .filter(|(_, weight)| **weight > 0.0);
    live.map(|(load, weight)| load / weight).fold(0.0, f64::max)
}
