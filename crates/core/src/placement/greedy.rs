//! Greedy placement: chooses the numbers of replicas by load, then places the replicas in order of
//! falling load.

use {
    super::{ExpertCounts, ExpertMap, GroupShape, LayerPlan, RankNumber, improve},
    std::{cmp::Ordering, collections::BinaryHeap},
};

/// Extra load, as a share of the mean load of a rank, at which a replica still stays on a rank that
/// holds the expert already. This saves loading and costs at most this much skew.
const STAY_TOLERANCE: f64 = 0.05;

/// Places all experts without regard to what the ranks hold, and returns the map.
///
/// # Errors
///
/// Fails if the live ranks do not have room for every expert.
pub fn place_all(
    shape: &GroupShape,
    counts: &ExpertCounts,
    weights: &[f64],
    version: u64,
) -> super::expert_map::Result<ExpertMap> {
    let layers: Vec<Vec<Vec<RankNumber>>> = (0..shape.layers)
        .map(|layer| {
            let plan = LayerPlan::new(counts.layer(layer), weights, shape.slots);
            let mut plan = place_layer(plan, shape.slots, None);
            improve::improve_layer(&mut plan, 2 * shape.ranks);
            plan.into_replicas()
        })
        .collect();
    ExpertMap::from_layers(version, &layers)
}

/// Expert that may get another replica; the one with the largest share per replica goes first.
#[derive(Debug)]
struct ReplicaCandidate {
    share: f64,
    expert: usize,
    replicas: usize,
}

impl Ord for ReplicaCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let shares = self.share.total_cmp(&other.share);
        shares.then_with(|| other.expert.cmp(&self.expert))
    }
}

impl PartialOrd for ReplicaCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for ReplicaCandidate {}

impl PartialEq for ReplicaCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// Returns the number of replicas of each expert. Each spare slot of the live ranks goes to the
/// expert whose replicas have the largest share at that point.
pub fn count_replicas(plan: &LayerPlan<'_>, slots: usize) -> Vec<usize> {
    let live = (0..plan.ranks()).filter(|rank| plan.is_live(*rank)).count();
    let mut replicas = vec![1; plan.experts()];
    let mut spare = (live * slots).saturating_sub(plan.experts());
    let candidate = |expert, replicas| ReplicaCandidate {
        share: plan.share_of(expert, replicas),
        expert,
        replicas,
    };
    let mut queue: BinaryHeap<ReplicaCandidate> = (0..plan.experts())
        .map(|expert| candidate(expert, 1))
        .collect();
    while spare > 0 {
        let Some(hottest) = queue.pop() else {
            break;
        };
        if hottest.replicas >= live {
            continue;
        }
        replicas[hottest.expert] = hottest.replicas + 1;
        queue.push(candidate(hottest.expert, hottest.replicas + 1));
        spare -= 1;
    }
    replicas
}

/// Places the experts of a layer in order of falling share, each replica on the rank with the
/// lowest load. With `current`, a replica stays on a rank that holds the expert if the rank's load
/// is hardly higher. An expert for which no slot is left has no replica in the result.
pub fn place_layer<'a>(
    mut plan: LayerPlan<'a>,
    slots: usize,
    current: Option<&LayerPlan<'a>>,
) -> LayerPlan<'a> {
    let replicas = count_replicas(&plan, slots);
    let mut order: Vec<usize> = (0..plan.experts()).collect();
    let share = |expert: usize| plan.share_of(expert, replicas[expert]);
    order.sort_by(|left, right| share(*right).total_cmp(&share(*left)));
    let tolerance = STAY_TOLERANCE * plan.mean();
    let mut placed = PlacedShares::new(&plan);
    // An expert with several replicas has a large share and is placed early, while enough ranks
    // have free slots for them.
    for (position, expert) in order.iter().copied().enumerate() {
        let share = plan.share_of(expert, replicas[expert]);
        let reserved = order.len() - position - 1;
        for copy in 0..replicas[expert] {
            if copy > 0 && placed.total_free <= reserved {
                break;
            }
            let Some(rank) = placed.choose_rank(&plan, expert, share, tolerance, current) else {
                break;
            };
            placed.add(expert, rank, share);
        }
    }
    for (expert, rank) in placed.replicas {
        plan.add(expert, rank);
    }
    plan
}

/// Loads of the ranks while replicas are placed. The shares are those for the final number of
/// replicas, which a `LayerPlan` knows only when all of them are placed.
struct PlacedShares {
    loads: Vec<f64>,
    /// Free slots of each rank; 0 for lost ranks.
    free_slots: Vec<usize>,
    total_free: usize,
    /// Placed replicas as pairs of expert and rank.
    replicas: Vec<(usize, usize)>,
}

impl PlacedShares {
    fn new(plan: &LayerPlan<'_>) -> Self {
        let free_slots = |rank| if plan.is_live(rank) { plan.slots() } else { 0 };
        let free_slots: Vec<usize> = (0..plan.ranks()).map(free_slots).collect();
        Self {
            loads: vec![0.0; plan.ranks()],
            total_free: free_slots.iter().sum(),
            free_slots,
            replicas: Vec::new(),
        }
    }

    /// Returns the rank for the next replica of an expert; `None` if every rank with a free slot
    /// holds the expert already. Replicas of one expert have to be added one after the other.
    fn choose_rank(
        &self,
        plan: &LayerPlan<'_>,
        expert: usize,
        share: f64,
        tolerance: f64,
        current: Option<&LayerPlan<'_>>,
    ) -> Option<usize> {
        let after = |rank: usize| (self.loads[rank] + share) * plan.inverse_weight(rank);
        let has_expert = |rank: usize| {
            let last = self.replicas.iter().rev();
            let mut same = last.take_while(|(other, _)| *other == expert);
            same.any(|(_, holder)| *holder == rank)
        };
        let mut best: Option<(usize, f64)> = None;
        for rank in 0..self.free_slots.len() {
            let load = after(rank);
            if best.is_some_and(|(_, best)| load >= best) || self.free_slots[rank] == 0 {
                continue;
            }
            if !has_expert(rank) {
                best = Some((rank, load));
            }
        }
        let (best, load) = best?;
        let holders = current.map_or(&[][..], |current| current.holders(expert));
        let stays = holders.iter().copied().map(usize::from).filter(|rank| {
            self.free_slots[*rank] > 0 && !has_expert(*rank) && after(*rank) <= load + tolerance
        });
        let stay = stays.min_by(|left, right| after(*left).total_cmp(&after(*right)));
        Some(stay.unwrap_or(best))
    }

    fn add(&mut self, expert: usize, rank: usize, share: f64) {
        self.loads[rank] += share;
        self.free_slots[rank] -= 1;
        self.total_free -= 1;
        self.replicas.push((expert, rank));
    }
}
