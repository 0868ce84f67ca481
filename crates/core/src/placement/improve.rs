//! Improvement of a layer by single moves that take load from its hottest rank.

use {super::LayerPlan, std::cmp::Ordering};

/// Receivers that are tried, times the ranks of the group. In groups of 32 ranks, 16 receivers cost
/// 2 to 3% less by the weighted figure than 4 do (`docs/BALANCE.md`); in groups of 256, more than 4
/// take too long.
const RECEIVERS_TIMES_RANKS: usize = 1_024;
/// Fewest and most ranks that are tried as receivers, from the coldest one on.
const RECEIVERS: (usize, usize) = (4, 16);
/// Least gain of a move, as a share of the mean rank load; smaller ones are noise of the counts.
const LEAST_GAIN: f64 = 0.002;

/// Move that takes load from a hot rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LayerMove {
    /// An expert goes from one rank to another.
    Move {
        /// Expert.
        expert: usize,
        /// Rank that gives it up.
        from: usize,
        /// Rank that loads it.
        to: usize,
    },
    /// Two ranks exchange experts.
    Swap {
        /// Expert of the hot rank.
        expert: usize,
        /// Hot rank.
        from: usize,
        /// Expert of the other rank.
        other: usize,
        /// Other rank.
        to: usize,
    },
    /// A rank loads another replica, and drops a replica of another expert if it is full.
    Replicate {
        /// Expert.
        expert: usize,
        /// Rank that loads it.
        to: usize,
        /// Expert that the rank drops.
        dropped: Option<usize>,
    },
}

impl LayerMove {
    /// Returns the number of experts that have to be loaded.
    pub fn loads(self) -> usize {
        match self {
            Self::Move { .. } | Self::Replicate { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }

    /// Carries the move out.
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

/// Layer after a number of moves.
#[derive(Clone, Copy, Debug)]
pub struct ImprovementStep {
    /// Move.
    pub made: LayerMove,
    /// Experts that all moves so far have to load.
    pub loads: usize,
    /// Load of the hottest rank after the move.
    pub slowest: f64,
}

/// Improves a layer until no move helps, and returns the moves. If a slow rank is the hottest, only
/// slow ranks are relieved: the fault lies there, and no expert is hot.
pub fn improve_layer(plan: &mut LayerPlan<'_>, most_moves: usize) -> Vec<ImprovementStep> {
    let mut steps: Vec<ImprovementStep> = Vec::new();
    let mut receivers = Vec::with_capacity(RECEIVERS.1 + 1);
    let mut hottest = plan.hottest();
    let relieves_slow = plan.is_slow(hottest.0);
    while steps.len() < most_moves && plan.is_slow(hottest.0) == relieves_slow {
        let Some(made) = best_move(plan, hottest, &mut receivers) else {
            break;
        };
        made.apply(plan);
        let loads = steps.last().map_or(0, |step| step.loads) + made.loads();
        hottest = plan.hottest();
        steps.push(ImprovementStep {
            made,
            loads,
            slowest: hottest.1,
        });
    }
    steps
}

/// Best candidate so far: the move and the load that it takes from the hottest rank for each
/// expert that it loads.
#[derive(Debug, Default)]
struct BestMove {
    least_gain: f64,
    found: Option<(LayerMove, f64)>,
}

impl BestMove {
    fn offer(&mut self, candidate: LayerMove, gain: f64) {
        let value = gain / candidate.loads() as f64;
        if gain > self.least_gain && self.found.is_none_or(|(_, best)| value > best) {
            self.found = Some((candidate, value));
        }
    }
}

fn best_move(
    plan: &LayerPlan<'_>,
    (hot, load): (usize, f64),
    receivers: &mut Vec<usize>,
) -> Option<LayerMove> {
    choose_receivers(plan, hot, receivers);
    let mut best = BestMove {
        least_gain: LEAST_GAIN * plan.mean(),
        found: None,
    };
    for expert in plan.held(hot).iter().copied().map(usize::from) {
        for to in receivers.iter().copied() {
            if plan.holds(to, expert) {
                continue;
            }
            if plan.has_room(to) {
                offer_move(plan, &mut best, (hot, load), expert, to);
                offer_replica(plan, &mut best, (hot, load), expert, to, None);
            }
            for other in plan.held(to).iter().copied().map(usize::from) {
                offer_swap(plan, &mut best, (hot, load), expert, to, other);
                offer_replica(plan, &mut best, (hot, load), expert, to, Some(other));
            }
        }
    }
    best.found.map(|(found, _)| found)
}

/// Chooses the coldest live ranks.
fn choose_receivers(plan: &LayerPlan<'_>, hot: usize, receivers: &mut Vec<usize>) {
    receivers.clear();
    let most = (RECEIVERS_TIMES_RANKS / plan.ranks().max(1)).clamp(RECEIVERS.0, RECEIVERS.1);
    for rank in (0..plan.ranks()).filter(|rank| *rank != hot && plan.is_live(*rank)) {
        let load = plan.load(rank);
        let full = receivers.len() == most;
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
        receivers.truncate(most);
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
    let made = LayerMove::Swap {
        expert,
        from,
        other,
        to,
    };
    best.offer(made, load - after);
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
        // Dropping an expert of the hot rank elsewhere would load the hot rank more.
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
    let made = LayerMove::Replicate {
        expert,
        to,
        dropped,
    };
    best.offer(made, load - after);
}
