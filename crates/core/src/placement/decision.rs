//! Decision whether a group gets a new map: step time saved over the horizon against the bytes
//! and the capacity that moving costs.

use {
    super::{
        ExpertCounts, ExpertMap, GroupShape, LayerPlan, PlacementPolicy, RankNumber, greedy,
        improve, step_bound, step_load,
    },
    serde::Serialize,
    std::fmt,
};

/// Part of the horizon that one change may spend on loading experts. The layers with the largest
/// benefit come first, so that a large reshuffle takes effect in several changes: after a sudden
/// switch of the mix the 99th percentile of the skew is 1.96 with 0.03 and 2.17 with 0.1
/// (`docs/BALANCE.md`).
const MOVING_SHARE: f64 = 0.03;
/// Part of a group's capacity that loading experts takes away while it lasts.
pub const LOADING_SLOWDOWN: f64 = 0.05;

/// What was decided, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementVerdict {
    /// `placement.mode` is off.
    Off,
    /// No move saves more than it costs.
    NoGain,
    /// The improvement is below `placement.hysteresis`.
    BelowHysteresis,
    /// Experts move away from ranks that are hot.
    MoveHotExperts,
    /// Experts move away from a slow rank.
    RelieveSlowRank,
    /// Ranks were lost: their replicas are dropped, and experts without another one are loaded.
    ReplaceLostExperts,
}

impl PlacementVerdict {
    /// Returns the name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::BelowHysteresis => "below_hysteresis",
            Self::MoveHotExperts => "move_hot_experts",
            Self::NoGain => "no_gain",
            Self::Off => "off",
            Self::RelieveSlowRank => "relieve_slow_rank",
            Self::ReplaceLostExperts => "replace_lost_experts",
        }
    }
}

impl fmt::Display for PlacementVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Figures of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PlacementFigures {
    /// Slowest rank's step time over the mean with the current map.
    pub skew_before: f64,
    /// The same with the planned map.
    pub skew_after: f64,
    /// Lowest value that any placement could reach.
    pub skew_bound: f64,
    /// Share of the step time that the planned map saves.
    pub improvement: f64,
    /// Share that all worthwhile moves would save, without the bound on the bytes.
    pub possible_improvement: f64,
    /// Layers that change.
    pub layers_changed: usize,
    /// Experts that have to be loaded.
    pub experts_loaded: usize,
    /// Bytes that have to be loaded.
    pub bytes: u64,
    /// Time to load them at the weight store's rate, in seconds.
    pub moving_seconds: f64,
    /// Step time saved over the horizon, in seconds, without what loading takes away.
    pub saved_seconds: f64,
    /// Saved seconds by `placement.skew_weight`.
    pub weighted_benefit: f64,
    /// Moving seconds by the rest of the weight.
    pub weighted_cost: f64,
}

/// Decision with its explanation.
#[derive(Clone, Debug)]
pub struct PlacementDecision {
    /// New map, if the group should get one; it has the version of the current one.
    pub map: Option<ExpertMap>,
    /// What was decided.
    pub verdict: PlacementVerdict,
    /// Figures.
    pub figures: PlacementFigures,
    /// Defaults and exceptions that were used.
    pub sources: Vec<String>,
}

/// What a decision starts from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Group.
    pub shape: &'a GroupShape,
    /// Map in use.
    pub map: &'a ExpertMap,
    /// Tokens of the experts.
    pub counts: &'a ExpertCounts,
    /// Weight of each rank.
    pub weights: &'a [f64],
}

/// Plan for one layer.
struct LayerOption {
    layer: usize,
    replicas: Vec<Vec<RankNumber>>,
    loads: usize,
    /// Tokens that the hottest rank loses.
    saved: f64,
    /// Weighted benefit without the weighted cost.
    net: f64,
    /// Whether the layer would otherwise have replicas on lost ranks.
    required: bool,
}

/// Prices of a decision, in seconds of the group.
struct Prices {
    /// Saved seconds for each token less on the hottest rank of a layer.
    per_token: f64,
    /// Seconds of loading one expert.
    per_load: f64,
    skew_weight: f64,
}

impl Prices {
    fn net(&self, tokens: f64, loads: usize) -> f64 {
        let moving = self.per_load * loads as f64;
        let saved = self.per_token * tokens - LOADING_SLOWDOWN * moving;
        self.skew_weight * saved - (1.0 - self.skew_weight) * moving
    }
}

