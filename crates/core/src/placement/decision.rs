//! Decision whether a group gets a new map: step time saved over the horizon against the bytes
//! and the capacity that moving costs.

use {
    super::{
        ExpertCounts, ExpertMap, GroupShape, LayerPlan, PlacementPolicy,
        layer_options::{LayerOption, Prices, choose_layers, plan_layers},
        step_bound, step_load,
    },
    serde::Serialize,
    std::fmt,
};

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
