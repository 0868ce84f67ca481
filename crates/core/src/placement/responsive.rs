//! Small map changes that respond to a sudden shift of the demand.
//!
//! Load pattern: within one second, a large part of all tokens goes to other experts of each layer
//! than before. A complete new placement would load many experts, and the demand would have shifted
//! again before the new map is in use. Ranks load experts in parallel, so the loading time is that
//! of the rank that loads most, and a change in which every rank loads a few experts takes no
//! longer than one in which a single rank does.
//!
//! A local search relieves the hottest rank of the layer with the largest excess, one step at a
//! time. Its objective is the sum of a high power of the loads instead of their maximum: with
//! several ranks that are equally hot, relieving one of them does not lower the maximum, but is
//! progress towards it. Replicating the experts with the largest share on the ranks with the least
//! load follows the expert parallelism load balancer of DeepSeek-V3 (arXiv:2412.19437, section
//! 3.4). The bounds on the loads and the search from the map in use are not part of that method.

use {
    super::{ExpertCounts, ExpertMap, GroupShape, RankNumber, expert_map::Result, layer_loads},
    std::collections::BTreeSet,
};

/// Smallest decrease of the objective for each expert to be loaded, as a share of the term of the
/// hottest rank.
const MIN_GAIN: f64 = 0.05;

/// Largest number of ranks that are tried as receivers of an expert, in order of rising load.
const MAX_RECEIVERS: usize = 8;

/// Bounds on a small change of the map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeBounds {
    /// Largest number of experts that a rank loads, over all layers.
    pub loads_per_rank: usize,
    /// Largest number of experts that a rank loads in one layer.
    pub loads_per_layer: usize,
    /// Excess of the hottest rank of a layer over the mean load, as a share of the mean, up to
    /// which the layer is left unchanged.
    pub tolerated_excess: f64,
}

/// Step of the search: the hottest rank shares an expert with another one, or gives it away.
#[derive(Clone, Copy, Debug)]
struct ReliefStep {
    expert: usize,
    from: usize,
    to: usize,
    /// Whether `from` gives the expert away instead of sharing it.
    is_move: bool,
    /// Expert that `to` drops to make room.
    dropped: Option<usize>,
    /// Whether `from` loads the dropped expert, because no other rank holds it.
    is_swap: bool,
}

impl ReliefStep {
    /// Returns the number of experts that have to be loaded for the step.
    const fn loads(&self) -> usize {
        if self.is_swap { 2 } else { 1 }
    }
}

/// State of a layer during the search.
struct LayerDraft<'a> {
    tokens: &'a [f64],
    /// Ranks that hold each expert.
    holders: Vec<Vec<RankNumber>>,
    /// Experts that each rank holds.
    held: Vec<Vec<usize>>,
    /// Tokens that each rank processes, divided by the weight of the rank.
    loads: Vec<f64>,
    weights: &'a [f64],
    mean: f64,
    /// Changes of the loads by the step under evaluation, as pairs of rank and difference; kept
    /// between steps to save allocations.
    changed: Vec<(usize, f64)>,
}

impl<'a> LayerDraft<'a> {
    fn new(map: &ExpertMap, counts: &'a ExpertCounts, layer: usize, weights: &'a [f64]) -> Self {
        let holders = map.layer(layer);
        let mut loads = vec![0.0; weights.len()];
        layer_loads(map, counts, layer, &mut loads);
        let mean = loads.iter().sum::<f64>() / weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        for (load, weight) in loads.iter_mut().zip(weights) {
            *load /= weight;
        }
        let mut held = vec![Vec::new(); weights.len()];
        for (expert, ranks) in holders.iter().enumerate() {
            for rank in ranks {
                held[usize::from(*rank)].push(expert);
            }
        }
        Self {
            tokens: counts.layer(layer),
            holders,
            held,
            loads,
            weights,
            mean,
            changed: Vec::new(),
        }
    }

    fn hottest(&self) -> usize {
        let loads = self.loads.iter().enumerate();
        let hottest = loads.max_by(|(_, left), (_, right)| left.total_cmp(right));
        hottest.map_or(0, |(rank, _)| rank)
    }

