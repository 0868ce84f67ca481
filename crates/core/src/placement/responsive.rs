//! Small map changes that answer a sudden shift of the demand.
//!
//! Load pattern: within one second another expert of each layer draws a quarter of all tokens. A
//! full placement would load many experts, and the demand would have shifted again before it is in
//! force. A few replicas of the hottest experts take most of the skew away, and the time to load
//! them is that of the rank that loads most.

use super::{ExpertCounts, ExpertMap, GroupShape, RankNumber, expert_map::Result, layer_loads};

/// Gain of a replica below which none is added, as a share of the mean load of a rank.
const LEAST_GAIN: f64 = 0.03;

/// Bounds of a small change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeBounds {
    /// Experts that a rank loads at most, over all layers.
    pub loads_per_rank: usize,
    /// Experts that a rank loads at most in one layer.
    pub loads_per_layer: usize,
}

/// Replica that is added, with the one that makes room for it.
#[derive(Clone, Copy, Debug)]
struct AddedReplica {
    expert: usize,
    to: usize,
    dropped: Option<usize>,
    hottest_load: f64,
}

/// Layer while replicas are added.
struct LayerDraft<'a> {
    tokens: &'a [f64],
    holders: Vec<Vec<RankNumber>>,
    loads: Vec<f64>,
    held: Vec<usize>,
}

impl<'a> LayerDraft<'a> {
    fn new(map: &ExpertMap, counts: &'a ExpertCounts, layer: usize, ranks: usize) -> Self {
        let holders = map.layer(layer);
        let mut loads = vec![0.0; ranks];
        layer_loads(map, counts, layer, &mut loads);
        let mut held = vec![0; ranks];
        for rank in holders.iter().flatten() {
            held[usize::from(*rank)] += 1;
        }
        Self {
            tokens: counts.layer(layer),
            holders,
            loads,
            held,
        }
    }

    fn hottest(&self) -> (usize, f64) {
        let loads = self.loads.iter().copied().enumerate();
        loads.fold((0, f64::MIN), |best, (rank, load)| {
            if load > best.1 { (rank, load) } else { best }
        })
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.holders[expert]
            .iter()
            .any(|holder| usize::from(*holder) == rank)
    }

    fn share(&self, expert: usize) -> f64 {
        self.tokens[expert] / self.holders[expert].len() as f64
    }

    /// Returns the expert of a rank that is cheapest to drop: one that other ranks hold too.
    fn droppable(&self, rank: usize) -> Option<usize> {
        let held = (0..self.holders.len()).filter(|expert| self.holds(rank, *expert));
        let spare = held.filter(|expert| self.holders[*expert].len() > 1);
        spare.min_by(|left, right| self.share(*left).total_cmp(&self.share(*right)))
    }

    /// Tries a replica of `expert` on the rank `to`; returns the load of the hottest rank after it.
    fn hottest_after(&self, expert: usize, to: usize, dropped: Option<usize>) -> f64 {
        let mut loads = self.loads.clone();
        if let Some(dropped) = dropped {
            let before = self.share(dropped);
            let after = self.tokens[dropped] / (self.holders[dropped].len() - 1) as f64;
            for holder in &self.holders[dropped] {
                loads[usize::from(*holder)] += after - before;
            }
            loads[to] -= after;
        }
        let before = self.share(expert);
        let after = self.tokens[expert] / (self.holders[expert].len() + 1) as f64;
        for holder in &self.holders[expert] {
            loads[usize::from(*holder)] += after - before;
        }
        loads[to] += after;
        loads.into_iter().fold(0.0, f64::max)
    }

    fn apply(&mut self, added: &AddedReplica) {
        if let Some(dropped) = added.dropped {
            let before = self.share(dropped);
            self.holders[dropped].retain(|holder| usize::from(*holder) != added.to);
            let after = self.share(dropped);
            for holder in &self.holders[dropped] {
                self.loads[usize::from(*holder)] += after - before;
            }
            self.loads[added.to] -= before;
            self.held[added.to] -= 1;
        }
        let before = self.share(added.expert);
        let after = self.tokens[added.expert] / (self.holders[added.expert].len() + 1) as f64;
        for holder in &self.holders[added.expert] {
            self.loads[usize::from(*holder)] += after - before;
        }
        self.loads[added.to] += after;
        self.holders[added.expert].push(added.to as RankNumber);
        self.held[added.to] += 1;
    }
}

