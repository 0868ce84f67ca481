//! Local search that improves a layer by single moves, each of which takes load from its hottest
//! rank.

use {super::LayerPlan, std::cmp::Ordering};

/// Number of receiving ranks that are tried, times the number of ranks of the group. In groups of
/// 32 ranks, the weighted cost is 2 to 3% lower with 16 receivers than with 4 (`docs/BALANCE.md`);
/// in groups of 256, more than 4 take too long.
const RECEIVER_BUDGET: usize = 1_024;
/// Smallest and largest number of receiving ranks that are tried, in order of rising load.
const RECEIVER_RANGE: (usize, usize) = (4, 16);
/// Smallest gain of a move, as a share of the mean load of a rank. Smaller gains are noise in the
/// counts.
const MIN_GAIN: f64 = 0.002;

/// Change of a layer that takes load from its hottest rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LayerMove {
    /// An expert is moved from one rank to another.
    Move {
        /// Expert that is moved.
        expert: usize,
        /// Rank that drops the expert.
        from: usize,
        /// Rank that loads the expert.
        to: usize,
    },
    /// Two ranks exchange experts.
    Swap {
        /// Expert that the hottest rank gives away.
        expert: usize,
        /// Hottest rank.
        from: usize,
        /// Expert that the other rank gives away.
        other: usize,
        /// Rank with which the hottest one exchanges experts.
        to: usize,
    },
    /// A rank loads another replica of an expert, and drops a replica of a different expert if it
    /// has no free slot.
    Replicate {
        /// Expert that gets another replica.
        expert: usize,
        /// Rank that loads the replica.
        to: usize,
        /// Expert whose replica the rank drops.
        dropped: Option<usize>,
    },
}