    /// Returns the excess of the hottest rank over the mean load, as a share of the mean.
    fn excess(&self) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        self.loads[self.hottest()] / self.mean - 1.0
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.held[rank].contains(&expert)
    }

    fn share(&self, expert: usize) -> f64 {
        self.tokens[expert] / self.holders[expert].len() as f64
    }

    /// Returns the term of a rank with this load in the objective.
    fn cost(&self, load: f64) -> f64 {
        (load / self.mean).powi(8)
    }

    /// Adds a difference, in tokens, to the load of a rank.
    fn change(&mut self, rank: usize, tokens: f64) {
        let difference = tokens / self.weights[rank];
        match self.changed.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += difference,
            None => self.changed.push((rank, difference)),
        }
    }

    /// Collects the changes of the loads by a step in `changed`.
    fn collect_changes(&mut self, step: &ReliefStep) {
        self.changed.clear();
        let share = self.share(step.expert);
        if step.is_move {
            self.change(step.from, -share);
            self.change(step.to, share);
        } else {
            let shared = self.tokens[step.expert] / (self.holders[step.expert].len() + 1) as f64;
            for index in 0..self.holders[step.expert].len() {
                let holder = usize::from(self.holders[step.expert][index]);
                self.change(holder, shared - share);
            }
            self.change(step.to, shared);
        }
        let Some(dropped) = step.dropped else {
            return;
        };
        let share = self.share(dropped);
        self.change(step.to, -share);
        if step.is_swap {
            self.change(step.from, share);
            return;
        }
        let left = self.tokens[dropped] / (self.holders[dropped].len() - 1) as f64;
        for index in 0..self.holders[dropped].len() {
            let holder = usize::from(self.holders[dropped][index]);
            if holder != step.to {
                self.change(holder, left - share);
            }
        }
    }

    /// Returns the amount by which a step lowers the objective.
    fn gain(&mut self, step: &ReliefStep) -> f64 {
        self.collect_changes(step);
        let changed = self.changed.iter();
        let gains = changed.map(|(rank, difference)| {
            let load = self.loads[*rank];
            self.cost(load) - self.cost(load + difference)
        });
        gains.sum()
    }

    fn apply(&mut self, step: &ReliefStep) {
        self.collect_changes(step);
        for (rank, difference) in &self.changed {
            self.loads[*rank] += difference;
        }
        if step.is_move {
            self.remove(step.from, step.expert);
        }
        if let Some(dropped) = step.dropped {
            self.remove(step.to, dropped);
            if step.is_swap {
                self.add(step.from, dropped);
            }
        }
        self.add(step.to, step.expert);
    }

    fn add(&mut self, rank: usize, expert: usize) {
        self.holders[expert].push(rank as RankNumber);
        self.held[rank].push(expert);
    }

    fn remove(&mut self, rank: usize, expert: usize) {
        self.holders[expert].retain(|holder| usize::from(*holder) != rank);
        self.held[rank].retain(|held| *held != expert);
    }

    /// Returns the ranks that may load an expert, in order of rising load, at most `MAX_RECEIVERS`.
    fn receivers(&self, budget: &LoadBudget, layer: usize, expert: usize) -> Vec<usize> {
        let ranks = 0..self.loads.len();
        let allowed =
            ranks.filter(|rank| budget.allows(*rank, layer, expert) && !self.holds(*rank, expert));
        let mut receivers: Vec<_> = allowed.collect();
        receivers.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        receivers.truncate(MAX_RECEIVERS);
        receivers
    }

    /// Finds the step on the hottest rank that lowers the objective most for each expert to be
    /// loaded.
    fn best_step(&mut self, budget: &LoadBudget, layer: usize, slots: usize) -> Option<ReliefStep> {
        let from = self.hottest();
        let mut best = None;
        let mut best_gain = MIN_GAIN * self.cost(self.loads[from]);
        for expert in self.held[from].clone() {
            for to in self.receivers(budget, layer, expert) {
                for step in self.steps(budget, layer, slots, (expert, from, to)) {
                    let gain = self.gain(&step) / step.loads() as f64;
                    if gain > best_gain {
                        best_gain = gain;
                        best = Some(step);
                    }
                }
            }
        }
        best
    }

    /// Returns the ways in which the rank `from` can share an expert with `to` or give it away.
    fn steps(
        &self,
        budget: &LoadBudget,
        layer: usize,
        slots: usize,
        (expert, from, to): (usize, usize, usize),
    ) -> Vec<ReliefStep> {
        let shared = ReliefStep {
            expert,
            from,
            to,
            is_move: false,
            dropped: None,
            is_swap: false,
        };
        let moved = ReliefStep {
            is_move: true,
            ..shared
        };
        if self.held[to].len() < slots {
            return vec![shared, moved];
        }
        let mut steps = Vec::new();
        for dropped in &self.held[to] {
            let dropped_at = Some(*dropped);
            if self.holders[*dropped].len() > 1 {
                for step in [shared, moved] {
                    steps.push(ReliefStep {
                        dropped: dropped_at,
                        ..step
                    });
                }
            } else if budget.allows(from, layer, *dropped) {
                steps.push(ReliefStep {
                    dropped: dropped_at,
                    is_swap: true,
                    ..moved
                });
            }
        }
        steps
    }
}