/// Plans a small change of the map; `None` if no replica helps.
///
/// # Errors
///
/// Fails if the current map is not valid.
pub fn plan_small_change(
    shape: &GroupShape,
    map: &ExpertMap,
    counts: &ExpertCounts,
    bounds: &ChangeBounds,
) -> Result<Option<ExpertMap>> {
    let mut drafts: Vec<_> = (0..map.layers())
        .map(|layer| LayerDraft::new(map, counts, layer, shape.ranks))
        .collect();
    let mut loaded = LoadedExperts::new(shape, drafts.len());
    let mut open: Vec<usize> = (0..drafts.len()).collect();
    // Layers take turns, so that none uses up the loads of all ranks.
    while !open.is_empty() {
        open.retain(|layer| {
            let draft = &mut drafts[*layer];
            let Some(added) = best_replica(shape, draft, &loaded, *layer, bounds) else {
                return false;
            };
            draft.apply(&added);
            loaded.add(added.to, *layer);
            true
        });
    }
    if loaded.total == 0 {
        return Ok(None);
    }
    let layers: Vec<_> = drafts.into_iter().map(|draft| draft.holders).collect();
    ExpertMap::from_layers(map.version(), &layers).map(Some)
}

/// Experts that ranks have to load, by rank and layer.
struct LoadedExperts {
    by_rank: Vec<usize>,
    by_layer: Vec<Vec<usize>>,
    total: usize,
}

impl LoadedExperts {
    fn new(shape: &GroupShape, layers: usize) -> Self {
        Self {
            by_rank: vec![0; shape.ranks],
            by_layer: vec![vec![0; shape.ranks]; layers],
            total: 0,
        }
    }

    fn allows(&self, rank: usize, layer: usize, bounds: &ChangeBounds) -> bool {
        self.by_rank[rank] < bounds.loads_per_rank
            && self.by_layer[layer][rank] < bounds.loads_per_layer
    }

    fn add(&mut self, rank: usize, layer: usize) {
        self.by_rank[rank] += 1;
        self.by_layer[layer][rank] += 1;
        self.total += 1;
    }
}

/// Finds the replica that takes most load from the hottest rank of a layer.
fn best_replica(
    shape: &GroupShape,
    draft: &LayerDraft<'_>,
    loaded: &LoadedExperts,
    layer: usize,
    bounds: &ChangeBounds,
) -> Option<AddedReplica> {
    let (hot, load) = draft.hottest();
    let mean = draft.loads.iter().sum::<f64>() / shape.ranks as f64;
    let on_hot = (0..draft.holders.len()).filter(|expert| draft.holds(hot, *expert));
    let expert = on_hot.max_by(|left, right| draft.share(*left).total_cmp(&draft.share(*right)))?;
    let receivers = (0..shape.ranks)
        .filter(|rank| !draft.holds(*rank, expert) && loaded.allows(*rank, layer, bounds));
    let options = receivers.filter_map(|to| {
        let dropped = if draft.held[to] < shape.slots {
            None
        } else {
            Some(draft.droppable(to)?)
        };
        let hottest_load = draft.hottest_after(expert, to, dropped);
        Some(AddedReplica {
            expert,
            to,
            dropped,
            hottest_load,
        })
    });
    // Of equally good ranks the coldest one keeps room for the next replicas.
    let best = options.min_by(|left, right| {
        let hottest = left.hottest_load.total_cmp(&right.hottest_load);
        let coldest = draft.loads[left.to].total_cmp(&draft.loads[right.to]);
        hottest.then(coldest)
    })?;
    (load - best.hottest_load > LEAST_GAIN * mean).then_some(best)
}