impl LayerMove {
    /// Returns the number of experts that ranks have to load for the move.
    pub fn expert_loads(self) -> usize {
        match self {
            Self::Move { .. } | Self::Replicate { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }

    /// Applies the move to a plan.
    pub fn apply(self, plan: &mut LayerPlan<'_>) {
        match self {
            Self::Move { expert, from, to } => {
                plan.remove(expert, from);
                plan.add(expert, to);
            }
            Self::Swap {
                expert,
                from,
                other,
                to,
            } => {
                plan.remove(expert, from);
                plan.remove(other, to);
                plan.add(expert, to);
                plan.add(other, from);
            }
            Self::Replicate {
                expert,
                to,
                dropped,
            } => {
                if let Some(dropped) = dropped {
                    plan.remove(dropped, to);
                }
                plan.add(expert, to);
            }
        }
    }
}

/// Move of the search, with the state of the layer after it.
#[derive(Clone, Copy, Debug)]
pub struct ImprovementStep {
    /// Move that was made.
    pub layer_move: LayerMove,
    /// Number of experts that have to be loaded for this and all earlier moves.
    pub expert_loads: usize,
    /// Load of the hottest rank after the move, by weight.
    pub slowest: f64,
}

/// Improves a layer until no move helps or `max_moves` are made, and returns the moves. If a slow
/// rank is the hottest one, only slow ranks are relieved: the cause is the rank, not a hot expert.
pub fn improve_layer(plan: &mut LayerPlan<'_>, max_moves: usize) -> Vec<ImprovementStep> {
    let mut steps: Vec<ImprovementStep> = Vec::new();
    let mut receivers = Vec::with_capacity(RECEIVER_RANGE.1 + 1);
    let mut hottest = plan.hottest();
    let relieves_slow = plan.is_slow(hottest.0);
    while steps.len() < max_moves && plan.is_slow(hottest.0) == relieves_slow {
        let Some(layer_move) = best_move(plan, hottest, &mut receivers) else {
            break;
        };
        layer_move.apply(plan);
        let expert_loads =
            steps.last().map_or(0, |step| step.expert_loads) + layer_move.expert_loads();
        hottest = plan.hottest();
        steps.push(ImprovementStep {
            layer_move,
            expert_loads,
            slowest: hottest.1,
        });
    }
    steps
}

/// Best move found so far, with the load that it takes from the hottest rank for each expert that
/// has to be loaded.
#[derive(Debug, Default)]
struct BestMove {
    min_gain: f64,
    found: Option<(LayerMove, f64)>,
}

impl BestMove {
    /// Keeps the candidate if it gains enough and is better than the best move so far.
    fn offer(&mut self, candidate: LayerMove, gain: f64) {
        let value = gain / candidate.expert_loads() as f64;
        if gain > self.min_gain && self.found.is_none_or(|(_, best)| value > best) {
            self.found = Some((candidate, value));
        }
    }
}

/// Finds the best move that takes load from the rank `hot_rank`, whose load is `load`.
fn best_move(
    plan: &LayerPlan<'_>,
    (hot_rank, load): (usize, f64),
    receivers: &mut Vec<usize>,
) -> Option<LayerMove> {
    choose_receivers(plan, hot_rank, receivers);
    let mut best = BestMove {
        min_gain: MIN_GAIN * plan.mean(),
        found: None,
    };
    for expert in plan.held(hot_rank).iter().copied().map(usize::from) {
        for to in receivers.iter().copied() {
            if plan.holds(to, expert) {
                continue;
            }
            if plan.has_room(to) {
                offer_move(plan, &mut best, (hot_rank, load), expert, to);
                offer_replica(plan, &mut best, (hot_rank, load), expert, to, None);
            }
            for other in plan.held(to).iter().copied().map(usize::from) {
                offer_swap(plan, &mut best, (hot_rank, load), expert, to, other);
                offer_replica(plan, &mut best, (hot_rank, load), expert, to, Some(other));
            }
        }
    }
    best.found.map(|(found, _)| found)
}

/// Puts the live ranks with the lowest loads into `receivers`, in order of rising load.
fn choose_receivers(plan: &LayerPlan<'_>, hot_rank: usize, receivers: &mut Vec<usize>) {
    receivers.clear();
    let max_receivers =
        (RECEIVER_BUDGET / plan.ranks().max(1)).clamp(RECEIVER_RANGE.0, RECEIVER_RANGE.1);
    for rank in (0..plan.ranks()).filter(|rank| *rank != hot_rank && plan.is_live(*rank)) {
        let load = plan.load(rank);
        let full = receivers.len() == max_receivers;
        if full
            && receivers
                .last()
                .is_some_and(|last| plan.load(*last) <= load)
        {
            continue;
        }
        let position = receivers
            .partition_point(|other| plan.load(*other).total_cmp(&load) != Ordering::Greater);
        receivers.insert(position, rank);
        receivers.truncate(max_receivers);
    }
}

fn offer_move(
    plan: &LayerPlan<'_>,
    best: &mut BestMove,
    (from, load): (usize, f64),
    expert: usize,
    to: usize,
) {
    let share = plan.share(expert);
    let after = plan
        .load_after(from, -share)
        .max(plan.load_after(to, share));
    best.offer(LayerMove::Move { expert, from, to }, load - after);
}

fn offer_swap(
    plan: &LayerPlan<'_>,
    best: &mut BestMove,
    (from, load): (usize, f64),
    expert: usize,
    to: usize,
    other: usize,
) {
    if plan.holds(from, other) {
        return;
    }
    let change = plan.share(expert) - plan.share(other);
    let after = plan
        .load_after(from, -change)
        .max(plan.load_after(to, change));
    let layer_move = LayerMove::Swap {
        expert,
        from,
        other,
        to,
    };
    best.offer(layer_move, load - after);
}

fn offer_replica(
    plan: &LayerPlan<'_>,
    best: &mut BestMove,
    (from, load): (usize, f64),
    expert: usize,
    to: usize,
    dropped: Option<usize>,
) {
    let share = plan.share_of(expert, plan.holders(expert).len() + 1);
    let mut received = share;
    let mut after = plan.load_after(from, share - plan.share(expert));
    if let Some(dropped) = dropped {
        let replicas = plan.holders(dropped).len();
        // Dropping a replica of an expert that the hot rank holds too would raise the hot rank's
        // load.
        if replicas < 2 || plan.holds(from, dropped) {
            return;
        }
        received -= plan.share(dropped);
        let rise = plan.share_of(dropped, replicas - 1) - plan.share(dropped);
        let others = plan.holders(dropped).iter().copied().map(usize::from);
        let others = others.filter(|rank| *rank != to);
        after = others.fold(after, |after, rank| after.max(plan.load_after(rank, rise)));
    }
    after = after.max(plan.load_after(to, received));
    let layer_move = LayerMove::Replicate {
        expert,
        to,
        dropped,
    };
    best.offer(layer_move, load - after);
}
