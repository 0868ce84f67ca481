//! Map changes that answer a sudden shift of the demand.
//!
//! Load pattern: within one second other experts of each layer draw a large part of all tokens. A
//! full placement would load many experts, and the demand would have shifted again before it is in
//! force. The time to load experts is that of the rank that loads most, so that a change in which
//! every rank loads a few takes no longer than one in which a single rank does.
//!
//! A local search relieves the hottest rank of the worst layer, one step at a time. Its objective
//! is a high power of the loads instead of their maximum: with several ranks that are equally hot,
//! relieving one of them does not lower the maximum, but is a step towards it. Replicating the
//! experts with the largest share on the ranks with the least load follows the expert parallelism
//! load balancer of DeepSeek-V3 (arXiv:2412.19437, section 3.4); the bounds on loads and the
//! search from the map in use are ours.

use {
    super::{ExpertCounts, ExpertMap, GroupShape, RankNumber, expert_map::Result, layer_loads},
    std::collections::BTreeSet,
};

/// Least fall of the objective for one load, as a share of what the hottest rank adds to it.
const LEAST_GAIN: f64 = 0.05;

/// Ranks with the least load that are tried as receivers of an expert.
const TRIED_RECEIVERS: usize = 8;

/// Bounds of a small change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeBounds {
    /// Experts that a rank loads at most, over all layers.
    pub loads_per_rank: usize,
    /// Experts that a rank loads at most in one layer.
    pub loads_per_layer: usize,
    /// Excess of the hottest rank of a layer over the mean, as a share of it, up to which the
    /// layer is left as it is.
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
    /// Expert that `to` gives up for it.
    dropped: Option<usize>,
    /// Whether `from` takes the dropped expert, which no other rank holds.
    is_swap: bool,
}

impl ReliefStep {
    const fn loads(&self) -> usize {
        if self.is_swap { 2 } else { 1 }
    }
}

/// Layer during the search.
struct LayerDraft<'a> {
    tokens: &'a [f64],
    holders: Vec<Vec<RankNumber>>,
    held: Vec<Vec<usize>>,
    loads: Vec<f64>,
    mean: f64,
    /// Loads that a step changes, by rank; kept to save allocations.
    changed: Vec<(usize, f64)>,
}

impl<'a> LayerDraft<'a> {
    fn new(map: &ExpertMap, counts: &'a ExpertCounts, layer: usize, ranks: usize) -> Self {
        let holders = map.layer(layer);
        let mut loads = vec![0.0; ranks];
        layer_loads(map, counts, layer, &mut loads);
        let mut held = vec![Vec::new(); ranks];
        for (expert, ranks) in holders.iter().enumerate() {
            for rank in ranks {
                held[usize::from(*rank)].push(expert);
            }
        }
        let mean = loads.iter().sum::<f64>() / ranks.max(1) as f64;
        Self {
            tokens: counts.layer(layer),
            holders,
            held,
            loads,
            mean,
            changed: Vec::new(),
        }
    }

    fn hottest(&self) -> usize {
        let loads = self.loads.iter().enumerate();
        let hottest = loads.max_by(|(_, left), (_, right)| left.total_cmp(right));
        hottest.map_or(0, |(rank, _)| rank)
    }

    /// Returns how much the hottest rank exceeds the mean, as a share of it.
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

    /// Returns the part of a load in the objective.
    fn cost(&self, load: f64) -> f64 {
        (load / self.mean).powi(8)
    }

    fn change(&mut self, rank: usize, difference: f64) {
        match self.changed.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += difference,
            None => self.changed.push((rank, difference)),
        }
    }

    /// Gathers the loads that a step changes.
    fn gather_changes(&mut self, step: &ReliefStep) {
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

    /// Returns by how much a step lowers the objective.
    fn gain(&mut self, step: &ReliefStep) -> f64 {
        self.gather_changes(step);
        let changed = self.changed.iter();
        let gains = changed.map(|(rank, difference)| {
            let load = self.loads[*rank];
            self.cost(load) - self.cost(load + difference)
        });
        gains.sum()
    }

    fn apply(&mut self, step: &ReliefStep) {
        self.gather_changes(step);
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

    /// Returns the ranks with the least load that may load an expert.
    fn receivers(&self, ledger: &LoadLedger, layer: usize, expert: usize) -> Vec<usize> {
        let ranks = 0..self.loads.len();
        let allowed =
            ranks.filter(|rank| ledger.allows(*rank, layer, expert) && !self.holds(*rank, expert));
        let mut receivers: Vec<_> = allowed.collect();
        receivers.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        receivers.truncate(TRIED_RECEIVERS);
        receivers
    }

    /// Finds the step that relieves the hottest rank best for the experts that it loads.
    fn best_step(&mut self, ledger: &LoadLedger, layer: usize, slots: usize) -> Option<ReliefStep> {
        let from = self.hottest();
        let mut best = None;
        let mut best_gain = LEAST_GAIN * self.cost(self.loads[from]);
        for expert in self.held[from].clone() {
            for to in self.receivers(ledger, layer, expert) {
                for step in self.steps(ledger, layer, slots, (expert, from, to)) {
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
        ledger: &LoadLedger,
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
            } else if ledger.allows(from, layer, *dropped) {
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

/// Experts that ranks have to load, by rank.
struct LoadLedger {
    loads: Vec<BTreeSet<(usize, usize)>>,
    bounds: ChangeBounds,
}

impl LoadLedger {
    fn new(ranks: usize, bounds: ChangeBounds) -> Self {
        Self {
            loads: vec![BTreeSet::new(); ranks],
            bounds,
        }
    }

    /// Returns whether a rank may load an expert. One that it drops and takes back is loaded once.
    fn allows(&self, rank: usize, layer: usize, expert: usize) -> bool {
        let loads = &self.loads[rank];
        let of_layer = loads.range((layer, 0)..(layer + 1, 0)).count();
        loads.contains(&(layer, expert))
            || (loads.len() < self.bounds.loads_per_rank && of_layer < self.bounds.loads_per_layer)
    }

    fn record(&mut self, layer: usize, step: &ReliefStep) {
        self.loads[step.to].insert((layer, step.expert));
        if let Some(dropped) = step.dropped.filter(|_| step.is_swap) {
            self.loads[step.from].insert((layer, dropped));
        }
    }
}

/// Plans a small change of the map; `None` if no step helps.
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
    let mut ledger = LoadLedger::new(shape.ranks, *bounds);
    let mut excesses: Vec<_> = drafts.iter().map(LayerDraft::excess).collect();
    let mut steps = 0;
    // The layer with the largest excess goes first, so that the loads of a rank go where they
    // shorten the pass most.
    while let Some(layer) = worst_layer(&excesses, bounds.tolerated_excess) {
        let draft = &mut drafts[layer];
        let Some(step) = draft.best_step(&ledger, layer, shape.slots) else {
            excesses[layer] = 0.0;
            continue;
        };
        draft.apply(&step);
        ledger.record(layer, &step);
        excesses[layer] = draft.excess();
        steps += 1;
    }
    if steps == 0 {
        return Ok(None);
    }
    let layers: Vec<_> = drafts.into_iter().map(|draft| draft.holders).collect();
    ExpertMap::from_layers(map.version(), &layers).map(Some)
}

/// Returns the layer with the largest excess, if it is worth a step.
fn worst_layer(excesses: &[f64], tolerated: f64) -> Option<usize> {
    let layers = excesses.iter().enumerate();
    let worst = layers.max_by(|(_, left), (_, right)| left.total_cmp(right));
    let (layer, excess) = worst?;
    (*excess > tolerated).then_some(layer)
}