/// Tracks the experts that each rank has to load, and enforces the bounds on them.
struct LoadBudget {
    /// Pairs of layer and expert, by rank.
    loads: Vec<BTreeSet<(usize, usize)>>,
    bounds: ChangeBounds,
}

impl LoadBudget {
    fn new(ranks: usize, bounds: ChangeBounds) -> Self {
        Self {
            loads: vec![BTreeSet::new(); ranks],
            bounds,
        }
    }

    /// Returns whether a rank may load an expert. An expert that the rank drops and loads again
    /// counts once.
    fn allows(&self, rank: usize, layer: usize, expert: usize) -> bool {
        let loads = &self.loads[rank];
        let of_layer = loads.range((layer, 0)..(layer + 1, 0)).count();
        loads.contains(&(layer, expert))
            || (loads.len() < self.bounds.loads_per_rank && of_layer < self.bounds.loads_per_layer)
    }

    /// Records the experts that the ranks have to load for a step.
    fn record(&mut self, layer: usize, step: &ReliefStep) {
        self.loads[step.to].insert((layer, step.expert));
        if let Some(dropped) = step.dropped.filter(|_| step.is_swap) {
            self.loads[step.from].insert((layer, dropped));
        }
    }
}

/// Plans a small change of a map within bounds. `weights` contains the speed of each rank, which is
/// above 0; a rank of weight 0.5 takes twice as long for a token as one of weight 1. Returns the
/// new map, with the version of the current one, or `None` if no step helps.
///
/// # Errors
///
/// Fails if the current map is not valid.
pub fn plan_small_change(
    shape: &GroupShape,
    map: &ExpertMap,
    counts: &ExpertCounts,
    weights: &[f64],
    bounds: &ChangeBounds,
) -> Result<Option<ExpertMap>> {
    let mut drafts: Vec<_> = (0..map.layers())
        .map(|layer| LayerDraft::new(map, counts, layer, weights))
        .collect();
    let mut budget = LoadBudget::new(shape.ranks, *bounds);
    let mut excesses: Vec<_> = drafts.iter().map(LayerDraft::excess).collect();
    let mut steps = 0;
    // The layer with the largest excess goes first, so that the few experts that a rank may load
    // are spent where they shorten the pass most.
    while let Some(layer) = worst_layer(&excesses, bounds.tolerated_excess) {
        let draft = &mut drafts[layer];
        let Some(step) = draft.best_step(&budget, layer, shape.slots) else {
            excesses[layer] = 0.0;
            continue;
        };
        draft.apply(&step);
        budget.record(layer, &step);
        excesses[layer] = draft.excess();
        steps += 1;
    }
    if steps == 0 {
        return Ok(None);
    }
    let layers: Vec<_> = drafts.into_iter().map(|draft| draft.holders).collect();
    ExpertMap::from_layers(map.version(), &layers).map(Some)
}

/// Returns the layer with the largest excess, if it is above `tolerated`.
fn worst_layer(excesses: &[f64], tolerated: f64) -> Option<usize> {
    let layers = excesses.iter().enumerate();
    let worst = layers.max_by(|(_, left), (_, right)| left.total_cmp(right));
    let (layer, excess) = worst?;
    (*excess > tolerated).then_some(layer)
}
