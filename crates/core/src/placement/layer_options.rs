//! Plans for single layers, their costs and benefits, and the choice among them.

use super::{
    GroupShape, LayerPlan, PlacementPolicy, RankNumber,
    decision::{LOADING_SLOWDOWN, PlacementInput},
    greedy, improve,
};

/// Largest share of the horizon that one change may spend on loading experts. The layers with the
/// largest benefit come first, so that a large change of the map takes effect in several parts.
/// After a sudden switch of the request mix, the 99th percentile of the skew is 1.96 with a share
/// of 0.03 and 2.17 with 0.1 (`docs/BALANCE.md`).
const MAX_LOADING_SHARE: f64 = 0.03;
/// New placement of one layer, with its benefit and cost.
pub(super) struct LayerOption {
    pub(super) layer: usize,
    pub(super) replicas: Vec<Vec<RankNumber>>,
    /// Number of experts that have to be loaded.
    pub(super) loads: usize,
    /// Load that the hottest rank of the layer loses, in tokens by weight.
    pub(super) saved: f64,
    /// Weighted benefit minus the weighted cost, in seconds.
    pub(super) net: f64,
    /// Whether the current placement of the layer has replicas on lost ranks.
    pub(super) required: bool,
}

/// Rates that convert saved tokens and loaded experts to seconds of the group.
pub(super) struct CostRates {
    /// Seconds saved over the horizon for each token less on the hottest rank of a layer.
    pub(super) per_token: f64,
    /// Seconds that it takes to load one expert.
    pub(super) per_load: f64,
    /// Weight of saved step time against loading time, from 0 to 1.
    pub(super) skew_weight: f64,
}

impl CostRates {
    /// Returns the net benefit, in seconds, of `tokens` less on the hottest rank for `loads`
    /// experts that have to be loaded.
    fn net(&self, tokens: f64, loads: usize) -> f64 {
        let moving = self.per_load * loads as f64;
        let saved = self.per_token * tokens - LOADING_SLOWDOWN * moving;
        self.skew_weight * saved - (1.0 - self.skew_weight) * moving
    }
}

/// Plans all layers that are worth a change. While the map has replicas on lost ranks, the group
/// cannot execute a step; then only the layers concerned are planned, and only what the group needs
/// to continue is loaded.
pub(super) fn plan_layers(
    input: &PlacementInput<'_>,
    policy: &PlacementPolicy,
    rates: &CostRates,
) -> Vec<LayerOption> {
    let layers = 0..input.map.layers();
    let lost: Vec<LayerOption> = layers
        .clone()
        .filter_map(|layer| drop_lost_ranks(input, layer))
        .collect();
    if !lost.is_empty() || !policy.enabled {
        return lost;
    }
    layers
        .filter_map(|layer| plan_layer(input, rates, layer))
        .collect()
}

/// Plans a layer without its replicas on lost ranks; `None` if it has no such replicas.
fn drop_lost_ranks(input: &PlacementInput<'_>, layer: usize) -> Option<LayerOption> {
    let replicas = input.map.layer(layer);
    let lost = |rank: &RankNumber| input.weights[usize::from(*rank)] <= 0.0;
    if !replicas.iter().flatten().any(lost) {
        return None;
    }
    let plan = LayerPlan::new(input.counts.layer(layer), input.weights, input.shape.slots);
    let mut plan = plan.with_replicas(&replicas);
    replace_lost(&mut plan);
    let planned = plan.into_replicas();
    Some(LayerOption {
        layer,
        loads: count_loads(&replicas, &planned),
        replicas: planned,
        saved: 0.0,
        net: 0.0,
        required: true,
    })
}

/// Plans one layer in two ways, by single moves and by a complete new placement, and returns the
/// better plan; `None` if neither has a benefit. A layer whose hottest rank is slow gets no
/// complete new placement, since the cause is the rank.
fn plan_layer(input: &PlacementInput<'_>, rates: &CostRates, layer: usize) -> Option<LayerOption> {
    let tokens = input.counts.layer(layer);
    let slots = input.shape.slots;
    let replicas = input.map.layer(layer);
    let empty = LayerPlan::new(tokens, input.weights, slots);
    let current = empty.clone().with_replicas(&replicas);
    let (hottest, before) = current.hottest();
    let by_moves = plan_moves(current.clone(), rates, before);
    let rebuilt = greedy::place_layer(empty, slots, Some(&current));
    let saved = before - rebuilt.hottest().1;
    let complete = (0..rebuilt.experts()).all(|expert| !rebuilt.holders(expert).is_empty());
    let allowed = complete && !current.is_slow(hottest);
    let rebuilt = rebuilt.into_replicas();
    let net = rates.net(saved, count_loads(&replicas, &rebuilt));
    let (planned, saved, net) = match by_moves {
        Some(moved) if moved.2 >= net || !allowed => moved,
        _ if allowed && net > 0.0 => (rebuilt, saved, net),
        _ => return None,
    };
    Some(LayerOption {
        layer,
        loads: count_loads(&replicas, &planned),
        replicas: planned,
        saved,
        net,
        required: false,
    })
}