/// Decides whether the group gets a new map.
pub fn decide_placement(input: &PlacementInput<'_>, policy: &PlacementPolicy) -> PlacementDecision {
    let before = step_load(input.map, input.counts, input.weights);
    let bound = step_bound(input.shape, input.counts, input.weights);
    let mut figures = PlacementFigures {
        skew_before: before.skew(),
        skew_after: before.skew(),
        skew_bound: bound.skew(),
        ..PlacementFigures::default()
    };
    let prices = Prices {
        per_token: policy.horizon.as_secs_f64() / before.slowest.max(f64::MIN_POSITIVE),
        per_load: input.shape.loading_seconds(1),
        skew_weight: policy.skew_weight,
    };
    let options = plan_layers(input, policy, &prices);
    let required = options.iter().any(|option| option.required);
    let saved: f64 = options.iter().map(|option| option.saved).sum();
    figures.possible_improvement = saved / before.slowest.max(f64::MIN_POSITIVE);
    let chosen = choose_layers(options, input.shape, policy);
    let planned = build_map(input.map, &chosen);
    if let Some(map) = &planned {
        let after = step_load(map, input.counts, input.weights);
        fill_figures(
            &mut figures,
            input,
            policy,
            map,
            (before.slowest, after.slowest),
        );
        figures.skew_after = after.skew();
        figures.layers_changed = chosen.len();
    }
    let verdict = judge(input, policy, &figures, planned.is_some(), required);
    let accepted = matches!(
        verdict,
        PlacementVerdict::MoveHotExperts
            | PlacementVerdict::RelieveSlowRank
            | PlacementVerdict::ReplaceLostExperts
    );
    PlacementDecision {
        map: planned.filter(|_| accepted),
        verdict,
        figures,
        sources: policy.sources.clone(),
    }
}

fn judge(
    input: &PlacementInput<'_>,
    policy: &PlacementPolicy,
    figures: &PlacementFigures,
    planned: bool,
    required: bool,
) -> PlacementVerdict {
    if required {
        return PlacementVerdict::ReplaceLostExperts;
    }
    if !policy.enabled {
        return PlacementVerdict::Off;
    }
    if !planned {
        return PlacementVerdict::NoGain;
    }
    if figures.possible_improvement < policy.hysteresis {
        return PlacementVerdict::BelowHysteresis;
    }
    if hottest_is_slow(input) {
        return PlacementVerdict::RelieveSlowRank;
    }
    PlacementVerdict::MoveHotExperts
}

/// Returns whether slow ranks are the hottest ones in most layers only because of their weight.
fn hottest_is_slow(input: &PlacementInput<'_>) -> bool {
    let layers = 0..input.map.layers();
    let slow = layers.filter(|layer| {
        let tokens = input.counts.layer(*layer);
        let plan = LayerPlan::new(tokens, input.weights, input.shape.slots);
        let (hottest, _) = plan.with_replicas(&input.map.layer(*layer)).hottest();
        input.weights[hottest] < 1.0
    });
    slow.count() * 2 > input.map.layers()
}

/// Plans the layers. While ranks are lost the group cannot step, so that nothing is loaded but what
/// it needs to go on.
fn plan_layers(
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
fn choose_layers(
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

fn build_map(current: &ExpertMap, chosen: &[LayerOption]) -> Option<ExpertMap> {
    if chosen.is_empty() {
        return None;
    }
    let layers = 0..current.layers();
    let mut layers: Vec<_> = layers.map(|layer| current.layer(layer)).collect();
    for option in chosen {
        layers[option.layer].clone_from(&option.replicas);
    }
    ExpertMap::from_layers(current.version(), &layers).ok()
}

fn fill_figures(
    figures: &mut PlacementFigures,
    input: &PlacementInput<'_>,
    policy: &PlacementPolicy,
    map: &ExpertMap,
    (before, after): (f64, f64),
) {
    let improvement = (before - after) / before.max(f64::MIN_POSITIVE);
    let loads = input.map.loads_to(map);
    let moving = input.shape.loading_seconds(loads);
    let saved = improvement * policy.horizon.as_secs_f64() - LOADING_SLOWDOWN * moving;
    figures.improvement = improvement;
    figures.experts_loaded = loads;
    figures.bytes = loads as u64 * input.shape.expert_bytes;
    figures.moving_seconds = moving;
    figures.saved_seconds = saved;
    figures.weighted_benefit = policy.skew_weight * saved;
    figures.weighted_cost = (1.0 - policy.skew_weight) * moving;
}

fn count_loads(old: &[Vec<RankNumber>], new: &[Vec<RankNumber>]) -> usize {
    let added = old.iter().zip(new).map(|(old, new)| {
        let added = new.iter().filter(|rank| !old.contains(rank));
        added.count()
    });
    added.sum()
}
