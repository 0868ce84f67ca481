//! Plans of single layers, their prices, and the choice among them.

use super::{
    GroupShape, LayerPlan, PlacementPolicy, RankNumber,
    decision::{LOADING_SLOWDOWN, PlacementInput},
    greedy, improve,
};

/// Part of the horizon that one change may spend on loading experts. The layers with the largest
/// benefit come first, so that a large reshuffle takes effect in several changes: after a sudden
/// switch of the mix the 99th percentile of the skew is 1.96 with 0.03 and 2.17 with 0.1
/// (`docs/BALANCE.md`).
const MOVING_SHARE: f64 = 0.03;
/// Plan for one layer.
pub(super) struct LayerOption {
    pub(super) layer: usize,
    pub(super) replicas: Vec<Vec<RankNumber>>,
    pub(super) loads: usize,
    /// Tokens that the hottest rank loses.
    pub(super) saved: f64,
    /// Weighted benefit without the weighted cost.
    pub(super) net: f64,
    /// Whether the layer would otherwise have replicas on lost ranks.
    pub(super) required: bool,
}

/// Prices of a decision, in seconds of the group.
pub(super) struct Prices {
    /// Saved seconds for each token less on the hottest rank of a layer.
    pub(super) per_token: f64,
    /// Seconds of loading one expert.
    pub(super) per_load: f64,
    pub(super) skew_weight: f64,
}

impl Prices {
    fn net(&self, tokens: f64, loads: usize) -> f64 {
        let moving = self.per_load * loads as f64;
        let saved = self.per_token * tokens - LOADING_SLOWDOWN * moving;
        self.skew_weight * saved - (1.0 - self.skew_weight) * moving
    }
}

/// Plans the layers. While ranks are lost the group cannot step, so that nothing is loaded but what
/// it needs to go on.
pub(super) fn plan_layers(
    input: &PlacementInput<'_>,
    policy: &PlacementPolicy,
    prices: &Prices,
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
        .filter_map(|layer| plan_layer(input, prices, layer))
        .collect()
}

/// Drops the replicas on lost ranks; `None` if there are none.
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

/// Plans one layer twice, by moves and by a new placement, and keeps the better plan. A layer whose
/// hottest rank is only slow is not placed anew.
fn plan_layer(input: &PlacementInput<'_>, prices: &Prices, layer: usize) -> Option<LayerOption> {
    let tokens = input.counts.layer(layer);
    let slots = input.shape.slots;
    let replicas = input.map.layer(layer);
    let empty = LayerPlan::new(tokens, input.weights, slots);
    let current = empty.clone().with_replicas(&replicas);
    let (hottest, before) = current.hottest();
    let by_moves = plan_moves(current.clone(), prices, before);
    let rebuilt = greedy::place_layer(empty, slots, Some(&current));
    let saved = before - rebuilt.hottest().1;
    let complete = (0..rebuilt.experts()).all(|expert| !rebuilt.holders(expert).is_empty());
    let allowed = complete && !current.is_slow(hottest);
    let rebuilt = rebuilt.into_replicas();
    let net = prices.net(saved, count_loads(&replicas, &rebuilt));
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

/// Improves a layer by moves up to the point at which they save most. More moves than ranks are
/// not tried: a layer that is so far from balance is better placed anew. Returns the replicas, the
/// saved tokens and the net benefit.
fn plan_moves(
    mut plan: LayerPlan<'_>,
    prices: &Prices,
    before: f64,
) -> Option<(Vec<Vec<RankNumber>>, f64, f64)> {
    let start = plan.clone();
    let steps = improve::improve_layer(&mut plan, start.ranks());
    let nets = steps
        .iter()
        .map(|step| prices.net(before - step.slowest, step.loads));
    let (best, net) = nets
        .enumerate()
        .max_by(|left, right| left.1.total_cmp(&right.1))?;
    if net <= 0.0 {
        return None;
    }
    let mut plan = start;
    for step in &steps[..=best] {
        step.made.apply(&mut plan);
    }
    Some((plan.into_replicas(), before - steps[best].slowest, net))
}

/// Gives every expert without a live replica to the coldest rank that has room or can drop a
/// replica of another expert.
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

/// Takes the layers with the largest net benefit for each loaded expert, up to the bytes that the
/// weight store provides in the allowed time. Layers with lost experts are always taken.
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
    let most = MOVING_SHARE * policy.horizon.as_secs_f64() / shape.loading_seconds(1);
    let mut loads = 0.0;
    options.retain(|option| {
        let fits = option.required || loads + option.loads as f64 <= most;
        loads += if fits { option.loads as f64 } else { 0.0 };
        fits
    });
    options
}

fn count_loads(old: &[Vec<RankNumber>], new: &[Vec<RankNumber>]) -> usize {
    let added = old.iter().zip(new).map(|(old, new)| {
        let added = new.iter().filter(|rank| !old.contains(rank));
        added.count()
    });
    added.sum()
}
