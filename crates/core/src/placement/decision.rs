//! Decision whether a group gets a new map. It weighs the step time that the map saves over the
//! horizon against the bytes that have to be loaded and the capacity lost meanwhile.

use {
    super::{
        ExpertCounts, ExpertMap, GroupShape, LayerPlan, PlacementPolicy,
        layer_options::{CostRates, LayerOption, choose_layers, plan_layers},
        step_bound, step_load,
    },
    serde::Serialize,
    std::fmt,
};

/// Share of a group's capacity that is lost while experts are loaded.
pub const LOADING_SLOWDOWN: f64 = 0.05;

/// What was decided, with the reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementVerdict {
    /// Maps are not changed to save time, since `placement.mode` is off.
    Off,
    /// No change of the map saves more than it costs.
    NoGain,
    /// The possible improvement is below `placement.hysteresis`.
    BelowHysteresis,
    /// Experts move away from ranks that are hot.
    MoveHotExperts,
    /// Experts move away from a slow rank.
    RelieveSlowRank,
    /// Ranks were lost: their replicas are dropped, and experts without another replica are loaded
    /// elsewhere.
    ReplaceLostExperts,
}

impl PlacementVerdict {
    /// Returns the name that log lines use.
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

/// Figures that explain a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PlacementFigures {
    /// Load of the hottest rank over the mean, with the current map.
    pub skew_before: f64,
    /// Load of the hottest rank over the mean, with the planned map.
    pub skew_after: f64,
    /// Lower bound on the skew of any placement.
    pub skew_bound: f64,
    /// Share of the step time that the planned map saves; 1 is all of it.
    pub improvement: f64,
    /// Share of the step time that could be saved without the bound on the bytes of one change.
    pub possible_improvement: f64,
    /// Number of layers that change.
    pub layers_changed: usize,
    /// Number of experts that have to be loaded.
    pub experts_loaded: usize,
    /// Number of bytes that have to be loaded.
    pub bytes: u64,
    /// Time to load them at the rate of the weight store, in seconds.
    pub moving_seconds: f64,
    /// Time saved over the horizon, in seconds, less the capacity lost while experts are loaded.
    pub saved_seconds: f64,
    /// Saved seconds times `placement.skew_weight`.
    pub weighted_benefit: f64,
    /// Moving seconds times the rest of the weight, 1 minus `placement.skew_weight`.
    pub weighted_cost: f64,
}

/// Decision with its explanation.
#[derive(Clone, Debug)]
pub struct PlacementDecision {
    /// New map, if the group should get one; it still has the version of the current map.
    pub map: Option<ExpertMap>,
    /// What was decided, with the reason.
    pub verdict: PlacementVerdict,
    /// Figures that explain the decision.
    pub figures: PlacementFigures,
    /// Defaults and exceptions that the decision used.
    pub sources: Vec<String>,
}

/// Data on which a decision is based.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Size of the group.
    pub shape: &'a GroupShape,
    /// Map that the group uses.
    pub map: &'a ExpertMap,
    /// Tokens that each expert processes.
    pub counts: &'a ExpertCounts,
    /// Weight of each rank: 1 if it is healthy, less if it is slow, 0 if it is lost.
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
    let rates = CostRates {
        per_token: policy.horizon.as_secs_f64() / before.slowest.max(f64::MIN_POSITIVE),
        per_load: input.shape.loading_seconds(1),
        skew_weight: policy.skew_weight,
    };
    let options = plan_layers(input, policy, &rates);
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
    let verdict = decide_verdict(input, policy, &figures, planned.is_some(), required);
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

/// Chooses the verdict on a planned map. `planned` tells whether there is one, and `required`
/// whether it replaces replicas on lost ranks.
fn decide_verdict(
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

/// Returns whether a slow rank is the hottest one, by weight, in most layers.
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

/// Returns the current map with the chosen layers replaced; `None` if no layer is chosen.
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

/// Sets the figures that compare the planned map with the current one.
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
