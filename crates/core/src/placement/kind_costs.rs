//! Cost of a request by kind: the load that one more request adds to the hottest rank.

use {
    super::{ExpertCounts, ExpertMap, layer_loads, slowest},
    crate::ids::KindName,
    std::collections::BTreeMap,
};

/// Largest number of kinds with a profile. Callers choose the names, so their number needs a bound.
const MAX_KINDS: usize = 64;
/// Factor on the older tokens of a profile when new ones are added.
const PROFILE_DECAY: f64 = 0.9;
/// Growth of the load of a layer over which the cost is averaged. With the growth of a single
/// request, the cost would depend only on the rank that is hottest at the moment, although several
/// are nearly as hot.
const LOAD_GROWTH: f64 = 0.05;

#[derive(Clone, Debug)]
struct KindProfile {
    /// Tokens of the kind.
    tokens: f64,
    /// Expert tokens that they caused.
    counts: ExpertCounts,
}

/// Profiles of the request kinds: which experts their tokens use. A running request adds one token
/// to each step, so the profile of one token is also the load of a request.
#[derive(Clone, Debug, Default)]
pub struct KindProfiles {
    profiles: BTreeMap<KindName, KindProfile>,
}

impl KindProfiles {
    /// Adds tokens of a kind and the expert tokens that they caused. A new kind is ignored if there
    /// are `MAX_KINDS` profiles already.
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
        profile.tokens = profile.tokens * PROFILE_DECAY + tokens;
        profile.counts.scale(PROFILE_DECAY);
        profile.counts.add(counts, 1.0);
    }

    /// Returns every kind with the expert tokens that one token of the kind causes.
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
        let requests = (LOAD_GROWTH * loads.iter().sum::<f64>() / request).max(1.0);
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