/// Improves a layer by moves up to the point with the largest net benefit. At most as many moves as
/// ranks are tried: for a layer that is further from balance, a complete new placement is better.
/// Returns the replicas, the saved tokens and the net benefit; `None` if no move has a benefit.
fn plan_moves(
    mut plan: LayerPlan<'_>,
    rates: &CostRates,
    before: f64,
) -> Option<(Vec<Vec<RankNumber>>, f64, f64)> {
    let start = plan.clone();
    let steps = improve::improve_layer(&mut plan, start.ranks());
    let nets = steps
        .iter()
        .map(|step| rates.net(before - step.slowest, step.expert_loads));
    let (best, net) = nets
        .enumerate()
        .max_by(|left, right| left.1.total_cmp(&right.1))?;
    if net <= 0.0 {
        return None;
    }
    let mut plan = start;
    for step in &steps[..=best] {
        step.layer_move.apply(&mut plan);
    }
    Some((plan.into_replicas(), before - steps[best].slowest, net))
}

/// Adds every expert without a live replica to the rank with the lowest load among those that have
/// a free slot or hold an expert with several replicas, one of which they can drop.
fn replace_lost(plan: &mut LayerPlan<'_>) {
    let mut lost: Vec<usize> = (0..plan.experts())
        .filter(|expert| plan.holders(*expert).is_empty())
        .collect();
    lost.sort_by(|left, right| plan.tokens(*right).total_cmp(&plan.tokens(*left)));
    for expert in &lost {
        let spare = |plan: &LayerPlan<'_>, rank: usize| {
            let held = plan.held(rank).iter().copied().map(usize::from);
            let replicated = held.filter(|held| plan.holders(*held).len() > 1);
            replicated.min_by(|left, right| plan.share(*left).total_cmp(&plan.share(*right)))
        };
        let ranks = 0..plan.ranks();
        let ranks = ranks.filter(|rank| {
            plan.is_live(*rank) && (plan.has_room(*rank) || spare(plan, *rank).is_some())
        });
        let Some(rank) = ranks.min_by(|left, right| plan.load(*left).total_cmp(&plan.load(*right)))
        else {
            continue;
        };
        if !plan.has_room(rank)
            && let Some(dropped) = spare(plan, rank)
        {
            plan.remove(dropped, rank);
        }
        plan.add(*expert, rank);
    }
}

/// Chooses the layers with the largest net benefit per loaded expert, up to the number of experts
/// that the weight store can provide in `MAX_LOADING_SHARE` of the horizon. Layers with replicas on
/// lost ranks are always chosen.
pub(super) fn choose_layers(
    mut options: Vec<LayerOption>,
    shape: &GroupShape,
    policy: &PlacementPolicy,
) -> Vec<LayerOption> {
    let value = |option: &LayerOption| option.net / option.loads.max(1) as f64;
    options.sort_by(|left, right| {
        let required = right.required.cmp(&left.required);
        required.then_with(|| value(right).total_cmp(&value(left)))
    });
    let max_loads = MAX_LOADING_SHARE * policy.horizon.as_secs_f64() / shape.loading_seconds(1);
    let mut loads = 0.0;
    options.retain(|option| {
        let fits = option.required || loads + option.loads as f64 <= max_loads;
        loads += if fits { option.loads as f64 } else { 0.0 };
        fits
    });
    options
}

/// Returns the number of experts that ranks have to load to change a layer from `old` to `new`.
fn count_loads(old: &[Vec<RankNumber>], new: &[Vec<RankNumber>]) -> usize {
    let added = old.iter().zip(new).map(|(old, new)| {
        let added = new.iter().filter(|rank| !old.contains(rank));
        added.count()
    });
    added.sum()
}
