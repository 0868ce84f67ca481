//! Load that one more request of a kind adds to the hottest rank.

use {
    super::{ExpertCounts, ExpertMap, layer_loads, slowest},
    crate::ids::KindName,
    std::collections::BTreeMap,
};

/// Kinds that are told apart; callers choose the names, so their number has to be bounded.
const MAX_KINDS: usize = 64;
/// Part of the older tokens that remains in a profile after new ones were added.
const KEPT: f64 = 0.9;
/// Growth of a layer's load at which the cost is taken. A single request would only ever see the
/// rank that is hottest at this moment, although several are nearly as hot.
const GROWTH: f64 = 0.05;

#[derive(Clone, Debug)]
struct KindProfile {
    tokens: f64,
    counts: ExpertCounts,
}

/// Experts that the tokens of each request kind use. A running request adds one token to each
/// step, so a profile for each token is also the load of a request.
#[derive(Clone, Debug, Default)]
pub struct KindProfiles {
    profiles: BTreeMap<KindName, KindProfile>,
}

impl KindProfiles {
    /// Adds tokens of a kind and the expert tokens that they caused.
    pub fn observe(&mut self, kind: &KindName, tokens: f64, counts: &ExpertCounts) {
        if tokens <= 0.0 {
            return;
        }
        if !self.profiles.contains_key(kind) && self.profiles.len() >= MAX_KINDS {
            return;
        }
        let empty = || KindProfile {
            tokens: 0.0,
            counts: ExpertCounts::new(counts.layers(), counts.experts()),
        };
        let profile = self.profiles.entry(kind.clone()).or_insert_with(empty);
        profile.tokens = profile.tokens * KEPT + tokens;
        profile.counts.scale(KEPT);
        profile.counts.add(counts, 1.0);
    }

    /// Returns the expert tokens for each token of every kind.
    pub fn profiles(&self) -> impl Iterator<Item = (&KindName, ExpertCounts)> {
        self.profiles.iter().map(|(kind, profile)| {
            let mut counts = profile.counts.clone();
            counts.scale(1.0 / profile.tokens);
            (kind, counts)
        })
    }
}

/// Returns the load that one more request adds to the hottest rank of a layer, averaged over the
/// layers and relative to a request that adds the same to every live rank: 1 is neutral.
pub fn hot_rank_cost(
    map: &ExpertMap,
    counts: &ExpertCounts,
    weights: &[f64],
    profile: &ExpertCounts,
) -> f64 {
    let (mut loads, mut added) = (vec![0.0; weights.len()], vec![0.0; weights.len()]);
    let mut cost = 0.0;
    for layer in 0..map.layers() {
        layer_loads(map, counts, layer, &mut loads);
        layer_loads(map, profile, layer, &mut added);
        let request: f64 = added.iter().sum();
        if request <= 0.0 {
            continue;
        }
        let requests = (GROWTH * loads.iter().sum::<f64>() / request).max(1.0);
        let live = weights.iter().filter(|weight| **weight > 0.0).count();
        let even = request / live.max(1) as f64;
        let before = slowest(&loads, weights);
        for (load, more) in loads.iter_mut().zip(&added) {
            *load += more * requests;
        }
        cost += (slowest(&loads, weights) - before) / (requests * even);
    }
    cost / map.layers().max(1) as f64
}
